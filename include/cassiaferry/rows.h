// Rows of the platform's store, as the core logic reads and writes them.
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
  uint64_t version = 0;  // increases with each change of any row
  bool deleted = false;  // in a feed: the row was deleted
};

// ---- [2] Calls --------------------------------------------------------------

struct row_condition {
  row_key row;
  uint64_t version = 0;  // expected version; 0: the row must not exist
};

// All of it is done, or nothing.
struct row_transaction {
  std::vector<row_condition> expected;
  std::vector<stored_row> sets;  // only table, key and value are used
  std::vector<row_key> removes;
};

// Rows of one table in key order, one page at a time.
struct row_range {
  std::string table;
  std::string from;  // first key; empty: start of the table
  // Maximum number of rows; 0: as many as the store returns.
  uint32_t limit = 0;
  bool exclude_from = false;  // the key `from` itself is left out
};

using row_call = std::variant<row_transaction, row_range>;

// ---- [3] Answers ------------------------------------------------------------

enum class store_status : uint8_t {
  ok,
  conflict,  // a condition did not hold and nothing was done; `rows` holds the
             // current rows of all conditions
  history_gone,  // the feed can't continue from there; the table must be read
                 // again
  refused,       // busy or down; nothing was done
  no_answer,     // unknown; a write may have been done
};

struct rows_reply {
  store_status status = store_status::no_answer;
  std::vector<stored_row> rows;
  // Of the whole store as of this answer; after a transaction, of the rows that
  // it set.
  uint64_t version = 0;
  bool more = false;   // the table continues after the last row
  std::string detail;  // why there are no rows, for logs
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_ROWS_H_
