// Lives of one worker: it starts again, under a new id or the one that it had.
//
// Contents
//   [1] Fixture
//   [2] Under its id
//   [3] Seeded runs

#include <algorithm>
#include <catch2/catch.hpp>

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
    SubmitMany(60);
    w.Pass(Millis(2000));
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

  void RequireNothingBroken() const {
    for (const violation& v : w.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    REQUIRE(w.violations.empty());
  }

  static constexpr uint32_t kTasks = 4;
  world w;
  int next = 0;
};

// ---- [2] Under its id -------------------------------------------------------

// What a user sees: answers that come seconds late, or not at all, long after
// workers came back. Order: a worker that has run some tasks starts again under
// its id, and numbers the ends of tasks from 1 again; each task that it has
// done is run once more, there or elsewhere.
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
// that was heard tasks are still started there.
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

// ---- [3] Seeded runs --------------------------------------------------------

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
