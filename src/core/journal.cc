// Group commit of an entry's writes, each of which depends on the one before.
//
// Contents
//   [1] Transactions
//   [2] Answers
//   [3] Calls

#include "cassiaferry/journal.h"

#include <algorithm>
#include <utility>

namespace cassiaferry {

namespace {

// ---- [1] Transactions -------------------------------------------------------

size_t RowsOf(const row_transaction& t) {
  return t.expected.size() + t.sets.size() + t.removes.size();
}

size_t BytesOf(const row_transaction& t) {
  // Table, part, key and member names of a row.
  constexpr size_t kNameBytes = 120;
  size_t bytes = RowsOf(t) * kNameBytes;
  for (const stored_row& row : t.sets)
    bytes += row.value.size();
  return bytes;
}

void Append(row_transaction& to, const row_transaction& from) {
  to.expected.insert(to.expected.end(), from.expected.begin(),
                     from.expected.end());
  to.sets.insert(to.sets.end(), from.sets.begin(), from.sets.end());
  to.removes.insert(to.removes.end(), from.removes.begin(), from.removes.end());
}

bool Touches(const row_transaction& t, const row_key& row) {
  const auto is_row = [&](const auto& r) {
    return r.table == row.table && r.key == row.key;
  };
  return std::any_of(t.sets.begin(), t.sets.end(), is_row) ||
         std::any_of(t.removes.begin(), t.removes.end(), is_row) ||
         std::any_of(t.expected.begin(), t.expected.end(),
                     [&](const row_condition& c) { return c.row == row; });
}

// A transaction may name a row only once, so a later operation on the same row
// waits for another transaction.
bool Overlaps(const row_transaction& t, const row_transaction& op) {
  return std::any_of(op.expected.begin(), op.expected.end(),
                     [&](const row_condition& c) { return Touches(t, c.row); });
}

// Takes as many waiting operations, in order, as the store accepts at once.
std::vector<journal_op> TakeBatch(journal_state& j) {
  std::vector<journal_op> batch;
  row_transaction batched;
  constexpr size_t kOwnRows = 2;  // condition and write of the own row
  while (!j.waiting.empty()) {
    const row_transaction& next = j.waiting.front().rows;
    const bool fits =
        RowsOf(batched) + RowsOf(next) + kOwnRows <= kMaxTransactionRows &&
        BytesOf(batched) + BytesOf(next) <= kMaxTransactionBytes;
    if (!batch.empty() && (!fits || Overlaps(batched, next)))
      break;
    Append(batched, next);
    batch.push_back(std::move(j.waiting.front()));
    j.waiting.pop_front();
  }
  return batch;
}

std::string OwnRowValue(const journal_state& j) {
  return "{\"beat\":" + std::to_string(j.heartbeat) +
         (j.own_fields.empty() ? "" : "," + j.own_fields) + "}";
}

void BuildRows(journal_state& j, open_transaction& t) {
  ++j.heartbeat;
  t.own_row_value = OwnRowValue(j);
  t.rows = {};
  t.rows.expected.push_back({j.own_row, j.own_version});
  if (j.own_row_wanted || !t.ops.empty())
    t.rows.sets.push_back({j.own_row.table, j.own_row.key, t.own_row_value});
  else
    t.rows.removes.push_back(j.own_row);
  for (const journal_op& op : t.ops)
    Append(t.rows, op.rows);
}

void Send(journal_state& j, micros now) {
  open_transaction& t = *j.open;
  t.call = j.next_call++;
  t.sent = now;
  if (t.first_sent.value == 0)
    t.first_sent = now;
  ++j.transactions;
  j.calls.emplace_back(t.call, t.rows);
}

// ---- [2] Answers ------------------------------------------------------------

const stored_row* FindRow(const std::vector<stored_row>& rows,
                          const row_key& key) {
  for (const stored_row& row : rows) {
    if (row.table == key.table && row.key == key.key && !row.deleted)
      return &row;
  }
  return nullptr;
}

bool Holds(const row_condition& condition,
           const std::vector<stored_row>& rows) {
  const stored_row* row = FindRow(rows, condition.row);
  return (row == nullptr ? 0 : row->version) == condition.version;
}

bool AllHold(const row_transaction& t, const std::vector<stored_row>& rows) {
  return std::all_of(t.expected.begin(), t.expected.end(),
                     [&](const row_condition& c) { return Holds(c, rows); });
}

// The rows that the conditions name, as they are now.
std::vector<stored_row> RowsOfConditions(const row_transaction& t,
                                         const std::vector<stored_row>& rows) {
  std::vector<stored_row> named;
  for (const row_condition& condition : t.expected) {
    if (const stored_row* row = FindRow(rows, condition.row))
      named.push_back(*row);
  }
  return named;
}

void HandleCommitted(journal_state& j, uint64_t version) {
  const open_transaction t = std::move(*j.open);
  j.open.reset();
  const bool removed = t.rows.sets.empty();
  j.own_version = removed ? 0 : version;
  j.leased_until = removed ? micros{0} : t.first_sent + j.options.lease;
  for (const journal_op& op : t.ops)
    j.results.push_back({op.id, true, version, {}});
}

void Requeue(journal_state& j, std::vector<journal_op>& ops) {
  while (!ops.empty()) {
    j.waiting.push_front(std::move(ops.back()));
    ops.pop_back();
  }
}

void ScheduleRetry(journal_state& j, micros now) {
  constexpr uint32_t kMaxDoublings = 8;
  const uint32_t doublings = std::min(j.failures, kMaxDoublings);
  ++j.failures;
  j.next_send = now + micros{std::min(j.options.backoff.value << doublings,
                                      j.options.max_backoff.value)};
}

// Failure guarded against: the answer to a write is lost after the write was
// done. The resent copy then finds its own heartbeat in the row, which no other
// process writes.
void HandleConflict(journal_state& j, const std::vector<stored_row>& rows) {
  open_transaction& t = *j.open;
  const stored_row* own = FindRow(rows, j.own_row);
  if (!Holds({j.own_row, j.own_version}, rows)) {
    const bool removed = t.rows.sets.empty() && own == nullptr;
    if (removed || (own != nullptr && own->value == t.own_row_value)) {
      HandleCommitted(j, own == nullptr ? 0 : own->version);
      return;
    }
    j.deposed = true;
    return;
  }
  // The own row is unchanged: a condition of some operation does not hold.
  std::vector<journal_op> retried;
  for (journal_op& op : t.ops) {
    if (AllHold(op.rows, rows)) {
      retried.push_back(std::move(op));
      continue;
    }
    j.results.push_back({op.id, false, 0, RowsOfConditions(op.rows, rows)});
  }
  j.open.reset();
  Requeue(j, retried);
}

}  // namespace

// ---- [3] Calls --------------------------------------------------------------

journal_op_id EnqueueWrite(journal_state& j, row_transaction rows) {
  const journal_op_id id{j.next_op++};
  j.waiting.push_back({id, std::move(rows)});
  return id;
}

bool Withdraw(journal_state& j, journal_op_id id) {
  return std::erase_if(j.waiting,
                       [&](const journal_op& op) { return op.id == id; }) != 0;
}

void HandleJournalReply(journal_state& j,
                        micros now,
                        uint64_t call,
                        const rows_reply& reply) {
  if (!j.open || j.open->call != call || j.deposed)
    return;
  open_transaction& t = *j.open;
  t.call = 0;
  if (reply.status == store_status::no_answer) {
    t.may_be_done = true;
    ScheduleRetry(j, now);
    return;
  }
  if (reply.status == store_status::ok ||
      reply.status == store_status::conflict) {
    j.failures = 0;
    j.last_answer = now;
    j.next_send = t.sent + micros{j.options.batch_interval_per_writer.value *
                                  static_cast<int64_t>(j.writers)};
    if (reply.status == store_status::ok)
      HandleCommitted(j, reply.version);
    else
      HandleConflict(j, reply.rows);
    return;
  }
  ScheduleRetry(j, now);
  if (t.may_be_done)
    return;
  // No part of it was done or will be.
  Requeue(j, t.ops);
  j.open.reset();
}

void TickJournal(journal_state& j, micros now) {
  if (j.deposed || now < j.next_send)
    return;
  if (j.open) {
    if (j.open->call == 0)
      Send(j, now);
    return;
  }
  const bool renewal_due =
      j.own_row_wanted &&
      now + j.options.lease >= j.leased_until + j.options.renew_interval;
  const bool removal_due =
      !j.own_row_wanted && j.own_version != 0 && j.waiting.empty();
  if (j.waiting.empty() && !renewal_due && !removal_due)
    return;
  if (j.failures == 0 && !IsUnreachable(j, now))
    j.last_answer = now;
  j.open.emplace();
  j.open->ops = TakeBatch(j);
  BuildRows(j, *j.open);
  Send(j, now);
}

bool IsOwner(const journal_state& j, micros now) {
  return !j.deposed && j.own_version != 0 && now < j.leased_until;
}

bool IsUnreachable(const journal_state& j, micros now) {
  return j.failures > 0 && now - j.last_answer > j.options.unreachable_after;
}

}  // namespace cassiaferry
