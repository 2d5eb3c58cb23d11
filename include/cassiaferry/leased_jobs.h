// Jobs whose tasks run under leases: an entry's side.
//
// A caller names the job, and may send it again, to any entry, after an answer
// that leaves open what became of it. A task that failed or was lost runs
// again, up to a bound; two runs of a task never overlap.
//
// Contents
//   [1] Jobs as callers send them
//   [2] Events and actions
//   [3] Tables
//   [4] State
//   [5] Calls

#ifndef CASSIAFERRY_LEASED_JOBS_H_
#define CASSIAFERRY_LEASED_JOBS_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cassiaferry/config.h"
#include "cassiaferry/durable_jobs.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/lateness.h"
#include "cassiaferry/leases.h"
#include "cassiaferry/metrics.h"
#include "cassiaferry/uplink.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] Jobs as callers send them ------------------------------------------

struct leased_step {
  uint32_t count = 1;           // tasks
  resources need;               // of each task
  int64_t expected_ms = 0;      // declared, often wrong; 0: none
  std::vector<uint32_t> after;  // earlier steps that must be done first
  std::string label;            // that the worker must have; empty: any
  std::string
      preferred_label;  // label of the workers where its data lie: taken first
  uint32_t max_per_worker = 0;  // tasks of the step on one worker; 0: any
};

struct leased_job_request {
  std::string id;     // the caller's
  std::string queue;  // of the configuration
  std::string payload;
  std::vector<leased_step> steps;
  int64_t wait_ms = 0;   // the caller waits so long; 0: no bound
  bool durable = false;  // accepted means stored
};

// ---- [2] Events and actions -------------------------------------------------

struct leased_job_submitted {
  ticket_id ticket;
  leased_job_request request;
};

struct answer_leased_job {
  ticket_id ticket;
  leased_outcome outcome = leased_outcome::completed;
  failure error;  // of a refusal
};

// What a caller asked of a job.
struct answer_leased_state {
  ticket_id ticket;
  leased_job_state state = leased_job_state::unknown;
  bool unavailable = false;  // the store doesn't answer: unknown
};

// One decision, for the log. Empty members are left out.
struct leased_decision {
  const char* what = "";  // "job accepted", "run placed", ...
  std::string job;
  std::string detail;  // the inputs that decided it
};

// ---- [3] Tables -------------------------------------------------------------

using leased_seq = strong_id<struct leased_seq_tag, uint64_t>;

enum class leased_task_state : uint8_t { blocked, waiting, placed, done };

struct leased_task_row {
  leased_task task;
  leased_task_state state = leased_task_state::blocked;
  uint32_t run = 0;            // newest
  uint32_t failed = 0;         // runs that ended as failed
  uint32_t abandoned_run = 0;  // newest run given up without word of its end
  uint32_t moves = 0;   // runs that were stopped because they took too long
  bool moving = false;  // the stop of this run is on its way
  worker_id worker;     // while placed
};

struct leased_job {
  leased_seq seq;
  std::string id;
  queue_config
      queue;  // a copy: a change of configuration leaves the job as it is
  std::string payload;
  bool payload_compressed = false;
  std::vector<leased_step> steps;
  std::vector<uint32_t> step_tasks_left;  // tasks of each step not done
  std::vector<leased_task_row> tasks;
  std::vector<uint32_t> waiting;   // indices into `tasks`
  std::vector<ticket_id> tickets;  // callers that wait for the answer
  micros arrival{0};
  micros deadline{0};       // callers wait no longer; 0: no bound
  micros late_after{0};     // done later than this, it is late
  micros useless_after{0};  // ... and later than this, of no use
  micros expected{0};       // its longest chain of work
  int64_t min_cpu = 0;      // that a task of it needs
  uint32_t placed = 0;
  uint32_t done = 0;
  bool started = false;  // a run was ordered, and may have begun: the job can't
                         // be refused any more
  bool may_have_run = false;  // one has, or may have
  micros started_at{0};
  bool queued = false;   // stands in the waiting table, or among the overdue
  bool overdue = false;  // durable, and of no use any more: served last
  durable_job_state durable;
};

// A start that the sidecar has not said to have seen.
struct unconfirmed_start {
  uint64_t sequence = 0;  // on this stream
  resources need;
  micros sent{0};
};

// What was ordered of an end that a sidecar holds, and is not confirmed yet.
struct open_resolution {
  uint64_t sequence = 0;    // on this stream
  uint64_t end_number = 0;  // of the end; 0: it was unclaimed
  resolved_end what;
};

