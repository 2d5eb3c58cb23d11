// Words about a worker's life that may be late or early: an announcement of
// another life, a goodbye.
//
// Contents
//   [1] Fixture
//   [2] Announcements of another life
//   [3] Goodbyes
//   [4] Seeded runs

#include <algorithm>
#include <catch2/catch.hpp>

#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// The worker runs one task, begun a second ago, of which half is done.
struct manager_with_one_run : manager_of_one_owner {
  manager_with_one_run() {
    Start(the_run, 2000);
    Pass(Millis(1000), {the_run});
    k.actions.clear();
  }

  static run_ref Ref(const std::string& job) { return {{job, 0, 0, 0}, 1}; }

  void Order(const run_ref& ref, uint32_t expected_ms) {
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({ref, {1000, 10, 0}, expected_ms, ""});
    HandleLeaseOrders(k, now, kOwner, orders);
  }

  void Start(const run_ref& ref, uint32_t expected_ms) {
    Order(ref, expected_ms);
    HandleLeaseManagerEvent(
        k, now, run_start_answered{ref, {"life"}, worker_answer::ok});
  }

  void Tick(micros time) {
    now = now + time;
    lease_orders orders;  // the owner vouches on
    orders.echo = now.value;
    HandleLeaseOrders(k, now, kOwner, orders);
    TickLeaseManager(k, now);
  }

  // All looks are answered.
  void Pass(micros time, const std::vector<run_ref>& running) {
    for (const micros until = now + time; now < until;) {
      Tick(Millis(50));
      AnswerPoll(running);
    }
  }

  // Looks get no answer.
  void PassSilent(micros time) {
    for (const micros until = now + time; now < until;) {
      Answer(k.worker.session, worker_answer::none);
      Tick(std::min(Millis(20), until - now));
    }
  }

  void Answer(const worker_session& called, worker_answer answer) {
    HandleLeaseManagerEvent(k, now, LookOf(called, answer));
    TickLeaseManager(k, now);
  }

  poll_answered LookOf(const worker_session& called,
                       worker_answer answer) const {
    poll_answered e;
    e.number = k.open_poll;
    e.session = called;
    e.answer = answer;
    e.clock_ms = ToMillis(now);
    return e;
  }

  void Announce(const std::string& life, uint64_t number = 1) {
    leased_worker_announced e = Announcement(life);
    e.sequence = number;
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  void Goodbye() {
    HandleLeaseManagerEvent(k, now, leased_worker_deregistered{{"life"}});
    TickLeaseManager(k, now);
  }

  void AnswerStop() {
    HandleLeaseManagerEvent(
        k, now, run_stop_answered{the_run, {"life"}, worker_answer::ok});
  }

  void ListEnd(run_end_kind how) {
    poll_answered e = LookOf({"life"}, worker_answer::ok);
    e.ended.push_back({1, the_run, how});
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  // What the owner is told since it was asked last.
  std::vector<run_end_kind> Told() {
    std::vector<run_end_kind> told;
    for (const run_end& end : ReportFor(k, now, kOwner).ends)
      told.push_back(end.kind);
    return told;
  }

  bool Notes(const std::string& what) const {
    for (const lease_manager_log& note : Calls<lease_manager_log>()) {
      if (what == note.what)
        return true;
    }
    return false;
  }

  const run_ref the_run = Ref("job");
};

using ends = std::vector<run_end_kind>;

// ---- [2] Announcements of another life --------------------------------------

// Guards against a late announcement of an earlier life, at a process that has
// never met it: runs that go on count as lost, and start elsewhere.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_late_runs_go_on") {
  Announce("earlier", 40);
  CHECK(Told().empty());
  const std::vector<call_poll> looks = Calls<call_poll>();
  REQUIRE(looks.size() == 1);
  CHECK(looks[0].session.id == "life");
  CHECK(looks[0].wait_ms == 0);
  CHECK(Notes("announcement of another life, the worker is asked"));
  AnswerPoll({the_run});
  CHECK(AcceptsLeasedWork(k, now));
  CHECK(k.worker.session.id == "life");
  CHECK(Notes("announcement passed over"));
  ListEnd(run_end_kind::done);
  CHECK(Told() == ends{run_end_kind::done});
}

// Guards against starts on a worker that may be gone, or sent to one that is.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_nothing_starts_till_answered") {
  Announce("other");
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  Order(Ref("new"), 100);
  CHECK(Calls<call_run_start>().empty());
  CHECK(Told() == ends{run_end_kind::never_started});
  AnswerPoll({the_run});
  Order(Ref("newer"), 100);
  CHECK(Calls<call_run_start>().size() == 1);
}

