// Journal of one entry: what must outlive it, written to the platform's store.
//
// Operations that come while a transaction is open go together in the next one
// (group commit). Every transaction expects the newest version of the entry's
// own row and writes that row anew: the writes form a chain. Whoever takes the
// entry's place changes the row first, and from then on no write of the old
// chain applies, however late it arrives.
//
// Pure: no thread, clock or socket.
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
  // Between two transactions, for each entry that owns jobs: together they stay
  // at four fifths of the 250 a second that one part of the store does.
  micros batch_interval_per_writer = Millis(5);
  micros backoff = Millis(40);           // after a refusal or no answer, ...
  micros max_backoff = Millis(320);      // ... doubled up to this
  micros renew_interval = Millis(1000);  // of the own row, while it is needed
  micros lease = Millis(4000);  // this entry is the owner of what it has
                                // journaled, from the sending of a write
                                // that was done
  micros unreachable_after = Millis(1500);  // no answer for so long: the store
                                            // is taken to be out of reach
};

// The store takes 100 rows in a transaction, conditions and writes together.
constexpr size_t kMaxTransactionRows = 100;
// ... and 1 MB, of which base64 and member names take a third and more.
constexpr size_t kMaxTransactionBytes = 600'000;

// ---- [2] Operations ---------------------------------------------------------

using journal_op_id = strong_id<struct journal_op_tag, uint64_t>;

// Done whole or not at all.
struct journal_op {
  journal_op_id id;
  row_transaction rows;
};

struct journal_result {
  journal_op_id id;
  bool done = false;     // false: a condition did not hold
  uint64_t version = 0;  // done: of the rows that were set
};

// ---- [3] State --------------------------------------------------------------

// The transaction under way. It is sent again unchanged until the store has
// answered: so one copy of it, at most, is done.
struct open_transaction {
  std::vector<journal_op> ops;
  row_transaction rows;
  uint64_t call = 0;     // 0: not sent, or answered with a refusal
  micros sent{0};        // the newest copy
  micros first_sent{0};  // leases count from here, as any copy may be the one
  bool may_be_done = false;   // a copy got no answer
  std::string own_row_value;  // of the own row, unique to this transaction
};

struct journal_state {
  journal_options options;
  row_key own_row;              // the entry's own row
  bool own_row_wanted = false;  // the own row is to be kept, and renewed
  std::string own_fields;       // JSON members of the own row, beside the beat
  std::deque<journal_op> waiting;
  std::optional<open_transaction> open;
  std::vector<journal_result> results;  // for the caller to take
  uint64_t next_op = 1;
  uint64_t next_call = 1;
  uint64_t heartbeat = 0;
  uint64_t own_version = 0;  // 0: there is no own row
  micros leased_until{0};
  micros next_send{0};
  micros last_answer{0};  // of the store, to a transaction
  uint32_t failures = 0;  // in a row
  size_t writers = 1;     // entries that write now, this one included
  bool deposed = false;   // another entry has taken this one's place
  uint64_t transactions = 0;
  std::vector<std::pair<uint64_t, row_transaction>> calls;  // to make
};

// ---- [4] Calls --------------------------------------------------------------

// Queues an operation; its result comes once, unless this entry is deposed.
journal_op_id EnqueueWrite(journal_state& j, row_transaction rows);

// Takes back an operation no copy of which was sent. False: it may be done.
bool Withdraw(journal_state& j, journal_op_id id);

void HandleJournalReply(journal_state& j,
                        micros now,
                        uint64_t call,
                        const rows_reply& reply);

// Sends what is due. The own row is removed when it is not wanted and nothing
// waits.
void TickJournal(journal_state& j, micros now);

// This entry is, by any clock, still the owner of what it has journaled.
bool IsOwner(const journal_state& j, micros now);

// The store has not answered for long, with a write waiting.
bool IsUnreachable(const journal_state& j, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_JOURNAL_H_
