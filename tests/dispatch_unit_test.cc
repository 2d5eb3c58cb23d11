// Entry and sidecar logic on virtual time: at-most-once execution, verdicts,
// admission, policies, health.
//
// Contents
//   [1] Normal operation
//   [2] Broken streams
//   [3] Lost processes
//   [4] Admission
//   [5] Policies
//   [6] Health

#include <catch2/catch.hpp>

#include <algorithm>

#include "core_harness.h"

using namespace cassiaferry;           // NOLINT(google-build-using-namespace)
using namespace cassiaferry::testing;  // NOLINT(google-build-using-namespace)

namespace {

bool NoDuplicates(const core_simulation& world) {
  return std::all_of(world.starts.begin(), world.starts.end(),
                     [](const auto& row) { return row.second == 1; });
}

size_t Running(const core_simulation& world) {
  size_t running = 0;
  for (const auto& tasks : world.running)
    running += tasks.size();
  return running;
}

struct two_workers {
  core_simulation world{2};
};

struct one_worker {
  core_simulation world{1};
};

}  // namespace

// ---- [1] Normal operation ---------------------------------------------------

TEST_CASE_METHOD(two_workers, "Job_WhenAllTasksFinish_IsCompleteInOrder") {
  world.Submit(1, MakeRequest(4));
  world.Advance(20);
  CHECK(Running(world) == 4);
  world.FinishAll(1);
  world.FinishAll(0);
  world.Advance(20);
  REQUIRE(world.Complete(1) != nullptr);
  const std::vector<std::string> expected = {"output 0", "output 1", "output 2",
                                             "output 3"};
  CHECK(world.Complete(1)->outputs == expected);
}

TEST_CASE_METHOD(two_workers, "Slots_WhenMoreTasksWait_AreNeverExceeded") {
  world.Submit(1, MakeRequest(30));
  for (int i = 0; i < 40; ++i) {
    world.Advance(10);
    CHECK(world.running[0].size() <= 2);
    CHECK(world.running[1].size() <= 2);
    world.FinishOne(i % 2);
  }
  world.Advance(20);
  CHECK(world.Complete(1) != nullptr);
  CHECK(NoDuplicates(world));
}

TEST_CASE_METHOD(two_workers, "Job_WhenOneTaskFails_StopsTheOthers") {
  world.Submit(1, MakeRequest(4));
  world.Advance(20);
  world.FinishOne(0, false);
  world.Advance(20);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.cause == reason::task_failed);
  CHECK(world.Failed(1)->error.run_verdict == verdict::may_have_run);
  CHECK(Running(world) == 0);
}

TEST_CASE_METHOD(one_worker,
                 "Cancel_WhenManyTasksRun_CostsOneRecordPerWorker") {
  world.Announce(0, 16);
  world.Advance(20);
  world.Submit(1, MakeRequest(12));
  world.Advance(20);
  REQUIRE(Running(world) == 12);
  world.inbox.emplace_back(caller_gone{ticket_id{1}});
  world.Advance(20);
  CHECK(Running(world) == 0);
  CHECK(world.entry.metrics.records[static_cast<size_t>(record_kind::cancel)] ==
        1);
}

// ---- [2] Broken streams -----------------------------------------------------

// A stream breaks while a task runs, and the result is ready before the sidecar
// has dialled again. The caller must get the answer, and the task must not
// start twice.
TEST_CASE_METHOD(one_worker, "Result_WhenStreamBreaksMeanwhile_IsDelivered") {
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  REQUIRE(Running(world) == 1);
  world.CutStream(0);
  world.FinishOne(0);
  world.Advance(2000);
  CHECK(world.Complete(1) != nullptr);
  CHECK(NoDuplicates(world));
}

// An open stream goes silent for good, and a start is lost in it. Both ends
// notice by missing heartbeats; the sidecar dials again and reports "never
// started", and the task runs once.
TEST_CASE_METHOD(one_worker, "Start_WhenStreamGoesSilent_RunsOnceOnANewOne") {
  world.silent[0] = true;
  world.Submit(1, MakeRequest(1));
  world.Advance(1000);
  CHECK(Running(world) == 0);
  world.Advance(1500);
  world.silent[0] = false;
  world.Advance(4000);
  CHECK(Running(world) == 1);
  world.FinishAll(0);
  world.Advance(50);
  CHECK(world.Complete(1) != nullptr);
  CHECK(NoDuplicates(world));
}

// The same silence, but the start had arrived and only the result is lost.
TEST_CASE_METHOD(one_worker, "Result_WhenStreamGoesSilent_IsSentAgain") {
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  world.silent[0] = true;
  world.FinishAll(0);
  world.Advance(2500);
  world.silent[0] = false;
  world.Advance(4000);
  CHECK(world.Complete(1) != nullptr);
  CHECK(NoDuplicates(world));
}

