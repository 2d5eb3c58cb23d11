// Jobs whose tasks run under leases: the entry's side.
//
// The caller chooses the job's id and may send the job again, to any entry,
// after an answer that leaves its outcome open. A task whose run failed or was
// lost runs again; failed runs count against a limit of attempts. Two runs of
// a task never overlap.
//
// Contents
//   [1] Jobs as callers send them
//   [2] Events and actions
//   [3] Tables
//   [4] State
//   [5] Functions

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
#include "cassiaferry/log_budget.h"
#include "cassiaferry/metrics.h"
#include "cassiaferry/run_estimates.h"
#include "cassiaferry/run_outcomes.h"
#include "cassiaferry/system_demand.h"
#include "cassiaferry/uneven_workers.h"
#include "cassiaferry/uplink.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] Jobs as callers send them ------------------------------------------

struct leased_step {
  uint32_t count = 1;           // number of tasks
  resources need;               // per task
  int64_t expected_ms = 0;      // declared by the caller, often wrong; 0: none
  std::vector<uint32_t> after;  // earlier steps that must be done first
  // Label that the worker must have; empty: any worker.
  std::string label;
  // Workers with this label are near its data, and used first.
  std::string preferred_label;
  uint32_t max_per_worker = 0;  // tasks of the step on one worker; 0: no limit
};

struct leased_job_request {
  std::string id;     // chosen by the caller
  std::string queue;  // name of a configured queue
  std::string payload;
  std::vector<leased_step> steps;
  int64_t wait_ms = 0;   // how long the caller waits; 0: no bound
  bool durable = false;  // stored before it is accepted
};

// ---- [2] Events and actions -------------------------------------------------

struct leased_job_submitted {
  ticket_id ticket;
  leased_job_request request;
  micros received{0};    // when it reached this machine; 0: with this event
  bool no_room = false;  // came without its steps, and is refused if it is new
};

struct answer_leased_job {
  ticket_id ticket;
  leased_outcome outcome = leased_outcome::completed;
  failure error;  // reason for a refusal
};

// The answer to a caller's query for the state of a job.
struct answer_leased_state {
  ticket_id ticket;
  leased_job_state state = leased_job_state::unknown;
  // The store doesn't answer, so the state is unknown.
  bool unavailable = false;
};

// A decision to be logged. Empty members are omitted.
struct leased_decision {
  const char* what = "";  // "job accepted", "run placed", ...
  std::string job;
  std::string detail;  // the inputs that decided it
  log_class line_class = log_class::decision;
  bool sampled = false;  // of a routine line: its job is in the sample
  // The line would be dropped and was not made; it is only counted.
  bool omitted = false;
};

// ---- [3] Tables -------------------------------------------------------------

enum class leased_task_state : uint8_t { blocked, waiting, placed, done };

struct leased_task_row {
  leased_task task;
  leased_task_state state = leased_task_state::blocked;
  uint32_t run = 0;  // newest run
  // Failed runs that count against its attempts.
  std::vector<uint32_t> failed_runs;
  // More of them, counted by an owner whose version did not store which.
  uint32_t unnamed_failures = 0;
  uint32_t abandoned_run = 0;  // newest run given up with its end unknown
  uint32_t moves = 0;          // runs stopped because their worker was slow
  bool moving = false;         // a stop of this run has been sent
  worker_id worker;            // valid while placed
};

struct leased_job {
  leased_seq seq;
  std::string id;
  queue_config queue;  // a copy: changes of configuration don't affect the job
  std::string payload;
  bool payload_compressed = false;
  std::vector<leased_step> steps;
  std::vector<uint32_t> step_tasks_left;  // unfinished tasks of each step
  std::vector<leased_task_row> tasks;
  std::vector<uint32_t> waiting;   // indices into `tasks`
  std::set<worker_id> failed_on;   // workers on which a run of it has failed
  std::vector<ticket_id> tickets;  // callers waiting for the answer
  micros arrival{0};
  micros deadline{0};       // callers wait until then; 0: no bound
  micros late_after{0};     // a result after this is late
  micros useless_after{0};  // a result after this is of no use
  micros expected{0};       // estimate for its longest chain of steps
  int64_t min_cpu = 0;      // smallest need of its tasks
  size_t bytes = 0;         // of memory that it takes, about
  uint32_t placed = 0;
  uint32_t done = 0;
  // A run was ordered and may have begun, so the job can't be refused any more.
  bool started = false;
  bool may_have_run = false;  // a run has begun, or may have
  micros started_at{0};
  bool queued = false;  // is in `waiting` or `overdue` of leased_state
  // Workers have capacity, but none may take one more of its tasks: it is not
  // tried before this.
  micros next_try{0};
  // Durable, and of no use any more; gets spare capacity only.
  bool overdue = false;
  durable_job_state durable;
};

