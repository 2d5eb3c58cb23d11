// Decisions of a sidecar about the leased runs on its worker: which may start,
// whose lease is extended, what is stopped, and what is told to owners.
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

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct lease_manager_options {
  lease_bounds bounds;
  micros poll_wait = Millis(150);    // a look waits so long for an end; well
                                     // under half a lease
  micros call_timeout = Millis(60);  // an order without an answer by then is
                                     // sent again; 200 times a local round trip
  // While some calls get no answer, looks and time-outs are short. A look that
  // is lost leaves ends unseen, and a lost start leaves its room unused, until
  // it times out: with 6% of orders lost at full load, 25 instead of 60 ms
  // raises the share of room in use from 0.85 to 0.90 (cassiaferry-emulate).
  micros lossy_poll_wait = Millis(20);
  micros lossy_call_timeout = Millis(25);
  micros lossy_period =
      Millis(3000);  // since the newest call without an answer
  micros suspect_after = Millis(400);  // no answer of the worker for this long:
                                       // nothing new goes there
  // A run is a straggler if what is left of it takes more than this many times
  // what all of it should, at the worker's pace: moving it then gains.
  double straggler_factor = 1.3;
  micros straggler_min_age = Millis(60);  // shorter runs are not worth a move
  micros straggler_report_interval = Millis(250);  // between two reports of one
  micros grant_duration =
      Millis(3);  // room is kept so long for the owner it is offered
                  // to: a round trip to it and back, and its tick
  // An owner that let an offer pass is short of processor time, or has found
  // room elsewhere: the next one waits so long, twice as long with each.
  micros min_offer_pause = Millis(25);
  micros max_offer_pause = Millis(400);
  // The worker may answer a look at once while ends are listed that it has been
  // told nothing of: looks are then at least this far apart.
  micros min_poll_interval = Millis(15);
  // Ends of owners that are silent, or have not stored them for this long, are
  // told to all entries: their jobs may have another owner by now. Storing
  // takes 150 ms; a new owner starts nothing for a second after it took over.
  micros unclaimed_after = Millis(800);
  micros unclaimed_report_interval = Millis(300);  // between two tellings
  bool holds_unknown_ends = false;  // there are durable jobs: an end that
                                    // nobody here ordered may be of one
  // A start that finds no room waits for it, if runs there should leave some
  // within so long, and no more than this share of the worker's room waits
  // already. Short tasks have about 60 ms beside their work.
  micros max_start_wait = Millis(20);
  double max_waiting_share = 0.3;
  uint32_t max_start_attempts =
      3;                     // then the run is stopped, and reported unstarted
  uint64_t first_fence = 1;  // above every earlier sidecar's of this worker
};

// ---- [2] Events -------------------------------------------------------------

// What the worker says of itself, every second or so.
struct leased_worker_announced {
  leased_worker_info info;
  uint64_t sequence = 0;  // grows with each announcement of a life
  bool draining = false;  // takes no new work
};
struct leased_worker_deregistered {
  worker_session session;
};

enum class worker_answer : uint8_t {
  ok,
  stale_fence,    // a higher fence has been seen
  superseded,     // the run is not above an earlier one
  lease_expired,  // its lease had passed when it arrived
  no_resources,
  unavailable,  // refused, nothing done
  bad_request,
  other_session,  // another life of the worker answered
  none,           // no answer: may be carried out, now or seconds later
};

struct run_start_answered {
  run_ref ref;
  worker_session session;  // that was called, here and below
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
  uint32_t percent = 0;  // of its work, done
};
struct poll_answered {
  uint64_t number = 0;  // of the look
  worker_session session;
  worker_answer answer = worker_answer::none;
  int64_t started_ms = 0;  // of the life that answered; 0: it didn't tell
  int64_t clock_ms = 0;    // the worker's clock when it answered
  std::vector<listed_run> running;
  std::vector<listed_end> ended;  // numbers above the look's `seen`
};

using lease_manager_event = std::variant<leased_worker_announced,
                                         leased_worker_deregistered,
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
// Asks what runs and what has ended, and extends the lease.
struct call_poll {
  uint64_t number = 0;  // from 1, over all lives
  worker_session session;
  uint64_t fence = 0;
  uint64_t acked_through = 0;  // ends up to this number are forgotten
  int64_t lease_until_ms = 0;  // 0: the lease is not extended
  int64_t wait_ms = 0;
  int64_t timeout_ms = 0;
};

// A belief that changed, for the log.
struct lease_manager_log {
  const char* what = "";
  std::string detail;
};

using lease_manager_action =
    std::variant<call_run_start, call_run_stop, call_poll, lease_manager_log>;

// ---- [4] State --------------------------------------------------------------

enum class run_state : uint8_t {
  waiting,    // for room: the worker has not been called
  withdrawn,  // it waits no longer, and ends as never started
  starting,
  running,
  stopping,
};

struct managed_run {
  run_start start;
  incarnation owner;
  run_state state = run_state::starting;
  bool confirmed = false;       // the worker has said that it is there
  bool stop_confirmed = false;  // the worker has answered the stop
  micros stop_ordered_at{0};    // it was ordered
  bool session_ended = false;   // ordered of an earlier life of the worker
  uint32_t start_attempts = 0;  // starts sent
  micros since{0};              // the order came, or its wait for room was over
  micros last_call_at{0};       // newest call
  bool call_open = false;
  uint64_t polls_at_change = 0;  // looks sent when it was confirmed or stopped
  uint32_t percent = 0;          // of its work, by the newest look
  micros measured_at{0};         // that look
  micros straggler_reported_at{0};  // its owner was told that it takes long
};

