// Unit tests of keyed jobs' claims, on virtual time: lost replies, takeover,
// release.

#include <catch2/catch.hpp>

#include <map>

#include "cassiaferry/claims.h"

using namespace cassiaferry;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint64_t kDigest = 9;
constexpr int64_t kExpires = 500;  // wall clock, which stays at 0 in the tests

// A table as the platform implements it, and two entries with claims in it.
struct claims_fixture {
  claims_fixture() {
    a.self = incarnation{1};
    a.self_address = "a";
    b.self = incarnation{2};
    b.self_address = "b";
  }

  std::vector<table_result> Apply(const std::vector<table_op>& ops) {
    std::vector<table_result> results;
    for (const table_op& op : ops) {
      const auto it = rows.find(op.key);
      const bool absent = it == rows.end();
      const bool same = !absent && it->second.version == op.version;
      const bool applies =
          op.kind == table_op_kind::insert_if_absent ? absent : same;
      if (applies && op.kind == table_op_kind::delete_if_version)
        rows.erase(op.key);
      else if (applies)
        rows[op.key] = {op.key, ++versions, op.value};
      const auto now_there = rows.find(op.key);
      results.push_back({applies, now_there == rows.end()
                                      ? std::nullopt
                                      : std::optional(now_there->second)});
    }
    return results;
  }

  // Carries out the actions of `c` until there are none left.
  void RunToCompletion(claims_state& c,
                       claims_state& other,
                       bool lose_reply = false) {
    for (int round = 0; round < 20; ++round) {
      TickClaims(c, micros{time += 1'000'000}, 0);
      std::vector<claim_action> actions;
      actions.swap(c.actions);
      if (actions.empty())
        return;
      for (const claim_action& action : actions)
        Deliver(c, other, action, lose_reply);
      lose_reply = false;
    }
  }

  void Deliver(claims_state& c,
               claims_state& other,
               const claim_action& action,
               bool lose_reply) {
    const micros now{time};
    if (const auto* t = std::get_if<table_transaction>(&action)) {
      std::vector<table_result> results = Apply(t->ops);
      OnTransactionReply(c, now,
                         {t->call, !lose_reply,
                          lose_reply ? std::vector<table_result>() : results});
    } else if (const auto* r = std::get_if<table_read>(&action)) {
      read_reply reply{r->call, reads_answered, {}};
      for (const std::string& key : r->keys) {
        const auto it = rows.find(key);
        reply.rows.push_back(it == rows.end() ? std::nullopt
                                              : std::optional(it->second));
      }
      OnReadReply(c, now, reply);
    } else if (const auto* ask = std::get_if<owner_query>(&action)) {
      OnOwnerReply(c, now,
                   {ask->call, owner_answers, StateOfNonce(other, ask->nonce)});
    }
  }

  claims_state a;
  claims_state b;
  std::map<std::string, table_row> rows;
  uint64_t versions = 0;
  int64_t time = 0;
  bool reads_answered = true;
  bool owner_answers = true;
};

}  // namespace

TEST_CASE_METHOD(claims_fixture, "Claim_WhenKeyIsFree_IsGranted") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  REQUIRE(a.decisions.size() == 1);
  CHECK(a.decisions[0].granted);
}

TEST_CASE_METHOD(claims_fixture, "Claims_WhenManyWait_ShareOneTransaction") {
  for (uint64_t i = 1; i <= 50; ++i)
    BeginClaim(a, job_seq{i}, "k" + std::to_string(i), 100 + i, kDigest,
               kExpires);
  TickClaims(a, micros{1}, 0);
  REQUIRE(a.actions.size() == 1);
  CHECK(std::get<table_transaction>(a.actions[0]).ops.size() == 50);
}

// The claim is written, and the reply is lost. Reading back finds the claim's
// own nonce, so the job may run.
TEST_CASE_METHOD(claims_fixture,
                 "Claim_WhenReplyIsLostAfterTheWrite_IsGranted") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b, true);
  REQUIRE(a.decisions.size() == 1);
  CHECK(a.decisions[0].granted);
}