// A start is delayed on an old stream. The sidecar has dialled again and
// reported "never started", so the task may have been sent a second time. The
// old start must be dropped when it arrives, or the task would run twice.
TEST_CASE_METHOD(one_worker, "Start_WhenItArrivesOnAnOlderStream_IsDropped") {
  const link_epoch old_epoch = world.sidecars[0].links[0].epoch;
  world.CutStream(0);
  world.Advance(500);
  REQUIRE(world.sidecars[0].links[0].epoch > old_epoch);
  entry_frame late;
  late.epoch = old_epoch;
  late.starts.push_back({{job_seq{77}, 0}, "late", order_key{0}, 60'000, true});
  const std::vector<sidecar_action> actions = Tick(
      world.sidecars[0], world.now, {link_frame_received{entry_id{0}, late}});
  CHECK(ActionsOfKind<run_task>(actions).empty());
  CHECK(world.sidecars[0].running.empty());
}

// A reject is delayed on an old stream while the task, sent again on the new
// one, runs. Accepting it would send the task a third time.
TEST_CASE_METHOD(one_worker, "Reject_WhenItArrivesOnAnOlderStream_IsDropped") {
  const link_id old_link = world.entry.workers[0].link;
  const link_epoch old_epoch = world.entry.workers[0].epoch;
  world.CutStream(0);
  world.Advance(500);
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  REQUIRE(Running(world) == 1);
  sidecar_frame late;
  late.epoch = old_epoch;
  late.rejects.push_back({{job_seq{1}, 0}, false});
  world.inbox.emplace_back(sidecar_frame_received{old_link, late});
  world.Advance(50);
  CHECK(world.entry.jobs.at(job_seq{1}).sent == 1);
  CHECK(NoDuplicates(world));
}

// ---- [3] Lost processes -----------------------------------------------------

// A sidecar dies with a task running and restarts without its state. Its "never
// started" proves nothing: the job must fail as "may have run", and the task
// must not start elsewhere.
TEST_CASE_METHOD(two_workers, "Job_WhenItsSidecarRestarts_MayHaveRun") {
  world.Submit(1, MakeRequest(4));
  world.Advance(20);
  world.CrashSidecar(0);
  world.Advance(1000);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.run_verdict == verdict::may_have_run);
  CHECK(world.Failed(1)->error.cause == reason::worker_lost);
  CHECK(NoDuplicates(world));
}

// The sidecar keeps running, but has dropped unacknowledged results to bound
// its memory.
TEST_CASE_METHOD(one_worker, "Job_WhenItsResultWasForgotten_MayHaveRun") {
  world.sidecars[0].options.max_results_bytes = 4;
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  world.silent[0] = true;
  world.FinishAll(0);
  world.Advance(2500);
  world.silent[0] = false;
  world.Advance(4000);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.run_verdict == verdict::may_have_run);
  CHECK(NoDuplicates(world));
}

// A sidecar is lost for good. The job fails after the grace period and not only
// at its deadline of a minute.
TEST_CASE_METHOD(one_worker, "Job_WhenItsSidecarIsGone_FailsAfterTheGrace") {
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  world.silent[0] = true;
  world.CutStream(0);
  world.Advance(8000);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.cause == reason::worker_lost);
}

// An upstream that leaves gets no new tasks, and its running ones are finished.
TEST_CASE_METHOD(one_worker,
                 "Upstream_WhenItLeaves_FinishesAndGetsNothingNew") {
  world.Submit(1, MakeRequest(1));
  world.Advance(20);
  world.WithdrawUpstream(0);
  world.Advance(600);
  world.Submit(2, MakeRequest(1));
  world.Advance(20);
  REQUIRE(world.Failed(2) != nullptr);
  CHECK(world.Failed(2)->error.cause == reason::no_worker);
  CHECK(world.Failed(2)->error.run_verdict == verdict::not_run);
  CHECK(world.Failed(2)->error.retry_after_ms > 0);
  world.FinishAll(0);
  world.Advance(50);
  CHECK(world.Complete(1) != nullptr);
}

// ---- [4] Admission ----------------------------------------------------------

TEST_CASE_METHOD(one_worker, "Job_WhenDeadlinePassesInTheQueue_IsNotRun") {
  world.Submit(1, MakeRequest(2));
  world.Advance(20);
  job_request late = MakeRequest(1);
  late.deadline_ms = 100;
  world.Submit(2, late);
  world.Advance(200);
  REQUIRE(world.Failed(2) != nullptr);
  CHECK(world.Failed(2)->error.cause == reason::deadline);
  CHECK(world.Failed(2)->error.run_verdict == verdict::not_run);
}