// An end of a durable run: the worker lists it until its owner has stored it.
struct held_end {
  run_end end;
  incarnation owner;  // 0: none known
  micros since{0};
  bool claimed = false;  // stands in its owner's ends
  bool awaits_lease_expiry =
      false;  // acknowledged only once the lease has lapsed
};

// An end as its owner is told of it.
struct reported_end {
  run_end end;
  uint64_t worker_end_number = 0;  // the worker's number of it, if held; else 0
};

// What is kept of one entry incarnation.
struct run_owner {
  micros owner_lease_until{0};
  uint64_t starts_seen = 0;    // of this stream
  uint64_t resolved_seen = 0;  // of this stream
  micros unclaimed_reported_at{0};
  int64_t received_stamp = 0;      // stamp of its newest frame ...
  micros received_at{0};           // ... and when that came
  int64_t wanted_cpu = 0;          // room that it waits for; 0: it doesn't
  bool follows_resources = false;  // it is told of changes of the room here
  resources
      last_offer;  // newest offer to it; the same room is not offered twice
  micros offer_pause{0};         // since offers to it came to nothing
  micros next_offer_at{0};       // until then it gets none
  resources reported_free;       // with the newest report
  double reported_pace = 1;      // ... too
  bool worker_reported = false;  // on this stream
  uint64_t next_end = 1;
  std::deque<reported_end> ends;      // unacknowledged
  size_t ends_reported = 0;           // of `ends`, on this stream
  bool report_pending = false;        // a report should go out now
  std::vector<straggler> stragglers;  // not yet told
};

struct lease_manager_state {
  lease_manager_options options;
  bool has_worker = false;  // a life of it is known, and called
  bool announced = false;   // that life has said what it is
  leased_worker_info worker;
  uint64_t sequence = 0;  // newest announcement of this life
  bool draining = false;
  bool stopping = false;  // this process stops: nothing new starts
  bool closed = false;    // so does nothing in its failure domain
  std::set<worker_session> past_sessions;  // proven over
  uint64_t sessions_met = 0;
  // Another life was announced. It is called once the one called now is over,
  // by the answer to a look sent since, or once it is silent with no lease
  // left.
  std::optional<leased_worker_announced> successor;
  uint64_t polls_before_successor = 0;  // looks sent before it was announced
  bool successor_poll_failed = false;   // a later one got no answer
  bool deregistered = false;            // the life called has said goodbye
  bool reconciled = false;  // nothing runs there that this process doesn't know
  micros session_since{0};
  uint64_t fence = 1;
  uint64_t fence_step = 1 << 20;
  uint64_t seen = 0;                       // ends up to this number are taken
  std::map<uint64_t, held_end> held_ends;  // taken, not to be acknowledged yet
  micros expiry_pending_until{0};  // no lease is extended before; 0: leases are
  bool has_clock = false;
  int64_t clock_ms = 0;     // the worker's clock ...
  micros clock_at{0};       // ... at or before this moment
  micros leases_end_at{0};  // no lease granted yet outlasts this
  micros last_answer{0};
  micros last_unanswered_at{0};  // newest call without an answer; 0: none yet
  uint64_t calls_unanswered = 0;
  uint64_t starts_waited = 0;        // for room ...
  uint64_t starts_wait_expired = 0;  // ... and were refused then
  uint64_t runs_ended[kRunEndKinds] = {};
  uint64_t polls_sent = 0;
  uint64_t open_poll = 0;         // number of the look under way; 0: none
  bool last_poll_failed = false;  // the newest one that ended has told nothing
  micros poll_sent_at{0};
  std::map<leased_task, managed_run> runs;
  std::map<run_ref, micros> orphan_runs;  // runs there that nobody here ordered
  resources used;                         // with what waits for room
  std::deque<leased_task> waiting_starts;  // for room, as they came
  resources waiting_resources;             // that these need
  std::map<incarnation, run_owner> owners;
  double pace = 1;       // work done against expected, decayed
  double pace_work = 0;  // milliseconds of expected work done in the sample ...
  micros pace_time{0};   // ... and the run time that it took
  double reported_pace = 1;
  micros pace_at{0};           // when it was last measured
  bool was_accepting = false;  // for the log
  // While several owners wait for room, what is free is kept for one at a time.
  incarnation grantee;
  micros granted_until{0};
  bool grant_pending = false;  // the newest offer is neither taken nor missed
  std::vector<lease_manager_action> actions;
};

// ---- [5] Calls --------------------------------------------------------------

lease_manager_state MakeLeaseManager(lease_manager_options options);
void HandleLeaseManagerEvent(lease_manager_state& k,
                             micros now,
                             lease_manager_event event);
void HandleLeaseOrders(lease_manager_state& k,
                       micros now,
                       incarnation owner,
                       lease_orders orders);
void TickLeaseManager(lease_manager_state& k, micros now);

bool AcceptsLeasedWork(const lease_manager_state& k, micros now);
// Whether the failure domain is closed for new work. What runs goes on.
void SetClosed(lease_manager_state& k, bool closed);
// What no run has, and none waits for: below 0 while some wait.
resources FreeResources(const lease_manager_state& k);
// What one owner may use now.
resources FreeResourcesFor(const lease_manager_state& k,
                           micros now,
                           incarnation owner);

std::string LeaseManagerPrometheusText(const lease_manager_state& k,
                                       micros now);

// Runs of this owner go on here.
bool HasRuns(const lease_manager_state& k, incarnation owner);
// What this owner was told last is not so any more, by enough to matter to it.
bool HasUnreportedChange(const lease_manager_state& k, incarnation owner);

// The report for one owner, with what it has not been told on this stream.
lease_reports ReportFor(lease_manager_state& k, micros now, incarnation owner);
void ForgetOwner(lease_manager_state& k, incarnation owner);  // it said goodbye

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASE_MANAGER_H_
