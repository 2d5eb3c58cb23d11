// Port to the platform's table of rows, as the product needs it. An adapter or
// a stand-in fills it in.
//
// A write without an answer may have been done, or may be done seconds later.

#ifndef CASSIAFERRY_SRC_NET_ROW_STORE_H_
#define CASSIAFERRY_SRC_NET_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cassiaferry {

struct stored_row {
  std::string table;
  std::string key;
  std::string value;
  uint64_t version = 0;  // grows with each change of any row
  bool deleted = false;  // in a feed: the row is gone
};

enum class store_status : uint8_t {
  ok,
  history_gone,  // a feed can't go on from there: read the table anew
  refused,       // busy or down; nothing was done
  no_answer,     // unknown; a write may have been done
};

struct rows_reply {
  store_status status = store_status::no_answer;
  std::vector<stored_row> rows;
  uint64_t version = 0;  // of the whole store, as of this answer
};

struct row_store {
  using callback = std::function<void(rows_reply)>;  // on any thread, once

  // All rows of the table.
  std::function<void(const std::string& table, callback)> get;
  // Changes after a version: answers when there is one, or after `wait_ms`.
  std::function<
      void(const std::string& table, uint64_t after, int64_t wait_ms, callback)>
      feed;
  // Sets one row, whatever it holds.
  std::function<void(const stored_row& row, callback)> put;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_ROW_STORE_H_
