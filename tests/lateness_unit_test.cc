// Refusals by an entry that is late, and how it logs them.
//
// Contents
//   [1] Fixture
//   [2] Refusals
//   [3] Log

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "cassiaferry/lateness.h"
#include "core/leased_systems.h"
#include "emulator/leased_world.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// An entry with free workers, whose recent frames were late.
struct late_entry {
  late_entry() : w(Options()) { w.Pass(Millis(1500)); }

  static world_options Options() {
    world_options options;
    options.entries = 1;
    return options;
  }

  entry_state& Entry() const { return *w.entries[0].core; }

  // For a second, so that the refused share reaches its maximum.
  void ActLateBy(micros late) {
    lateness& l = Entry().leased.late;
    for (int i = 0; i < 10; ++i) {
      l.sum_us = 0;
      l.frames = 0;
      RecordFrameDelay(l, late.value);
      TickLateness(l, l.interval_start + l.options.interval);
    }
  }

  // Number of jobs refused out of a hundred with so much work.
  int Refused(int64_t run_ms) {
    leased_job job;
    job.queue.name = kQueue;
    job.queue.stretch = 1.6;
    job.queue.allowance_ms = 60;
    job.steps.resize(1);
    job.steps[0].expected_ms = run_ms;
    SetBounds(job, w.now, 1);
    int refused = 0;
    for (int i = 0; i < 100; ++i)
      refused += RefusesNewWork(Entry(), job) ? 1 : 0;
    return refused;
  }

  world w;
};

// ---- [2] Refusals -----------------------------------------------------------

// Guards against one request in four refused in the first quiet seconds,
// although workers are free and nothing is late. Frames to an entry come 30 ms
// late for a while, and it refuses a share of all jobs, even of those that
// could wait for it and be in time. A task of 60 ms has 96 ms beside its work.
TEST_CASE_METHOD(late_entry, "entry_late_job_with_time_to_spare_is_accepted") {
  ActLateBy(Millis(40));
  REQUIRE(Entry().leased.late.refuse_share > 0.5);
  CHECK(Refused(60) == 0);
  CHECK(Refused(900) == 0);
}

TEST_CASE_METHOD(late_entry, "entry_later_job_that_would_be_late_is_refused") {
  ActLateBy(Millis(70));
  CHECK(Refused(60) > 70);
  CHECK(Refused(900) == 0);
}

// Guards against an entry far behind that accepts jobs with time to spare,
// falls back further, and loses its runs because their heartbeats wait.
TEST_CASE_METHOD(late_entry, "entry_far_behind_long_jobs_are_refused_too") {
  ActLateBy(Millis(150));
  CHECK(Refused(900) > 70);
}

// Guards against an entry that refuses nothing and answers everything late,
// because its frames are in time and its callers' requests are not read.
TEST_CASE_METHOD(late_entry, "entry_reads_requests_late_counts_as_late") {
  lateness& l = Entry().leased.late;
  for (int i = 0; i < 10; ++i) {
    RecordFrameDelay(l, 0);
    RecordReadDelay(l, Millis(150));
    TickLateness(l, l.interval_start + l.options.interval);
  }
  CHECK(l.is_late);
  CHECK(Refused(60) > 70);
}

// Guards against requests refused for seconds after the cause has gone.
TEST_CASE_METHOD(late_entry,
                 "entry_in_time_again_refuses_nothing_after_a_second") {
  ActLateBy(Millis(150));
  ActLateBy(Millis(1));
  CHECK(Refused(60) == 0);
  CHECK(Entry().leased.late.refuse_share == 0);
}

// ---- [3] Log ----------------------------------------------------------------

// Guards against a log in which, under load, hundreds of lines a second about
// refused starts hide all others. The refused starts of a report make one line.
TEST_CASE_METHOD(late_entry, "starts_refused_together_logged_in_one_line") {
  Entry().actions.clear();
  std::vector<run_end> ends;
  for (uint32_t i = 0; i < 8; ++i)
    ends.push_back(
        {i + 1, {{"job", 0, 0, i}, 1}, run_end_kind::never_started, 0});
  LogRefusedStarts(Entry(), worker_id{0}, ends);
  REQUIRE(Entry().actions.size() == 1);
  const auto* line = std::get_if<leased_decision>(&Entry().actions[0]);
  REQUIRE(line != nullptr);
  CHECK(std::string(line->what) == "starts refused");
  CHECK(line->job == "job");
  CHECK(line->detail.find("runs 8") != std::string::npos);
}

}  // namespace
}  // namespace cassiaferry::emulator
