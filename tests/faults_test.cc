// Processes that die, freeze or fall silent, with real processes: no task
// starts twice, no "not run" is false, no answer is partial, and service comes
// back.
//
// Contents
//   [1] Kills
//   [2] Freezes
//   [3] Silent and broken connections
//   [4] Upstreams
//   [5] Planned stops

#include <signal.h>  // NOLINT(modernize-deprecated-headers): SIGSTOP

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "system.h"

using namespace cassiaferry::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLongTaskMs = 1500;

std::string Sleep(int ms) {
  return "sleep:" + std::to_string(ms);
}

// Whole, or failed with a verdict: nothing in between.
bool IsWholeOrFailed(const reply& r, size_t tasks) {
  if (!r.body.is_object())
    return false;
  if (r.status == 200)
    return r.body["results"].size() == tasks;
  return r.body["state"] == "failed" && !r.body.contains("results");
}

bool ServesAgain(const test_system& sys, int entry) {
  return Eventually(
      [&] { return sys.Job(entry, MakeJob(2, "echo:x", 2000)).status == 200; });
}

// Sends jobs from several threads until told to stop; counts the answers.
class steady_load {
 public:
  steady_load(const test_system& sys, const std::vector<int>& entries) {
    for (int entry : entries) {
      callers_.push_back(std::async(std::launch::async, [this, &sys, entry] {
        while (!stop_) {
          const reply r = sys.Job(entry, MakeJob(3, Sleep(30)));
          ++(r.status == 200 ? complete : failed);
          if (r.status != 200)
            last_failure = r.text;
        }
      }));
    }
  }
  ~steady_load() { Stop(); }
  void Stop() {
    stop_ = true;
    for (auto& caller : callers_) {
      if (caller.valid())
        caller.get();
    }
  }

  std::atomic<int> complete{0};
  std::atomic<int> failed{0};
  std::string last_failure;

 private:
  std::atomic<bool> stop_{false};
  std::vector<std::future<void>> callers_;
};

struct two_by_two {
  test_system sys{system_options{2, 2, json::object()}};
};

struct proxied_links {
  test_system sys{system_options{1, 2, {{"link_proxy", true}}}};
};

struct proxied_upstreams {
  test_system sys{system_options{1, 1, {{"upstream_proxy", true}}}};
};

}  // namespace

// ---- [1] Kills --------------------------------------------------------------

