// Follows one table of the store: reads it whole, then its changes.
//
// Single-threaded: call everything on one thread. `post` brings the store's
// answers back to it.
//
// Contents
//   [1] Options
//   [2] The watch

#ifndef CASSIAFERRY_SRC_NET_ROW_WATCH_H_
#define CASSIAFERRY_SRC_NET_ROW_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"
#include "row_store.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct row_watch_options {
  std::string table;
  int64_t feed_wait_ms = 1000;  // an idle feed answers after this
  // Between whole reads. Failure guarded against: a feed that hears nothing,
  // while changes are made, and says so to nobody.
  micros reread = Millis(30'000);
  // Longer for large tables, by this for each row, so that what a reader reads
  // in a time does not grow with the table.
  micros reread_per_row{0};
  // After changes the next ones are gathered for this long, so that many in
  // quick succession come in few answers.
  micros gather{0};
  micros backoff = Millis(100);       // after a failed call, ...
  micros backoff_most = Millis(500);  // ... doubled up to this
};

// ---- [2] The watch ----------------------------------------------------------

class row_watch {
 public:
  using post_function = std::function<void(std::function<void()>)>;
  using rows_function = std::function<void(const rows_reply&, bool whole)>;

  // `on_rows`: the table, if `whole`, or its changes since the last call, in
  // order, if there are any.
  row_watch(row_store store,
            row_watch_options options,
            post_function post,
            rows_function on_rows);

  void Tick(micros now);                     // calls the store when it is time
  bool IsLoaded() const { return loaded_; }  // the table was read whole, once
  bool IsConnected() const { return failures_ == 0; }

 private:
  void Read();
  void Follow();
  void Take(bool whole, const rows_reply& reply);

  row_store store_;
  row_watch_options options_;
  post_function post_;
  rows_function on_rows_;
  bool open_ = false;  // a call is under way
  bool loaded_ = false;
  bool must_read_ = true;
  uint64_t version_ = 0;
  uint32_t failures_ = 0;  // in a row
  micros now_{0};
  micros next_call_{0};
  micros last_read_{0};
  size_t rows_{0};               // of the newest whole read
  std::shared_ptr<bool> alive_;  // answers after the end are dropped
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_ROW_WATCH_H_
