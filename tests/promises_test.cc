// Keyed jobs, the platform's outages, and configuration, with real processes.
//
// Contents
//   [1] Keyed jobs
//   [2] Platform outages
//   [3] Configuration
//   [4] Closed failure domains
//   [5] Recovery

#include <signal.h>  // NOLINT(modernize-deprecated-headers): SIGKILL

#include <catch2/catch.hpp>
#include <future>

#include "system.h"

using namespace cassiaferry::testing;  // NOLINT(google-build-using-namespace)

namespace {

json Keyed(const std::string& key, const std::string& payload = "sleep:300") {
  json job = MakeJob(1, payload);
  job["key"] = key;
  job["repeatable"] = false;
  return job;
}

struct two_entries {
  test_system sys{system_options{2, 2, json::object()}};
};

bool InForce(const test_system& sys, int version) {
  for (size_t i = 0; i < sys.info["entries"].size(); ++i) {
    if (Send("GET", sys.Entry(static_cast<int>(i)), "/v1/status")
            .body.value("config_version", 0) != version)
      return false;
  }
  for (size_t i = 0; i < sys.info["sidecars"].size(); ++i) {
    if (Send("GET", sys.Sidecar(static_cast<int>(i)), "/v1/status")
            .body.value("config_version", 0) != version)
      return false;
  }
  return true;
}

}  // namespace

// ---- [1] Keyed jobs ---------------------------------------------------------

// A rider presses twice, and the balancer sends the two requests to two entries
// at once. One runs; the other is told so, and a later repeat gets the answer.
TEST_CASE_METHOD(two_entries, "KeyedJob_WhenSentTwiceAtOnce_RunsOnce") {
  auto first = sys.JobLater(0, Keyed("ride"));
  auto second = sys.JobLater(1, Keyed("ride"));
  const reply a = first.get();
  const reply b = second.get();
  const reply& winner = a.status == 200 ? a : b;
  const reply& other = a.status == 200 ? b : a;
  CHECK(winner.status == 200);
  CHECK((other.status == 200 || other.body["reason"] == "key_in_progress"));
  const reply repeat = sys.Job(1, Keyed("ride"));
  CHECK(repeat.status == 200);
  CHECK(repeat.body == winner.body);
  CHECK(sys.Starts() == 1);
}

TEST_CASE_METHOD(two_entries, "KeyedJob_WhenTheBodyDiffers_IsRefused") {
  REQUIRE(sys.Job(0, Keyed("field", "echo:a")).status == 200);
  const reply r = sys.Job(1, Keyed("field", "echo:b"));
  CHECK(r.status == 409);
  CHECK(r.body["reason"] == "key_conflict");
  CHECK(r.body["verdict"] == "not_run");
  CHECK(sys.Starts() == 1);
}

// An entry dies with a keyed job under way. Whether it ran is not known, and a
// repeat at another entry must not run it.
TEST_CASE_METHOD(two_entries, "KeyedJob_WhenItsEntryDies_IsNotRunAgain") {
  auto lost = sys.JobLater(0, Keyed("payment", "sleep:1000"));
  REQUIRE(Eventually([&] { return sys.Starts() == 1; }));
  sys.Signal("entries", 0, SIGKILL);
  lost.get();
  const reply r = sys.Job(1, Keyed("payment", "sleep:1000"));
  CHECK(r.status == 409);
  CHECK(r.body["reason"] == "key_owner_lost");
  CHECK(r.body["verdict"] == "may_have_run");
  CHECK(sys.Starts() == 1);
}

// ---- [2] Platform outages ---------------------------------------------------

// The platform is down, or takes calls and answers nothing. Jobs without a key
// go on; keyed ones are refused as not run, with a time to come back, and run
// once it is back.
TEST_CASE_METHOD(two_entries, "Platform_WhenDown_StopsOnlyKeyedJobs") {
  const char* kind = GENERATE("down", "silent");
  CAPTURE(kind);
  sys.Knobs({{kind, true}});
  CHECK(sys.Job(0, MakeJob(4, "echo:x")).status == 200);
  const reply r = sys.Job(0, Keyed("k"));
  CHECK(r.status == 503);
  CHECK(r.body["reason"] == "platform_unavailable");
  CHECK(r.body["verdict"] == "not_run");
  CHECK(r.body["retry_after_ms"] > 0);
  sys.Knobs({{kind, false}});
  CHECK(Eventually([&] { return sys.Job(0, Keyed("k")).status == 200; }));
  CHECK(sys.DuplicateStarts() == 0);
}

