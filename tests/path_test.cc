// The whole path with real processes: answers whole and in order, refusals
// clear.

#include <catch2/catch.hpp>

#include "system.h"

using namespace cassiaferry::testing;  // NOLINT(google-build-using-namespace)

namespace {

struct small_system {
  test_system sys{system_options{2, 2, json::object()}};
};

}  // namespace

TEST_CASE_METHOD(small_system, "Entry_WhenJobHasManyTasks_AnswersAllInOrder") {
  json job = MakeJob(0, "");
  for (int i = 0; i < 40; ++i)
    job["tasks"].push_back({{"payload", "echo:" + std::to_string(i)}});
  const reply r = sys.Job(0, job);
  REQUIRE(r.status == 200);
  REQUIRE(r.body["state"] == "complete");
  REQUIRE(r.body["results"].size() == 40);
  for (int i = 0; i < 40; ++i) {
    CHECK(r.body["results"][i]["task"] == i);
    CHECK(r.body["results"][i]["output"] == std::to_string(i));
  }
  CHECK(sys.DuplicateStarts() == 0);
}

TEST_CASE_METHOD(small_system, "Entry_WhenATaskFails_FailsTheWholeJob") {
  json job = MakeJob(3, "echo:x");
  job["tasks"][1]["payload"] = "fail";
  const reply r = sys.Job(1, job);
  CHECK(r.status == 502);
  CHECK(r.body["state"] == "failed");
  CHECK(r.body["verdict"] == "may_have_run");
  CHECK(r.body["reason"] == "task_failed");
  CHECK_FALSE(r.body.contains("results"));
}
