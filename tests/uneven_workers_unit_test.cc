// Decisions for workers of different pace.
//
// Contents
//   [1] Fixture
//   [2] Placement
//   [3] Moves

#include <catch2/catch.hpp>
#include <string>

#include "cassiaferry/uneven_workers.h"
#include "core/entry_systems.h"
#include "core/leased_systems.h"
#include "emulator/leased_world.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

constexpr int64_t kShortMs = 60;
constexpr int64_t kLongMs = 900;

// An entry with a slow worker (0) and a fast one (1) among usual ones.
struct uneven_workers {
  uneven_workers() : w(Options()) {
    w.Pass(Millis(1500));
    for (leased_worker& worker : Leased().workers)
      worker.report_received_at = w.now;
    SetPaces();
  }

  static world_options Options() {
    world_options options;
    options.entries = 1;
    options.workers = 5;
    options.adapts_to_uneven_workers = true;
    return options;
  }

  entry_state& Entry() const { return *w.entries[0].core; }
  leased_state& Leased() const { return Entry().leased; }

  void SetPaces() {
    for (leased_worker& worker : Leased().workers)
      worker.pace = 1;
    Leased().workers[0].pace = 0.55;
    Leased().workers[1].pace = 1.6;
    MeasureUsualPace(Leased());
  }

  // Worker for a task of a job that arrives now.
  uint32_t Chosen(int64_t run_ms, double stretch) const {
    leased_job job;
    job.queue = Entry().config.queues.front();
    job.queue.stretch = stretch;
    job.queue.allowance_ms = 0;
    job.steps.resize(1);
    job.steps[0].need.cpu = 1000;
    job.steps[0].expected_ms = run_ms;
    SetBounds(job, w.now, 1);
    return ChooseWorker(Entry(), w.now, job, 0, 1)->value;
  }

  world w;
};

// A task of 900 ms with 1,440 ms to go.
pace_request LongTask() {
  return {1, true, static_cast<double>(kLongMs), 1.6 * kLongMs};
}

// ---- [2] Placement ----------------------------------------------------------

// Guards against long jobs that stay on slow workers and are late.
TEST_CASE("pace_cost_late_on_slow_worker_costs_more_than_any_worker_in_time") {
  CHECK(PaceCost(LongTask(), 0.55) >= 3);
  CHECK(PaceCost(LongTask(), 2) < 1);
}

// Guards against short jobs that take the fast workers from long ones.
TEST_CASE("pace_cost_in_time_everywhere_fast_worker_costs_most") {
  const pace_request task{1, true, kShortMs, 4 * kShortMs};
  CHECK(PaceCost(task, 0.55) < PaceCost(task, 1));
  CHECK(PaceCost(task, 1) < PaceCost(task, 1.6));
}

// Guards against late jobs spread over slow workers, where they take even more
// capacity for as long: slowness then costs as without the option.
TEST_CASE("pace_cost_late_on_usual_worker_is_as_without_the_option") {
  pace_request task = LongTask();
  task.left_ms = 0.5 * kLongMs;
  pace_request off = task;
  off.by_time_left = false;
  for (double pace : {0.01, 0.3, 0.55, 1.0, 1.6})
    CHECK(PaceCost(task, pace) == PaceCost(off, pace));
}

// Guards against a changed decision where the option is off or workers are
// even: the cost is the slowness alone.
TEST_CASE("pace_cost_switched_off_is_the_slowness") {
  pace_request task = LongTask();
  task.by_time_left = false;
  CHECK(PaceCost(task, 0.5) == 1);
  CHECK(PaceCost(task, 1) == 0);
  CHECK(PaceCost(task, 2) == 0);
  CHECK(PaceCost(task, 0.01) == 4);
}

TEST_CASE_METHOD(uneven_workers, "placement_long_job_avoids_the_slow_worker") {
  CHECK(Chosen(kLongMs, 1.6) != 0);
}

TEST_CASE_METHOD(uneven_workers, "placement_short_job_leaves_fast_one_free") {
  CHECK(Chosen(kShortMs, 4) == 0);
}

