// Orders of entries at the keeper of leased runs.
//
// Contents
//   [1] Starts and stops
//   [2] Payloads
//   [3] New streams
//   [4] A frame's orders

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cassiaferry/compression.h"
#include "lease_manager_systems.h"

namespace cassiaferry {

namespace {

// ---- [1] Starts and stops ---------------------------------------------------

// Room that runs should leave within the time that a start may wait.
int64_t CpuFreedSoon(const lease_manager_state& k, micros now) {
  constexpr double kLeastPace = 0.1;  // at a standstill nothing ends
  int64_t cpu = 0;
  for (const auto& [task, run] : k.runs) {
    if (WaitsForResources(run))
      continue;
    const double expected_us =
        run.start.expected_ms * 1000.0 / std::max(kLeastPace, k.pace);
    const micros ends = run.since + micros{static_cast<int64_t>(expected_us)};
    if (ends - now <= k.options.max_start_wait)
      cpu += run.start.need.cpu;
  }
  return cpu;
}

// Failure guarded against: entries place by what they heard some milliseconds
// ago; two take the same room, and one's start is refused, by the hundred a
// second. Each costs both sides a frame, and small entries, full with frames,
// act late. On a worker with ten tasks one ends each 15 ms: a start that comes
// too early by that waits here, in place of a frame back and another start.
// Without a look at what ends soon, a start waits in vain beside other workers
// with room.
bool MayWait(const lease_manager_state& k, micros now, const resources& need) {
  const double most =
      k.options.max_waiting_share * static_cast<double>(k.worker.capacity.cpu);
  return Fits(need, k.worker.capacity) &&
         static_cast<double>(k.waiting_resources.cpu + need.cpu) <= most &&
         need.cpu <= FreeResources(k).cpu + CpuFreedSoon(k, now);
}

void QueueForResources(lease_manager_state& k, managed_run& run) {
  run.state = run_state::waiting;
  k.waiting_starts.push_back(run.start.ref.task);
  k.waiting_resources = k.waiting_resources + run.start.need;
  ++k.starts_waited;
}

void HandleRunStart(lease_manager_state& k,
                    micros now,
                    incarnation owner_name,
                    run_owner& owner,
                    run_start start) {
  ++owner.starts_seen;
  const auto there = k.runs.find(start.ref.task);
  if (there != k.runs.end()) {
    managed_run& run = there->second;
    if (run.owner == owner_name && run.start.ref == start.ref)
      return;
    // Failure guarded against: a caller whose connection broke has sent its job
    // again to another entry, and the first entry's run is still here. Two runs
    // of one task never overlap: the older is stopped, the newer refused.
    if (run.owner != owner_name)
      StopRun(k, now, run);
    ReportEnd(k, owner_name, start.ref, run_end_kind::never_started, 0);
    return;
  }
  // Failure guarded against: orders held up in the network or by a pause of
  // this process arrive when their owner has given them up. They echo a stamp
  // too old to vouch for anything.
  const bool acceptable = !start.compressed && AcceptsLeasedWork(k, now) &&
                          HasOwnerLease(k, now, owner_name);
  const bool fits = Fits(start.need, FreeResourcesFor(k, now, owner_name));
  if (!acceptable || (!fits && !MayWait(k, now, start.need))) {
    ReportEnd(k, owner_name, start.ref, run_end_kind::never_started, 0);
    return;
  }
  managed_run run;
  run.owner = owner_name;
  run.since = now;
  run.start = std::move(start);
  k.used = k.used + run.start.need;
  const leased_task task = run.start.ref.task;
  managed_run& row = k.runs.emplace(task, std::move(run)).first->second;
  if (fits) {
    CallStart(k, now, row);
    return;
  }
  QueueForResources(k, row);
  // It believed in room that isn't there. As a refusal does, this also shows
  // it how long its link takes: without it, links of 250 kB/s are found full
  // so late that vouches run out (emulated world).
  owner.report_pending = true;
}

void HandleRunStop(lease_manager_state& k,
                   micros now,
                   incarnation owner,
                   const run_ref& ref) {
  const auto it = k.runs.find(ref.task);
  if (it != k.runs.end() && it->second.owner == owner &&
      it->second.start.ref == ref)
    StopRun(k, now, it->second);
}

// ---- [2] Payloads -----------------------------------------------------------

// Tasks of a job follow each other and share its payload. One that can't be
// unpacked stays packed, and is not started.
void UnpackPayloads(lease_manager_state& k, std::vector<run_start>& starts) {
  const run_start* before = nullptr;
  for (run_start& start : starts) {
    const bool shared = before != nullptr && !before->compressed &&
                        start.compressed &&
                        before->ref.task.job == start.ref.task.job;
    if (shared) {
      start.payload = before->payload;
      start.compressed = false;
    } else if (start.compressed) {
      std::optional<std::string> payload = Decompress(start.payload);
      if (!payload)
        LogChange(k, "payload unreadable", start.ref.task.job);
      start.compressed = !payload;
      start.payload = std::move(payload).value_or("");
    }
    before = &start;
  }
}

// ---- [3] New streams --------------------------------------------------------

// A new stream of this owner: it names the runs that it ordered from this very
// process and has heard no end of. What is here beyond those is stopped; what
// it names and is not here never started, as its order went down with the older
// stream.
void ReconcileRuns(lease_manager_state& k,
                   micros now,
                   incarnation owner_name,
                   run_owner& owner,
                   const lease_orders& orders) {
  // Failure guarded against: this process has forgotten the entry (it said
  // goodbye, or was silent for long) and counts its ends from 1 again; the
  // entry takes each for one that it has had, and its jobs never end.
  const uint64_t heard = std::max(orders.last_received_end, orders.acked_end);
  owner.next_end = std::max(owner.next_end, heard + 1);
  owner.starts_seen = 0;
  owner.resolved_seen = 0;
  owner.ends_reported = 0;
  owner.worker_reported = false;
  owner.stragglers.clear();
  owner.report_pending = true;
  const std::set<run_ref> wanted(orders.known.begin(), orders.known.end());
  for (auto& [task, run] : k.runs) {
    if (run.owner == owner_name && wanted.count(run.start.ref) == 0)
      StopRun(k, now, run);
  }
  for (const run_ref& ref : wanted) {
    const auto it = k.runs.find(ref.task);
    const bool here = it != k.runs.end() && it->second.owner == owner_name &&
                      it->second.start.ref == ref;
    if (!here && !HasEnd(owner, ref))
      ReportEnd(k, owner_name, ref, run_end_kind::never_started, 0);
  }
}

}  // namespace

// ---- [4] A frame's orders ---------------------------------------------------

void HandleLeaseOrders(lease_manager_state& k,
                       micros now,
                       incarnation owner_name,
                       lease_orders orders) {
  run_owner& owner = k.owners[owner_name];
  // No frame was sent later than now.
  const micros sent_after = std::min(micros{orders.echo}, now);
  owner.owner_lease_until = std::max(owner.owner_lease_until,
                                     sent_after + k.options.bounds.owner_lease);
  owner.received_stamp = orders.sent;
  owner.received_at = now;
  if (orders.is_first)
    ReconcileRuns(k, now, owner_name, owner, orders);
  for (const resolved_end& settled : orders.resolved_ends)
    ResolveHeldEnd(k, now, owner_name, settled);
  owner.resolved_seen += orders.resolved_ends.size();
  AckEnds(k, owner, orders.acked_end);
  owner.wanted_cpu = orders.wanted_cpu;
  owner.follows_resources = orders.follows_resources;
  for (const run_ref& ref : orders.stops)
    HandleRunStop(k, now, owner_name, ref);
  const bool answers = owner_name == k.grantee && !orders.starts.empty();
  UnpackPayloads(k, orders.starts);
  for (run_start& start : orders.starts)
    HandleRunStart(k, now, owner_name, owner, std::move(start));
  if (answers)
    owner.offer_pause = {};
  if (answers || (owner_name == k.grantee && owner.wanted_cpu == 0)) {
    k.granted_until = micros{0};
    k.grant_pending = false;
  }
}

}  // namespace cassiaferry
