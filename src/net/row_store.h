// Port to the platform's table of rows, as the product needs it. An adapter or
// a stand-in fills it in.
//
// A write without an answer may have been done, or may be done seconds later.

#ifndef CASSIAFERRY_SRC_NET_ROW_STORE_H_
#define CASSIAFERRY_SRC_NET_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "cassiaferry/rows.h"

namespace cassiaferry {

struct row_store {
  using callback = std::function<void(rows_reply)>;  // on any thread, once

  // All rows of the table.
  std::function<void(const std::string& table, callback)> get;
  // Changes after a version: answers when there is one, or after `wait_ms`.
  std::function<
      void(const std::string& table, uint64_t after, int64_t wait_ms, callback)>
      feed;
  // One page of a table.
  std::function<void(const row_range& range, callback)> page;
  std::function<void(const row_transaction& transaction, callback)> transact;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_ROW_STORE_H_
