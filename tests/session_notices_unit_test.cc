// Messages about a worker's session that may arrive late or early: the
// announcement of another session, and a deregistration.
//
// Contents
//   [1] Fixture
//   [2] Announcements of another session
//   [3] Deregistration
//   [4] Seeded runs

#include <algorithm>
#include <catch2/catch.hpp>

#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// The worker runs one task, which started a second ago and is half done.
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
    lease_orders orders;  // renews the owner lease
    orders.echo = now.value;
    HandleLeaseOrders(k, now, kOwner, orders);
    TickLeaseManager(k, now);
  }

  // The worker answers all polls.
  void Pass(micros time, const std::vector<run_ref>& running) {
    for (const micros until = now + time; now < until;) {
      Tick(Millis(50));
      AnswerPoll(running);
    }
  }

  // The worker answers no poll.
  void PassUnanswered(micros time) {
    for (const micros until = now + time; now < until;) {
      Answer(k.worker.session, worker_answer::none);
      Tick(std::min(Millis(20), until - now));
    }
  }

  void Answer(const worker_session& called, worker_answer answer) {
    HandleLeaseManagerEvent(k, now, PollAnswer(called, answer));
    TickLeaseManager(k, now);
  }

  poll_answered PollAnswer(const worker_session& called,
                           worker_answer answer) const {
    poll_answered e;
    e.number = k.open_poll;
    e.session = called;
    e.answer = answer;
    e.clock_ms = ToMillis(now);
    return e;
  }

  void Announce(const std::string& session, uint64_t number = 1) {
    leased_worker_announced e = Announcement(session);
    e.sequence = number;
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  void Deregister() {
    HandleLeaseManagerEvent(k, now, leased_worker_deregistered{{"life"}});
    TickLeaseManager(k, now);
  }

  void AnswerStop() {
    HandleLeaseManagerEvent(
        k, now, run_stop_answered{the_run, {"life"}, worker_answer::ok});
  }

  void ListEnd(run_end_kind how) {
    poll_answered e = PollAnswer({"life"}, worker_answer::ok);
    e.ended.push_back({1, the_run, how});
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  // The ends reported to the owner since the last call.
  std::vector<run_end_kind> ReportedEnds() {
    std::vector<run_end_kind> reported;
    for (const run_end& end : ReportFor(k, now, kOwner).ends)
      reported.push_back(end.kind);
    return reported;
  }

  bool HasLogged(const std::string& what) const {
    for (const lease_manager_log& note : Calls<lease_manager_log>()) {
      if (what == note.what)
        return true;
    }
    return false;
  }

  const run_ref the_run = Ref("job");
};

using ends = std::vector<run_end_kind>;

// ---- [2] Announcements of another session -----------------------------------

// Guards against: a late announcement of an earlier session reaches a process
// that has never known that session; runs in progress count as lost, and their
// tasks start elsewhere.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_session_late_runs_continue") {
  Announce("earlier", 40);
  CHECK(ReportedEnds().empty());
  const std::vector<call_poll> polls = Calls<call_poll>();
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].session.id == "life");
  CHECK(polls[0].wait_ms == 0);
  CHECK(HasLogged("announcement of another session, worker polled"));
  AnswerPoll({the_run});
  CHECK(AcceptsLeasedWork(k, now));
  CHECK(k.worker.session.id == "life");
  CHECK(HasLogged("announcement ignored"));
  ListEnd(run_end_kind::done);
  CHECK(ReportedEnds() == ends{run_end_kind::done});
}

// Guards against starts that are sent to a session that is, or may be, over.
TEST_CASE_METHOD(
    manager_with_one_run,
    "announcement_of_another_session_nothing_starts_until_answered") {
  Announce("other");
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  Order(Ref("new"), 100);
  CHECK(Calls<call_run_start>().empty());
  CHECK(ReportedEnds() == ends{run_end_kind::never_started});
  AnswerPoll({the_run});
  Order(Ref("newer"), 100);
  CHECK(Calls<call_run_start>().size() == 1);
}

// Guards against sending a start again while the announced session is verified.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_session_no_start_is_sent_again") {
  Order(Ref("new"), 100);
  k.actions.clear();
  Announce("other");
  HandleLeaseManagerEvent(
      k, now, run_start_answered{Ref("new"), {"life"}, worker_answer::none});
  CHECK(Calls<call_run_start>().empty());
  CHECK(Calls<call_run_stop>().size() == 1);
}

// Guards against a new session that is never called.
TEST_CASE_METHOD(
    manager_with_one_run,
    "announcement_of_another_session_current_one_over_it_is_called") {
  Announce("other");
  CHECK(ReportedEnds().empty());
  Answer({"life"}, worker_answer::other_session);
  CHECK(ReportedEnds() == ends{run_end_kind::lost});
  CHECK(k.worker.session.id == "other");
  CHECK(Calls<call_poll>().back().session.id == "other");
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  poll_answered first = PollAnswer({"other"}, worker_answer::ok);
  HandleLeaseManagerEvent(k, now, first);
  CHECK(AcceptsLeasedWork(k, now));
  Announce("life", 99);
  CHECK(k.worker.session.id == "other");
  CHECK(AcceptsLeasedWork(k, now));
}

// Guards against taking the answer to a poll sent before the announcement for
// proof that the session continues: the worker may have crashed since.
TEST_CASE_METHOD(
    manager_with_one_run,
    "announcement_of_another_session_earlier_poll_proves_nothing") {
  poll_answered before = PollAnswer({"life"}, worker_answer::ok);
  before.running.push_back({the_run, 50});
  Announce("other");
  HandleLeaseManagerEvent(k, now, before);
  TickLeaseManager(k, now);
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  CHECK_FALSE(HasLogged("announcement ignored"));
}

