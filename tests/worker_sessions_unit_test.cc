// Sessions of one worker that starts again, under a new id or the same one.
//
// Contents
//   [1] Fixture
//   [2] Restarts under the same id
//   [3] The lease manager's view of sessions
//   [4] Seeded runs

#include <algorithm>
#include <catch2/catch.hpp>

#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// Workers that keep their ids when they start again, and that have run tasks.
struct workers_keep_ids {
  static world_options Options() {
    world_options options;
    options.workers_keep_ids = true;
    return options;
  }
  workers_keep_ids() : w(Options()) {
    w.Pass(Millis(1500));
    for (int i = 0; i < 3; ++i) {
      SubmitMany(20);
      w.Pass(Millis(700));
    }
    REQUIRE(w.Count(job_fate::completed) == 60);
  }

  void SubmitMany(int count) {
    for (int i = 0; i < count; ++i)
      w.Submit(MakeJob("job-" + std::to_string(next++), kTasks, 500, 50));
  }

  void RestartAll(micros downtime) {
    for (int i = 0; i < w.options.workers; ++i)
      w.CrashWorker(i, downtime);
    w.Pass(downtime + Millis(2000));
  }

  uint64_t Starts() const {
    uint64_t starts = 0;
    for (const emulated_worker& worker : w.workers)
      starts += worker.starts;
    return starts;
  }

  void RequireNoViolation() const { RequireNoneBroken(w.violations); }

  static constexpr uint32_t kTasks = 4;
  world w;
  int next = 0;
};

// ---- [2] Restarts under the same id -----------------------------------------

// Guards against answers that are seconds late, or missing, long after workers
// have restarted: a worker that has run tasks starts again under its id and
// numbers its ends from 1 again. If the sidecar applies the numbers of the
// previous session to the new one, it takes the ends for known ones, counts
// done runs as lost, and each task runs once more, there or elsewhere.
TEST_CASE_METHOD(workers_keep_ids,
                 "worker_restarted_under_its_id_done_tasks_run_once") {
  RestartAll(Millis(600));
  const uint64_t before = Starts();
  SubmitMany(20);
  w.Pass(Millis(3000));
  REQUIRE(w.Count(job_fate::completed) == 80);
  REQUIRE(Starts() - before == 20 * kTasks);
  RequireNoViolation();
}

// Guards against a request that fails with a worker that had announced that it
// drains: the worker starts again under its id, numbers its announcements from
// 1 again, and announces that it drains. If the sidecar applies the numbers of
// the previous session, it ignores that announcement as an old one, and still
// starts tasks there two seconds later.
TEST_CASE_METHOD(workers_keep_ids,
                 "worker_restarted_under_its_id_draining_gets_no_starts") {
  RestartAll(Millis(600));
  w.DrainWorker(0);
  w.Pass(Millis(1100));
  const uint64_t before = w.workers[0].starts;
  for (int i = 0; i < 40; ++i) {
    SubmitMany(2);
    w.Pass(Millis(100));
  }
  REQUIRE(w.workers[0].starts == before);
  RequireNoViolation();
}

// ---- [3] The lease manager's view of sessions -------------------------------

// A lease manager whose worker has listed twelve ends and runs one more task.
struct manager_of_a_restarting_worker {
  manager_of_a_restarting_worker()
      : k(MakeLeaseManager(lease_manager_options{})) {
    Announce(first_session, 9);
    Answer(first_session, {});
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({the_run, {1000, 10, 0}, 100, "", true});
    HandleLeaseOrders(k, now, kOwner, orders);
    HandleLeaseManagerEvent(
        k, now, run_start_answered{the_run, first_session, worker_answer::ok});
    poll_answered poll = PollAnswer(first_session, {the_run});
    poll.ended.push_back({12, {{"earlier", 0, 0, 0}, 1}, run_end_kind::done});
    HandleLeaseManagerEvent(k, now, poll);
    Tick();
    REQUIRE(k.seen == 12);
    REQUIRE(AcceptsLeasedWork(k, now));
    k.actions.clear();
  }

