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

#ifndef CASSIAFERRY_LEASE_KEEPER_H_
#define CASSIAFERRY_LEASE_KEEPER_H_

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

struct keeper_options {
  lease_bounds bounds;
  micros look_wait = Millis(150);    // a look waits so long for an end; well
                                     // under half a lease
  micros call_timeout = Millis(60);  // an order without an answer by then is
                                     // sent again; 200 times a local round trip
  // While some calls get no answer, looks and time-outs are short. A look that
  // is lost leaves ends unseen, and a lost start leaves its room unused, until
  // it times out: with 6% of orders lost at full load, 25 instead of 60 ms
  // raises the share of room in use from 0.85 to 0.90 (cassiaferry-emulate).
  micros lossy_look_wait = Millis(20);
  micros lossy_call_timeout = Millis(25);
  micros lossy_for = Millis(3000);  // since the newest call without an answer
  micros suspect_after = Millis(400);  // no answer of the worker for this long:
                                       // nothing new goes there
  // A run is a straggler if what is left of it takes more than this many times
  // what all of it should, at the worker's pace: moving it then gains.
  double straggler_times = 1.3;
  micros straggler_least = Millis(60);   // shorter runs are not worth a move
  micros straggler_again = Millis(250);  // between two reports of one
  micros grant = Millis(3);  // room is kept so long for the owner it is offered
                             // to: a round trip to it and back, and its tick
  // An owner that let an offer pass is short of processor time, or has found
  // room elsewhere: the next one waits so long, twice as long with each.
  micros least_offer_pause = Millis(25);
  micros most_offer_pause = Millis(400);
  // The worker may answer a look at once while ends are listed that it has been
  // told nothing of: looks are then at least this far apart.
  micros look_gap = Millis(15);
  // Ends of owners that are silent, or have not stored them for this long, are
  // told to all entries: their jobs may have another owner by now. Storing
  // takes 150 ms; a new owner starts nothing for a second after it took over.
  micros unclaimed_after = Millis(800);
  micros tell_unclaimed = Millis(300);  // between two tellings
  bool keeps_ends = false;  // there are durable jobs: an end that nobody here
                            // ordered may be of one
  // A start that finds no room waits for it, if runs there should leave some
  // within so long, and no more than this share of the worker's room waits
  // already. Short tasks have about 60 ms beside their work.
  micros start_wait = Millis(20);
  double start_wait_share = 0.3;
  uint32_t start_tries = 3;  // then the run is stopped, and reported unstarted
  uint64_t first_fence = 1;  // above every earlier sidecar's of this worker
};

// ---- [2] Events -------------------------------------------------------------

// What the worker says of itself, every second or so.
struct leased_worker_announced {
  leased_worker_info info;
  uint64_t sequence = 0;  // grows with each announcement of a life
  bool draining = false;  // takes no new work
};
struct leased_worker_left {
  worker_life life;
};

enum class worker_answer : uint8_t {
  ok,
  stale_fence,  // a higher fence has been seen
  superseded,   // the run is not above an earlier one
  late,         // its lease had passed when it arrived
  no_room,
  unavailable,  // refused, nothing done
  bad_request,
  other_life,  // another life of the worker answered
  none,        // no answer: may be carried out, now or seconds later
};

struct run_start_answered {
  run_ref ref;
  worker_life life;  // that was called, here and below
  worker_answer answer = worker_answer::none;
};
struct run_stop_answered {
  run_ref ref;
  worker_life life;
  worker_answer answer = worker_answer::none;
};

struct listed_end {
  uint64_t number = 0;
  run_ref ref;
  run_end_kind how = run_end_kind::done;
};
struct listed_run {
  run_ref ref;
  uint32_t percent = 0;  // of its work, done
};
struct look_answered {
  uint64_t number = 0;  // of the look
  worker_life life;
  worker_answer answer = worker_answer::none;
  int64_t started_ms = 0;  // of the life that answered; 0: it didn't tell
  int64_t clock_ms = 0;    // the worker's clock when it answered
  std::vector<listed_run> running;
  std::vector<listed_end> ended;  // numbers above the look's `seen`
};

