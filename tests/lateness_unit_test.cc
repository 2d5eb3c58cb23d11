// What an entry that acts late refuses, and what it says of that.
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

// An entry with workers that have room, and frames that were late of late.
struct late_entry {
  late_entry() : w(Options()) { w.Pass(Millis(1500)); }

  static world_options Options() {
    world_options options;
    options.entries = 1;
    return options;
  }

  entry_state& Entry() const { return *w.entries[0].core; }

  // For a second, so that as much is refused as may be.
  void ActLateBy(micros late) {
    lateness& l = Entry().leased.late;
    for (int i = 0; i < 10; ++i) {
      l.sum_us = 0;
      l.frames = 0;
      RecordFrameDelay(l, late.value);
      TickLateness(l, l.interval_start + l.options.interval);
    }
  }

  // Of a hundred jobs of so much work.
  int Refused(int64_t run_ms) {
    leased_job job;
    job.queue.name = kQueue;
    job.queue.stretch = 1.6;
    job.queue.allowance_ms = 60;
    job.steps.resize(1);
    job.steps[0].expected_ms = run_ms;
    SetBounds(job, w.now, Millis(3000), 1);
    int refused = 0;
    for (int i = 0; i < 100; ++i)
      refused += RefusesNewWork(Entry(), job) ? 1 : 0;
    return refused;
  }

  world w;
};

// ---- [2] Refusals -----------------------------------------------------------

// What a user sees: in the first quiet seconds one request in four is refused,
// with workers free and nobody late. Order: frames to an entry come 30 ms late
// for a while; it refuses a share of all that comes, also of what could wait
// for it and be in time. A task of 60 ms has 96 ms beside its work.
TEST_CASE_METHOD(late_entry, "entry_late_job_with_time_for_it_is_taken") {
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

// Failure guarded against: an entry far behind takes what has time, falls back
// further, and its runs lapse as their heartbeats wait.
TEST_CASE_METHOD(late_entry, "entry_far_behind_long_jobs_are_refused_too") {
  ActLateBy(Millis(150));
  CHECK(Refused(900) > 70);
}

// What a user sees: requests are refused for seconds after the cause has gone.
TEST_CASE_METHOD(late_entry,
                 "entry_in_time_again_refuses_nothing_a_second_on") {
  ActLateBy(Millis(150));
  ActLateBy(Millis(1));
  CHECK(Refused(60) == 0);
  CHECK(Entry().leased.late.refuse_share == 0);
}

// ---- [3] Log ----------------------------------------------------------------

// What an engineer on call sees: under load the lines of hundreds of refused
// starts a second crowd out the others. One line tells of those of a report.
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