  void Announce(const worker_session& session,
                uint64_t number,
                bool draining = false) {
    leased_worker_announced e;
    e.info.session = session;
    e.info.capacity = {16'000, 1000, 0};
    e.sequence = number;
    e.draining = draining;
    HandleLeaseManagerEvent(k, now, e);
    Tick();
  }

  // An answer of `session` to a call to the current session.
  poll_answered PollAnswer(const worker_session& session,
                           const std::vector<run_ref>& running) const {
    poll_answered e;
    e.number = k.open_poll;
    e.session = k.worker.session;
    e.answer = worker_answer::ok;
    e.started_ms = session.started_ms;
    e.clock_ms = ToMillis(now);
    for (const run_ref& ref : running)
      e.running.push_back({ref, 50});
    return e;
  }

  void Answer(const worker_session& session,
              const std::vector<run_ref>& running) {
    HandleLeaseManagerEvent(k, now, PollAnswer(session, running));
    Tick();
  }

  void AnswerStop() {
    HandleLeaseManagerEvent(
        k, now,
        run_stop_answered{the_run, k.worker.session, worker_answer::ok});
    Tick();
  }

  void Tick(micros time = micros{0}) {
    now = now + time;
    lease_orders orders;  // renews the owner lease
    orders.echo = now.value;
    HandleLeaseOrders(k, now, kOwner, orders);
    TickLeaseManager(k, now);
  }

  std::vector<run_end> ReportedEnds() { return ReportFor(k, now, kOwner).ends; }

  template <typename Call>
  std::vector<Call> Calls() const {
    std::vector<Call> calls;
    for (const lease_manager_action& a : k.actions) {
      if (const auto* call = std::get_if<Call>(&a))
        calls.push_back(*call);
    }
    return calls;
  }

  static constexpr incarnation kOwner{7};
  const worker_session first_session{"worker", 1'000'000};
  const worker_session restarted_session{"worker", 1'005'000};
  const run_ref the_run{{"job", 0, 0, 0}, 1};
  micros now = Millis(1000);
  lease_manager_state k;
};

// Guards against two concurrent runs of a task: a worker starts again under its
// id, unnoticed; the new session carries out a start; then its announcement
// arrives. If the run counted as lost with the previous session, its task would
// start elsewhere at once.
TEST_CASE_METHOD(
    manager_of_a_restarting_worker,
    "worker_restarted_runs_are_stopped_before_they_count_as_lost") {
  Announce(restarted_session, 1);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  REQUIRE(Calls<call_run_stop>()[0].session == restarted_session);
  REQUIRE(Calls<call_run_stop>()[0].ref == the_run);
  Answer(restarted_session, {the_run});
  REQUIRE(ReportedEnds().empty());
  AnswerStop();
  Answer(restarted_session, {the_run});  // sent before the stop was answered
  REQUIRE(ReportedEnds().empty());
  Answer(restarted_session, {});
  const std::vector<run_end> reported = ReportedEnds();
  REQUIRE(reported.size() == 1);
  REQUIRE(reported[0].kind == run_end_kind::lost);
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Guards against two concurrent runs of a task: the previous session answered
// the stop of a run, and the delayed start reaches the new session.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_restarted_run_being_stopped_is_stopped_again") {
  lease_orders orders;
  orders.echo = now.value;
  orders.stops.push_back(the_run);
  HandleLeaseOrders(k, now, kOwner, orders);
  AnswerStop();
  k.actions.clear();
  Announce(restarted_session, 1);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  Answer(restarted_session, {});
  REQUIRE(ReportedEnds().empty());
}

// Guards against a late answer to a poll that was sent before a run began and
// doesn't list it: the run would count as over while it is in progress.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "poll_given_up_answered_late_ends_no_run_that_began_since") {
  const poll_answered late_answer = PollAnswer(first_session, {});
  Announce(restarted_session, 1);
  Answer(first_session, {the_run});  // it was not a new session
  Answer(first_session, {the_run});
  AnswerStop();
  Answer(first_session, {the_run});
  HandleLeaseManagerEvent(k, now, late_answer);
  REQUIRE(ReportedEnds().empty());
  Answer(first_session, {});
  REQUIRE(ReportedEnds().size() == 1);
}

// Guards against two concurrent runs of a task, and against an overloaded
// worker: calls to the previous session are still in transit when the new one
// starts. The fence of the first call to the new session makes it refuse them.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_restarted_fence_is_above_earlier_ones") {
  const uint64_t before = k.fence;
  Announce(restarted_session, 1);
  REQUIRE(Calls<call_run_stop>()[0].fence > before);
  REQUIRE(Calls<call_poll>().back().fence > before);
  REQUIRE(Calls<call_poll>().back().session == restarted_session);
}

// Guards against a task that is done and runs again: a poll gets no answer, as
// the worker is gone, and the next one is the first that the new session
// receives. It must not acknowledge ends by the numbers of the previous one.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "poll_unanswered_next_one_acknowledges_nothing") {
  poll_answered none = PollAnswer(first_session, {});
  none.answer = worker_answer::none;
  HandleLeaseManagerEvent(k, now, none);
  k.actions.clear();
  Tick(Millis(100));
  REQUIRE(Calls<call_poll>().size() == 1);
  REQUIRE(Calls<call_poll>()[0].acked_through == 0);
  Answer(first_session, {the_run});
  REQUIRE(Calls<call_poll>().back().acked_through == 12);
}

