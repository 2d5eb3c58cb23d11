// A reader of one table, against a store that answers at once.

#include "../src/net/row_watch.h"

#include <catch2/catch.hpp>
#include <string>

namespace cassiaferry {
namespace {

struct watched_table {
  // Rows read whole by one reader within the time.
  size_t RowsRead(size_t rows, micros time) {
    row_store store;
    size_t read = 0;
    rows_reply table;
    table.status = store_status::ok;
    table.version = 1;
    for (size_t i = 0; i < rows; ++i)
      table.rows.push_back({"t", std::to_string(i), "v", 1, false});
    store.get = [&](const std::string&, const row_store::callback& answer) {
      read += rows;
      answer(table);
    };
    store.feed = [&](const std::string&, uint64_t, int64_t,
                     const row_store::callback& answer) {
      rows_reply nothing;
      nothing.status = store_status::ok;
      nothing.version = 1;
      answer(nothing);
    };
    row_watch watch(
        store, options, [](const std::function<void()>& f) { f(); },
        [](const rows_reply&, bool) {});
    for (micros now = Millis(1000); now < time; now = now + Millis(100))
      watch.Tick(now);
    return read;
  }

  row_watch_options options;
};

// Guards against whole reads whose rows grow with the table, times its readers.
TEST_CASE_METHOD(watched_table, "table_large_rows_read_in_a_time_bounded") {
  constexpr micros kTime = Millis(3'600'000);
  options.reread_per_row = Millis(1000);
  const size_t small = RowsRead(100, kTime);
  const size_t large = RowsRead(400, kTime);
  CHECK(large <= small * 11 / 10);
  CHECK(large >= 400);
}

// Guards against a small table that is read whole less often than before.
TEST_CASE_METHOD(watched_table, "table_small_read_as_often_as_without") {
  constexpr micros kTime = Millis(300'000);
  const size_t before = RowsRead(20, kTime);
  options.reread_per_row = Millis(1000);
  CHECK(RowsRead(20, kTime) == before);
}

}  // namespace
}  // namespace cassiaferry
