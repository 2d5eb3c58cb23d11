// Workers that fail their runs, and jobs that fail on any worker: each is told
// from the other.
//
// Contents
//   [1] Outcomes on one worker
//   [2] In the emulated world
//   [3] Seeded plays

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "cassiaferry/run_outcomes.h"
#include "emulated_fixtures.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Outcomes on one worker ---------------------------------------------

struct outcomes_of_a_worker {
  void End(uint64_t job, bool failed) {
    RecordOutcome(o, now, leased_seq{job}, failed);
  }

  micros now = Millis(1000);
  run_outcomes o;
};

// Guards against a wide job whose failures make a sound worker look failing.
TEST_CASE_METHOD(outcomes_of_a_worker,
                 "one_job_fails_many_runs_worker_looks_sound") {
  CHECK(RecordOutcome(o, now, leased_seq{1}, true));
  for (int i = 0; i < 32; ++i)
    CHECK_FALSE(RecordOutcome(o, now, leased_seq{1}, true));
  CHECK_FALSE(LooksFailing(o));
}

TEST_CASE_METHOD(outcomes_of_a_worker,
                 "several_jobs_fail_worker_looks_failing") {
  for (uint64_t job = 1; job <= 4; ++job)
    End(job, true);
  CHECK(LooksFailing(o));
  for (uint64_t job = 5; job <= 6; ++job)
    End(job, false);
  CHECK_FALSE(LooksFailing(o));
}

// Guards against a worker with one long run at a time that stays suspect.
TEST_CASE_METHOD(outcomes_of_a_worker,
                 "no_run_ends_for_long_outcomes_are_forgotten") {
  for (uint64_t job = 1; job <= 8; ++job)
    End(job, true);
  ForgetOldOutcomes(o, now + Millis(1500));
  CHECK(LooksFailing(o));
  ForgetOldOutcomes(o, now + Millis(2100));
  CHECK_FALSE(LooksFailing(o));
}

TEST_CASE("at_most_a_third_of_workers_counts_as_failing") {
  CHECK_FALSE(MayCountAsFailing(0, 1));
  CHECK(MayCountAsFailing(0, 2));
  CHECK_FALSE(MayCountAsFailing(1, 5));
  CHECK(MayCountAsFailing(1, 6));
  CHECK_FALSE(MayCountAsFailing(2, 8));
}

// ---- [2] In the emulated world ----------------------------------------------

world_options OptionsOf(uint64_t seed) {
  world_options options;
  options.seed = seed;
  options.workers = 8;
  options.has_store = true;
  return options;
}

struct workers_and_hopeless_jobs {
  explicit workers_and_hopeless_jobs(uint64_t seed = 1) : w(OptionsOf(seed)) {
    w.Pass(Millis(1500));
  }

  std::string Submit(int entry,
                     uint32_t tasks,
                     int64_t cpu,
                     int64_t ms,
                     bool hopeless = false) {
    emulated_job job = MakeJob("job-" + std::to_string(next++), tasks, cpu, ms);
    job.hopeless = hopeless;
    job.durable = true;
    std::string id = job.id;
    w.SubmitTo(entry, std::move(job));
    return id;
  }

