// Keyed jobs: claims in the platform's table, so that a payment or a confirmed
// field runs at most once, whichever entry it is sent to.
//
// Contents
//   [1] The platform's table as core sees it
//   [2] A claim row
//   [3] Actions and events
//   [4] State
//   [5] Calls

#ifndef CASSIAFERRY_CLAIMS_H_
#define CASSIAFERRY_CLAIMS_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] The platform's table as core sees it -------------------------------

// A row; `version` grows with each write to it.
struct table_row {
  std::string key;
  uint64_t version = 0;
  std::string value;
};

enum class table_op_kind : uint8_t {
  insert_if_absent,
  replace_if_version,
  delete_if_version
};

struct table_op {
  table_op_kind kind = table_op_kind::insert_if_absent;
  std::string key;
  uint64_t version = 0;  // of the row to replace or delete
  std::string value;
};

// Outcome of one operation; when it did not apply, the row that was there.
struct table_result {
  bool applied = false;
  std::optional<table_row> row;
};

// ---- [2] A claim row --------------------------------------------------------

struct claim_row {
  uint64_t nonce = 0;   // whose claim this is: random, new with each attempt
  uint64_t digest = 0;  // of the job's body, to tell a repeat from another job
  std::string owner;    // "ip:port" of the owning entry's HTTP
  incarnation
      owner_incarnation;  // a restarted owner has forgotten what it started
  bool done = false;
  std::string outcome;     // JSON answer, once done
  int64_t expires_ms = 0;  // wall clock, only for sweeping
};

std::string WriteClaim(const claim_row& row);
std::optional<claim_row> ReadClaim(const std::string& value);
std::string ClaimKey(const std::string& team, const std::string& key);

// ---- [3] Actions and events -------------------------------------------------

using call_id = strong_id<struct call_tag, uint64_t>;

struct table_transaction {  // each operation applies or not on its own; one
                            // write for the service
  call_id call;
  std::vector<table_op> ops;
};
struct table_read {
  call_id call;
  std::vector<std::string> keys;
};
struct owner_query {  // GET http://owner/internal/claims/NONCE
  call_id call;
  std::string owner;
  incarnation owner_incarnation;
  uint64_t nonce = 0;
};

using claim_action = std::variant<table_transaction, table_read, owner_query>;

struct transaction_reply {
  call_id call;
  bool answered = false;  // false: no answer; the write may have taken effect
  std::vector<table_result> results;
};
struct read_reply {
  call_id call;
  bool answered = false;
  std::vector<std::optional<table_row>> rows;
};

// What an entry says of a nonce of its own.
enum class nonce_state : uint8_t { unknown, running, abandoned };

struct owner_reply {
  call_id call;
  bool answered = false;
  nonce_state state = nonce_state::unknown;
};

// ---- [4] State --------------------------------------------------------------

enum class claim_phase : uint8_t {
  inserting,       // waits for, or is in, a transaction
  reading_back,    // the reply was lost: whose row is it?
  querying_owner,  // another's claim: was it abandoned?
  taking_over,     // it was: replace the row, if it has not changed
  held,            // ours; the job may start
  writing_done,    // the outcome is being written
  releasing,       // the job ended not_run: delete the row
};

struct claim {
  job_seq job;
  std::string row_key;
  claim_row row;   // ours
  table_row seen;  // another's, while asking and taking over
  claim_phase phase = claim_phase::inserting;
  uint64_t version = 0;    // of our row, once held
  bool abandoned = false;  // the job was given up before the claim was decided
  micros retry_at{0};      // of an outcome write or release that failed
  int attempts = 0;
  bool in_call = false;  // part of a call that is under way
};

// A done row, kept for repeats until it expires.
struct expiring_row {
  std::string row_key;
  uint64_t version = 0;
  int64_t expires_ms = 0;  // wall clock
};

// What became of a claim; the entry acts on it.
struct claim_decision {
  job_seq job;
  bool granted = false;
  reason cause = reason::none;  // when not granted
  verdict run_verdict = verdict::not_run;
  std::string outcome;  // a finished job's answer to repeat, if any
};

struct claims_state {
  std::string self_address;  // of this entry's HTTP
  incarnation self;
  uint64_t next_call = 1;
  std::map<uint64_t, claim>
      claims;  // by nonce; kept until durably done or released
  std::map<job_seq, uint64_t> nonce_of_job;
  std::unordered_map<uint64_t, std::vector<uint64_t>>
      calls;  // call -> nonces, in order of ops
  bool transaction_open =
      false;  // one transaction at a time: the rest queue up and share the next
  std::vector<claim_action> actions;
  std::vector<claim_decision> decisions;
  std::deque<uint64_t> abandoned;  // nonces given up, kept for askers
  std::deque<expiring_row>
      expiring_rows;  // done rows of ours, to be deleted when they expire
};

constexpr size_t kMaxOpsPerTransaction = 64;
constexpr size_t kMaxAbandoned = 100'000;

// ---- [5] Calls --------------------------------------------------------------

// Starts to claim the key for a job.
void BeginClaim(claims_state& c,
                job_seq job,
                const std::string& row_key,
                uint64_t nonce,
                uint64_t digest,
                int64_t expires_ms);

// The job ended. not_run: the claim is released, so that the key is free again.
// Otherwise the outcome is kept for repeats.
void EndClaim(claims_state& c,
              job_seq job,
              verdict what,
              const std::string& outcome);

// The caller or the deadline gave up before the claim was decided.
void AbandonClaim(claims_state& c, job_seq job);

void OnTransactionReply(claims_state& c,
                        micros now,
                        const transaction_reply& reply);
void OnReadReply(claims_state& c, micros now, const read_reply& reply);
void OnOwnerReply(claims_state& c, micros now, const owner_reply& reply);

// Forms the next transaction of all that waits. Call each tick.
void TickClaims(claims_state& c, micros now, int64_t wall_ms);

// Answer to another entry that asks about a nonce of ours.
nonce_state StateOfNonce(const claims_state& c, uint64_t nonce);

// Nothing is left that must reach the platform.
bool HasNoOpenClaims(const claims_state& c);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CLAIMS_H_