// Guards against an overloaded worker: it starts again under its id with less
// capacity, and answers a poll before it announces itself. Until it does,
// nothing starts there; runs ordered before are stopped.
TEST_CASE_METHOD(
    manager_of_a_restarting_worker,
    "worker_restarted_known_by_its_answer_waits_for_announcement") {
  Answer(restarted_session, {});
  REQUIRE(k.worker.session == restarted_session);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  AnswerStop();
  Answer(restarted_session, {});
  Answer(restarted_session, {});
  REQUIRE(ReportedEnds().size() == 1);
  REQUIRE_FALSE(AcceptsLeasedWork(k, now));
  REQUIRE_FALSE(ReportFor(k, now, kOwner).worker.has_value());
  Announce(restarted_session, 1);
  REQUIRE(AcceptsLeasedWork(k, now));
  REQUIRE(ReportFor(k, now, kOwner).worker.has_value());
}

// Guards against requests that are sent to a worker that drains: a delayed
// announcement of the previous session, with a higher number, arrives after the
// new session has announced itself, and that it drains.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_an_earlier_start_is_ignored") {
  Announce(restarted_session, 1);
  Announce(restarted_session, 2, true);
  Announce(first_session, 10);
  REQUIRE(k.worker.session == restarted_session);
  REQUIRE(k.draining);
}

// The sidecar has just started and knows only the worker's newest session; a
// delayed announcement of an earlier one, under another id, arrives.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_an_unknown_earlier_session_is_ignored") {
  Announce({"earlier", first_session.started_ms - 1}, 40);
  REQUIRE(k.worker.session == first_session);
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Guards against a restarted worker that never gets work again: it deregistered
// and starts again under its id.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_deregistered_and_restarted_accepts_work") {
  HandleLeaseManagerEvent(k, now, leased_worker_deregistered{first_session});
  REQUIRE_FALSE(AcceptsLeasedWork(k, now));
  Announce(restarted_session, 1);
  Answer(restarted_session, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// A delayed deregistration of the previous session arrives.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "deregistration_of_an_earlier_start_ends_nothing") {
  Announce(restarted_session, 1);
  Answer(restarted_session, {the_run});
  HandleLeaseManagerEvent(k, now, leased_worker_deregistered{first_session});
  REQUIRE(k.has_worker);
  REQUIRE(ReportedEnds().empty());
}

// The worker's clock went back between its two starts. Its announcement seems
// to be of an earlier session; its answer to a poll shows that it is not.
TEST_CASE_METHOD(
    manager_of_a_restarting_worker,
    "worker_restarted_with_its_clock_back_is_known_by_its_answer") {
  const worker_session back{"worker", first_session.started_ms - 3'600'000};
  Announce(back, 1);
  REQUIRE(k.worker.session == first_session);
  Answer(back, {});
  AnswerStop();
  Announce(back, 2);
  Answer(back, {});
  Answer(back, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Guards against a worker that never gets work again: its clock was ahead at an
// earlier start, whose announcement was delayed. That session seems newer than
// the current one until an answer shows that it is not.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_a_seemingly_newer_start_is_reverted") {
  Announce(restarted_session, 40);
  Answer(first_session, {});
  REQUIRE(k.worker.session == first_session);
  AnswerStop();
  Announce(first_session, 10);
  Answer(first_session, {});
  Answer(first_session, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Guards against two concurrent runs of a task: the worker is silent for so
// long that its runs count as lost; it starts again under its id while earlier
// calls are still in transit. The fence of the first poll makes it refuse them.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_silent_runs_lost_fence_is_above_their_calls") {
  const uint64_t before = k.fence;
  for (int i = 0; i < 20; ++i) {
    poll_answered none = PollAnswer(first_session, {});
    none.answer = worker_answer::none;
    HandleLeaseManagerEvent(k, now, none);
    Tick(Millis(100));
  }
  REQUIRE(ReportedEnds().size() == 1);
  REQUIRE(Calls<call_poll>().back().fence > before);
}

// Guards against two concurrent runs of a task: an end arrived too late, so the
// lease must expire, and a start that was sent by the clock of the previous
// session has given the new one the longest lease that a worker accepts.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_restarted_leases_may_be_the_longest_allowed") {
  Announce(restarted_session, 1);
  REQUIRE(k.leases_end_at >=
          now + ElapsedByAnyClock(k.options.bounds.max_lease));
}

// ---- [4] Seeded runs --------------------------------------------------------

TEST_CASE("workers_keep_ids_seeded_faults_no_violation") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const day_report day = PlaySeededDay({seed, seed % 2 == 0, true});
    INFO("seed " << seed << "; cassiaferry-emulate --workers_keep_ids"
                 << (seed % 2 == 0 ? " --one_way_cuts" : "") << " --replay "
                 << seed);
    for (const violation& v : day.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    REQUIRE(day.violations.empty());
    REQUIRE(day.completed > day.jobs / 4);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