// The platform stays down: the job is refused as not_run, because nothing was
// started.
TEST_CASE_METHOD(claims_fixture, "Claim_WhenPlatformIsDown_IsRefusedNotRun") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  TickClaims(a, micros{1}, 0);
  OnTransactionReply(
      a, micros{2},
      {std::get<table_transaction>(a.actions[0]).call, false, {}});
  a.actions.clear();
  reads_answered = false;
  RunToCompletion(a, b);
  REQUIRE(a.decisions.size() == 1);
  CHECK(a.decisions[0].cause == reason::platform_unavailable);
  CHECK(a.decisions[0].run_verdict == verdict::not_run);
  CHECK(StateOfNonce(a, 11) == nonce_state::abandoned);
}

// A caller sends the same payment to two entries while the first job is still
// running.
TEST_CASE_METHOD(claims_fixture, "Claim_WhenAnotherRunsTheKey_IsInProgress") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  BeginClaim(b, job_seq{1}, "k", 22, kDigest, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK_FALSE(b.decisions[0].granted);
  CHECK(b.decisions[0].cause == reason::key_in_progress);
  CHECK(b.decisions[0].run_verdict == verdict::may_have_run);
}

TEST_CASE_METHOD(claims_fixture, "Claim_WhenTheKeyIsDone_RepeatsItsOutcome") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::ran, "the answer");
  RunToCompletion(a, b);
  CHECK(HasNoOpenClaims(a));
  BeginClaim(b, job_seq{1}, "k", 22, kDigest, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK(b.decisions[0].outcome == "the answer");
}

TEST_CASE_METHOD(claims_fixture, "Claim_WhenTheBodyDiffers_Conflicts") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  BeginClaim(b, job_seq{1}, "k", 22, kDigest + 1, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK(b.decisions[0].cause == reason::key_conflict);
  CHECK(b.decisions[0].run_verdict == verdict::not_run);
}

// The first job ended without running, so its key must be free again.
TEST_CASE_METHOD(claims_fixture, "Key_WhenItsJobEndedNotRun_IsFreeAgain") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::not_run, "");
  RunToCompletion(a, b);
  BeginClaim(b, job_seq{1}, "k", 22, kDigest, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK(b.decisions[0].granted);
}

// As above, but the release never reached the platform. The row still names the
// first owner, which reports the claim as abandoned; the row is taken over.
TEST_CASE_METHOD(claims_fixture, "Key_WhenItsReleaseIsLost_IsTakenOver") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::not_run, "");
  BeginClaim(b, job_seq{1}, "k", 22, kDigest, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK(b.decisions[0].granted);
  CHECK(ReadClaim(rows.at("k").value)->nonce == 22);
}

// The owner died while the job was running: whether it ran is unknown.
TEST_CASE_METHOD(claims_fixture, "Claim_WhenTheOwnerIsGone_MayHaveRun") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  owner_answers = false;
  BeginClaim(b, job_seq{1}, "k", 22, kDigest, kExpires);
  RunToCompletion(b, a);
  REQUIRE(b.decisions.size() == 1);
  CHECK(b.decisions[0].cause == reason::key_owner_lost);
  CHECK(b.decisions[0].run_verdict == verdict::may_have_run);
}

// The write of an outcome takes effect but its reply is lost. The retry finds
// its own row completed and succeeds.
TEST_CASE_METHOD(claims_fixture, "Outcome_WhenItsReplyIsLost_IsWrittenOnce") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::ran, "the answer");
  RunToCompletion(a, b, true);
  CHECK(HasNoOpenClaims(a));
  CHECK(ReadClaim(rows.at("k").value)->outcome == "the answer");
}

// A claim whose job was started must never be reported as abandoned, even while
// its outcome waits to be written.
TEST_CASE_METHOD(claims_fixture, "Nonce_WhenItsOutcomeIsNotWritten_IsRunning") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::ran, "the answer");
  CHECK(StateOfNonce(a, 11) == nonce_state::running);
}

TEST_CASE_METHOD(claims_fixture, "DoneRow_WhenItExpires_IsSwept") {
  BeginClaim(a, job_seq{1}, "k", 11, kDigest, kExpires);
  RunToCompletion(a, b);
  EndClaim(a, job_seq{1}, verdict::ran, "the answer");
  RunToCompletion(a, b);
  REQUIRE(rows.count("k") == 1);
  a.actions.clear();
  TickClaims(a, micros{time += 1'000'000}, kExpires);
  REQUIRE(a.actions.size() == 1);
  Deliver(a, b, a.actions[0], false);
  CHECK(rows.count("k") == 0);
}