// Guards against a copy of a start that goes out while the worker is asked.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_no_start_is_sent_again") {
  Order(Ref("new"), 100);
  k.actions.clear();
  Announce("other");
  HandleLeaseManagerEvent(
      k, now, run_start_answered{Ref("new"), {"life"}, worker_answer::none});
  CHECK(Calls<call_run_start>().empty());
  CHECK(Calls<call_run_stop>().size() == 1);
}

// Guards against a new life that is never called.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_known_one_over_it_is_called") {
  Announce("other");
  CHECK(Told().empty());
  Answer({"life"}, worker_answer::other_session);
  CHECK(Told() == ends{run_end_kind::lost});
  CHECK(k.worker.session.id == "other");
  CHECK(Calls<call_poll>().back().session.id == "other");
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  poll_answered first = LookOf({"other"}, worker_answer::ok);
  HandleLeaseManagerEvent(k, now, first);
  CHECK(AcceptsLeasedWork(k, now));
  Announce("life", 99);
  CHECK(k.worker.session.id == "other");
  CHECK(AcceptsLeasedWork(k, now));
}

// Guards against an answer of before the announcement that passes for one to
// the question: the worker may have crashed between the two.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_earlier_look_settles_nothing") {
  poll_answered before = LookOf({"life"}, worker_answer::ok);
  before.running.push_back({the_run, 50});
  Announce("other");
  HandleLeaseManagerEvent(k, now, before);
  TickLeaseManager(k, now);
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  CHECK_FALSE(Notes("announcement passed over"));
}

// Guards against a system that waits for ever for the answer of a life that is
// gone, and against runs that count as over while a lease may be left.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_silence_lasts_for_the_lease") {
  const micros over = k.leases_end_at + k.options.bounds.margin;
  Announce("other");
  k.actions.clear();
  PassSilent(over - now);
  CHECK(Told().empty());
  CHECK(k.worker.session.id == "life");
  for (const call_poll& look : Calls<call_poll>())
    CHECK(look.lease_until_ms == 0);
  PassSilent(Millis(40));
  CHECK(Told() == ends{run_end_kind::lost});
  CHECK(k.worker.session.id == "other");
}

// Guards against a true life that never gets work again: it was silent while a
// late word made another one be called.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_life_silent_one_may_come_back") {
  Announce("earlier", 40);
  PassSilent(Millis(1500));
  REQUIRE(k.worker.session.id == "earlier");
  Answer({"earlier"}, worker_answer::other_session);
  Announce("life", 5);
  AnswerPoll({});
  CHECK(AcceptsLeasedWork(k, now));
  CHECK(k.worker.session.id == "life");
}

// Guards against the same where announcements tell when their life began: the
// clock of an earlier life may have been ahead.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_a_later_start_the_worker_is_asked_too") {
  leased_worker_announced e = Announcement("other");
  e.info.session.started_ms = 5'000'000;
  HandleLeaseManagerEvent(k, now, e);
  CHECK(Told().empty());
  AnswerPoll({the_run});
  CHECK(Told().empty());
  CHECK(k.worker.session.id == "life");
  CHECK(AcceptsLeasedWork(k, now));
}