// A job runs on two workers; one worker's sidecar is killed. What ran there
// can't be known: the job fails as "may have run" within seconds, well before
// its deadline. Once a new sidecar stands there, jobs run again.
TEST_CASE_METHOD(two_by_two, "Sidecar_WhenKilled_FailsItsJobsHonestly") {
  auto answer = sys.JobLater(0, MakeJob(16, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Signal("sidecars", 0, SIGKILL);
  const reply r = answer.get();
  CHECK(r.status == 502);
  CHECK(r.body["verdict"] == "may_have_run");
  CHECK(r.body["reason"] == "worker_lost");
  sys.Restart("sidecars", 0);
  CHECK(Eventually([&] { return sys.UpLinks(0) == 2; }));
  CHECK(ServesAgain(sys, 0));
  CHECK(sys.DuplicateStarts() == 0);
}

// An entry is killed under load. Its callers see their connections close; the
// other entry goes on without a failure, and the slots that the dead entry's
// tasks hold become free once they end.
TEST_CASE_METHOD(two_by_two, "Entry_WhenKilled_LeavesOthersServing") {
  auto lost = sys.JobLater(0, MakeJob(16, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Signal("entries", 0, SIGKILL);
  CHECK(lost.get().status == 0);
  const reply r = sys.Job(1, MakeJob(16, Sleep(50)));
  CHECK(r.status == 200);
  sys.Restart("entries", 0);
  CHECK(Eventually([&] { return sys.UpLinks(0) == 2; }));
  CHECK(ServesAgain(sys, 0));
  CHECK(sys.DuplicateStarts() == 0);
}

// ---- [2] Freezes ------------------------------------------------------------

// An entry is paused for longer than the silence limit while a job of its own
// runs, and resumes unaware. Its sidecars have hung up; on the fresh streams it
// learns the results, and the caller gets the whole answer.
TEST_CASE_METHOD(two_by_two, "Entry_WhenPausedAndResumed_AnswersItsJobs") {
  auto answer = sys.JobLater(0, MakeJob(8, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 8; }));
  sys.Signal("entries", 0, SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(4));  // the pause itself
  sys.Signal("entries", 0, SIGCONT);
  const reply r = answer.get();
  CHECK(IsWholeOrFailed(r, 8));
  CHECK(r.status == 200);
  CHECK(sys.DuplicateStarts() == 0);
}

// The same for a sidecar, for less than the grace after which its tasks are
// given up.
TEST_CASE_METHOD(two_by_two,
                 "Sidecar_WhenPausedAndResumed_DeliversItsResults") {
  auto answer = sys.JobLater(0, MakeJob(16, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Signal("sidecars", 0, SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  sys.Signal("sidecars", 0, SIGCONT);
  const reply r = answer.get();
  CHECK(IsWholeOrFailed(r, 16));
  CHECK(r.status == 200);
  CHECK(sys.DuplicateStarts() == 0);
}

// A sidecar is paused for longer than the grace, with tasks queued to it. The
// entry gives them up as "may have run"; resumed, the sidecar must not start
// what it still holds, and serves new jobs.
TEST_CASE_METHOD(two_by_two, "Sidecar_WhenPausedForLong_StartsNothingStale") {
  auto answer = sys.JobLater(0, MakeJob(16, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Signal("sidecars", 0, SIGSTOP);
  const reply r = answer.get();
  CHECK(r.body["verdict"] == "may_have_run");
  sys.Signal("sidecars", 0, SIGCONT);
  CHECK(Eventually([&] { return sys.UpLinks(0) == 2; }));
  CHECK(ServesAgain(sys, 0));
  CHECK(sys.DuplicateStarts() == 0);
}

// ---- [3] Silent and broken connections --------------------------------------

// Something between entry and sidecar loses track of their connection: it stays
// open and carries nothing in one direction or both, while new connections
// work. The job in flight is answered whole over a fresh connection.
TEST_CASE_METHOD(proxied_links, "Link_WhenItGoesSilent_IsReplacedByAFreshOne") {
  const json freeze = GENERATE(
      json{{"freeze_to_target", true}, {"freeze_to_source", true}},
      json{{"freeze_to_target", true}}, json{{"freeze_to_source", true}});
  CAPTURE(freeze.dump());
  auto answer = sys.JobLater(0, MakeJob(16, Sleep(500)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Proxy("link_listeners", 0, freeze);
  const reply r = answer.get();
  CHECK(r.status == 200);
  CHECK(IsWholeOrFailed(r, 16));
  CHECK(Eventually([&] { return sys.UpLinks(0) == 2; }));
  CHECK(ServesAgain(sys, 0));
  CHECK(sys.DuplicateStarts() == 0);
}

// The connection is cut again and again while jobs run.
TEST_CASE_METHOD(proxied_links, "Link_WhenCutRepeatedly_LosesNoJob") {
  std::vector<std::future<reply>> answers;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 4; ++i)
      answers.push_back(sys.JobLater(0, MakeJob(6, Sleep(100))));
    sys.Proxy("link_listeners", 0, {{"cut", true}});
    REQUIRE(Eventually([&] { return sys.UpLinks(0) == 2; }));
  }
  for (auto& answer : answers) {
    const reply r = answer.get();
    CAPTURE(r.text);
    CHECK(IsWholeOrFailed(r, 6));
    // Refused while no worker was linked, or answered whole: never "may have
    // run".
    CHECK((r.status == 200 || r.body["verdict"] == "not_run"));
  }
  CHECK(sys.DuplicateStarts() == 0);
}

// ---- [4] Upstreams ----------------------------------------------------------

// The upstream's answer breaks off in the middle. The task ran: no second
// start, and the caller hears "may have run".
TEST_CASE_METHOD(proxied_upstreams,
                 "Upstream_WhenItsAnswerBreaksOff_IsNotAskedTwice") {
  sys.Proxy("upstream_listeners", 0, {{"cut_after", 20}});
  const reply r = sys.Job(0, MakeJob(1, "echo:a long enough text to be cut"));
  CHECK(r.status == 502);
  CHECK(r.body["verdict"] == "may_have_run");
  CHECK(sys.Starts() == 1);
}

// The upstream takes the request and closes the connection without a byte. An
// HTTP client that retries by itself would send the task twice.
TEST_CASE_METHOD(proxied_upstreams,
                 "Upstream_WhenItClosesWithoutAnswer_IsNotAskedTwice") {
  for (int i = 0; i < 3; ++i)
    CHECK(sys.Job(0, MakeJob(1, "echo:x")).status == 200);
  const int before = sys.Starts();
  sys.Proxy("upstream_listeners", 0, {{"cut_after", 0}});
  const reply r = sys.Job(0, MakeJob(1, "echo:x"));
  CHECK(r.body["verdict"] == "may_have_run");
  CHECK(sys.Starts() == before + 1);
  CHECK(sys.DuplicateStarts() == 0);
}

// Nothing listens where the upstream should be: the task provably did not run,
// and the job says so at its deadline.
TEST_CASE_METHOD(proxied_upstreams, "Upstream_WhenItCantBeReached_SaysNotRun") {
  sys.Signal("upstreams", 0, SIGKILL);
  const reply r = sys.Job(0, MakeJob(1, "echo:x", 1500));
  CHECK(r.status >= 400);
  CHECK(r.body.value("verdict", "") != "ran");
}

// An upstream refuses with proof: the other one gets the tasks.
TEST_CASE_METHOD(two_by_two,
                 "Upstream_WhenItRefusesWithProof_OthersRunItsTasks") {
  sys.Behave(0, {{"mode", "refuse"}});
  for (int i = 0; i < 5; ++i) {
    const reply r = sys.Job(0, MakeJob(4, "echo:x"));
    CHECK(r.status == 200);
  }
  CHECK(sys.DuplicateStarts() == 0);
}

// The caller hangs up: its tasks stop, and their slots are free at once.
TEST_CASE_METHOD(two_by_two, "Caller_WhenItHangsUp_CancelsItsTasks") {
  {
    cassiaferry::http_client client;
    cassiaferry::http_call call;
    call.method = "POST";
    call.url = "http://" + sys.Entry(0) + "/v1/jobs";
    call.body = MakeJob(16, "sleep:60000", 100'000).dump();
    const uint64_t id =
        client.Start(std::move(call), [](const cassiaferry::http_reply&) {});
    REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
    client.Cancel(id);
    CHECK(Eventually([&] { return sys.Status(0)["sent_tasks"] == 0; }));
  }
  CHECK(sys.Job(1, MakeJob(16, "echo:x", 5000)).status == 200);
  CHECK(sys.DuplicateStarts() == 0);
}

// ---- [5] Planned stops ------------------------------------------------------

// Every process is replaced in turn while jobs run. No job may fail.
TEST_CASE_METHOD(two_by_two, "System_WhenReplacedInTurn_FailsNoJob") {
  steady_load load(sys, {1, 1, 1, 1});
  for (int i = 0; i < 2; ++i) {
    sys.Signal("sidecars", i, SIGTERM);
    // A stopped process's address is free once it has gone.
    REQUIRE(Eventually(
        [&] { return Send("GET", sys.Sidecar(i), "/healthz").status == 0; }));
    sys.Restart("sidecars", i);
    REQUIRE(Eventually([&] { return sys.UpLinks(1) == 2; }));
  }
  sys.Signal("entries", 0, SIGTERM);
  REQUIRE(Eventually(
      [&] { return Send("GET", sys.Entry(0), "/healthz").status == 0; }));
  sys.Restart("entries", 0);
  CHECK(Eventually([&] { return sys.UpLinks(0) == 2; }));
  load.Stop();
  CAPTURE(load.last_failure);
  CHECK(load.failed == 0);
  CHECK(load.complete > 20);
  CHECK(sys.DuplicateStarts() == 0);
}

// An entry that is told to stop answers what it has taken, and refuses the rest
// as not run.
TEST_CASE_METHOD(two_by_two, "Entry_WhenToldToStop_CutsNoRequest") {
  auto answer = sys.JobLater(0, MakeJob(16, Sleep(kLongTaskMs)));
  REQUIRE(Eventually([&] { return sys.Starts() == 16; }));
  sys.Signal("entries", 0, SIGTERM);
  REQUIRE(Eventually(
      [&] { return Send("GET", sys.Entry(0), "/readyz").status == 503; }));
  const reply refused = sys.Job(0, MakeJob(1, "echo:x"));
  CHECK(refused.status == 503);
  CHECK(refused.body["verdict"] == "not_run");
  CHECK(refused.body["reason"] == "draining");
  CHECK(refused.body["retry_after_ms"] > 0);
  CHECK(answer.get().status == 200);
}
