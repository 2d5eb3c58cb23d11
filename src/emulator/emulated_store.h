// The platform's store of rows, on virtual time, with faults.

#ifndef CASSIAFERRY_SRC_EMULATOR_EMULATED_STORE_H_
#define CASSIAFERRY_SRC_EMULATOR_EMULATED_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "cassiaferry/rows.h"

namespace cassiaferry::emulator {

struct emulated_value {
  std::string value;
  uint64_t version = 0;
};

struct emulated_store {
  std::map<row_key, emulated_value> rows;
  uint64_t version = 1;
  uint64_t transactions = 0;
  uint64_t reads = 0;
  // Faults.
  bool down = false;      // refuses, nothing done
  bool silent = false;    // neither does nor answers anything
  double lost_share = 0;  // of writes: done, not answered
  double late_share = 0;  // of writes: not answered, done seconds later if
                          // their conditions hold then
  int64_t answer_ms = 4;
};

rows_reply Do(emulated_store& store, const row_transaction& transaction);
rows_reply Do(emulated_store& store, const row_range& range);

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_SRC_EMULATOR_EMULATED_STORE_H_
