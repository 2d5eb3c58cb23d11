// Lives of one worker: it starts again, under a new id or the one that it had.
//
// Contents
//   [1] Fixture
//   [2] Under its id
//   [3] What a sidecar believes
//   [4] Seeded runs

#include <algorithm>
#include <catch2/catch.hpp>

#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// Workers that start again under their ids, and that have run tasks before.
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

  void RestartAll(micros down_for) {
    for (int i = 0; i < w.options.workers; ++i)
      w.CrashWorker(i, down_for);
    w.Pass(down_for + Millis(2000));
  }

  uint64_t Starts() const {
    uint64_t starts = 0;
    for (const emulated_worker& worker : w.workers)
      starts += worker.starts;
    return starts;
  }

  void RequireNothingBroken() const { RequireNoneBroken(w.violations); }

  static constexpr uint32_t kTasks = 4;
  world w;
  int next = 0;
};

// ---- [2] Under its id -------------------------------------------------------

// What a user sees: answers that come seconds late, or not at all, long after
// workers came back. Order: a worker that has run some tasks starts again under
// its id, and numbers the ends of tasks from 1 again; each task that it has
// done is run once more, there or elsewhere. Cause: what the sidecar knew of
// the life before was held against the new one, and its ends passed for known
// ones. Evidence: runs counted as lost on restarted workers alone, and only
// since.
TEST_CASE_METHOD(workers_keep_ids,
                 "worker_again_under_its_id_done_tasks_run_once") {
  RestartAll(Millis(600));
  const uint64_t before = Starts();
  SubmitMany(20);
  w.Pass(Millis(3000));
  REQUIRE(w.Count(job_fate::completed) == 80);
  REQUIRE(Starts() - before == 20 * kTasks);
  RequireNothingBroken();
}

// What a user sees: a request fails with the worker that it was sent to, which
// had said that it leaves. Order: the worker starts again under its id, numbers
// its announcements from 1 again, and says that it leaves; two seconds after
// that was heard tasks are still started there. Cause: as above, its leaving
// passed for an announcement of before. Evidence: the sidecar acknowledged the
// leaving, and logged none.
TEST_CASE_METHOD(workers_keep_ids,
                 "worker_again_under_its_id_that_leaves_gets_no_starts") {
  RestartAll(Millis(600));
  w.DrainWorker(0);
  w.Pass(Millis(1100));
  const uint64_t before = w.workers[0].starts;
  for (int i = 0; i < 40; ++i) {
    SubmitMany(2);
    w.Pass(Millis(100));
  }
  REQUIRE(w.workers[0].starts == before);
  RequireNothingBroken();
}

// ---- [3] What a sidecar believes --------------------------------------------

// A keeper whose worker has listed twelve ends and runs one task more.
struct manager_of_a_restarting_worker {
  manager_of_a_restarting_worker()
      : k(MakeLeaseManager(lease_manager_options{})) {
    Announce(first, 9);
    Answer(first, {});
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({the_run, {1000, 10, 0}, 100, "", true});
    HandleLeaseOrders(k, now, kOwner, orders);
    HandleLeaseManagerEvent(
        k, now, run_start_answered{the_run, first, worker_answer::ok});
    poll_answered look = Look(first, {the_run});
    look.ended.push_back({12, {{"earlier", 0, 0, 0}, 1}, run_end_kind::done});
    HandleLeaseManagerEvent(k, now, look);
    Tick();
    REQUIRE(k.seen == 12);
    REQUIRE(AcceptsLeasedWork(k, now));
    k.actions.clear();
  }

