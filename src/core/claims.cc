// Claims of keyed jobs.
//
// Contents
//   [1] Rows
//   [2] Decisions
//   [3] Other claims' rows
//   [4] Replies of the table service
//   [5] Replies of owners
//   [6] Begin and end of a claim
//   [7] Forming transactions

#include "cassiaferry/claims.h"
#include "cassiaferry/json_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cassiaferry {

using nlohmann::json;

// ---- [1] Rows ---------------------------------------------------------------

std::string WriteClaim(const claim_row& row) {
  return json{{"nonce", row.nonce},
              {"digest", row.digest},
              {"owner", row.owner},
              {"owner_life", row.owner_incarnation.value},
              {"done", row.done},
              {"outcome", row.outcome},
              {"expires_ms", row.expires_ms}}
      .dump();
}

std::optional<claim_row> ReadClaim(const std::string& value) {
  try {
    const json j = ParseRecord(value);
    claim_row row;
    row.nonce = j.at("nonce");
    row.digest = j.at("digest");
    row.owner = j.at("owner");
    row.owner_incarnation = incarnation{j.at("owner_life").get<uint64_t>()};
    row.done = j.at("done");
    row.outcome = j.at("outcome");
    row.expires_ms = j.at("expires_ms");
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string ClaimKey(const std::string& team, const std::string& key) {
  return "claim/" + team + "/" + key;
}

namespace {

constexpr int64_t kFirstRetryMs = 200;
constexpr int kMaxDoublings = 5;

// ---- [2] Decisions ----------------------------------------------------------

void ForgetJob(claims_state& c, const claim& k) {
  const auto it = c.nonce_of_job.find(k.job);
  if (it != c.nonce_of_job.end() && it->second == k.row.nonce)
    c.nonce_of_job.erase(it);
}

void RememberAbandoned(claims_state& c, uint64_t nonce) {
  c.abandoned.push_back(nonce);
  if (c.abandoned.size() > kMaxAbandoned)
    c.abandoned.pop_front();
}

// The job may start. From here on this entry reports the nonce as running until
// the outcome is durably written.
void Grant(claims_state& c, claim& k, uint64_t version) {
  k.version = version;
  if (k.abandoned) {
    k.phase = claim_phase::releasing;
    return;
  }
  k.phase = claim_phase::held;
  claim_decision d;
  d.job = k.job;
  d.granted = true;
  c.decisions.push_back(std::move(d));
}

// The nonce will never start a job. An insert of it that is still in flight may
// take effect later, so the nonce is remembered as abandoned for other entries
// that query it.
void Deny(claims_state& c, uint64_t nonce, claim_decision d) {
  const auto it = c.claims.find(nonce);
  d.job = it->second.job;
  if (!it->second.abandoned) {
    RememberAbandoned(c, nonce);
    c.decisions.push_back(std::move(d));
  }
  ForgetJob(c, it->second);
  c.claims.erase(it);
}

void Deny(claims_state& c, uint64_t nonce, reason why, verdict what) {
  claim_decision d;
  d.cause = why;
  d.run_verdict = what;
  Deny(c, nonce, std::move(d));
}

void ScheduleRetry(claim& k, micros now) {
  k.retry_at =
      now + Millis(kFirstRetryMs << std::min(k.attempts, kMaxDoublings));
  ++k.attempts;
}

// ---- [3] Other claims' rows -------------------------------------------------

void ResolveOwnerState(claims_state& c, uint64_t nonce, nonce_state state) {
  claim& k = c.claims.at(nonce);
  switch (state) {
    case nonce_state::abandoned:
      k.phase = claim_phase::taking_over;
      return;
    case nonce_state::running:
      Deny(c, nonce, reason::key_in_progress, verdict::may_have_run);
      return;
    case nonce_state::unknown:
      Deny(c, nonce, reason::key_owner_lost, verdict::may_have_run);
      return;
  }
}

// The table holds a row for the key. If its job is done, its outcome is
// repeated. If it is running, the claim is denied. If it was abandoned, the row
// is taken over, but only once its owner has confirmed that.
void HandleExistingRow(claims_state& c, uint64_t nonce, const table_row& row) {
  claim& k = c.claims.at(nonce);
  const std::optional<claim_row> other = ReadClaim(row.value);
  if (!other) {
    Deny(c, nonce, reason::key_owner_lost, verdict::may_have_run);
    return;
  }
  if (other->nonce == nonce) {
    Grant(c, k, row.version);
    return;
  }
  if (other->digest != k.row.digest) {
    Deny(c, nonce, reason::key_conflict, verdict::not_run);
    return;
  }
  if (other->done) {
    claim_decision d;
    d.outcome = other->outcome;
    Deny(c, nonce, std::move(d));
    return;
  }
  k.seen = row;
  k.phase = claim_phase::querying_owner;
  if (other->owner_incarnation == c.self)
    ResolveOwnerState(c, nonce, StateOfNonce(c, other->nonce));
}

// ---- [4] Replies of the table service ---------------------------------------

void FinishWrite(claims_state& c, uint64_t nonce, const table_result& result) {
  const auto it = c.claims.find(nonce);
  const claim& k = it->second;
  if (k.phase == claim_phase::writing_done) {
    const uint64_t version = result.row ? result.row->version : k.version + 1;
    c.expiring_rows.push_back({k.row_key, version, k.row.expires_ms});
  } else {
    RememberAbandoned(c, nonce);
  }
  ForgetJob(c, k);
  c.claims.erase(it);
}

// The known version may be stale because an earlier write took effect and its
// reply was lost. The row then still belongs to this claim, and the write is
// retried with the newer version.
void RetryWrite(claims_state& c,
                micros now,
                uint64_t nonce,
                const table_result& result) {
  claim& k = c.claims.at(nonce);
  const std::optional<claim_row> row =
      result.row ? ReadClaim(result.row->value) : std::nullopt;
  const bool ours = row && row->nonce == nonce;
  if (!ours || (row->done && k.phase == claim_phase::writing_done)) {
    FinishWrite(c, nonce, result);
    return;
  }
  k.version = result.row->version;
  ScheduleRetry(k, now);
}

void HandleResult(claims_state& c,
                  micros now,
                  uint64_t nonce,
                  const table_result& result) {
  claim& k = c.claims.at(nonce);
  switch (k.phase) {
    case claim_phase::inserting:
    case claim_phase::taking_over:
      if (result.applied)
        Grant(c, k, result.row ? result.row->version : 1);
      else if (result.row)
        HandleExistingRow(c, nonce, *result.row);
      else
        k.phase = claim_phase::inserting;
      return;
    case claim_phase::writing_done:
    case claim_phase::releasing:
      if (result.applied)
        FinishWrite(c, nonce, result);
      else
        RetryWrite(c, now, nonce, result);
      return;
    default:
      return;
  }
}

void HandleLostReply(claims_state& c, micros now, uint64_t nonce) {
  claim& k = c.claims.at(nonce);
  if (k.phase == claim_phase::inserting || k.phase == claim_phase::taking_over)
    k.phase = claim_phase::reading_back;
  else
    ScheduleRetry(k, now);
}

std::vector<uint64_t> CloseCall(claims_state& c, call_id call) {
  const auto it = c.calls.find(call.value);
  if (it == c.calls.end())
    return {};
  std::vector<uint64_t> nonces = std::move(it->second);
  c.calls.erase(it);
  for (uint64_t nonce : nonces) {
    const auto k = c.claims.find(nonce);
    if (k != c.claims.end())
      k->second.in_call = false;
  }
  return nonces;
}

}  // namespace

void OnTransactionReply(claims_state& c,
                        micros now,
                        const transaction_reply& reply) {
  const std::vector<uint64_t> nonces = CloseCall(c, reply.call);
  c.transaction_open = false;
  for (size_t i = 0; i < nonces.size(); ++i) {
    if (c.claims.count(nonces[i]) == 0)
      continue;
    if (reply.answered && i < reply.results.size())
      HandleResult(c, now, nonces[i], reply.results[i]);
    else
      HandleLostReply(c, now, nonces[i]);
  }
}

// Failure guarded against: the reply to a claim is lost after the write took
// effect. The nonce in the row tells whose it is. An absent row proves nothing,
// because the write may still arrive. No job was started, so the job is refused
// as not_run, and the nonce is remembered as abandoned.
void OnReadReply(claims_state& c, micros, const read_reply& reply) {
  const std::vector<uint64_t> nonces = CloseCall(c, reply.call);
  for (size_t i = 0; i < nonces.size(); ++i) {
    if (c.claims.count(nonces[i]) == 0)
      continue;
    if (reply.answered && i < reply.rows.size() && reply.rows[i])
      HandleExistingRow(c, nonces[i], *reply.rows[i]);
    else
      Deny(c, nonces[i], reason::platform_unavailable, verdict::not_run);
  }
}

// ---- [5] Replies of owners --------------------------------------------------

void OnOwnerReply(claims_state& c, micros, const owner_reply& reply) {
  for (uint64_t nonce : CloseCall(c, reply.call)) {
    if (c.claims.count(nonce) != 0)
      ResolveOwnerState(c, nonce,
                        reply.answered ? reply.state : nonce_state::unknown);
  }
}

nonce_state StateOfNonce(const claims_state& c, uint64_t nonce) {
  if (std::find(c.abandoned.begin(), c.abandoned.end(), nonce) !=
      c.abandoned.end())
    return nonce_state::abandoned;
  const auto it = c.claims.find(nonce);
  if (it == c.claims.end())
    return nonce_state::unknown;
  return it->second.phase == claim_phase::releasing ? nonce_state::abandoned
                                                    : nonce_state::running;
}

// ---- [6] Begin and end of a claim -------------------------------------------

void BeginClaim(claims_state& c,
                job_seq job,
                const std::string& row_key,
                uint64_t nonce,
                uint64_t digest,
                int64_t expires_ms) {
  claim k;
  k.job = job;
  k.row_key = row_key;
  k.row.nonce = nonce;
  k.row.digest = digest;
  k.row.owner = c.self_address;
  k.row.owner_incarnation = c.self;
  k.row.expires_ms = expires_ms;
  c.nonce_of_job[job] = nonce;
  c.claims.emplace(nonce, std::move(k));
}

void EndClaim(claims_state& c,
              job_seq job,
              verdict what,
              const std::string& outcome) {
  const auto it = c.nonce_of_job.find(job);
  if (it == c.nonce_of_job.end())
    return;
  claim& k = c.claims.at(it->second);
  k.phase = what == verdict::not_run ? claim_phase::releasing
                                     : claim_phase::writing_done;
  k.row.done = what != verdict::not_run;
  k.row.outcome = outcome;
  k.retry_at = micros{0};
  k.attempts = 0;
}

// The claim is kept while a call with it is in progress: its row may still be
// written and must then be released.
void AbandonClaim(claims_state& c, job_seq job) {
  const auto it = c.nonce_of_job.find(job);
  if (it == c.nonce_of_job.end())
    return;
  const uint64_t nonce = it->second;
  c.nonce_of_job.erase(it);
  RememberAbandoned(c, nonce);
  claim& k = c.claims.at(nonce);
  k.abandoned = true;
  if (!k.in_call)
    c.claims.erase(nonce);
}

bool HasNoOpenClaims(const claims_state& c) {
  return c.claims.empty();
}

// ---- [7] Forming transactions -----------------------------------------------

namespace {

std::optional<table_op> OpFor(const claim& k) {
  switch (k.phase) {
    case claim_phase::inserting:
      return table_op{table_op_kind::insert_if_absent, k.row_key, 0,
                      WriteClaim(k.row)};
    case claim_phase::taking_over:
      return table_op{table_op_kind::replace_if_version, k.row_key,
                      k.seen.version, WriteClaim(k.row)};
    case claim_phase::writing_done:
      return table_op{table_op_kind::replace_if_version, k.row_key, k.version,
                      WriteClaim(k.row)};
    case claim_phase::releasing:
      return table_op{table_op_kind::delete_if_version, k.row_key, k.version,
                      ""};
    default:
      return std::nullopt;
  }
}

call_id OpenCall(claims_state& c, std::vector<uint64_t> nonces) {
  const call_id call{c.next_call++};
  for (uint64_t nonce : nonces)
    c.claims.at(nonce).in_call = true;
  c.calls.emplace(call.value, std::move(nonces));
  return call;
}

// Adds deletions of expired outcomes, many to a transaction, after the
// operations of claims.
void AddSweeps(claims_state& c, int64_t wall_ms, std::vector<table_op>& ops) {
  while (!c.expiring_rows.empty() &&
         c.expiring_rows.front().expires_ms <= wall_ms &&
         ops.size() < kMaxOpsPerTransaction) {
    const expiring_row& row = c.expiring_rows.front();
    ops.push_back(
        {table_op_kind::delete_if_version, row.row_key, row.version, ""});
    c.expiring_rows.pop_front();
  }
}

// All waiting operations share one write of the table service, which handles
// only several hundred writes a second.
void OpenTransaction(claims_state& c, micros now, int64_t wall_ms) {
  if (c.transaction_open)
    return;
  table_transaction transaction;
  std::vector<uint64_t> nonces;
  for (const auto& [nonce, k] : c.claims) {
    if (k.in_call || k.retry_at > now || nonces.size() >= kMaxOpsPerTransaction)
      continue;
    if (std::optional<table_op> op = OpFor(k)) {
      transaction.ops.push_back(std::move(*op));
      nonces.push_back(nonce);
    }
  }
  AddSweeps(c, wall_ms, transaction.ops);
  if (transaction.ops.empty())
    return;
  transaction.call = OpenCall(c, std::move(nonces));
  c.transaction_open = true;
  c.actions.push_back(std::move(transaction));
}

void OpenReads(claims_state& c) {
  table_read read;
  std::vector<uint64_t> nonces;
  for (const auto& [nonce, k] : c.claims) {
    if (k.in_call || k.phase != claim_phase::reading_back)
      continue;
    read.keys.push_back(k.row_key);
    nonces.push_back(nonce);
  }
  if (nonces.empty())
    return;
  read.call = OpenCall(c, std::move(nonces));
  c.actions.push_back(std::move(read));
}

void QueryOwners(claims_state& c) {
  for (auto& [nonce, k] : c.claims) {
    if (k.in_call || k.phase != claim_phase::querying_owner)
      continue;
    const std::optional<claim_row> other = ReadClaim(k.seen.value);
    owner_query query;
    query.call = OpenCall(c, {nonce});
    query.owner = other->owner;
    query.owner_incarnation = other->owner_incarnation;
    query.nonce = other->nonce;
    c.actions.push_back(std::move(query));
  }
}

}  // namespace

void TickClaims(claims_state& c, micros now, int64_t wall_ms) {
  OpenReads(c);
  QueryOwners(c);
  OpenTransaction(c, now, wall_ms);
}

}  // namespace cassiaferry