  void SubmitLongWork(int entry, int jobs) {
    for (int i = 0; i < jobs; ++i)
      long_work.push_back(Submit(entry, 1, 1000, 10'000));
  }

  int64_t CpuInUse() const {
    int64_t cpu = 0;
    for (int i = 0; i < w.options.workers; ++i)
      cpu += w.UsedBy(i).cpu;
    return cpu;
  }

  bool HasRun(const std::string& id) const {
    return std::any_of(
        w.workers.begin(), w.workers.end(), [&](const emulated_worker& worker) {
          return std::any_of(
              worker.runs.begin(), worker.runs.end(),
              [&](const auto& row) { return row.first.job == id; });
        });
  }

  // Looks at the long work for a while, while none of it can be done yet: for
  // 3 s a job must not have nothing running while under half of the capacity
  // is in use.
  void RequireRoomIsUsed(micros time) {
    constexpr micros kLook = Millis(100);
    constexpr micros kMostIdle = Millis(3000);
    const int64_t capacity = w.CapacityOf(0).cpu * w.options.workers;
    std::map<std::string, micros> idle_since;
    for (const micros until = w.now + time; w.now < until;) {
      w.Pass(kLook);
      const bool has_room = 2 * CpuInUse() < capacity;
      for (const std::string& id : long_work) {
        if (!has_room || HasRun(id))
          idle_since.erase(id);
        else
          idle_since.emplace(id, w.now);
      }
      for (const auto& [id, since] : idle_since) {
        INFO(id << " has nothing running at " << ToMillis(w.now));
        REQUIRE(w.now - since < kMostIdle);
      }
    }
  }

  world w;
  int next = 0;
  std::vector<std::string> long_work;
};

// Guards against accepted jobs that wait beside idle workers, as jobs that can
// never be done have failed there.
TEST_CASE_METHOD(workers_and_hopeless_jobs,
                 "wide_hopeless_jobs_before_long_work_room_is_used") {
  for (int i = 0; i < 2; ++i) {
    Submit(0, 32, 1600, 60, true);
    w.Pass(Millis(1500));
  }
  SubmitLongWork(0, 60);
  RequireRoomIsUsed(Millis(6000));
  CHECK(CpuInUse() == 60'000);
}

// The same where nothing but hopeless jobs has run for long.
TEST_CASE_METHOD(workers_and_hopeless_jobs,
                 "only_hopeless_jobs_before_long_work_room_is_used") {
  for (int i = 0; i < 40; ++i) {
    Submit(0, 4, 1600, 60, true);
    w.Pass(Millis(60));
  }
  SubmitLongWork(0, 60);
  RequireRoomIsUsed(Millis(6000));
}

// Guards against a worker that fails all and gets every task, as hopeless jobs
// take the blame.
TEST_CASE_METHOD(workers_and_hopeless_jobs,
                 "hopeless_jobs_beside_a_failing_worker_both_told_apart") {
  w.workers[0].fails_all = true;
  std::vector<std::string> sound;
  const auto submit_for_seconds = [&](int seconds) {
    for (int i = 0; i < 20 * seconds; ++i) {
      const bool hopeless = i % 10 == 0;
      const std::string id = Submit(i % 3, 4, 1000, 60, hopeless);
      if (!hopeless)
        sound.push_back(id);
      w.Pass(Millis(50));
    }
  };
  submit_for_seconds(3);
  const uint64_t before = w.workers[0].starts;
  submit_for_seconds(3);
  // Three entries, and probes that are at most 800 ms apart.
  CHECK(w.workers[0].starts - before < 30);
  w.Pass(Millis(2000));
  for (const std::string& id : sound)
    CHECK(w.jobs[id].done_at.value != 0);
  SubmitLongWork(0, 60);
  RequireRoomIsUsed(Millis(6000));
  RequireNoneBroken(w.violations);
}

// ---- [3] Seeded plays -------------------------------------------------------

// Short jobs, some of them hopeless, at each entry, on some days beside a
// worker that fails all; then long work.
TEST_CASE("hopeless_jobs_before_long_work_seeded_room_is_used") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    workers_and_hopeless_jobs play(seed);
    std::minstd_rand draw(static_cast<uint32_t>(seed));
    const uint32_t hopeless_one_in = 1 + draw() % 20;
    play.w.workers[0].fails_all = draw() % 2 == 0;
    for (int i = 0; i < 60; ++i) {
      const auto entry = static_cast<int>(draw() % 3);
      const auto tasks = 1 + static_cast<uint32_t>(draw() % 32);
      play.Submit(entry, tasks, 1600, 60, draw() % hopeless_one_in == 0);
      play.w.Pass(Millis(static_cast<int64_t>(draw() % 100)));
    }
    play.w.Pass(Millis(1000));
    play.SubmitLongWork(static_cast<int>(draw() % 3), 60);
    play.RequireRoomIsUsed(Millis(8000));
    RequireNoneBroken(play.w.violations);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
