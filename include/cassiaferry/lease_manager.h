// The lease manager: a sidecar's decisions about the leased runs on its worker.
// It decides which runs may start, whether the lease is extended, which runs
// are stopped, and what is reported to their owners.
//
// Pure: no thread, clock or socket. Part of the sidecar's tick.
//
// Contents
//   [1] Options
//   [2] Events
//   [3] Actions
//   [4] State
//   [5] Calls

#ifndef CASSIAFERRY_LEASE_MANAGER_H_
#define CASSIAFERRY_LEASE_MANAGER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/leases.h"
#include "cassiaferry/log_budget.h"
#include "cassiaferry/system_demand.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct lease_manager_options {
  lease_bounds bounds;
  // How long the worker may delay its answer to a poll until a run ends; well
  // under half a lease.
  micros poll_wait = Millis(150);
  micros call_timeout = Millis(60);  // after which an unanswered call is sent
                                     // again; 200 times a local round trip
  // While some calls get no answer, polls and timeouts are shorter. Until it
  // times out, a lost poll delays the ends of runs, and a lost start leaves the
  // resources reserved for it idle: with 6% of calls lost at full load, 25
  // instead of 60 ms raises the share of resources in use from 0.85 to 0.90
  // (cassiaferry-emulate).
  micros lossy_poll_wait = Millis(20);
  micros lossy_call_timeout = Millis(25);
  // After the newest call without an answer.
  micros lossy_period = Millis(3000);
  // After this long without an answer of the worker nothing new is started
  // there.
  micros suspect_after = Millis(400);
  // A run is a straggler if, at the worker's pace, its remaining work takes
  // more than this multiple of its whole expected time: starting it again
  // elsewhere is then faster.
  double straggler_factor = 1.3;
  // Starting a shorter run again gains nothing.
  micros straggler_min_age = Millis(60);
  // Between two reports of the same straggler.
  micros straggler_report_interval = Millis(250);
  // How long offered resources are reserved: a round trip to the owner, and its
  // tick.
  micros grant_duration = Millis(3);
  // An owner that missed an offer is short of processor time or has found
  // resources elsewhere. The next offer to it is delayed by this, doubled with
  // each missed offer.
  micros min_offer_pause = Millis(25);
  micros max_offer_pause = Millis(400);
  // A worker may answer a poll at once while it lists ends that are not
  // acknowledged yet. Polls are then at least this far apart.
  micros min_poll_interval = Millis(15);
  // Ends whose owner is silent, or has not stored them for this long, are
  // reported to all entries, as their jobs may have another owner by now.
  // Storing takes 150 ms; a new owner starts nothing for one second after its
  // takeover.
  micros unclaimed_after = Millis(800);
  // Between two reports of unclaimed ends.
  micros unclaimed_report_interval = Millis(300);
  bool holds_unknown_ends = false;  // hold ends of runs that were not ordered
                                    // here, as they may be of durable jobs
  // A start for which no resources are free waits if runs on the worker are
  // expected to release enough within `max_start_wait`, and if waiting starts
  // need no more than `max_waiting_share` of the worker's cpu. The deadlines of
  // short tasks leave about 60 ms beside their work.
  micros max_start_wait = Millis(20);
  double max_waiting_share = 0.3;
  // After these the run is stopped and reported as not started.
  uint32_t max_start_attempts = 3;
  // Above those of all earlier sidecars of this worker.
  uint64_t first_fence = 1;
};

// ---- [2] Events -------------------------------------------------------------

// An announcement of the worker, sent about once a second.
struct leased_worker_announced {
  leased_worker_info info;
  uint64_t sequence = 0;  // increases with each announcement of a session
  bool draining = false;  // the worker accepts no new work
};
struct leased_worker_deregistered {
  worker_session session;
};
// What an earlier sidecar recorded of the worker: an assumption until that
// session answers a poll.
struct worker_record_read {
  leased_worker_info info;
};

enum class worker_answer : uint8_t {
  ok,
  stale_fence,    // the worker has seen a higher fence
  superseded,     // the run's number is not above that of an earlier run
  lease_expired,  // the start arrived after the end of its lease
  no_resources,
  unavailable,  // refused, without any effect
  bad_request,
  other_session,  // another session of the worker answered
  none,  // no answer: the call may be carried out, now or seconds later
};

struct run_start_answered {
  run_ref ref;
  worker_session session;  // the session that was called, here and below
  worker_answer answer = worker_answer::none;
};
struct run_stop_answered {
  run_ref ref;
  worker_session session;
  worker_answer answer = worker_answer::none;
};

