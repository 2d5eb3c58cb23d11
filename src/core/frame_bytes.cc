// Size of frames on the wire, estimated from their records.

#include "cassiaferry/messages.h"

namespace cassiaferry {

namespace {

// TCP and IP headers of a packet and of its acknowledgement, HTTP/2 and gRPC
// headers, and the fields that every frame has.
constexpr size_t kFrameOverhead = 150;
constexpr size_t kRefBytes = 32;    // identifies a task and its run
constexpr size_t kStartBytes = 30;  // a task of a batch: numbers and resources
constexpr size_t kRecordBytes = 24;
constexpr size_t kWorkerBytes = 80;

// Configurations are sent compressed. They are lists of similar queues and
// shrink to about a fifth.
size_t Bytes(const std::optional<config_document>& document) {
  constexpr size_t kPackedTimes = 5;
  return document ? document->json.size() / kPackedTimes + kRecordBytes : 0;
}

size_t Bytes(const std::optional<closed_domains>& closed) {
  return closed ? kRecordBytes * (1 + closed->domains.size()) : 0;
}

// Consecutive tasks of one job share a single copy of its payload.
size_t Bytes(const std::vector<run_start>& starts) {
  size_t bytes = 0;
  const std::string* job = nullptr;
  for (const run_start& start : starts) {
    bytes += kStartBytes;
    if (job == nullptr || *job != start.ref.task.job)
      bytes += start.payload.size() + kPayloadCopyBytes;
    job = &start.ref.task.job;
  }
  return bytes;
}

size_t Bytes(const lease_orders& orders) {
  return Bytes(orders.starts) +
         kRefBytes * (orders.stops.size() + orders.known.size() +
                      orders.resolved_ends.size()) +
         kRecordBytes * orders.demand.size();
}

size_t Bytes(const lease_reports& reports) {
  return kRefBytes * (reports.ends.size() + reports.unclaimed.size() +
                      reports.stragglers.size()) +
         kRecordBytes * reports.demand.size() +
         (reports.worker ? kWorkerBytes : 0);
}

}  // namespace

size_t FrameBytes(const entry_frame& frame) {
  size_t bytes = kFrameOverhead + Bytes(frame.config) + Bytes(frame.closed_set);
  for (const start_record& start : frame.starts)
    bytes += start.payload.size() + kStartBytes;
  bytes += kRecordBytes * (frame.cancels.size() + frame.probes.size() +
                           frame.probe_cancels.size() + frame.peers.size());
  if (frame.hello)
    bytes += kRecordBytes * (1 + frame.hello->unresolved.size());
  if (frame.orders)
    bytes += Bytes(*frame.orders);
  return bytes;
}

size_t FrameBytes(const sidecar_frame& frame) {
  size_t bytes = kFrameOverhead + Bytes(frame.config) + Bytes(frame.closed_set);
  for (const result_record& result : frame.results)
    bytes += result.output.size() + kRecordBytes;
  bytes += kRecordBytes * (frame.rejects.size() + frame.offers.size());
  if (frame.reconcile)
    bytes += kRecordBytes * frame.reconcile->tasks.size();
  if (frame.reports)
    bytes += Bytes(*frame.reports);
  return bytes;
}

}  // namespace cassiaferry