  void Announce(const worker_session& life,
                uint64_t number,
                bool draining = false) {
    leased_worker_announced e;
    e.info.session = life;
    e.info.capacity = {16'000, 1000, 0};
    e.sequence = number;
    e.draining = draining;
    HandleLeaseManagerEvent(k, now, e);
    Tick();
  }

  // By `life`, to the life that was called.
  poll_answered Look(const worker_session& life,
                     const std::vector<run_ref>& running) const {
    poll_answered e;
    e.number = k.open_poll;
    e.session = k.worker.session;
    e.answer = worker_answer::ok;
    e.started_ms = life.started_ms;
    e.clock_ms = ToMillis(now);
    for (const run_ref& ref : running)
      e.running.push_back({ref, 50});
    return e;
  }

  void Answer(const worker_session& life, const std::vector<run_ref>& running) {
    HandleLeaseManagerEvent(k, now, Look(life, running));
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
    lease_orders orders;  // the owner vouches on
    orders.echo = now.value;
    HandleLeaseOrders(k, now, kOwner, orders);
    TickLeaseManager(k, now);
  }

  std::vector<run_end> Told() { return ReportFor(k, now, kOwner).ends; }

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
  const worker_session first{"worker", 1'000'000};
  const worker_session again{"worker", 1'005'000};
  const run_ref the_run{{"job", 0, 0, 0}, 1};
  micros now = Millis(1000);
  lease_manager_state k;
};

// What a user sees: a task that runs twice at a time. Order: a worker starts
// again under its id, unnoticed; a start is carried out by the new life; then
// its announcement comes. If the run counted as lost with the life before, its
// task would start elsewhere at once.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_runs_are_stopped_before_they_count_as_lost") {
  Announce(again, 1);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  REQUIRE(Calls<call_run_stop>()[0].session == again);
  REQUIRE(Calls<call_run_stop>()[0].ref == the_run);
  Answer(again, {the_run});
  REQUIRE(Told().empty());
  AnswerStop();
  Answer(again, {the_run});  // sent before the stop was answered
  REQUIRE(Told().empty());
  Answer(again, {});
  const std::vector<run_end> told = Told();
  REQUIRE(told.size() == 1);
  REQUIRE(told[0].kind == run_end_kind::lost);
  REQUIRE(AcceptsLeasedWork(k, now));
}

// What a user sees: a task that runs twice at a time. Order: the stop of a run
// was answered by the life before; the start under way reaches the new life.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_a_run_being_stopped_is_stopped_once_more") {
  lease_orders orders;
  orders.echo = now.value;
  orders.stops.push_back(the_run);
  HandleLeaseOrders(k, now, kOwner, orders);
  AnswerStop();
  k.actions.clear();
  Announce(again, 1);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  Answer(again, {});
  REQUIRE(Told().empty());
}

// Guards against a list of before a run began, on which it isn't, that passes
// for a newer one: the run would count as over while it goes on.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "look_given_up_answered_late_ends_no_run_that_began_since") {
  const poll_answered late = Look(first, {});
  Announce(again, 1);
  Answer(first, {the_run});  // it was no new life
  Answer(first, {the_run});
  AnswerStop();
  Answer(first, {the_run});
  HandleLeaseManagerEvent(k, now, late);
  REQUIRE(Told().empty());
  Answer(first, {});
  REQUIRE(Told().size() == 1);
}

// What a user sees: a task that runs twice at a time, or room that is exceeded.
// Order: orders to the life before are still under way when the new one starts;
// the fence of the first call to it keeps them out.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_fence_is_above_earlier_ones") {
  const uint64_t before = k.fence;
  Announce(again, 1);
  REQUIRE(Calls<call_run_stop>()[0].fence > before);
  REQUIRE(Calls<call_poll>().back().fence > before);
  REQUIRE(Calls<call_poll>().back().session == again);
}

// What a user sees: a task that is done runs again. Order: a look gets no
// answer, as the worker is gone; the next one is the first that the new life
// has, and may not acknowledge its ends by the numbers of the life before.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "look_unanswered_the_next_acknowledges_nothing") {
  poll_answered none = Look(first, {});
  none.answer = worker_answer::none;
  HandleLeaseManagerEvent(k, now, none);
  k.actions.clear();
  Tick(Millis(100));
  REQUIRE(Calls<call_poll>().size() == 1);
  REQUIRE(Calls<call_poll>()[0].acked_through == 0);
  Answer(first, {the_run});
  REQUIRE(Calls<call_poll>().back().acked_through == 12);
}