// Guards against decisions that change with the option off: a short job then
// avoids the slow worker as before.
TEST_CASE_METHOD(uneven_workers, "placement_switched_off_is_by_pace_alone") {
  Leased().options.adapts_to_uneven_workers = false;
  CHECK(Chosen(kShortMs, 4) != 0);
}

// Guards against placement by pace among workers that differ by noise only.
TEST_CASE_METHOD(uneven_workers, "placement_even_workers_is_by_pace_alone") {
  Leased().workers[0].pace = 0.85;
  MeasureUsualPace(Leased());
  CHECK(Leased().uneven_upstreams.empty());
  CHECK(Chosen(kShortMs, 4) != 0);
}

// ---- [3] Moves --------------------------------------------------------------

move_budget PlentyOfWorkDone() {
  move_budget budget;
  RecordDone(budget, 1e9, Millis(1000));
  return budget;
}

// Guards against a nearly finished run that is started again elsewhere.
TEST_CASE("move_run_that_ends_later_elsewhere_is_declined") {
  move_budget budget = PlentyOfWorkDone();
  CHECK(DecideMove({0.5, 1, 100, 0.5}, budget, Millis(1000)) ==
        move_decision::no_gain);
  // 50 ms on either; the numbers are exact in binary.
  CHECK(DecideMove({0.5, 1, 40, 0.625}, budget, Millis(1000)) ==
        move_decision::no_gain);
  CHECK(DecideMove({0.5, 1, 100, 0.6}, budget, Millis(1000)) ==
        move_decision::move);
}

// Guards against moves that discard more work than they save.
TEST_CASE("move_budget_used_up_is_declined_until_work_is_done") {
  const move_request run{0.3, 1, 1000, 0.9};
  move_budget budget;
  RecordDone(budget, 1000, Millis(1000));
  CHECK(DecideMove(run, budget, Millis(1000)) == move_decision::move);
  RecordDiscarded(budget, 20, Millis(1000));
  CHECK(DecideMove(run, budget, Millis(1000)) == move_decision::no_budget);
  RecordDone(budget, 1000, Millis(1000));
  CHECK(DecideMove(run, budget, Millis(1000)) == move_decision::move);
}

// A slow worker with one run of a long job, and what becomes of the run.
struct straggling_run : uneven_workers {
  // Reports the run of `percent` done as a straggler on a worker of that pace.
  // Returns whether it was stopped.
  bool IsMoved(double pace, uint32_t percent) {
    emulated_job job;
    job.id = "long";
    job.queue = kQueue;
    job.steps.resize(1);
    job.steps[0].need.cpu = 1000;
    job.steps[0].expected_ms = kLongMs;
    job.run_ms = {10 * kLongMs};
    w.SubmitTo(0, job);
    w.Pass(Millis(100));
    SetPaces();
    leased_task_row& row = FindLeasedJob(Leased(), "long")->tasks[0];
    const worker_id on = row.worker;
    Leased().workers[on.value].pace = pace;
    lease_reports reports;
    reports.pace = static_cast<uint32_t>(pace * 1000);
    reports.accepts_work = true;
    reports.stragglers = {{RefOf(row), 100, percent}};
    HandleReports(Entry(), w.now, on, reports);
    return row.moving;
  }
};

// Guards against moves beyond the budget: nothing has been done yet.
TEST_CASE_METHOD(straggling_run, "move_off_slow_worker_without_budget_stays") {
  CHECK(!IsMoved(0.4, 5));
  CHECK(Leased().moves.no_budget == 1);
}

TEST_CASE_METHOD(straggling_run, "move_off_slow_worker_with_budget_moves") {
  RecordDone(Leased().budget_of_moves, 1e9, w.now);
  CHECK(IsMoved(0.4, 5));
  CHECK(Leased().moves.moves == 1);
}

// Guards against a run that stays on a stalled worker for want of a budget.
TEST_CASE_METHOD(straggling_run, "move_off_stalled_worker_needs_no_budget") {
  CHECK(IsMoved(0.05, 5));
}

// Guards against a budget that bounds moves with the option off.
TEST_CASE_METHOD(straggling_run, "move_switched_off_needs_no_budget") {
  Leased().options.adapts_to_uneven_workers = false;
  CHECK(IsMoved(0.4, 5));
}

}  // namespace
}  // namespace cassiaferry::emulator