TEST_CASE_METHOD(one_worker, "Job_WhenDeadlinePassesWhileRunning_MayHaveRun") {
  job_request r = MakeRequest(1);
  r.deadline_ms = 100;
  world.Submit(1, r);
  world.Advance(300);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.run_verdict == verdict::may_have_run);
  CHECK(Running(world) == 0);
}

TEST_CASE_METHOD(one_worker, "Job_WhenNoWorkerIsLargeEnough_IsRefusedAtOnce") {
  job_request r = MakeRequest(1);
  r.tasks[0].cores = 1000;
  world.Submit(1, r);
  world.Advance(5);
  REQUIRE(world.Failed(1) != nullptr);
  CHECK(world.Failed(1)->error.cause == reason::never_runnable);
  CHECK(world.Failed(1)->error.run_verdict == verdict::not_run);
}

TEST_CASE_METHOD(one_worker,
                 "Job_WhenTheQueueIsTooLong_IsRefusedWithARetryTime") {
  world.Submit(1, MakeRequest(400));
  for (int i = 0; i < 100; ++i) {
    world.Advance(20);
    world.FinishAll(0);
  }
  job_request r = MakeRequest(100);
  r.deadline_ms = 200;
  world.Submit(2, r);
  world.Advance(5);
  REQUIRE(world.Failed(2) != nullptr);
  CHECK(world.Failed(2)->error.cause == reason::deadline_unreachable);
  CHECK(world.Failed(2)->error.run_verdict == verdict::not_run);
  CHECK(world.Failed(2)->error.retry_after_ms >= 100);
}

// ---- [5] Policies -----------------------------------------------------------

TEST_CASE("Policy_WhateverItsKind_RunsEveryTaskOnce") {
  const std::string kind = GENERATE("random", "round_robin", "two_choices",
                                    "batch_sampling", "slot_offer");
  CAPTURE(kind);
  core_simulation world(3, kind);
  for (uint64_t ticket = 1; ticket <= 10; ++ticket)
    world.Submit(ticket, MakeRequest(ticket));
  for (int i = 0; i < 120; ++i) {
    world.Advance(10);
    world.FinishOne(i % 3);
  }
  for (uint64_t ticket = 1; ticket <= 10; ++ticket)
    CHECK(world.Complete(ticket) != nullptr);
  CHECK(world.starts.size() == 55);
  CHECK(NoDuplicates(world));
}

TEST_CASE("Probes_WhenTheirStreamBreaks_AreSentAgain") {
  core_simulation world(1, "batch_sampling");
  world.Submit(1, MakeRequest(4));
  world.Advance(20);
  CHECK(Running(world) == 2);
  world.CutStream(0);
  world.Advance(500);
  for (int i = 0; i < 10; ++i) {
    world.FinishAll(0);
    world.Advance(50);
  }
  CHECK(world.Complete(1) != nullptr);
  CHECK(NoDuplicates(world));
}

TEST_CASE_METHOD(one_worker, "SmallJob_WhenALargeOneWaits_GoesFirst") {
  world.Submit(1, MakeRequest(40));
  world.Advance(20);
  world.Submit(2, MakeRequest(1));
  world.Advance(20);
  world.FinishOne(0);
  world.Advance(20);
  const bool runs =
      std::any_of(world.running[0].begin(), world.running[0].end(),
                  [](const run_task& r) { return r.task.job == job_seq{2}; });
  CHECK(runs);
}

TEST_CASE("TeamPenalty_WhenWithinItsShare_IsNone") {
  CHECK(TeamPenalty(5, 10, 0.5) == 0);
  CHECK(TeamPenalty(9, 10, 0.5) > 0);
  CHECK(TeamPenalty(10, 10, 0.5) > TeamPenalty(9, 10, 0.5));
}

// ---- [6] Health -------------------------------------------------------------

// One worker fails every task at once, so it always has free slots and would
// attract most jobs if it were not ejected.
TEST_CASE("Worker_WhenItFailsEverything_IsEjected") {
  core_simulation world(3);
  uint64_t ticket = 1;
  for (int i = 0; i < 60; ++i) {
    world.Submit(ticket++, MakeRequest(1));
    world.Advance(10);
    world.FinishOne(0, false);
    world.FinishOne(1);
    world.FinishOne(2);
    world.Advance(10);
  }
  CHECK(world.entry.workers[0].health.ejections > 0);
  CHECK(world.entry.workers[1].health.ejections == 0);
  CHECK(world.entry.workers[2].health.ejections == 0);
}

// All jobs fail wherever they run. No worker is at fault.
TEST_CASE("Workers_WhenEveryJobIsBad_AreNotEjected") {
  core_simulation world(3);
  for (uint64_t ticket = 1; ticket <= 60; ++ticket) {
    world.Submit(ticket, MakeRequest(1));
    world.Advance(10);
    for (int w = 0; w < 3; ++w)
      world.FinishOne(w, false);
    world.Advance(10);
  }
  size_t ejected = 0;
  for (const worker_row& w : world.entry.workers)
    ejected += w.health.ejections > 0;
  CHECK(ejected == 0);
}

