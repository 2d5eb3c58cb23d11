// How the lease manager carries out the orders of entries.
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

// The cpu that runs are expected to release within the time that a start may
// wait.
int64_t CpuFreedSoon(const lease_manager_state& m, micros now) {
  constexpr double kMinPace = 0.1;  // at pace 0 no run would ever end
  int64_t cpu = 0;
  for (const auto& [task, run] : m.runs) {
    if (WaitsForResources(run))
      continue;
    const double expected_us =
        run.start.expected_ms * 1000.0 / std::max(kMinPace, m.pace);
    const micros ends = run.since + micros{static_cast<int64_t>(expected_us)};
    if (ends - now <= m.options.max_start_wait)
      cpu += run.start.need.cpu;
  }
  return cpu;
}

// Failure guarded against: entries place runs by reports that are some
// milliseconds old; two of them take the same resources, and hundreds of starts
// a second are refused. Each refusal costs both sides a frame, and small
// entries that are overloaded with frames act late. On a worker with ten tasks
// one ends every 15 ms, so a start that comes that much too early waits here,
// which saves the refusal and a second start. It waits only if enough runs are
// expected to end in time; otherwise another worker may have free resources.
bool MayWait(const lease_manager_state& m, micros now, const resources& need) {
  const double max_waiting =
      m.options.max_waiting_share * static_cast<double>(m.worker.capacity.cpu);
  return Fits(need, m.worker.capacity) &&
         static_cast<double>(m.waiting_resources.cpu + need.cpu) <=
             max_waiting &&
         need.cpu <= FreeResources(m).cpu + CpuFreedSoon(m, now);
}

void QueueForResources(lease_manager_state& m, managed_run& run) {
  run.state = run_state::waiting;
  m.waiting_starts.push_back(run.start.ref.task);
  m.waiting_resources = m.waiting_resources + run.start.need;
  ++m.starts_waited;
}

void HandleRunStart(lease_manager_state& m,
                    micros now,
                    incarnation owner_name,
                    run_owner& owner,
                    run_start start) {
  ++owner.starts_seen;
  const auto existing = m.runs.find(start.ref.task);
  if (existing != m.runs.end()) {
    managed_run& run = existing->second;
    if (run.owner == owner_name && run.start.ref == start.ref)
      return;
    // Failure guarded against: a caller whose connection broke has sent its job
    // again to another entry, and the run of the first entry is still in
    // progress here. Two runs of one task must not overlap, so the older one is
    // stopped and the newer one refused.
    if (run.owner != owner_name)
      StopRun(m, now, run);
    ReportEnd(m, owner_name, start.ref, run_end_kind::never_started, 0);
    return;
  }
  // Failure guarded against: orders that were delayed in the network or by a
  // pause of this process arrive after their owner has given them up. The stamp
  // that they echo is too old to renew the owner lease.
  const bool acceptable = !start.compressed && AcceptsLeasedWork(m, now) &&
                          HasOwnerLease(m, now, owner_name) &&
                          LeaseLasts(m, now, start.expected_ms);
  const bool fits = Fits(start.need, FreeResourcesFor(m, now, owner_name));
  if (!acceptable || (!fits && !MayWait(m, now, start.need))) {
    ReportEnd(m, owner_name, start.ref, run_end_kind::never_started, 0);
    return;
  }
  managed_run run;
  run.owner = owner_name;
  run.since = now;
  run.start = std::move(start);
  m.used = m.used + run.start.need;
  const leased_task task = run.start.ref.task;
  managed_run& row = m.runs.emplace(task, std::move(run)).first->second;
  if (fits) {
    CallStart(m, now, row);
    return;
  }
  QueueForResources(m, row);
  // The owner's view of the free resources is out of date. Like a refusal, this
  // report also lets it measure the delay of its link: without it, an
  // overloaded link of 250 kB/s is detected so late that owner leases expire
  // (in the emulated world).
  owner.report_pending = true;
}

void HandleRunStop(lease_manager_state& m,
                   micros now,
                   incarnation owner,
                   const run_ref& ref) {
  const auto it = m.runs.find(ref.task);
  if (it != m.runs.end() && it->second.owner == owner &&
      it->second.start.ref == ref)
    StopRun(m, now, it->second);
}