using keeper_event = std::variant<leased_worker_announced,
                                  leased_worker_left,
                                  run_start_answered,
                                  run_stop_answered,
                                  look_answered>;

// ---- [3] Actions ------------------------------------------------------------

struct call_run_start {
  worker_life life;
  run_start start;
  uint64_t fence = 0;
  int64_t lease_until_ms = 0;  // on the worker's clock
  int64_t timeout_ms = 0;
};
struct call_run_stop {
  worker_life life;
  run_ref ref;
  uint64_t fence = 0;
  int64_t timeout_ms = 0;
};
// Asks what runs and what has ended, and extends the lease.
struct call_look {
  uint64_t number = 0;  // from 1, over all lives
  worker_life life;
  uint64_t fence = 0;
  uint64_t seen = 0;           // ends up to this number are forgotten
  int64_t lease_until_ms = 0;  // 0: the lease is not extended
  int64_t wait_ms = 0;
  int64_t timeout_ms = 0;
};

// A belief that changed, for the log.
struct keeper_note {
  const char* what = "";
  std::string detail;
};

using keeper_action =
    std::variant<call_run_start, call_run_stop, call_look, keeper_note>;

// ---- [4] State --------------------------------------------------------------

enum class run_state : uint8_t {
  waiting,    // for room: the worker has not been called
  withdrawn,  // it waits no longer, and ends as never started
  starting,
  running,
  stopping,
};

struct kept_run {
  run_start start;
  incarnation owner;
  run_state state = run_state::starting;
  bool confirmed = false;  // the worker has said that it is there
  bool stop_done = false;  // the worker has answered the stop
  micros stop_since{0};    // it was ordered
  bool life_over = false;  // ordered of an earlier life of the worker
  uint32_t tries = 0;      // starts sent
  micros since{0};         // the order came, or its wait for room was over
  micros called{0};        // newest call
  bool call_open = false;
  uint64_t looks_at_change = 0;  // looks sent when it was confirmed or stopped
  uint32_t percent = 0;          // of its work, by the newest look
  micros measured_at{0};         // that look
  micros told_straggling{0};     // its owner was told that it takes long
};

// An end of a durable run: the worker lists it until its owner has stored it.
struct held_end {
  run_end end;
  incarnation owner;  // 0: none known
  micros since{0};
  bool claimed = false;  // stands in its owner's ends
  bool lapse = false;    // acknowledged only once the lease has lapsed
};

// An end as its owner is told of it.
struct told_end {
  run_end end;
  uint64_t listed = 0;  // the worker's number of it, if held; else 0
};

// What is kept of one entry incarnation.
struct run_owner {
  micros vouched_until{0};
  uint64_t starts_seen = 0;   // of this stream
  uint64_t settled_seen = 0;  // of this stream
  micros unclaimed_told{0};
  int64_t heard_sent = 0;  // stamp of its newest frame ...
  micros heard_at{0};      // ... and when that came
  int64_t wanted_cpu = 0;  // room that it waits for; 0: it doesn't
  bool follows = false;    // it is told of changes of the room here
  room offered;  // newest offer to it; the same room is not offered twice
  micros offer_pause{0};     // since offers to it came to nothing
  micros offer_after{0};     // until then it gets none
  room told_free;            // with the newest report
  double told_pace = 1;      // ... too
  bool worker_told = false;  // on this stream
  uint64_t next_end = 1;
  std::deque<told_end> ends;          // unacknowledged
  size_t ends_told = 0;               // of `ends`, on this stream
  bool due = false;                   // a report should go out now
  std::vector<straggler> stragglers;  // not yet told
};