// Guards against waiting for ever for an answer of a session that is over, and
// against runs that count as over while a lease may be left.
TEST_CASE_METHOD(
    manager_with_one_run,
    "announcement_of_another_session_silence_runs_lost_after_lease") {
  const micros over = k.leases_end_at + k.options.bounds.margin;
  Announce("other");
  k.actions.clear();
  PassUnanswered(over - now);
  CHECK(ReportedEnds().empty());
  CHECK(k.worker.session.id == "life");
  for (const call_poll& poll : Calls<call_poll>())
    CHECK(poll.lease_until_ms == 0);
  PassUnanswered(Millis(40));
  CHECK(ReportedEnds() == ends{run_end_kind::lost});
  CHECK(k.worker.session.id == "other");
}

// Guards against a running session that never gets work again: it was silent
// while a late announcement made the sidecar call another one.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_another_session_silent_one_may_return") {
  Announce("earlier", 40);
  PassUnanswered(Millis(1500));
  REQUIRE(k.worker.session.id == "earlier");
  Answer({"earlier"}, worker_answer::other_session);
  Announce("life", 5);
  AnswerPoll({});
  CHECK(AcceptsLeasedWork(k, now));
  CHECK(k.worker.session.id == "life");
}

// Guards against runs that count as lost on a late announcement that states a
// later start time: the clock of the earlier session may have been ahead.
TEST_CASE_METHOD(manager_with_one_run,
                 "announcement_of_a_later_start_worker_is_polled_too") {
  leased_worker_announced e = Announcement("other");
  e.info.session.started_ms = 5'000'000;
  HandleLeaseManagerEvent(k, now, e);
  CHECK(ReportedEnds().empty());
  AnswerPoll({the_run});
  CHECK(ReportedEnds().empty());
  CHECK(k.worker.session.id == "life");
  CHECK(AcceptsLeasedWork(k, now));
}

// ---- [3] Deregistration -----------------------------------------------------

// Guards against tasks that start elsewhere while their runs continue on a
// worker that has deregistered and not terminated yet.
TEST_CASE_METHOD(manager_with_one_run,
                 "deregistration_runs_are_reported_once_proven_over") {
  Deregister();
  CHECK(ReportedEnds().empty());
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  REQUIRE(Calls<call_run_stop>().size() == 1);
  Pass(Millis(100), {the_run});
  CHECK(ReportedEnds().empty());
  AnswerStop();
  AnswerPoll({the_run});
  AnswerPoll({the_run});
  CHECK(ReportedEnds().empty());
  AnswerPoll({});
  CHECK(ReportedEnds() == ends{run_end_kind::stopped});
}

// Guards against extending the lease of a worker that is terminating.
TEST_CASE_METHOD(manager_with_one_run, "deregistration_lease_is_not_extended") {
  Deregister();
  k.actions.clear();
  Pass(Millis(300), {the_run});
  REQUIRE(Calls<call_poll>().size() >= 3);
  for (const call_poll& poll : Calls<call_poll>())
    CHECK(poll.lease_until_ms == 0);
}

// Guards against runs that count as over while a lease may be left, and against
// a job that waits for ever for a worker that has terminated.
TEST_CASE_METHOD(manager_with_one_run,
                 "deregistration_silent_worker_runs_lost_after_lease") {
  const micros over = k.leases_end_at + k.options.bounds.margin;
  Deregister();
  PassUnanswered(over - now);
  CHECK(ReportedEnds().empty());
  PassUnanswered(Millis(40));
  CHECK(ReportedEnds() == ends{run_end_kind::lost});
}

// Guards against stopping a run, with seconds of work done, that could end
// within the remaining lease.
TEST_CASE_METHOD(manager_with_one_run,
                 "deregistration_long_run_nearly_done_is_not_stopped") {
  k.runs[the_run.task].percent = 80;  // 250 ms are left
  Deregister();
  CHECK(Calls<call_run_stop>().empty());
  ListEnd(run_end_kind::done);
  CHECK(ReportedEnds() == ends{run_end_kind::done});
}

// Guards against a short task that has to wait until the lease expires if the
// worker terminates now: starting it again takes less than that.
TEST_CASE_METHOD(manager_with_one_run, "deregistration_short_run_is_stopped") {
  Start(Ref("short"), 100);
  Tick(Millis(80));
  k.runs[Ref("short").task].percent = 80;
  k.actions.clear();
  Deregister();
  bool stopped = false;
  for (const call_run_stop& stop : Calls<call_run_stop>())
    stopped = stopped || stop.ref == Ref("short");
  CHECK(stopped);
}

// Guards against new work for a deregistered session because of a late
// announcement.
TEST_CASE_METHOD(manager_with_one_run,
                 "deregistration_later_announcement_brings_no_work") {
  Deregister();
  Announce("life", 50);
  AnswerPoll({the_run});
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  CHECK(HasLogged("announcement ignored"));
}

// Guards against a new session that is never called, and against runs that are
// reported too late.
TEST_CASE_METHOD(manager_with_one_run,
                 "deregistration_next_session_answers_runs_are_lost") {
  Deregister();
  Announce("other");
  CHECK(ReportedEnds().empty());
  Answer({"life"}, worker_answer::other_session);
  CHECK(ReportedEnds() == ends{run_end_kind::lost});
  poll_answered first = PollAnswer({"other"}, worker_answer::ok);
  HandleLeaseManagerEvent(k, now, first);
  CHECK(AcceptsLeasedWork(k, now));
}

// ---- [4] Seeded runs --------------------------------------------------------

TEST_CASE("late_notices_seeded_faults_no_violation") {
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