// ---- [2] Payloads -----------------------------------------------------------

// The tasks of a job are adjacent and share its payload. A payload that can't
// be decompressed stays as it is, and its task is not started.
void DecompressPayloads(lease_manager_state& m,
                        std::vector<run_start>& starts) {
  const run_start* previous = nullptr;
  for (run_start& start : starts) {
    const bool shared = previous != nullptr && !previous->compressed &&
                        start.compressed &&
                        previous->ref.task.job == start.ref.task.job;
    if (shared) {
      start.payload = previous->payload;
      start.compressed = false;
    } else if (start.compressed) {
      std::optional<std::string> payload = Decompress(start.payload);
      if (!payload)
        LogChange(m, "payload unreadable", start.ref.task.job);
      start.compressed = !payload;
      start.payload = std::move(payload).value_or("");
    }
    previous = &start;
  }
}

// ---- [3] New streams --------------------------------------------------------

// Handles the first frame of a new stream of this owner. It lists the runs that
// the owner ordered from this process and whose end it has not received. Other
// runs of the owner here are stopped. Listed runs that are not here have never
// started, as their order was lost with the older stream.
void ReconcileRuns(lease_manager_state& m,
                   micros now,
                   incarnation owner_name,
                   run_owner& owner,
                   const lease_orders& orders) {
  // Failure guarded against: this process has dropped its state of the entry
  // (after a shutdown notice or a long silence) and numbers its ends from 1
  // again; the entry takes each for one that it has received, and its jobs
  // never end.
  const uint64_t received =
      std::max(orders.last_received_end, orders.acked_end);
  owner.next_end = std::max(owner.next_end, received + 1);
  owner.starts_seen = 0;
  owner.resolved_seen = 0;
  owner.ends_reported = 0;
  owner.worker_reported = false;
  owner.stragglers.clear();
  owner.report_pending = true;
  const std::set<run_ref> wanted(orders.known.begin(), orders.known.end());
  for (auto& [task, run] : m.runs) {
    if (run.owner == owner_name && wanted.count(run.start.ref) == 0)
      StopRun(m, now, run);
  }
  for (const run_ref& ref : wanted) {
    const auto it = m.runs.find(ref.task);
    const bool here = it != m.runs.end() && it->second.owner == owner_name &&
                      it->second.start.ref == ref;
    if (!here && !HasEnd(owner, ref))
      ReportEnd(m, owner_name, ref, run_end_kind::never_started, 0);
  }
}

}  // namespace

// ---- [4] A frame's orders ---------------------------------------------------

void HandleLeaseOrders(lease_manager_state& m,
                       micros now,
                       incarnation owner_name,
                       lease_orders orders) {
  run_owner& owner = m.owners[owner_name];
  // A stamp can't be later than now.
  const micros sent_after = std::min(micros{orders.echo}, now);
  owner.owner_lease_until = std::max(owner.owner_lease_until,
                                     sent_after + m.options.bounds.owner_lease);
  owner.received_stamp = orders.sent;
  owner.received_at = now;
  if (orders.is_first)
    ReconcileRuns(m, now, owner_name, owner, orders);
  for (const resolved_end& resolved : orders.resolved_ends)
    ResolveHeldEnd(m, now, owner_name, resolved);
  owner.resolved_seen += orders.resolved_ends.size();
  AckEnds(m, owner, orders.acked_end);
  owner.wanted_cpu = orders.wanted_cpu;
  owner.follows_resources = orders.follows_resources;
  RecordDemand(owner.demand, now, std::move(orders.demand));
  for (const run_ref& ref : orders.stops)
    HandleRunStop(m, now, owner_name, ref);
  const bool answers = owner_name == m.grantee && !orders.starts.empty();
  DecompressPayloads(m, orders.starts);
  for (run_start& start : orders.starts)
    HandleRunStart(m, now, owner_name, owner, std::move(start));
  if (answers)
    owner.offer_pause = {};
  if (answers || (owner_name == m.grantee && owner.wanted_cpu == 0)) {
    m.granted_until = micros{0};
    m.grant_pending = false;
  }
}

}  // namespace cassiaferry