struct listed_end {
  uint64_t number = 0;
  run_ref ref;
  run_end_kind kind = run_end_kind::done;
};
struct listed_run {
  run_ref ref;
  uint32_t percent = 0;  // of its work that is done
};
struct poll_answered {
  uint64_t number = 0;  // of the poll
  worker_session session;
  worker_answer answer = worker_answer::none;
  int64_t started_ms = 0;  // of the session that answered; 0: unknown
  int64_t clock_ms = 0;    // the worker's clock when it answered
  std::vector<listed_run> running;
  // With numbers above the poll's `acked_through`.
  std::vector<listed_end> ended;
};

using lease_manager_event = std::variant<leased_worker_announced,
                                         leased_worker_deregistered,
                                         worker_record_read,
                                         run_start_answered,
                                         run_stop_answered,
                                         poll_answered>;

// ---- [3] Actions ------------------------------------------------------------

struct call_run_start {
  worker_session session;
  run_start start;
  uint64_t fence = 0;
  int64_t lease_until_ms = 0;  // on the worker's clock
  int64_t timeout_ms = 0;
};
struct call_run_stop {
  worker_session session;
  run_ref ref;
  uint64_t fence = 0;
  int64_t timeout_ms = 0;
};
// A status poll: lists the runs in progress and those that have ended, and
// extends the lease.
struct call_poll {
  uint64_t number = 0;  // from 1, across all sessions
  worker_session session;
  uint64_t fence = 0;
  uint64_t acked_through = 0;  // the worker may forget ends up to this number
  int64_t lease_until_ms = 0;  // 0: the lease is not extended
  int64_t wait_ms = 0;
  int64_t timeout_ms = 0;
};

// A state change, for the log.
struct lease_manager_log {
  const char* what = "";
  std::string detail;
  log_class line_class = log_class::decision;
  bool sampled = false;  // of a routine line: its job is in the sample
  // The line would be dropped and was not made; it is only counted.
  bool omitted = false;
};

using lease_manager_action =
    std::variant<call_run_start, call_run_stop, call_poll, lease_manager_log>;

// ---- [4] State --------------------------------------------------------------

enum class run_state : uint8_t {
  waiting,    // for resources; the worker has not been called
  withdrawn,  // waits no longer, and will end as never started
  starting,
  running,
  stopping,
};

struct managed_run {
  run_start start;
  incarnation owner;
  run_state state = run_state::starting;
  bool confirmed = false;       // the worker has confirmed the start
  bool stop_confirmed = false;  // the worker has answered the stop
  micros stop_ordered_at{0};    // when the stop was ordered
  bool session_ended = false;   // ordered from an earlier session of the worker
  uint32_t start_attempts = 0;  // number of starts sent
  micros since{0};  // when the order arrived, or its wait for resources ended
  micros last_call_at{0};  // time of the newest call
  bool call_open = false;
  // Number of polls sent when it was confirmed or stopped.
  uint64_t polls_at_change = 0;
  uint32_t percent = 0;             // of its work, by the newest poll
  micros measured_at{0};            // time of that poll
  micros straggler_reported_at{0};  // when it was last reported as a straggler
};

// An end of a durable run. The worker keeps listing it until its owner has
// stored it.
struct held_end {
  run_end end;
  incarnation owner;  // 0: unknown
  micros since{0};
  bool claimed = false;  // is among its owner's unacknowledged ends
  // Acknowledged only once the lease has expired.
  bool awaits_lease_expiry = false;
};

// An end that is reported to its owner.
struct reported_end {
  run_end end;
  // The worker's number of the end if it is held, else 0.
  uint64_t worker_end_number = 0;
};

// State kept for one entry incarnation that owns runs here.
struct run_owner {
  micros owner_lease_until{0};
  uint64_t starts_seen = 0;    // starts received on this stream
  uint64_t resolved_seen = 0;  // resolved ends received on this stream
  micros unclaimed_reported_at{0};
  int64_t received_stamp = 0;      // stamp of its newest frame
  micros received_at{0};           // when that frame arrived
  int64_t wanted_cpu = 0;          // cpu that it waits for; 0: it doesn't wait
  bool follows_resources = false;  // it wants reports of changed free resources
  resources last_offer;      // newest offer to it; the same resources are not
                             // offered twice
  micros offer_pause{0};     // between offers to it, as it missed the last ones
  micros next_offer_at{0};   // no offer to it before
  resources reported_free;   // in the newest report
  double reported_pace = 1;  // in the newest report
  bool worker_reported = false;  // on this stream
  uint64_t next_end = 1;
  std::deque<reported_end> ends;  // unacknowledged
  size_t ends_reported = 0;       // number of `ends` reported on this stream
  bool report_pending = false;    // a report should be sent now
  std::vector<straggler> stragglers;  // not reported yet
  entry_demand demand;
};

