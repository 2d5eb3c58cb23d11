// Records about leased runs that entries and sidecars exchange.
//
// A leased task runs on a worker only while its owner, an entry, keeps renewing
// its owner lease at the sidecar. The sidecar holds a short lease on the worker
// and stops every run whose owner lease has expired. A run whose owner or
// sidecar has failed therefore ends by itself within a known bound, after which
// its task may start elsewhere (docs/DESIGN.md derives the bound).
//
// Contents
//   [1] Resources
//   [2] Tasks and runs
//   [3] Demand
//   [4] Entry to sidecar
//   [5] Sidecar to entry
//   [6] Bounds
//   [7] Heartbeats

#ifndef CASSIAFERRY_LEASES_H_
#define CASSIAFERRY_LEASES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Resources ----------------------------------------------------------

// Resources that a task needs or a worker has.
struct resources {
  int64_t cpu = 0;        // thousandths of a core
  int64_t memory_mb = 0;  // MiB
  int64_t gpus = 0;
  bool operator==(const resources&) const = default;
};

constexpr resources operator+(const resources& a, const resources& b) {
  return {a.cpu + b.cpu, a.memory_mb + b.memory_mb, a.gpus + b.gpus};
}
constexpr resources operator-(const resources& a, const resources& b) {
  return {a.cpu - b.cpu, a.memory_mb - b.memory_mb, a.gpus - b.gpus};
}
constexpr resources ElementwiseMax(const resources& a, const resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory_mb, b.memory_mb),
          std::max(a.gpus, b.gpus)};
}
constexpr bool Fits(const resources& need, const resources& free) {
  return need.cpu <= free.cpu && need.memory_mb <= free.memory_mb &&
         need.gpus <= free.gpus;
}

// ---- [2] Tasks and runs -----------------------------------------------------

// Identifies a leased task, identically at every entry.
struct leased_task {
  std::string job;          // the id that the caller gave the job
  uint32_t occurrence = 0;  // number, for a repeated job
  uint32_t step = 0;
  uint32_t index = 0;
  auto operator<=>(const leased_task&) const = default;
};

// "JOB.OCCURRENCE.STEP.INDEX", the form used in logs.
std::string ToText(const leased_task& task);

// One run of a task. The runs of a task have increasing numbers: a worker
// refuses a run whose number is not above that of every run of the task that
// it has stopped or ended.
struct run_ref {
  leased_task task;
  uint32_t run = 0;
  auto operator<=>(const run_ref&) const = default;
};

std::string ToText(const run_ref& ref);  // "TASK, run NUMBER"

enum class run_end_kind : uint8_t {
  done,
  failed,         // by a fault of the task or its worker
  stopped,        // on an order, or its owner lease expired
  lost,           // with its worker or the worker's lease
  never_started,  // the start was refused and will not be carried out
  superseded,  // refused: its number is not above that of an earlier run there
};

constexpr size_t kRunEndKinds = 6;

const char* ToText(run_end_kind kind);

// ---- [3] Demand -------------------------------------------------------------

// Demand for the tasks of one queue: of one entry, or of several together.
struct queue_demand {
  std::string queue;
  int64_t cpu_in_use = 0;   // of runs ordered and not ended, thousandths of a
                            // core
  int64_t cpu_waiting = 0;  // needed by waiting tasks, thousandths of a core
  bool operator==(const queue_demand&) const = default;
};

// ---- [4] Entry to sidecar ---------------------------------------------------

struct run_start {
  run_ref ref;
  resources need;
  uint32_t expected_ms = 0;  // estimated by the entry
  std::string payload;
  // The worker lists its end until the owner has stored it.
  bool durable = false;
  bool compressed = false;  // the payload is compressed (compression.h)
};

// What a sidecar does with an end that it holds.
enum class end_disposition : uint8_t {
  forget,  // it is stored, or its job is over: acknowledge it to the worker
  expire_lease,     // its task has started again since: the worker's lease must
                    // expire before the end is acknowledged
  offer_to_others,  // this entry doesn't own its job any more: report it to all
                    // entries
};

struct resolved_end {
  run_ref ref;
  end_disposition disposition = end_disposition::forget;
};

struct lease_orders {
  int64_t echo = 0;  // newest stamp received from the sidecar; renews the owner
                     // lease from then on, on the sidecar's clock
  int64_t sent = 0;  // the entry's clock, microseconds
  std::vector<run_start> starts;
  std::vector<run_ref> stops;
  uint64_t acked_end = 0;  // acknowledges ends up to this number
  // First of a stream: the newest end ever received.
  uint64_t last_received_end = 0;
  std::vector<resolved_end> resolved_ends;  // handled before `acked_end`
  // The smallest cpu need of the entry's waiting tasks, thousandths of a core;
  // 0: none wait. The sidecar reports at once when so much is free.
  int64_t wanted_cpu = 0;
  // The entry wants reports of changed free resources.
  bool follows_resources = false;
  // The entry's demand by queue, while tasks of it wait for capacity and shares
  // are kept across entries (leased_options::shares_across_entries).
  std::vector<queue_demand> demand;
  bool is_first = false;       // first of a stream: `known` is complete
  std::vector<run_ref> known;  // runs ordered from this sidecar process whose
                               // end is not received yet
};

