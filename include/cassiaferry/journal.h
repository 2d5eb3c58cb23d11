// Journal of one entry: state that must survive the entry, written to the
// platform's store.
//
// Operations that arrive while a transaction is open go together into the next
// one (group commit). Every transaction expects the newest version of the
// entry's own row and rewrites that row, so the writes form a chain. An entry
// that takes over changes the row first; from then on no write of the old chain
// applies, however late it arrives.
//
// Pure logic: uses no thread, clock or socket.
//
// Contents
//   [1] Options
//   [2] Operations
//   [3] State
//   [4] Calls

#ifndef CASSIAFERRY_JOURNAL_H_
#define CASSIAFERRY_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/rows.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct journal_options {
  // Interval between two transactions, multiplied by the number of entries that
  // own jobs. Together the entries stay at four fifths of the 250 transactions
  // a second that one part of the store can handle.
  micros batch_interval_per_writer = Millis(5);
  // After a refusal or no answer; doubles each time.
  micros backoff = Millis(40);
  micros max_backoff = Millis(320);      // upper bound of the doubling
  micros renew_interval = Millis(1000);  // of the own row, while it is wanted
  // For this long after the sending of a write that was done, this entry owns
  // what it has journaled.
  micros lease = Millis(4000);
  // After this long without an answer the store counts as unreachable.
  micros unreachable_after = Millis(1500);
};

// The store takes 100 rows per transaction, conditions and writes together.
constexpr size_t kMaxTransactionRows = 100;
// The store takes 1 MB per transaction, of which base64 and member names take a
// third and more.
constexpr size_t kMaxTransactionBytes = 600'000;

// ---- [2] Operations ---------------------------------------------------------

using journal_op_id = strong_id<struct journal_op_tag, uint64_t>;

// An operation is done entirely or not at all.
struct journal_op {
  journal_op_id id;
  row_transaction rows;
};

struct journal_result {
  journal_op_id id;
  bool done = false;             // false: a condition did not hold
  uint64_t version = 0;          // of the rows that were set, if done
  std::vector<stored_row> rows;  // those of its conditions, if not done
};

// ---- [3] State --------------------------------------------------------------

// The transaction in progress. It is resent unchanged until the store has
// answered, so at most one copy of it is done.
struct open_transaction {
  std::vector<journal_op> ops;
  row_transaction rows;
  uint64_t call = 0;  // 0: not sent, or refused
  micros sent{0};     // newest copy
  // Leases start here, as any copy may be the one that was done.
  micros first_sent{0};
  bool may_be_done = false;  // a copy got no answer
  std::string
      own_row_value;  // value of the own row, unique to this transaction
};

struct journal_state {
  journal_options options;
  row_key own_row;              // key of the entry's own row
  bool own_row_wanted = false;  // the own row is to be kept and renewed
  std::string own_fields;  // JSON members of the own row besides the heartbeat
  std::deque<journal_op> waiting;
  std::optional<open_transaction> open;
  std::vector<journal_result> results;  // to be taken by the caller
  uint64_t next_op = 1;
  uint64_t next_call = 1;
  uint64_t heartbeat = 0;
  uint64_t own_version = 0;  // 0: there is no own row
  micros leased_until{0};
  micros next_send{0};
  micros last_answer{0};  // of the store to a transaction
  uint32_t failures = 0;  // consecutive
  size_t writers = 1;    // number of entries that write now, including this one
  bool deposed = false;  // another entry has taken over from this one
  uint64_t transactions = 0;
  // To be made by the caller.
  std::vector<std::pair<uint64_t, row_transaction>> calls;
};

// ---- [4] Calls --------------------------------------------------------------

// Queues an operation. Its result is reported once, unless this entry is
// deposed.
journal_op_id EnqueueWrite(journal_state& j, row_transaction rows);

// Removes an operation from the queue. Returns false if a copy may have been
// sent, and so may be done.
bool Withdraw(journal_state& j, journal_op_id id);

void HandleJournalReply(journal_state& j,
                        micros now,
                        uint64_t call,
                        const rows_reply& reply);

// Sends the next transaction, if any is due. The own row is removed when it is
// not wanted and no operation waits.
void TickJournal(journal_state& j, micros now);

// Returns true if this entry, by any clock, still owns what it has journaled.
bool IsOwner(const journal_state& j, micros now);

// Returns true if the store has not answered for `unreachable_after` while a
// write was waiting.
bool IsUnreachable(const journal_state& j, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_JOURNAL_H_
