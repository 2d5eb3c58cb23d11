// The whole path with real processes: answers whole and in order, refusals
// clear.

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>

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

// 64 callers at once, on two entries, with jobs of many sizes: every answer
// must be whole, in order, and the caller's own.
TEST_CASE_METHOD(small_system, "Callers_WhenManyAtOnce_EachGetTheirOwnAnswer") {
  constexpr int kCallers = 64;
  constexpr int kJobsEach = 10;
  std::vector<std::future<int>> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [this, caller] {
      int right = 0;
      for (int n = 0; n < kJobsEach; ++n) {
        const int tasks = 1 + (caller * 7 + n * 13) % 30;
        const std::string text =
            "echo:" + std::to_string(caller) + "/" + std::to_string(n);
        const reply r = sys.Job(caller % 2, MakeJob(tasks, text));
        bool own = r.status == 200 &&
                   r.body["results"].size() == static_cast<size_t>(tasks);
        for (int i = 0; own && i < tasks; ++i)
          own = r.body["results"][i]["output"] == text.substr(5);
        right += own;
      }
      return right;
    }));
  }
  for (auto& caller : callers)
    CHECK(caller.get() == kJobsEach);
  CHECK(sys.DuplicateStarts() == 0);
}

// Guards against signals to a process that has the number of a child that was
// waited for.
TEST_CASE_METHOD(small_system, "Signal_ToWhatIsNoChild_IsNotSent") {
  cassiaferry::child stranger;
  stranger.pid = sys.info["entries"][0]["pid"];
  cassiaferry::SignalChild(stranger, SIGKILL);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(sys.Status(0).is_object());
}