struct lease_manager_state {
  lease_manager_options options;
  bool has_worker = false;  // a session is known and is called
  bool announced = false;   // that session has announced itself
  leased_worker_info worker;
  uint64_t sequence = 0;  // of the newest announcement of this session
  bool draining = false;
  bool stopping = false;  // this process is stopping: nothing new starts
  bool closed = false;    // the failure domain is closed: nothing new starts
  std::set<worker_session> past_sessions;  // known to be over
  uint64_t sessions_met = 0;
  // The record of the session that is called. It has neither answered with the
  // same start time nor announced itself.
  std::optional<leased_worker_info> record;
  uint64_t records_used = 0;
  uint64_t records_dropped = 0;
  // Another session that was announced. It replaces the current session once an
  // answer to a later poll shows that the current one is over, or once the
  // current one is silent and no lease of it can be left.
  std::optional<leased_worker_announced> successor;
  // Number of polls sent before it was announced.
  uint64_t polls_before_successor = 0;
  bool successor_poll_failed = false;  // a later poll got no answer
  bool deregistered = false;           // the current session has deregistered
  bool reconciled = false;             // every run on the worker is known here
  micros session_since{0};
  uint64_t fence = 1;
  uint64_t fence_step = 1 << 20;
  uint64_t seen = 0;  // ends up to this number have been handled
  // Handled, must not be acknowledged yet.
  std::map<uint64_t, held_end> held_ends;
  // The lease is not extended before this; 0: not held back.
  micros expiry_pending_until{0};
  bool has_clock = false;
  int64_t clock_ms = 0;     // the worker's clock in its newest answer
  micros clock_at{0};       // when that answer arrived
  micros leases_end_at{0};  // no lease granted so far ends after this
  // End of the newest lease granted in this session, on the worker's clock; 0:
  // none was.
  int64_t granted_lease_ms = 0;
  micros last_answer{0};
  micros last_unanswered_at{0};  // newest call without an answer; 0: none
  uint64_t calls_unanswered = 0;
  uint64_t starts_waited = 0;        // for resources
  uint64_t starts_wait_expired = 0;  // starts that were refused after waiting
  uint64_t runs_ended[kRunEndKinds] = {};
  uint64_t polls_sent = 0;
  uint64_t open_poll = 0;  // number of the open poll; 0: none is open
  // The newest poll that ended was not answered with ok.
  bool last_poll_failed = false;
  micros poll_sent_at{0};
  std::map<leased_task, managed_run> runs;
  // Runs on the worker that were not ordered here, and when their stop was last
  // sent.
  std::map<run_ref, micros> orphan_runs;
  resources used;                          // including waiting starts
  std::deque<leased_task> waiting_starts;  // for resources, in order of arrival
  resources waiting_resources;             // that these starts need
  std::map<incarnation, run_owner> owners;
  double pace = 1;  // work done relative to expected work, decaying average
  // Expected work done in the current sample, milliseconds.
  double pace_work = 0;
  micros pace_time{0};  // run time of the current sample
  double reported_pace = 1;
  micros pace_at{0};           // when it was last updated
  bool was_accepting = false;  // for the log
  // Whether routine lines of jobs outside the sample are logged now; set by the
  // process before each tick.
  bool logs_routine = true;
  // While several owners wait for resources, the free resources are reserved
  // for one of them at a time.
  incarnation grantee;
  micros granted_until{0};
  // The newest offer is neither answered nor missed.
  bool grant_pending = false;
  std::vector<lease_manager_action> actions;
};

// ---- [5] Calls --------------------------------------------------------------

lease_manager_state MakeLeaseManager(lease_manager_options options);
void HandleLeaseManagerEvent(lease_manager_state& m,
                             micros now,
                             lease_manager_event event);
void HandleLeaseOrders(lease_manager_state& m,
                       micros now,
                       incarnation owner,
                       lease_orders orders);
void TickLeaseManager(lease_manager_state& m, micros now);

bool AcceptsLeasedWork(const lease_manager_state& m, micros now);
// Sets whether the failure domain is closed for new work. Runs in progress
// continue.
void SetClosed(lease_manager_state& m, bool closed);
// Resources that no run uses and no waiting start needs; negative while starts
// wait.
resources FreeResources(const lease_manager_state& m);
// Resources that one owner may use now.
resources FreeResourcesFor(const lease_manager_state& m,
                           micros now,
                           incarnation owner);

std::string LeaseManagerPrometheusText(const lease_manager_state& m,
                                       micros now);

// Whether runs of this owner are in progress here.
bool HasRuns(const lease_manager_state& m, incarnation owner);
// Whether the state has changed since the last report to this owner by enough
// to send it a new one.
bool HasUnreportedChange(const lease_manager_state& m, incarnation owner);

// The report for one owner, with everything not yet reported on this stream.
lease_reports ReportFor(lease_manager_state& m, micros now, incarnation owner);
void ForgetOwner(lease_manager_state& m,
                 incarnation owner);  // after its shutdown notice

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASE_MANAGER_H_
