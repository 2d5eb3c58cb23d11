// The emulated store: transactions and pages.

#include "emulated_store.h"

#include <algorithm>

namespace cassiaferry::emulator {

namespace {

constexpr size_t kPage = 500;

bool Holds(const emulated_store& store, const row_condition& condition) {
  const auto it = store.rows.find(condition.row);
  return (it == store.rows.end() ? 0 : it->second.version) == condition.version;
}

}  // namespace

rows_reply Do(emulated_store& store, const row_transaction& t) {
  ++store.transactions;
  rows_reply reply;
  const bool holds =
      std::all_of(t.expected.begin(), t.expected.end(),
                  [&](const row_condition& c) { return Holds(store, c); });
  if (!holds) {
    reply.status = store_status::conflict;
    reply.version = store.version;
    for (const row_condition& c : t.expected) {
      const auto it = store.rows.find(c.row);
      if (it != store.rows.end())
        reply.rows.push_back({c.row.table, c.row.key, it->second.value,
                              it->second.version, false});
    }
    return reply;
  }
  reply.status = store_status::ok;
  reply.version = ++store.version;
  for (const stored_row& row : t.sets)
    store.rows[{row.table, row.key}] = {row.value, store.version};
  for (const row_key& key : t.removes)
    store.rows.erase(key);
  return reply;
}

rows_reply Do(emulated_store& store, const row_range& range) {
  ++store.reads;
  rows_reply reply;
  reply.status = store_status::ok;
  reply.version = store.version;
  const size_t most = range.limit == 0 ? kPage : range.limit;
  auto it = store.rows.lower_bound({range.table, range.from});
  if (range.exclude_from && it != store.rows.end() &&
      it->first.key == range.from)
    ++it;
  for (; it != store.rows.end() && it->first.table == range.table; ++it) {
    if (reply.rows.size() == most) {
      reply.more = true;
      return reply;
    }
    reply.rows.push_back({it->first.table, it->first.key, it->second.value,
                          it->second.version, false});
  }
  return reply;
}

}  // namespace cassiaferry::emulator