// A start that the sidecar has not confirmed yet.
struct unconfirmed_start {
  uint64_t sequence = 0;  // on this stream
  resources need;
  micros sent{0};
};

// An order about an end that a sidecar holds, not confirmed by the sidecar yet.
struct open_resolution {
  uint64_t sequence = 0;    // on this stream
  uint64_t end_number = 0;  // number of the end; 0: the end was unclaimed
  resolved_end what;
};

// The state of the worker behind a sidecar, as known to this entry.
struct leased_worker {
  bool known = false;
  leased_worker_info info;
  resources max_capacity;  // largest capacity in this session of the worker
  bool takes_work = false;
  resources free;  // as last reported
  // Time of the newest report on the sidecar's clock.
  int64_t report_stamp = 0;
  micros report_received_at{0};  // when that report was received
  // Last renewal of the owner lease, if later than that report.
  micros owner_lease_renewed_at{0};
  clock_offset offset;       // between the sidecar's clock and this one
  uint64_t starts_sent = 0;  // on this stream
  std::deque<unconfirmed_start> in_flight;  // not confirmed yet
  resources in_flight_resources;
  uplink_stream frames;         // sent, receipt not confirmed
  uint64_t received_end = 0;    // newest end received
  uint64_t acked_end_sent = 0;  // newest acknowledgement sent to the sidecar
  // The sidecar knows that this entry waits for capacity.
  bool wanted_cpu_sent = false;
  bool follows = false;       // this entry wants reports of each change
  bool follows_sent = false;  // `follows` as last sent to the sidecar
  // Ends that were received and may not be forgotten yet: neither they nor
  // later ones are acknowledged.
  std::set<uint64_t> unresolved_ends;
  std::deque<open_resolution> open_resolutions;
  uint64_t resolutions_sent = 0;  // on this stream
  // Grows with each new sidecar process of this name.
  uint64_t sidecar_incarnation = 0;
  std::map<run_ref, leased_seq> open_runs;  // ordered, no end received
  // Runs ordered from an earlier sidecar incarnation or one that is out of
  // reach; they are over at the given time.
  std::vector<std::pair<micros, std::vector<run_ref>>> orphaned;
  // Work done relative to the expected, as last reported.
  double pace = 1;
  run_outcomes outcomes;
  micros avoid_until{0};  // after it refused a run, other workers are used
  // An unhealthy worker gets an occasional run as a probe for its recovery.
  micros probe_after{0};
  // Pause before the next probe after a bad one; 0: healthy.
  micros probe_pause{0};
};

// ---- [4] State --------------------------------------------------------------

// Which job's tasks get freed capacity first, among jobs of the same rank.
enum class leased_order : uint8_t {
  first_come,
  earliest_start,  // the job that must start first to be in time
  priority,        // the operator's priority, then earliest_start
  // The queue with the fewest processors in use, then earliest_start.
  fair_share,
};

// Which jobs that have not started are refused.
enum class leased_admission : uint8_t {
  useful,   // jobs whose result can't be of use any more
  in_time,  // also, under lasting overload, jobs that can't be in time
};

struct leased_options {
  lease_bounds bounds;
  leased_admission admission = leased_admission::in_time;
  leased_order order = leased_order::fair_share;
  bool enabled = false;
  // Fair shares of queues count what all entries use, not this one alone.
  bool shares_across_entries = false;
  // Estimates withstand a heavy tail of run times, and tasks that would be late
  // on slow workers get faster ones.
  bool adapts_to_uneven_workers = false;
  // A longer gap between ticks means that this process was frozen.
  micros pause_threshold = Millis(350);
  // After a pause nothing is started for this long.
  micros recovery_delay = Millis(60);
  // A stopping entry accepts jobs for this long, because callers stay on their
  // open connections.
  micros drain_accept{0};
  micros drain_close{0};     // time after that to finish them
  size_t max_job_bytes = 0;  // that all jobs may take; 0: no bound
  durable_options durable;
  uplink_options link;
  lateness_options late;
};