// ---- [5] Sidecar to entry ---------------------------------------------------

struct run_end {
  uint64_t number = 0;  // increasing per entry; acknowledged cumulatively
  run_ref ref;
  run_end_kind kind = run_end_kind::done;
  uint32_t run_ms = 0;  // from the order to the end
};

// A run that takes much longer than expected, and its progress.
struct straggler {
  run_ref ref;
  uint32_t run_ms = 0;
  uint32_t percent = 0;
};

// The newest frame that the sidecar has received from an entry. The entry
// derives the delay of its link from it. Times are in microseconds.
struct received_frame {
  int64_t sent = 0;     // the frame's stamp; 0: none received yet
  int64_t transit = 0;  // the sidecar's clock on arrival, less `sent`
  int64_t held = 0;     // time from its arrival to this report
};

// One session of a worker, from its start to its end. A worker may start again
// under the same id. It then has no state from before: its numbering starts
// again, and its clock may have changed.
struct worker_session {
  std::string id;
  int64_t started_ms = 0;  // Unix time, by its own clock; 0: unknown
  auto operator<=>(const worker_session&) const = default;
};

std::string ToText(const worker_session& session);

// The worker that the sidecar serves, as the worker announced itself.
struct leased_worker_info {
  worker_session session;
  std::string upstream;
  resources capacity;
  std::vector<std::string> labels;
  bool operator==(const leased_worker_info&) const = default;
};

struct lease_reports {
  int64_t stamp = 0;           // the sidecar's clock, microseconds
  uint64_t starts_seen = 0;    // starts received on this stream
  uint64_t resolved_seen = 0;  // resolved ends received on this stream
  bool accepts_work = false;
  resources free;
  // If it changed, and first of a stream.
  std::optional<leased_worker_info> worker;
  std::vector<run_end> ends;
  uint32_t pace = 1000;  // work done relative to expected work, thousandths;
                         // below 1000 on a slow worker, 0 on a stalled one
  std::vector<straggler> stragglers;
  std::vector<run_end> unclaimed;  // held ends whose owner is silent or unknown
  received_frame last_received;
  // Sums over the other entries that have sent their demand here lately, by
  // queue, if the receiver has sent its own. The receiver adds its current
  // demand, which the sidecar knows only with a delay.
  std::vector<queue_demand> demand;
  // Number of entries with demand, the receiver included; 0: no sums are given.
  uint32_t demand_entries = 0;
};

// ---- [6] Bounds -------------------------------------------------------------

// Timeouts after which one party takes another for failed. All processes of a
// system use the same values.
struct lease_bounds {
  micros lease = Millis(700);  // of a worker, from each extension on
  // Longest lease; a worker shortens longer ones to this.
  micros max_lease = Millis(1000);
  // Of an owner, from the stamp that it echoes on.
  micros owner_lease = Millis(400);
  micros margin = Millis(50);  // for late timers and the time that a stop takes
};

// The platform guarantees that clocks of workers run slow by at most 2%.
constexpr int64_t kClockDriftPercent = 2;

// The time after which `time` has passed on a worker's clock too, even if that
// clock runs slow.
constexpr micros ElapsedByAnyClock(micros time) {
  return micros{time.value * 100 / (100 - kClockDriftPercent)};
}

// The time after which a lease granted now has expired by any clock.
constexpr micros LeaseExpiredAfter(const lease_bounds& bounds) {
  return ElapsedByAnyClock(bounds.lease);
}

// The time after the last message from a sidecar at which all runs of this
// entry there are over: first the owner lease has expired and then, in case the
// sidecar is frozen, the lease on the worker.
constexpr micros RunsOverAfter(const lease_bounds& bounds) {
  return bounds.owner_lease + LeaseExpiredAfter(bounds) + bounds.margin;
}

// Bounds that fit the platform's limits. `lease_max`: the longest lease that a
// worker accepts. `resend_after`: the time after which a caller without an
// answer sends its job again, to any entry; by then all runs that the first
// entry started must be over.
lease_bounds BoundsFor(micros lease_max, micros resend_after);

// ---- [7] Heartbeats ---------------------------------------------------------

// How often a stream carries at least one frame, and how long a stream without
// a frame counts as alive. A pair of entry and sidecar is idle while no run of
// the entry is at the sidecar: no owner lease is needed then, and if the stream
// breaks only updates of the worker's free resources are lost. With 61 sidecars
// an entry without jobs receives and sends 120 frames a second instead of 910.
struct link_timing {
  micros heartbeat = Millis(500);
  micros silence_timeout = Millis(2000);
  micros idle_heartbeat = Millis(500);
  micros idle_silence_timeout = Millis(2000);
};

// Frames renew owner leases, so several of them fit into an owner lease.
link_timing TimingFor(const lease_bounds& bounds);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASES_H_