// The entry has a backlog and holds one worker back as slow or ejected. If it
// still sends the backlog there, the sidecar offers its free slot, the entry
// declines it and sends the backlog again, thousands of times a second: 4,385
// declines in a run of 7,209 tasks.
TEST_CASE_METHOD(two_workers, "Offers_WhenAWorkerIsHeldBack_AreNotRequested") {
  world.Submit(1, MakeRequest(40));
  world.Advance(50);
  REQUIRE(Running(world) == 4);
  world.entry.workers[0].health.ejected_until = world.now + Millis(60'000);
  world.FinishAll(0);
  world.Advance(1000);
  const auto declines =
      world.entry.metrics.records[static_cast<size_t>(record_kind::decline)];
  CHECK(declines <= 4);
}

// A large worker is busy, and a job that only it can run is first in order. A
// job that fits the small, free worker must not wait behind it, and the small
// worker's sidecar must not keep offering slots for a job that doesn't fit.
TEST_CASE_METHOD(two_workers, "Job_WhenAnotherFitsNoFreeWorker_OvertakesIt") {
  world.Announce(0, 2, 1);
  world.Advance(50);
  job_request large = MakeRequest(10);
  for (task_request& task : large.tasks)
    task.cores = 8;
  world.Submit(1, large);
  world.Advance(50);
  REQUIRE(world.running[1].size() == 2);
  world.Submit(2, MakeRequest(12));
  world.Advance(50);
  CHECK(world.running[0].size() == 2);
  world.FinishAll(0);
  world.Advance(1000);
  CHECK(world.running[0].size() == 2);
  const auto declines =
      world.entry.metrics.records[static_cast<size_t>(record_kind::decline)];
  CHECK(declines <= 4);
}

// A sidecar is frozen with its streams open and can't dial again. The entry
// must notice by itself and place nothing there.
TEST_CASE_METHOD(two_workers, "Entry_WhenASidecarFreezes_PlacesNothingThere") {
  world.frozen[0] = true;
  world.Advance(2600);
  CHECK(world.entry.workers[0].state == worker_link::down);
  world.Submit(1, MakeRequest(2));
  world.Advance(20);
  world.FinishAll(1);
  world.Advance(20);
  CHECK(world.Complete(1) != nullptr);
}

// Tasks queue at a sidecar whose stream breaks for good. It must not start them
// when slots become free: the entry may have resolved them as "never started"
// and sent them elsewhere.
TEST_CASE("Queue_WhenItsStreamBreaks_StartsNothing") {
  core_simulation world(1, "two_choices");
  world.Submit(1, MakeRequest(4));
  world.Advance(20);
  REQUIRE(world.sidecars[0].queue.size() == 2);
  world.silent[0] = true;
  world.CutStream(0);
  world.FinishAll(0);
  world.Advance(500);
  CHECK(Running(world) == 0);
  CHECK(world.sidecars[0].queue.empty());
}

// A sidecar with several free slots is notified that one task waits. It must
// offer one slot only: each further one costs an offer and a decline.
TEST_CASE("Offers_WhenOneTaskWaits_AreOne") {
  core_simulation world(1);
  world.Announce(0, 8);
  world.Advance(50);
  entry_frame notification;
  notification.epoch = world.sidecars[0].links[0].epoch;
  notification.backlog = order_key{0};
  notification.backlog_tasks = 1;
  Tick(world.sidecars[0], world.now,
       {link_frame_received{entry_id{0}, notification}});
  CHECK(world.sidecars[0]
            .metrics.records[static_cast<size_t>(record_kind::offer)] == 1);
}

// An entry is stopped while the platform is down and a keyed job's outcome
// can't be written. It must wait for the grace period, and then stop all the
// same.
TEST_CASE_METHOD(one_worker, "Entry_WhenStoppedInAnOutage_StopsAfterTheGrace") {
  world.Submit(1, MakeRequest(1, "payment"));
  world.Advance(20);
  const auto claims = ActionsOfKind<table_transaction>(world.claims);
  REQUIRE(claims.size() == 1);
  const table_row row{claims[0].ops[0].key, 1, claims[0].ops[0].value};
  world.inbox.emplace_back(
      transaction_reply{claims[0].call, true, {{true, row}}});
  world.Advance(50);
  world.FinishAll(0);
  world.Advance(50);
  REQUIRE(world.Complete(1) != nullptr);
  world.inbox.emplace_back(entry_drain_requested{});
  world.Advance(10'000);
  CHECK_FALSE(world.entry.drain_announced);
  world.Advance(25'000);
  CHECK(world.entry.drain_announced);
}