// What this entry knows of the worker behind a sidecar.
struct leased_worker {
  bool known = false;
  leased_worker_info info;
  resources max_capacity;  // capacity that this life of it has had
  bool takes_work = false;
  resources free;                // as reported
  int64_t report_stamp = 0;      // of the newest report, on the sidecar's clock
  micros report_received_at{0};  // when it came
  micros owner_lease_renewed_at{
      0};                    // newest moment, later than that, from which this
                             // entry's runs there were vouched for
  clock_offset offset;       // of those two clocks
  uint64_t starts_sent = 0;  // on this stream
  std::deque<unconfirmed_start> in_flight;  // not yet reported
  resources in_flight_resources;
  uplink_stream frames;          // sent, not known to have arrived
  uint64_t acked_end = 0;        // taken
  uint64_t acked_end_sent = 0;   // of these, told to the sidecar
  bool wanted_cpu_sent = false;  // it was told that this entry waits for room
  bool follows = false;       // this entry wants to hear of changes there ...
  bool follows_sent = false;  // ... as it was told
  std::set<uint64_t>
      unsaved_ends;  // ends taken that are not stored yet: they, and
                     // what comes after, are not acknowledged
  std::deque<open_resolution> open_resolutions;
  uint64_t resolutions_sent = 0;  // on this stream
  uint64_t sidecar_incarnation =
      0;  // grows with each new process behind the name
  std::map<run_ref, leased_seq> open_runs;  // ordered, no end heard
  // Runs ordered of a sidecar life that is gone; over at the given time.
  std::vector<std::pair<micros, std::vector<run_ref>>> orphaned;
  double pace = 1;           // work done against expected, as reported
  double failure_share = 0;  // share of recent runs that failed, decayed
  micros avoid_until{0};     // refused a run: others first
  // A sick worker gets a run now and then, to see whether it is well again.
  micros probe_after{0};
  micros probe_pause{0};  // since the newest one went badly
};

// What is learnt of a queue's jobs.
struct queue_estimate {
  double ratio = 1;   // run time against what jobs declare, decayed
  double margin = 1;  // most jobs take less than so many times the estimate
};

// ---- [4] State --------------------------------------------------------------

// Which job's tasks get freed room first, among those of one rank.
enum class leased_order : uint8_t {
  first_come,
  earliest_start,  // the one that must start first to be in time
  priority,        // the operator's, then as earliest_start
  fair_share,  // of the queue with the least room in use by its weight, then
               // as earliest_start
};

// Which jobs that have not started are refused.
enum class leased_admission : uint8_t {
  useful,   // those that can't be of use any more
  in_time,  // ... and under lasting overload those that can't be in time
};

struct leased_options {
  lease_bounds bounds;
  leased_admission admission = leased_admission::in_time;
  leased_order order = leased_order::fair_share;
  bool enabled = false;
  micros pause_threshold =
      Millis(350);  // between ticks: then this process was frozen
  micros recovery_delay =
      Millis(60);          // after a pause nothing starts for so long
  micros drain_accept{0};  // a stopping entry takes jobs for so long, as
                           // callers stay on their open connections
  micros drain_close{0};   // ... and then has this long to end them
  durable_options durable;
  uplink_options link;
  lateness_options late;
};

// Of one queue's jobs, in milliseconds.
struct queue_latencies {
  latency_histogram queued;    // from arrival to the first start
  latency_histogram response;  // from arrival to the answer "completed"
};

struct leased_counters {
  uint64_t jobs_received = 0;
  uint64_t jobs_completed = 0;
  uint64_t jobs_failed = 0;
  uint64_t jobs_cancelled = 0;
  uint64_t jobs_refused = 0;
  uint64_t jobs_accepted = 0;
  uint64_t callers_gone_unknown = 0;  // of no job that is open
  uint64_t runs_ordered = 0;
  uint64_t runs_ended[kRunEndKinds] = {};  // by run_end_kind
};

struct leased_state {
  leased_options options;
  uint64_t next_job = 1;
  std::unordered_map<leased_seq, leased_job> jobs;
  std::unordered_map<std::string, leased_seq> ids;
  std::unordered_map<ticket_id, leased_seq> tickets;
  std::set<leased_seq> waiting;  // jobs with waiting tasks, as they came
  std::set<leased_seq> overdue;  // ... those that are of no use any more, but
                                 // accepted: they get spare room only
  micros last_overdue{0};        // when they were last looked at
  micros last_durable{0};        // when a durable job last came
  std::set<std::pair<micros, leased_seq>> deadlines;
  std::vector<leased_worker> workers;               // by worker_id
  std::map<std::string, queue_estimate> estimates;  // by queue
  std::map<std::string, double> usual_pace;         // of workers, by upstream
  std::map<std::string, int64_t> cpu_in_use;  // by queue; thousandths of a core
  // Work of the jobs that come, thousandths of a core times the share of time
  // that they need them: of late, and since it was measured.
  double work_arriving = 0;
  double previous_work_arriving = 0;  // a measurement earlier
  double last_work_sample = 0;        // of the newest measurement alone
  double work_arrived = 0;            // ... times microseconds
  micros arrivals_measured_at{0};
  micros last_refusal{0};       // when hopeless jobs were last looked for
  int64_t accepting_cpu = 0;    // capacity of the workers that take work ...
  micros capacity_grown_at{0};  // ... and when it last grew
  int64_t wanted_cpu = 0;       // that workers are to tell of; 0: no task waits
  micros wanted_since{0};       // since when some do
  bool requested_from_all = false;  // all workers were asked to
  uplink link;                      // of this process's machine
  double logged_link_rate = 0;      // its bound, as last logged
  lateness late;                    // of this process
  micros last_tick{0};
  micros last_follow{0};  // when the workers to follow were last chosen
  micros recovery_until{0};
  durable_state durable;
  leased_counters counters;
  std::map<std::string, queue_latencies> latencies;  // by queue
};

// ---- [5] Calls --------------------------------------------------------------

std::string LeasedPrometheusText(const leased_state& s);

// Accepted jobs of the queue none of whose tasks has started. Those of other
// entries as of their newest words.
size_t LeasedJobsWaiting(const leased_state& s, const std::string& queue);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASED_JOBS_H_
