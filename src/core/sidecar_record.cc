// The worker record in the sidecar's tick.

#include "cassiaferry/sidecar.h"
#include "sidecar_systems.h"

namespace cassiaferry {

namespace {

// A session without a known start time can't be told from a later one under the
// same id, so it is not recorded.
void UpdateWantedRecord(sidecar_state& s) {
  const lease_manager_state& m = s.lease_manager;
  if (!m.announced)
    return;
  const bool is_recorded =
      !m.draining && !m.deregistered && m.worker.session.started_ms != 0;
  SetWantedRecord(s.worker_record,
                  is_recorded ? std::optional(m.worker) : std::nullopt);
}

}  // namespace

void HandleRecordStoreAnswer(sidecar_state& s,
                             micros now,
                             const rows_reply& reply) {
  record_outcome outcome = HandleRecordAnswer(s.worker_record, reply);
  if (outcome.what != nullptr)
    s.actions.emplace_back(lease_manager_action{
        lease_manager_log{outcome.what, std::move(outcome.detail)}});
  if (outcome.worker)
    HandleLeaseManagerEvent(s.lease_manager, now,
                            worker_record_read{std::move(*outcome.worker)});
}

void KeepWorkerRecord(sidecar_state& s, micros now) {
  if (s.worker_record.state == record_state::off)
    return;
  UpdateWantedRecord(s);
  if (std::optional<row_call> call = NextRecordCall(s.worker_record, now))
    s.actions.emplace_back(call_record_store{std::move(*call)});
}

std::string WorkerRecordPrometheusText(const sidecar_state& s) {
  std::string out;
  if (s.worker_record.state == record_state::off)
    return out;
  const worker_record_counters& c = s.worker_record.counters;
  const std::pair<const char*, uint64_t> counts[] = {
      {"read", c.read},
      {"used", s.lease_manager.records_used},
      {"dropped", s.lease_manager.records_dropped},
      {"written", c.written},
      {"refused", c.refused},
      {"no_answer", c.no_answer}};
  for (const auto& [what, count] : counts)
    AppendMetric(out, "cassiaferry_worker_record_total",
                 std::string("what=\"") + what + "\"",
                 static_cast<double>(count));
  return out;
}

}  // namespace cassiaferry
