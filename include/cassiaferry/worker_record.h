// The worker record: a row in the store in which a sidecar keeps what it knows
// of its worker, so that its successor takes work before the worker's next
// announcement.
//
// Pure: the caller carries out the calls and passes their answers. A row is
// written on the condition that it has the version last read or written, so
// that a late write of a predecessor is refused.
//
// Contents
//   [1] Row
//   [2] State
//   [3] Calls

#ifndef CASSIAFERRY_WORKER_RECORD_H_
#define CASSIAFERRY_WORKER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cassiaferry/ids.h"
#include "cassiaferry/leases.h"
#include "cassiaferry/rows.h"

namespace cassiaferry {

// ---- [1] Row ----------------------------------------------------------------

constexpr char kWorkersTable[] = "workers";

std::string WriteWorkerRow(const leased_worker_info& worker);

// Returns nullopt if any field is missing or invalid.
std::optional<leased_worker_info> ReadWorkerRow(const std::string& row);

// ---- [2] State --------------------------------------------------------------

enum class record_state : uint8_t {
  off,
  read_due,
  reading,
  idle,  // nothing to write, or a write is due
  writing,
};

struct worker_record_counters {
  uint64_t read = 0;       // answered reads
  uint64_t written = 0;    // deleted rows included
  uint64_t refused = 0;    // by the condition of the write
  uint64_t no_answer = 0;  // reads and writes: no answer, or the store is busy
};

struct worker_record_state {
  std::string key;  // the sidecar's name
  record_state state = record_state::off;
  // What the row should hold; nullopt: it should not exist.
  std::optional<leased_worker_info> wanted;
  std::optional<leased_worker_info> writing;  // in the open write
  // What the row holds, as far as known; nullopt: it is malformed or does not
  // exist.
  std::optional<leased_worker_info> stored;
  uint64_t version = 0;      // last read or written; 0: no row
  bool is_known = false;     // `stored` and `version` have been read
  bool has_wanted = false;   // a session has been announced
  micros last_write_at{0};   // when the newest write was sent
  bool has_written = false;  // a write has been sent
  store_status last_status = store_status::ok;  // of the newest write
  worker_record_counters counters;
};

// What an answer of the store means to the sidecar.
struct record_outcome {
  std::optional<leased_worker_info> worker;  // read at the start
  const char* what = nullptr;                // log line; null: none
  std::string detail;
};

// ---- [3] Calls --------------------------------------------------------------

worker_record_state MakeWorkerRecord(std::string key, bool enabled);

// Sets what the row should hold; nullopt: it should not exist.
void SetWantedRecord(worker_record_state& r,
                     std::optional<leased_worker_info> worker);

// The call that is due; at most one is open at a time.
std::optional<row_call> NextRecordCall(worker_record_state& r, micros now);

// Handles the answer to the open call.
record_outcome HandleRecordAnswer(worker_record_state& r,
                                  const rows_reply& reply);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_WORKER_RECORD_H_
