// Claims of keyed jobs, stored in the platform's table. They ensure that a job
// with a key, such as a payment or a confirmed field, runs at most once,
// whichever entry it is sent to.
//
// Contents
//   [1] The platform's table
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

// ---- [1] The platform's table -----------------------------------------------

// A row of the table; `version` increases with each write to it.
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

// Outcome of one operation. If it was not applied, `row` holds the row that was
// found.
struct table_result {
  bool applied = false;
  std::optional<table_row> row;
};

// ---- [2] A claim row --------------------------------------------------------

struct claim_row {
  uint64_t nonce = 0;   // identifies the claim; random, new for each attempt
  uint64_t digest = 0;  // of the job's body; tells a repeat from another job
  std::string owner;    // HTTP address of the owning entry, "ip:port"
  // A restarted owner no longer knows what it started.
  incarnation owner_incarnation;
  bool done = false;
  std::string outcome;     // JSON answer, set once done
  int64_t expires_ms = 0;  // wall clock; used only to delete expired rows
};

std::string WriteClaim(const claim_row& row);
std::optional<claim_row> ReadClaim(const std::string& value);
std::string ClaimKey(const std::string& team, const std::string& key);

// ---- [3] Actions and events -------------------------------------------------

using call_id = strong_id<struct call_tag, uint64_t>;

// Each operation applies or not on its own. The table service counts the
// transaction as one write.
struct table_transaction {
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
  bool answered = false;  // false: no reply; the write may have taken effect
  std::vector<table_result> results;
};
struct read_reply {
  call_id call;
  bool answered = false;
  std::vector<std::optional<table_row>> rows;
};

// What an entry reports about one of its own nonces.
enum class nonce_state : uint8_t { unknown, running, abandoned };

struct owner_reply {
  call_id call;
  bool answered = false;
  nonce_state state = nonce_state::unknown;
};

// ---- [4] State --------------------------------------------------------------

enum class claim_phase : uint8_t {
  inserting,       // waits for a transaction, or is part of one
  reading_back,    // the reply was lost; the row's nonce tells whose it is
  querying_owner,  // the row is another claim; asks its owner whether it was
                   // abandoned
  taking_over,     // the other claim was abandoned; replaces the row if it is
                   // unchanged
  held,            // granted; the job may start
  writing_done,    // the outcome is being written
  releasing,       // the job ended as not_run; the row is being deleted
};

struct claim {
  job_seq job;
  std::string row_key;
  claim_row row;  // this claim's row
  // The other claim's row, while querying its owner and taking over.
  table_row seen;
  claim_phase phase = claim_phase::inserting;
  uint64_t version = 0;    // of this claim's row, once held
  bool abandoned = false;  // the job was abandoned before the claim was decided
  micros retry_at{0};      // next attempt of a failed outcome write or release
  int attempts = 0;
  bool in_call = false;  // part of a call in progress
};

// A completed row, kept to answer repeats until it expires.
struct expiring_row {
  std::string row_key;
  uint64_t version = 0;
  int64_t expires_ms = 0;  // wall clock
};

// Decision on a claim, for the entry to act on.
struct claim_decision {
  job_seq job;
  bool granted = false;
  reason cause = reason::none;  // when not granted
  verdict run_verdict = verdict::not_run;
  std::string outcome;  // answer of the finished job, to be repeated, if any
};

struct claims_state {
  std::string self_address;  // HTTP address of this entry
  incarnation self;
  uint64_t next_call = 1;
  // By nonce. A claim is kept until its outcome is durably written or its row
  // is released.
  std::map<uint64_t, claim> claims;
  std::map<job_seq, uint64_t> nonce_of_job;
  // Call to nonces, in the order of the call's operations.
  std::unordered_map<uint64_t, std::vector<uint64_t>> calls;
  // Only one transaction is open at a time; other operations wait and share the
  // next one.
  bool transaction_open = false;
  std::vector<claim_action> actions;
  std::vector<claim_decision> decisions;
  // Abandoned nonces, kept to answer other entries.
  std::deque<uint64_t> abandoned;
  // Completed rows of this entry, deleted when they expire.
  std::deque<expiring_row> expiring_rows;
};

constexpr size_t kMaxOpsPerTransaction = 64;
constexpr size_t kMaxAbandoned = 100'000;

// ---- [5] Calls --------------------------------------------------------------

// Starts claiming the key for a job.
void BeginClaim(claims_state& c,
                job_seq job,
                const std::string& row_key,
                uint64_t nonce,
                uint64_t digest,
                int64_t expires_ms);

// The job ended. If it ended as not_run, the claim is released so that the key
// is free again. Otherwise the outcome is kept to answer repeats.
void EndClaim(claims_state& c,
              job_seq job,
              verdict what,
              const std::string& outcome);

// The caller left or the deadline passed before the claim was decided.
void AbandonClaim(claims_state& c, job_seq job);

void OnTransactionReply(claims_state& c,
                        micros now,
                        const transaction_reply& reply);
void OnReadReply(claims_state& c, micros now, const read_reply& reply);
void OnOwnerReply(claims_state& c, micros now, const owner_reply& reply);

// Forms the next transaction of all waiting operations. Call it on each tick.
void TickClaims(claims_state& c, micros now, int64_t wall_ms);

// The answer to another entry's query about a nonce of this entry.
nonce_state StateOfNonce(const claims_state& c, uint64_t nonce);

// Returns true if no write to the platform is outstanding.
bool HasNoOpenClaims(const claims_state& c);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CLAIMS_H_
