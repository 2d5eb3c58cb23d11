// The worker record: its row, and when it is read and written.
//
// Contents
//   [1] Row
//   [2] Calls
//   [3] Answers

#include "cassiaferry/worker_record.h"

#include <utility>

#include "cassiaferry/json_fields.h"

namespace cassiaferry {

namespace {

constexpr micros kWriteInterval = Millis(1000);

// ---- [1] Row ----------------------------------------------------------------

bool ReadLabels(const nlohmann::json& j, std::vector<std::string>& labels) {
  const nlohmann::json* field = FindField(j, "labels");
  if (field == nullptr || !field->is_array())
    return false;
  for (const nlohmann::json& label : *field) {
    if (!label.is_string())
      return false;
    labels.push_back(label);
  }
  return true;
}

}  // namespace

std::string WriteWorkerRow(const leased_worker_info& worker) {
  const nlohmann::json row = {{"session", worker.session.id},
                              {"started_ms", worker.session.started_ms},
                              {"upstream", worker.upstream},
                              {"cpu", worker.capacity.cpu},
                              {"memory_mb", worker.capacity.memory_mb},
                              {"gpus", worker.capacity.gpus},
                              {"labels", worker.labels}};
  // Invalid UTF-8 is replaced: dump() throws on it by default.
  return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<leased_worker_info> ReadWorkerRow(const std::string& row) {
  const nlohmann::json j = ParseRecord(row);
  constexpr int64_t kMissing = -1;
  const auto is_amount = [](int64_t amount) {
    return amount >= 0 && amount <= kMaxRecordNumber;
  };
  leased_worker_info worker;
  worker.session.id = TextField(j, "session");
  worker.session.started_ms = NumberField(j, "started_ms", kMissing);
  worker.upstream = TextField(j, "upstream");
  worker.capacity.cpu = NumberField(j, "cpu", kMissing);
  worker.capacity.memory_mb = NumberField(j, "memory_mb", kMissing);
  worker.capacity.gpus = NumberField(j, "gpus", kMissing);
  const bool is_valid =
      !worker.session.id.empty() && worker.session.started_ms > 0 &&
      worker.session.started_ms <= kMaxRecordNumber &&
      !worker.upstream.empty() && worker.capacity.cpu > 0 &&
      is_amount(worker.capacity.cpu) && is_amount(worker.capacity.memory_mb) &&
      is_amount(worker.capacity.gpus);
  if (!is_valid || !ReadLabels(j, worker.labels))
    return std::nullopt;
  return worker;
}

// ---- [2] Calls --------------------------------------------------------------

namespace {

bool IsWriteDue(const worker_record_state& r, micros now) {
  if (r.state != record_state::idle || !r.has_wanted)
    return false;
  if (r.is_known && r.wanted == r.stored && (r.wanted || r.version == 0))
    return false;
  return !r.has_written || now - r.last_write_at >= kWriteInterval;
}

row_transaction WriteOf(const worker_record_state& r) {
  const row_key row{kWorkersTable, r.key};
  row_transaction t;
  t.expected.push_back({row, r.version});
  if (r.wanted)
    t.sets.push_back({row.table, row.key, WriteWorkerRow(*r.wanted), 0, false});
  else
    t.removes.push_back(row);
  return t;
}

}  // namespace

worker_record_state MakeWorkerRecord(std::string key, bool enabled) {
  worker_record_state r;
  r.key = std::move(key);
  r.state = enabled ? record_state::read_due : record_state::off;
  return r;
}

void SetWantedRecord(worker_record_state& r,
                     std::optional<leased_worker_info> worker) {
  r.has_wanted = true;
  if (r.wanted != worker)
    r.wanted = std::move(worker);
}

std::optional<row_call> NextRecordCall(worker_record_state& r, micros now) {
  if (r.state == record_state::read_due) {
    r.state = record_state::reading;
    return row_range{kWorkersTable, r.key, 1, false};
  }
  if (!IsWriteDue(r, now))
    return std::nullopt;
  r.state = record_state::writing;
  r.writing = r.wanted;
  r.last_write_at = now;
  r.has_written = true;
  return WriteOf(r);
}

// ---- [3] Answers ------------------------------------------------------------

namespace {

// A page from a key on may begin with a later row.
void LearnRow(worker_record_state& r, const rows_reply& reply) {
  r.is_known = true;
  r.version = 0;
  r.stored.reset();
  for (const stored_row& row : reply.rows) {
    if (row.table != kWorkersTable || row.key != r.key || row.deleted)
      continue;
    r.version = row.version;
    r.stored = ReadWorkerRow(row.value);
  }
}

record_outcome HandleRead(worker_record_state& r, const rows_reply& reply) {
  constexpr const char* kRead = "worker record read";
  if (reply.status != store_status::ok) {
    ++r.counters.no_answer;
    return {std::nullopt, kRead, "the store does not answer"};
  }
  ++r.counters.read;
  LearnRow(r, reply);
  if (!r.stored)
    return {std::nullopt, kRead, r.version == 0 ? "no row" : "malformed row"};
  return {r.stored, kRead,
          r.stored->session.id + ", started " +
              std::to_string(r.stored->session.started_ms)};
}

record_outcome HandleWritten(worker_record_state& r, const rows_reply& reply) {
  ++r.counters.written;
  r.is_known = true;
  r.stored = r.writing;
  r.version = r.writing ? reply.version : 0;
  return {std::nullopt, "worker record written",
          r.writing ? r.writing->session.id + ", started " +
                          std::to_string(r.writing->session.started_ms)
                    : "row deleted"};
}

// A write that is not done is tried again after kWriteInterval. Only the first
// one of a series is logged.
record_outcome HandleNotWritten(worker_record_state& r,
                                const rows_reply& reply,
                                bool is_first) {
  const bool conflict = reply.status == store_status::conflict;
  if (conflict) {
    ++r.counters.refused;
    LearnRow(r, reply);
  } else {
    ++r.counters.no_answer;
  }
  if (!is_first)
    return {};
  return {std::nullopt, "worker record not written",
          conflict ? "the row has changed, version " + std::to_string(r.version)
                   : "the store does not answer"};
}

}  // namespace

record_outcome HandleRecordAnswer(worker_record_state& r,
                                  const rows_reply& reply) {
  const record_state before = r.state;
  if (before != record_state::reading && before != record_state::writing)
    return {};
  r.state = record_state::idle;
  if (before == record_state::reading)
    return HandleRead(r, reply);
  const bool is_first = r.last_status != reply.status;
  r.last_status = reply.status;
  return reply.status == store_status::ok
             ? HandleWritten(r, reply)
             : HandleNotWritten(r, reply, is_first);
}

}  // namespace cassiaferry