// What a user sees: a worker over its room. Order: the worker starts again
// under its id as a smaller one, and answers a look before it announces itself.
// Until it does nothing starts there; what was ordered before is stopped.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_known_by_its_answer_waits_for_what_it_is") {
  Answer(again, {});
  REQUIRE(k.worker.session == again);
  REQUIRE(Calls<call_run_stop>().size() == 1);
  AnswerStop();
  Answer(again, {});
  Answer(again, {});
  REQUIRE(Told().size() == 1);
  REQUIRE_FALSE(AcceptsLeasedWork(k, now));
  REQUIRE_FALSE(ReportFor(k, now, kOwner).worker.has_value());
  Announce(again, 1);
  REQUIRE(AcceptsLeasedWork(k, now));
  REQUIRE(ReportFor(k, now, kOwner).worker.has_value());
}

// What a user sees: requests sent to a worker that has said it leaves. Order:
// an announcement of the life before was held up, with a higher number, and
// comes after that of the new one, and after its leaving.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_an_earlier_start_is_passed_over") {
  Announce(again, 1);
  Announce(again, 2, true);
  Announce(first, 10);
  REQUIRE(k.worker.session == again);
  REQUIRE(k.draining);
}

// Order: the sidecar is new, and has met the worker's newest life only; an
// announcement of an earlier one, under another id, was held up until now.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_a_life_never_met_is_passed_over") {
  Announce({"earlier", first.started_ms - 1}, 40);
  REQUIRE(k.worker.session == first);
  REQUIRE(AcceptsLeasedWork(k, now));
}

// What a user sees: a worker that is back, and never gets work again. Order: it
// said goodbye, and starts again under its id.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_left_and_again_under_its_id_takes_work") {
  HandleLeaseManagerEvent(k, now, leased_worker_deregistered{first});
  REQUIRE_FALSE(AcceptsLeasedWork(k, now));
  Announce(again, 1);
  Answer(again, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Order: the goodbye of the life before was held up.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "goodbye_of_an_earlier_start_ends_nothing") {
  Announce(again, 1);
  Answer(again, {the_run});
  HandleLeaseManagerEvent(k, now, leased_worker_deregistered{first});
  REQUIRE(k.has_worker);
  REQUIRE(Told().empty());
}

// Order: the worker's clock went back between its two starts. Its announcement
// looks like an earlier one's; its answer to a look tells that it is not.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_with_its_clock_back_is_known_by_its_answer") {
  const worker_session back{"worker", first.started_ms - 3'600'000};
  Announce(back, 1);
  REQUIRE(k.worker.session == first);
  Answer(back, {});
  AnswerStop();
  Announce(back, 2);
  Answer(back, {});
  Answer(back, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// What a user sees: a worker that never gets work again. Order: the worker's
// clock was ahead at an earlier start, whose announcement was held up; it looks
// newer than the one of now, until an answer tells that it is not.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "announcement_of_a_start_that_looks_newer_is_taken_back") {
  Announce(again, 40);
  Answer(first, {});
  REQUIRE(k.worker.session == first);
  AnswerStop();
  Announce(first, 10);
  Answer(first, {});
  Answer(first, {});
  REQUIRE(AcceptsLeasedWork(k, now));
}

// What a user sees: a task that runs twice at a time. Order: the worker is
// silent for so long that its runs count as lost; it starts again under its id,
// and orders of before are still under way. The first look keeps them out.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_silent_its_runs_lost_fence_is_above_their_orders") {
  const uint64_t before = k.fence;
  for (int i = 0; i < 20; ++i) {
    poll_answered none = Look(first, {});
    none.answer = worker_answer::none;
    HandleLeaseManagerEvent(k, now, none);
    Tick(Millis(100));
  }
  REQUIRE(Told().size() == 1);
  REQUIRE(Calls<call_poll>().back().fence > before);
}

// What a user sees: a task that runs twice at a time. Order: an end came too
// late, and the lease must lapse; a start sent by the clock of the life before
// has given the new one the longest lease there is.
TEST_CASE_METHOD(manager_of_a_restarting_worker,
                 "worker_again_leases_may_be_the_longest_there_are") {
  Announce(again, 1);
  REQUIRE(k.leases_end_at >=
          now + ElapsedByAnyClock(k.options.bounds.max_lease));
}

// ---- [4] Seeded runs --------------------------------------------------------

TEST_CASE("workers_keep_ids_seeded_faults_nothing_broken") {
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
