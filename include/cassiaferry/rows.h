// Rows of the platform's store, as decisions read and write them.
//
// A write without an answer may have been done, or may be done seconds later if
// its conditions still hold then.
//
// Contents
//   [1] Rows
//   [2] Calls
//   [3] Answers

#ifndef CASSIAFERRY_ROWS_H_
#define CASSIAFERRY_ROWS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cassiaferry {

// ---- [1] Rows ---------------------------------------------------------------

struct row_key {
  std::string table;
  std::string key;
  auto operator<=>(const row_key&) const = default;
};

struct stored_row {
  std::string table;
  std::string key;
  std::string value;
  uint64_t version = 0;  // grows with each change of any row
  bool deleted = false;  // in a feed: the row is gone
};

// ---- [2] Calls --------------------------------------------------------------

struct row_condition {
  row_key row;
  uint64_t version = 0;  // that the row must have; 0: there must be none
};

// All of it or nothing is done.
struct row_transaction {
  std::vector<row_condition> expected;
  std::vector<stored_row> sets;  // table, key and value count
  std::vector<row_key> removes;
};

// Rows of one table in the order of keys, a page at a time.
struct row_range {
  std::string table;
  std::string from;           // first key; empty: the table's first
  uint32_t limit = 0;         // rows; 0: as many as the store gives
  bool exclude_from = false;  // the key `from` itself is passed over
};

using row_call = std::variant<row_transaction, row_range>;

// ---- [3] Answers ------------------------------------------------------------

enum class store_status : uint8_t {
  ok,
  conflict,  // a condition did not hold: nothing was done; `rows` holds what
             // stands there, of all rows named in conditions
  history_gone,  // a feed can't go on from there: read the table anew
  refused,       // busy or down; nothing was done
  no_answer,     // unknown; a write may have been done
};

struct rows_reply {
  store_status status = store_status::no_answer;
  std::vector<stored_row> rows;
  uint64_t version = 0;  // of the whole store, as of this answer; after a
                         // transaction, of the rows that it set
  bool more = false;     // the table goes on after the last row
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_ROWS_H_
