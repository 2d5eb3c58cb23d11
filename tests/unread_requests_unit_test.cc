// Requests that were read long after they arrived, as their entry stood still.
//
// Contents
//   [1] Leased jobs
//   [2] Jobs of the product's own interface

#include <catch2/catch.hpp>
#include <string>

#include "core_harness.h"
#include "emulator/leased_world.h"

namespace cassiaferry {
namespace {

// ---- [1] Leased jobs --------------------------------------------------------

struct entry_frozen_with_a_request {
  entry_frozen_with_a_request() : w(Options()) {
    w.Pass(Millis(5000));
    w.FreezeEntry(0, Millis(1600));
  }

  static emulator::world_options Options() {
    emulator::world_options options;
    options.entries = 1;
    options.workers = 2;
    return options;
  }

  void Submit(int64_t wait_ms) {
    emulator::emulated_job job = emulator::MakeJob("job", 1, 1000, 50);
    job.wait_ms = wait_ms;
    w.SubmitTo(0, std::move(job));
    w.Pass(Millis(2500));
  }

  emulator::world w;
};

// Guards against a start for a caller whose deadline passed before its request
// was read.
TEST_CASE_METHOD(entry_frozen_with_a_request,
                 "request_read_after_its_deadline_nothing_starts") {
  Submit(300);
  CHECK_FALSE(w.jobs.at("job").started);
}

// Guards against giving up a request that is read late but in time.
TEST_CASE_METHOD(entry_frozen_with_a_request,
                 "request_read_before_its_deadline_is_served") {
  Submit(6000);
  CHECK(w.jobs.at("job").fate == emulator::job_fate::completed);
}

// ---- [2] Jobs of the product's own interface --------------------------------

struct entry_with_slots : testing::core_simulation {
  entry_with_slots() : core_simulation(1) {
    Announce(0, 4);
    Advance(1000);
  }

  void SubmitReceived(micros received) {
    job_request request = testing::MakeRequest(2);
    request.deadline_ms = 500;
    inbox.emplace_back(
        job_submitted{ticket_id{1}, std::move(request), received});
    Advance(100);
  }
};

// Guards against a start for a caller whose deadline passed before its request
// was read.
TEST_CASE_METHOD(entry_with_slots,
                 "job_read_after_its_deadline_fails_not_run") {
  SubmitReceived(now - Millis(600));
  REQUIRE(Failed(1) != nullptr);
  CHECK(Failed(1)->error.cause == reason::deadline);
  CHECK(Failed(1)->error.run_verdict == verdict::not_run);
  CHECK(starts.empty());
}

// Guards against giving up a request that is read late but in time.
TEST_CASE_METHOD(entry_with_slots, "job_read_before_its_deadline_is_started") {
  SubmitReceived(now - Millis(300));
  CHECK(starts.size() == 2);
}

}  // namespace
}  // namespace cassiaferry