// The write of a claim takes effect and its reply is lost.
TEST_CASE_METHOD(two_entries, "Platform_WhenItsReplyIsLost_KeyedJobRunsOnce") {
  sys.Knobs({{"lose_replies", 1}});
  const reply r = sys.Job(0, Keyed("lost"));
  CHECK(r.status == 200);
  CHECK(sys.Job(1, Keyed("lost")).body == r.body);
  CHECK(sys.Starts() == 1);
}

TEST_CASE_METHOD(two_entries, "Platform_WhenSlow_KeyedJobsStillRun") {
  sys.Knobs({{"slow_ms", 400}});
  CHECK(sys.Job(0, Keyed("slow")).status == 200);
  CHECK(sys.Starts() == 1);
}

// ---- [3] Configuration ------------------------------------------------------

// Two operators change the same version. One wins; the other is told the
// version and who made it, and nothing of his is in force anywhere.
TEST_CASE_METHOD(two_entries, "Operators_WhenTheyRace_OneWins") {
  json ours = sys.Config()["config"];
  json theirs = ours;
  ours["limits"]["max_tasks_per_job"] = 11;
  theirs["limits"]["max_tasks_per_job"] = 22;
  auto first =
      std::async(std::launch::async, [&] { return sys.PutConfig(0, ours, 1); });
  auto second = std::async(std::launch::async,
                           [&] { return sys.PutConfig(1, theirs, 1); });
  const reply a = first.get();
  const reply b = second.get();
  CHECK((a.status == 200) != (b.status == 200));
  const reply& loser = a.status == 200 ? b : a;
  CHECK(loser.status == 409);
  CHECK(loser.body["message"].get<std::string>().find(
            "version 2, changed by test") != std::string::npos);
  CHECK(Eventually([&] { return InForce(sys, 2); }));
  CHECK(sys.Config()["config"] == (a.status == 200 ? ours : theirs));
}

TEST_CASE_METHOD(two_entries, "Config_WhenAPolicyComesAndGoes_LosesNoJob") {
  std::vector<std::future<reply>> answers;
  json config = sys.Config()["config"];
  for (int version = 1; version <= 6; ++version) {
    for (int i = 0; i < 4; ++i)
      answers.push_back(sys.JobLater(i % 2, MakeJob(10, "sleep:50")));
    if (version % 2 == 1) {
      config["policies"]["extra"] = {{"kind", "batch_sampling"}};
      config["comparisons"]["try"] = {
          {"split", {{"default", 1}, {"extra", 1}}}};
    } else {
      config["policies"].erase("extra");
      config.erase("comparisons");
    }
    CHECK(sys.PutConfig(0, config, version).status == 200);
  }
  for (auto& answer : answers)
    CHECK(answer.get().status == 200);
  CHECK(Eventually([&] { return InForce(sys, 7); }));
  CHECK(sys.DuplicateStarts() == 0);
}

// The write of a change takes effect and its reply is lost. The operator must
// hear that it was accepted, and not that someone else was first.
TEST_CASE_METHOD(two_entries,
                 "Config_WhenTheReplyIsLost_IsResolvedByChangeId") {
  json config = sys.Config()["config"];
  config["limits"]["max_tasks_per_job"] = 33;
  sys.Knobs({{"lose_replies", 1}});
  const reply r = sys.PutConfig(0, config, 1);
  CAPTURE(r.text);
  CHECK(r.status == 200);
  CHECK(Eventually([&] { return InForce(sys, 2); }));
}

TEST_CASE_METHOD(two_entries,
                 "Config_WhenInvalidOrUnauthorized_ChangesNothing") {
  // Sidecars ask for it within half a second.
  REQUIRE(Eventually([&] { return InForce(sys, 1); }));
  json config = sys.Config()["config"];
  config["policies"]["default"]["kind"] = "best";
  CHECK(sys.PutConfig(0, config, 1).status == 400);
  const std::string body =
      json{{"config", sys.Config()["config"]}, {"author", "x"}}.dump();
  CHECK(Send("PUT", sys.Entry(0), "/v1/config", body, {"If-Match: 1"}).status ==
        401);
  CHECK(Send("PUT", sys.Entry(0), "/v1/config", body,
             {"If-Match: 1", "Authorization: Bearer wrong"})
            .status == 403);
  CHECK(Send("GET", sys.Entry(0), "/v1/config").status == 401);
  CHECK(InForce(sys, 1));
}

// ---- [4] Closed failure domains ---------------------------------------------

namespace {

// Worker 0 stands in domain "a", worker 1 in "b".
struct two_domains : two_entries {
  two_domains() {
    REQUIRE(Eventually([&] { return sys.UpLinks(0) == 2; }));
  }