// ---- [3] Goodbyes -----------------------------------------------------------

// Guards against runs that start elsewhere while they go on at a worker that
// has said goodbye and not ended yet.
TEST_CASE_METHOD(manager_with_one_run, "goodbye_runs_are_told_by_proof") {
  Goodbye();
  CHECK(Told().empty());
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  REQUIRE(Calls<call_run_stop>().size() == 1);
  Pass(Millis(100), {the_run});
  CHECK(Told().empty());
  AnswerStop();
  AnswerPoll({the_run});
  AnswerPoll({the_run});
  CHECK(Told().empty());
  AnswerPoll({});
  CHECK(Told() == ends{run_end_kind::stopped});
}

// Guards against a lease that covers runs on a worker that ends.
TEST_CASE_METHOD(manager_with_one_run, "goodbye_lease_is_extended_no_more") {
  Goodbye();
  k.actions.clear();
  Pass(Millis(300), {the_run});
  REQUIRE(Calls<call_poll>().size() >= 3);
  for (const call_poll& look : Calls<call_poll>())
    CHECK(look.lease_until_ms == 0);
}

// Guards against runs that count as over while a lease may be left, and against
// a job that hangs with a worker that has ended.
TEST_CASE_METHOD(manager_with_one_run,
                 "goodbye_silent_worker_lasts_for_the_lease") {
  const micros over = k.leases_end_at + k.options.bounds.margin;
  Goodbye();
  PassSilent(over - now);
  CHECK(Told().empty());
  PassSilent(Millis(40));
  CHECK(Told() == ends{run_end_kind::lost});
}

// Guards against seconds of work thrown away for want of milliseconds.
TEST_CASE_METHOD(manager_with_one_run,
                 "goodbye_long_run_nearly_done_ends_by_itself") {
  k.runs[the_run.task].percent = 80;  // 250 ms are left
  Goodbye();
  CHECK(Calls<call_run_stop>().empty());
  ListEnd(run_end_kind::done);
  CHECK(Told() == ends{run_end_kind::done});
}

// Guards against a short task that waits for a lease, should the worker end
// now, where starting it again takes a part of that.
TEST_CASE_METHOD(manager_with_one_run, "goodbye_short_run_is_stopped") {
  Start(Ref("short"), 100);
  Tick(Millis(80));
  k.runs[Ref("short").task].percent = 80;
  k.actions.clear();
  Goodbye();
  bool stopped = false;
  for (const call_run_stop& stop : Calls<call_run_stop>())
    stopped = stopped || stop.ref == Ref("short");
  CHECK(stopped);
}

// Guards against work for a life that leaves, on the word of a late
// announcement.
TEST_CASE_METHOD(manager_with_one_run,
                 "goodbye_later_announcement_brings_no_work") {
  Goodbye();
  Announce("life", 50);
  AnswerPoll({the_run});
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  CHECK(Notes("announcement passed over"));
}

// Guards against a new life that is never called, and runs told too late.
TEST_CASE_METHOD(manager_with_one_run,
                 "goodbye_next_life_answers_runs_are_lost") {
  Goodbye();
  Announce("other");
  CHECK(Told().empty());
  Answer({"life"}, worker_answer::other_session);
  CHECK(Told() == ends{run_end_kind::lost});
  poll_answered first = LookOf({"other"}, worker_answer::ok);
  HandleLeaseManagerEvent(k, now, first);
  CHECK(AcceptsLeasedWork(k, now));
}

// ---- [4] Seeded runs --------------------------------------------------------

TEST_CASE("late_words_seeded_faults_nothing_broken") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    day_options options;
    options.seed = seed;
    options.late_words = true;
    const day_report day = PlaySeededDay(options);
    INFO("seed " << seed << "; cassiaferry-emulate --late_words --replay "
                 << seed);
    for (const violation& v : day.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    REQUIRE(day.violations.empty());
    REQUIRE(day.completed > day.jobs / 4);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
