// Records of leased runs, as an entry and a sidecar exchange them.
//
// A leased task runs on a worker only while its owner vouches for it: the
// sidecar keeps a short lease on the worker, and stops what an owner has not
// vouched for in time. So a run that nobody answers for ends by itself within a
// known bound, after which its task may start elsewhere (docs/DESIGN.md works
// the bound out).
//
// Contents
//   [1] Room
//   [2] Tasks and runs
//   [3] Entry to sidecar
//   [4] Sidecar to entry
//   [5] Bounds
//   [6] Frames without news

#ifndef CASSIAFERRY_LEASES_H_
#define CASSIAFERRY_LEASES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Room ---------------------------------------------------------------

// What a task needs, or a worker has.
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

// Names a leased task, the same at every entry.
struct leased_task {
  std::string job;          // the caller's id of the job
  uint32_t occurrence = 0;  // of a repeated job
  uint32_t step = 0;
  uint32_t index = 0;
  auto operator<=>(const leased_task&) const = default;
};

// "JOB.OCCURRENCE.STEP.INDEX", as in logs.
std::string ToText(const leased_task& task);

// One start of a task. Runs of a task are numbered upwards: a worker refuses a
// run that is not above every run it has stopped or ended.
struct run_ref {
  leased_task task;
  uint32_t run = 0;
  auto operator<=>(const run_ref&) const = default;
};

std::string ToText(const run_ref& ref);  // the task, ", run " and its number

enum class run_end_kind : uint8_t {
  done,
  failed,         // the task or its worker's fault
  stopped,        // ordered, or nobody vouched for it
  lost,           // the worker or its lease is gone with it
  never_started,  // refused, and will never start
  superseded,     // refused: its number is not above an earlier run's there
};

constexpr size_t kRunEndKinds = 6;

const char* ToText(run_end_kind kind);

// ---- [3] Entry to sidecar ---------------------------------------------------

struct run_start {
  run_ref ref;
  resources need;
  uint32_t expected_ms = 0;  // by the entry's estimate
  std::string payload;
  bool durable =
      false;  // the worker keeps its end until the owner has stored it
  bool compressed = false;  // the payload (compression.h)
};

// What becomes of an end that a sidecar holds.
enum class end_disposition : uint8_t {
  forget,           // it is stored, or of no job that lives: acknowledge it
  expire_lease,     // its task has started again since: the worker's lease must
                    // lapse before the end may be acknowledged
  offer_to_others,  // this entry is not its job's owner any more: offer it to
                    // others
};

struct resolved_end {
  run_ref ref;
  end_disposition disposition = end_disposition::forget;
};

struct lease_orders {
  int64_t echo = 0;  // newest stamp seen of the sidecar; vouches until then
                     // plus the vouch bound, on the sidecar's clock
  int64_t sent = 0;  // the entry's clock, microseconds
  std::vector<run_start> starts;
  std::vector<run_ref> stops;
  uint64_t acked_end = 0;  // ends up to this number may be forgotten
  uint64_t last_received_end =
      0;  // first of a stream: the newest end ever heard
  std::vector<resolved_end> resolved_ends;  // taken before `acked_end`
  // Tasks wait for room: tell at once when so much is free, thousandths of a
  // core, the least that one of them needs; 0: none wait.
  int64_t wanted_cpu = 0;
  bool follows_resources = false;  // wants to hear of changes of the room there
  bool is_first = false;           // of a stream: `known` is complete
  std::vector<run_ref> known;  // runs ordered of this sidecar life, not ended
};

// ---- [4] Sidecar to entry ---------------------------------------------------

struct run_end {
  uint64_t number = 0;  // grows per entry; acknowledged cumulatively
  run_ref ref;
  run_end_kind kind = run_end_kind::done;
  uint32_t run_ms = 0;  // from the order to the end
};

// A run that takes much longer than expected, and how far it has come.
struct straggler {
  run_ref ref;
  uint32_t run_ms = 0;
  uint32_t percent = 0;
};

// The newest frame that the sidecar has had of an entry: tells the entry how
// long its link takes. Microseconds.
struct received_frame {
  int64_t sent = 0;     // its stamp; 0: none yet
  int64_t transit = 0;  // the sidecar's clock when it came, less that
  int64_t held = 0;     // from then until now
};

// One start of a worker. It may start again under the id that it had, and then
// knows nothing of before; what it numbers, its clock among them, starts anew.
struct worker_session {
  std::string id;
  int64_t started_ms = 0;  // Unix time, by its own clock; 0: it didn't tell
  auto operator<=>(const worker_session&) const = default;
};

std::string ToText(const worker_session& life);

// The worker beside the sidecar, as it announced itself.
struct leased_worker_info {
  worker_session session;
  std::string upstream;
  resources capacity;
  std::vector<std::string> labels;
  bool operator==(const leased_worker_info&) const = default;
};

struct lease_reports {
  int64_t stamp = 0;           // the sidecar's clock, microseconds
  uint64_t starts_seen = 0;    // of this stream
  uint64_t resolved_seen = 0;  // of this stream
  bool accepts_work = false;
  resources free;
  std::optional<leased_worker_info> worker;  // on change, and first of a stream
  std::vector<run_end> ends;
  uint32_t pace = 1000;  // work done against expected, thousandths: a slow
                         // worker has less, one that stands still 0
  std::vector<straggler> stragglers;
  std::vector<run_end> unclaimed;  // held for owners that are silent or unknown
  received_frame last_received;
};

// ---- [5] Bounds -------------------------------------------------------------

// How long each party believes another. One set for all processes of a system.
struct lease_bounds {
  micros lease = Millis(700);        // of a worker, from each extension
  micros max_lease = Millis(1000);   // a worker cuts longer ones down to this
  micros owner_lease = Millis(400);  // of an owner, from the stamp it echoes
  micros margin = Millis(50);  // timers fire late, and a stop takes this long
};

// Clocks of workers may run slow by 2%, as the platform states.
constexpr int64_t kClockDriftPercent = 2;

// This time of a worker's clock has passed by any clock after this.
constexpr micros ElapsedByAnyClock(micros time) {
  return micros{time.value * 100 / (100 - kClockDriftPercent)};
}

// A lease granted now has lapsed by any clock after this.
constexpr micros LeaseExpiredAfter(const lease_bounds& bounds) {
  return ElapsedByAnyClock(bounds.lease);
}

// After the last word from a sidecar, its runs of this entry are over: the
// entry's vouch has run out, and then, should the sidecar be frozen, the lease.
constexpr micros RunsOverAfter(const lease_bounds& bounds) {
  return bounds.owner_lease + LeaseExpiredAfter(bounds) + bounds.margin;
}

// Bounds that fit what the platform allows. `lease_max`: the longest lease a
// worker accepts. `resend_after`: a caller that got no answer sends again, to
// any entry, after this: by then whatever the first entry ran must be over.
lease_bounds BoundsFor(micros lease_max, micros resend_after);

// ---- [6] Frames without news ------------------------------------------------

// How often a stream carries a frame, and how long one without a frame is
// believed in. A pair of entry and sidecar is idle while no run of the entry is
// there: nothing is vouched for then, and nothing is lost with the pair but
// news of the worker's room. With 61 sidecars an entry that serves nobody takes
// and sends 120 frames a second instead of 910.
struct link_timing {
  micros heartbeat = Millis(500);
  micros silence_timeout = Millis(2000);
  micros idle_heartbeat = Millis(500);
  micros idle_silence_timeout = Millis(2000);
};

// Owners are vouched for by frames: several fit into the bound.
link_timing TimingFor(const lease_bounds& bounds);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASES_H_