  reply SetDomain(int entry, const std::string& domain, bool closed) const {
    const std::string token = sys.info["admin_token"];
    return Send("PUT", sys.Entry(entry), "/v1/domains/" + domain,
                json{{"closed", closed}}.dump(),
                {"Authorization: Bearer " + token});
  }

  bool AllKnow(const json& closed) const {
    for (int i = 0; i < 2; ++i) {
      const reply entry = Send("GET", sys.Entry(i), "/v1/status");
      const reply sidecar = Send("GET", sys.Sidecar(i), "/v1/status");
      if (entry.body["closed_domains"] != closed ||
          sidecar.body["closed_domains"] != closed)
        return false;
    }
    return true;
  }

  int StartsAt(int upstream) const {
    return Send("GET", sys.Upstream(upstream), "/stats").body["starts"];
  }
};

}  // namespace

// Guards against tasks that start where operators have closed the domain.
TEST_CASE_METHOD(two_domains, "Domain_WhenClosed_StartsNothingUntilReopened") {
  REQUIRE(SetDomain(0, "a", true).status == 200);
  REQUIRE(Eventually([&] { return AllKnow({"a"}); }));
  const int before = StartsAt(0);
  for (int i = 0; i < 6; ++i)
    CHECK(sys.Job(i % 2, MakeJob(4, "sleep:20")).status == 200);
  CHECK(StartsAt(0) == before);
  REQUIRE(SetDomain(1, "b", true).status == 200);
  REQUIRE(Eventually([&] { return AllKnow({"a", "b"}); }));
  const reply refused = sys.Job(0, MakeJob(1, "sleep:20"));
  CHECK(refused.body["reason"] == "no_worker");
  CHECK(refused.body["verdict"] == "not_run");
  REQUIRE(SetDomain(0, "a", false).status == 200);
  REQUIRE(Eventually([&] { return AllKnow({"b"}); }));
  CHECK(Eventually(
      [&] { return sys.Job(0, MakeJob(4, "sleep:20")).status == 200; }));
  CHECK(StartsAt(0) > before);
}

// Guards against a closing that is done twice or not at all when the reply to
// its write is lost, and against changes by strangers.
TEST_CASE_METHOD(two_domains, "Domain_WhenTheReplyIsLost_IsClosedOnce") {
  CHECK(
      Send("PUT", sys.Entry(0), "/v1/domains/a", R"({"closed":true})").status ==
      401);
  CHECK(SetDomain(0, "", true).status == 404);
  sys.Knobs({{"lose_replies", 1}});
  CHECK(SetDomain(0, "a", true).status == 200);
  CHECK(Eventually([&] { return AllKnow({"a"}); }));
}

// ---- [5] Recovery -----------------------------------------------------------

// The platform is down and every entry is replaced at once. The configuration
// lives on in the sidecars: a new entry takes it from them before it is ready.
TEST_CASE_METHOD(two_entries,
                 "Entries_WhenAllReplacedInAnOutage_KeepTheConfig") {
  json config = sys.Config()["config"];
  config["limits"]["max_tasks_per_job"] = 44;
  REQUIRE(sys.PutConfig(0, config, 1).status == 200);
  REQUIRE(Eventually([&] { return InForce(sys, 2); }));
  sys.Knobs({{"down", true}});
  sys.Signal("entries", 0, SIGKILL);
  sys.Signal("entries", 1, SIGKILL);
  sys.Restart("entries", 0);
  sys.Restart("entries", 1);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(Eventually(
        [&] { return Send("GET", sys.Entry(i), "/readyz").status == 200; }));
    CHECK(sys.Status(i)["config_version"] == 2);
    CHECK(Eventually(
        [&] { return sys.Job(i, MakeJob(4, "echo:x")).status == 200; }));
  }
  CHECK(sys.Job(0, MakeJob(45, "echo:x")).body["reason"] == "too_large");
}

// An entry that nobody has been told of finds the others and is found by the
// sidecars, through the platform's directory and its peers.
TEST_CASE_METHOD(two_entries, "Entry_WhenRestartedAfterADay_IsFoundAgain") {
  sys.Signal("entries", 1, SIGTERM);
  REQUIRE(Eventually(
      [&] { return Send("GET", sys.Entry(1), "/healthz").status == 0; }));
  sys.Restart("entries", 1);
  CHECK(Eventually([&] { return sys.UpLinks(1) == 2; }));
  CHECK(sys.Job(1, MakeJob(4, "echo:x")).status == 200);
}
