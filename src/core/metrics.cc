// Metrics: accumulators and the text form for scrapers.

#include "cassiaferry/metrics.h"

#include <sstream>  // needed by, and missing in, the quantile header below

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdio>
#include <limits>
#include <vector>

namespace cassiaferry {

namespace acc = boost::accumulators;

namespace {

const std::vector<double> kQuantiles = {0.5, 0.95, 0.99};

// P-square estimates are meaningless until their markers have spread out.
constexpr uint64_t kQuantileSamples = 20;

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::extended_p_square_quantile>>;

template <typename Enum, size_t N>
void AppendCounters(std::string& out,
                    const char* name,
                    const char* label,
                    const std::array<uint64_t, N>& values) {
  out += std::string("# TYPE ") + name + " counter\n";
  for (size_t i = 0; i < N; ++i) {
    out.append(name).append("{").append(label).append("=\"");
    out.append(ToText(static_cast<Enum>(i))).append("\"} ");
    out.append(std::to_string(values[i])).append("\n");
  }
}

void AppendCounter(std::string& out, const char* name, uint64_t value) {
  out += std::string("# TYPE ") + name + " counter\n" + name + " " +
         std::to_string(value) + "\n";
}

void AppendSummary(std::string& out,
                   const std::string& name,
                   const std::string& policy,
                   const distribution& d) {
  for (double q : kQuantiles) {
    out += name + "{policy=\"" + policy + "\",quantile=\"" +
           std::to_string(q).substr(0, 4) + "\"} ";
    out += std::to_string(d.Quantile(q)) + "\n";
  }
  out += name + "_count{policy=\"" + policy + "\"} " +
         std::to_string(d.Count()) + "\n";
  out += name + "_sum{policy=\"" + policy + "\"} " +
         std::to_string(d.Mean() * static_cast<double>(d.Count())) + "\n";
}

}  // namespace

struct distribution::impl {
  accumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

distribution::distribution() : impl_(std::make_unique<impl>()) {}
distribution::~distribution() = default;
distribution::distribution(distribution&&) noexcept = default;
distribution& distribution::operator=(distribution&&) noexcept = default;

void distribution::Add(double value) {
  impl_->values(value);
}

uint64_t distribution::Count() const {
  return acc::count(impl_->values);
}

double distribution::Mean() const {
  return Count() == 0 ? 0 : acc::mean(impl_->values);
}

double distribution::Quantile(double q) const {
  if (Count() < kQuantileSamples)
    return std::numeric_limits<double>::quiet_NaN();
  return acc::quantile(impl_->values, acc::quantile_probability = q);
}

const char* ToText(retry_reason r) {
  constexpr const char* kNames[] = {
      "slot_taken",   "queue_timeout",   "upstream_busy", "never_started",
      "fenced_frame", "duplicate_start", "late_result"};
  return kNames[static_cast<size_t>(r)];
}

const char* ToText(record_kind kind) {
  constexpr const char* kNames[] = {
      "start", "result",  "reject",  "cancel",    "probe",    "probe_cancel",
      "offer", "decline", "backlog", "heartbeat", "reconcile"};
  return kNames[static_cast<size_t>(kind)];
}

std::string PrometheusText(const counters& c,
                           const policy_metrics_table& policies) {
  std::string out;
  AppendCounters<reason>(out, "cassiaferry_refused_total", "reason", c.refused);
  AppendCounters<retry_reason>(out, "cassiaferry_retried_total", "reason",
                               c.retried);
  AppendCounters<record_kind>(out, "cassiaferry_records_sent_total", "kind",
                              c.records);
  AppendCounter(out, "cassiaferry_jobs_received_total", c.jobs_received);
  AppendCounter(out, "cassiaferry_jobs_complete_total", c.jobs_complete);
  AppendCounter(out, "cassiaferry_jobs_failed_total", c.jobs_failed);
  AppendCounter(out, "cassiaferry_bytes_sent_total", c.bytes_sent);
  AppendCounter(out, "cassiaferry_frames_sent_total", c.frames_sent);
  AppendCounter(out, "cassiaferry_frames_taken_total", c.frames_received);
  AppendCounter(out, "cassiaferry_ticks_total", c.ticks);
  for (const auto& [name, p] : policies) {
    AppendSummary(out, "cassiaferry_response_ms", name, p.response_ms);
    AppendSummary(out, "cassiaferry_queue_ms", name, p.queue_ms);
    AppendSummary(out, "cassiaferry_response_ratio", name, p.ratio);
  }
  return out;
}

void latency_histogram::Add(int64_t ms) {
  size_t bucket = 0;
  while (bucket < kBoundsMs.size() && ms > kBoundsMs[bucket])
    ++bucket;
  ++counts[bucket];
  sum_ms += ms;
}

void AppendMetric(std::string& out,
                  const std::string& name,
                  const std::string& labels,
                  double value) {
  char text[64];
  std::snprintf(text, sizeof text, "%.6g", value);
  out += name + (labels.empty() ? "" : "{" + labels + "}") + " " + text + "\n";
}

void AppendHistogram(std::string& out,
                     const std::string& name,
                     const std::string& labels,
                     const latency_histogram& histogram) {
  uint64_t total = 0;
  for (size_t i = 0; i < histogram.counts.size(); ++i) {
    total += histogram.counts[i];
    const bool last = i == latency_histogram::kBoundsMs.size();
    const std::string bound =
        last ? "+Inf" : std::to_string(latency_histogram::kBoundsMs[i]);
    AppendMetric(out, name + "_bucket", labels + ",le=\"" + bound + "\"",
                 static_cast<double>(total));
  }
  AppendMetric(out, name + "_sum", labels,
               static_cast<double>(histogram.sum_ms));
  AppendMetric(out, name + "_count", labels, static_cast<double>(total));
}

}  // namespace cassiaferry
