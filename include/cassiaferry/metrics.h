// Counters and distributions of a process.
//
// Contents
//   [1] Counters
//   [2] Distributions
//   [3] Prometheus text

#ifndef CASSIAFERRY_METRICS_H_
#define CASSIAFERRY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cassiaferry/messages.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] Counters -----------------------------------------------------------

// Why a task was sent again, or a record was dropped.
enum class retry_reason : uint8_t {
  slot_taken,       // the sidecar had no free slot when the start arrived
  queue_timeout,    // dropped from a sidecar's queue by its ttl
  upstream_busy,    // the upstream refused, with proof that it did not run
  never_started,    // reconciled after a broken stream as never started
  fenced_frame,     // a frame of an older stream, dropped
  duplicate_start,  // a start for a task already known, dropped
  late_result,      // a result for a job already answered
  count_,
};

const char* ToText(retry_reason r);

struct counters {
  // By reason.
  std::array<uint64_t, static_cast<size_t>(reason::count_)> refused{};
  // By reason.
  std::array<uint64_t, static_cast<size_t>(retry_reason::count_)> retried{};
  // Sent, by kind.
  std::array<uint64_t, static_cast<size_t>(record_kind::count_)> records{};
  uint64_t jobs_received = 0;
  uint64_t jobs_complete = 0;
  uint64_t jobs_failed = 0;
  uint64_t bytes_sent = 0;  // control bytes on streams, payloads included
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t ticks = 0;

  void CountRefusal(reason r) { ++refused[static_cast<size_t>(r)]; }
  void CountRetry(retry_reason r) { ++retried[static_cast<size_t>(r)]; }
  void CountSent(record_kind k, uint64_t n = 1) {
    records[static_cast<size_t>(k)] += n;
  }
};

// ---- [2] Distributions ------------------------------------------------------

// Streaming estimates of mean and quantiles (Boost.Accumulators, extended
// P-square) in constant memory: no samples are kept. The load tool keeps exact
// samples instead.
class distribution {
 public:
  distribution();
  ~distribution();
  distribution(distribution&&) noexcept;
  distribution& operator=(distribution&&) noexcept;

  void Add(double value);
  uint64_t Count() const;
  double Mean() const;
  // `q` is one of 0.5, 0.95 and 0.99. NaN if there are too few values yet.
  double Quantile(double q) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

// Latencies in fixed buckets, so that histograms of several processes can be
// summed.
struct latency_histogram {
  static constexpr std::array<int64_t, 11> kBoundsMs = {
      5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000};
  // Last: above all bounds.
  std::array<uint64_t, kBoundsMs.size() + 1> counts{};
  int64_t sum_ms = 0;

  void Add(int64_t ms);
};

// Metrics of one policy, so that two policies can be compared on live traffic.
struct policy_metrics {
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t tasks = 0;
  distribution response_ms;
  distribution queue_ms;  // from arrival of the job to the start of a task
  // Response time divided by the run time of the longest task.
  distribution ratio;
};

// By policy name.
using policy_metrics_table = std::map<std::string, policy_metrics>;

// ---- [3] Prometheus text ----------------------------------------------------

std::string PrometheusText(const counters& c,
                           const policy_metrics_table& policies);

// One line, "name{labels} value"; `labels` may be empty.
void AppendMetric(std::string& out,
                  const std::string& name,
                  const std::string& labels,
                  double value);
void AppendHistogram(std::string& out,
                     const std::string& name,
                     const std::string& labels,  // not empty
                     const latency_histogram& histogram);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_METRICS_H_