// Latencies of one queue's jobs, in milliseconds.
struct queue_latencies {
  latency_histogram unread;    // from arrival on this machine to acceptance
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
  uint64_t callers_gone_unknown = 0;  // callers without an open job
  uint64_t runs_ordered = 0;
  uint64_t runs_ended[kRunEndKinds] = {};  // by run_end_kind
};

struct leased_state {
  leased_options options;
  uint64_t next_job = 1;
  std::unordered_map<leased_seq, leased_job> jobs;
  size_t job_bytes = 0;  // of all of them
  std::unordered_map<std::string, leased_seq> ids;
  std::unordered_map<ticket_id, leased_seq> tickets;
  std::set<leased_seq> waiting;  // jobs with waiting tasks, in order of arrival
  // Accepted jobs with waiting tasks that are of no use any more; they get
  // spare capacity only.
  std::set<leased_seq> overdue;
  micros last_overdue{0};   // when overdue jobs were last placed
  leased_seq next_overdue;  // first one to try then; 0: the oldest
  micros last_durable{0};   // when a durable job last arrived
  std::set<std::pair<micros, leased_seq>> deadlines;
  std::vector<leased_worker> workers;               // by worker_id
  std::map<std::string, queue_estimate> estimates;  // by queue
  std::map<std::string, double> usual_pace;         // of workers, by upstream
  // Upstreams some of whose workers are much slower than usual.
  std::set<std::string> uneven_upstreams;
  std::set<std::string> logged_uneven;  // as last logged
  // Labels of jobs that no worker could run, as last logged.
  std::set<std::string> logged_without_worker;
  micros without_worker_checked_at{0};
  micros uneven_logged_at{0};
  move_budget budget_of_moves;
  move_counters moves;
  std::map<std::string, int64_t> cpu_in_use;  // by queue; thousandths of a core
  // Rate at which work arrives, as the processors needed to keep up with it, in
  // thousandths of a core: decayed mean, its value one sample earlier, and the
  // last sample. `work_arrived` sums up the current sample.
  double work_arriving = 0;
  double previous_work_arriving = 0;  // one sample earlier
  double last_work_sample = 0;        // last sample alone
  // Thousandths of a core times microseconds.
  double work_arrived = 0;
  micros arrivals_measured_at{0};
  micros last_refusal{0};       // when jobs to refuse were last searched for
  int64_t accepting_cpu = 0;    // total capacity of the workers that take work
  micros capacity_grown_at{0};  // when that capacity last grew
  // Free processors that workers are to report; 0: no task waits.
  int64_t wanted_cpu = 0;
  micros wanted_since{0};           // since when tasks have been waiting
  bool requested_from_all = false;  // the report was requested from all workers
  system_demand demand;             // of all entries
  uplink link;                      // uplink of this process's machine
  double logged_link_rate = 0;      // its bound as last logged
  lateness late;                    // lateness of this process
  micros request_waits_logged_at{0};
  micros last_tick{0};
  micros last_follow{0};  // when the workers to follow were last chosen
  // When it was last decided which workers count as failing.
  micros failing_reviewed_at{0};
  micros recovery_until{0};
  durable_state durable;
  leased_counters counters;
  std::map<std::string, queue_latencies> latencies;  // by queue
  // Whether routine lines of jobs outside the sample are logged now; set by the
  // process before each tick.
  bool logs_routine = true;
};

// ---- [5] Functions ----------------------------------------------------------

std::string LeasedPrometheusText(const leased_state& s);

// Memory that a job takes while it is held, about.
size_t JobBytes(const std::string& payload,
                const std::vector<leased_step>& steps);

// Whether one more job of that size may be held beside those that are. One
// alone always may.
bool HasRoomFor(const leased_options& options, size_t held, size_t job_bytes);

// Number of accepted jobs of the queue none of whose tasks has started. Jobs
// of other entries count as of the newest report of each entry.
size_t LeasedJobsWaiting(const leased_state& s, const std::string& queue);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASED_JOBS_H_