struct keeper_state {
  keeper_options options;
  bool has_worker = false;  // a life of it is known, and called
  bool announced = false;   // that life has said what it is
  leased_worker_info worker;
  uint64_t sequence = 0;  // newest announcement of this life
  bool draining = false;
  bool stopping = false;             // this process stops: nothing new starts
  bool closed = false;               // so does nothing in its failure domain
  std::set<worker_life> past_lives;  // proven over
  uint64_t lives_met = 0;
  // Another life was announced. It is called once the one called now is over,
  // by the answer to a look sent since, or once it is silent with no lease
  // left.
  std::optional<leased_worker_announced> successor;
  uint64_t asked_after = 0;    // looks sent before it was announced
  bool asked_in_vain = false;  // a later one got no answer
  bool left = false;           // the life called has said goodbye
  bool opened = false;  // nothing runs there that this process doesn't know
  micros life_since{0};
  uint64_t fence = 1;
  uint64_t fence_step = 1 << 20;
  uint64_t seen = 0;                  // ends up to this number are taken
  std::map<uint64_t, held_end> held;  // taken, not to be acknowledged yet
  micros lapsing_until{0};  // no lease is extended before; 0: leases are
  bool has_clock = false;
  int64_t clock_ms = 0;  // the worker's clock ...
  micros clock_at{0};    // ... at or before this moment
  micros lease_over{0};  // no lease granted yet outlasts this
  micros last_answer{0};
  micros last_loss{0};  // newest call without an answer; 0: none yet
  uint64_t calls_unanswered = 0;
  uint64_t starts_waited = 0;          // for room ...
  uint64_t starts_waited_in_vain = 0;  // ... and were refused then
  uint64_t runs_ended[kRunEndKinds] = {};
  uint64_t looks_sent = 0;
  uint64_t looks_open = 0;   // number of the look under way; 0: none
  bool look_failed = false;  // the newest one that ended has told nothing
  micros look_called{0};
  std::map<leased_task, kept_run> runs;
  std::map<run_ref, micros> strays;  // runs there that nobody here ordered
  room used;                         // with what waits for room
  std::deque<leased_task> waiting;   // for room, as they came
  room waiting_room;                 // that these need
  std::map<incarnation, run_owner> owners;
  double pace = 1;       // work done against expected, decayed
  double pace_work = 0;  // milliseconds of expected work done in the sample ...
  micros pace_time{0};   // ... and the run time that it took
  double pace_told = 1;
  micros pace_at{0};        // when it was last measured
  bool was_taking = false;  // for the log
  // While several owners wait for room, what is free is kept for one at a time.
  incarnation grantee;
  micros granted_until{0};
  bool grant_open = false;  // the newest offer is neither taken nor missed
  std::vector<keeper_action> actions;
};

// ---- [5] Calls --------------------------------------------------------------

keeper_state MakeKeeper(keeper_options options);
void TakeKeeperEvent(keeper_state& k, micros now, keeper_event event);
void TakeOrders(keeper_state& k,
                micros now,
                incarnation owner,
                lease_orders orders);
void TickKeeper(keeper_state& k, micros now);

bool TakesLeasedWork(const keeper_state& k, micros now);
// Whether the failure domain is closed for new work. What runs goes on.
void SetClosed(keeper_state& k, bool closed);
// What no run has, and none waits for: below 0 while some wait.
room FreeRoom(const keeper_state& k);
// What one owner may use now.
room FreeFor(const keeper_state& k, micros now, incarnation owner);

std::string KeeperPrometheusText(const keeper_state& k, micros now);

// Runs of this owner go on here.
bool HasRuns(const keeper_state& k, incarnation owner);
// What this owner was told last is not so any more, by enough to matter to it.
bool HasNews(const keeper_state& k, incarnation owner);

// The report for one owner, with what it has not been told on this stream.
lease_reports ReportFor(keeper_state& k, micros now, incarnation owner);
void ForgetOwner(keeper_state& k, incarnation owner);  // it said goodbye

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LEASE_KEEPER_H_
