// Ends of leased runs at a sidecar: told to owners, held until they are stored.
//
// Contents
//   [1] Telling
//   [2] Holding
//   [3] Settling
//   [4] Owners that are gone

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

// ---- [1] Telling ------------------------------------------------------------

namespace {

// An end is of use to its owner at once if it may be the last of its step here,
// or went badly. Others go with it, or with the next heartbeat: a job of eight
// tasks on one worker costs its entry one frame instead of eight. Room that
// waits for a task is offered at once all the same (GrantRoom).
bool IsUrgent(const lease_manager_state& k,
              incarnation owner,
              const run_ref& ref,
              run_end_kind how) {
  if (how != run_end_kind::done)
    return true;
  leased_task first = ref.task;
  first.index = 0;
  for (auto it = k.runs.lower_bound(first); it != k.runs.end(); ++it) {
    const leased_task& task = it->first;
    if (task.job != first.job || task.occurrence != first.occurrence ||
        task.step != first.step)
      return true;
    if (it->second.owner == owner && it->second.state != run_state::stopping)
      return false;
  }
  return true;
}

}  // namespace

void ReportEnd(lease_manager_state& k,
               incarnation owner_name,
               const run_ref& ref,
               run_end_kind how,
               uint32_t run_ms,
               uint64_t listed) {
  const auto it = k.owners.find(owner_name);
  if (it == k.owners.end())
    return;
  run_owner& owner = it->second;
  ++k.runs_ended[static_cast<size_t>(how)];
  owner.ends.push_back({{owner.next_end++, ref, how, run_ms}, listed});
  owner.report_pending =
      owner.report_pending || IsUrgent(k, owner_name, ref, how);
}

// ---- [2] Holding ------------------------------------------------------------

// Failure guarded against: a worker that has been told that an end is known
// forgets it; if its job's owner dies before it has stored the end, the next
// owner runs the task again. So the end is acknowledged after it is stored.
void HoldEnd(lease_manager_state& k,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms) {
  const bool counts =
      end.kind == run_end_kind::done || end.kind == run_end_kind::failed;
  if (!counts)
    return;
  const bool claimed = k.owners.count(owner) != 0;
  k.held_ends[end.number] = {
      {0, end.ref, end.kind, run_ms}, owner, now, claimed, false};
}

// Ends up to this number may be forgotten by the worker.
uint64_t AckedEnds(const lease_manager_state& k) {
  return k.held_ends.empty() ? k.seen : k.held_ends.begin()->first - 1;
}

namespace {

void LogEnd(lease_manager_state& k,
            const managed_run& run,
            run_end_kind how,
            uint32_t run_ms) {
  LogChange(k, "run ended",
            ToText(run.start.ref) + ", " + ToText(how) + ", after_ms " +
                std::to_string(run_ms) + ", owner " + ToHex(run.owner.value));
}

}  // namespace

// `listed`: the worker's number of the end; 0: it listed none.
void EndRun(lease_manager_state& k,
            micros now,
            const leased_task& task,
            run_end_kind how,
            uint64_t listed) {
  const auto it = k.runs.find(task);
  const managed_run run = std::move(it->second);
  k.runs.erase(it);
  k.used = k.used - run.start.need;
  if (WaitsForResources(run)) {
    k.waiting_resources = k.waiting_resources - run.start.need;
    how = listed == 0 ? run_end_kind::never_started : how;
  }
  const auto run_ms = static_cast<uint32_t>(ToMillis(now - run.since));
  LogEnd(k, run, how, run_ms);
  if (run.start.durable && listed != 0)
    HoldEnd(k, now, run.owner, {listed, run.start.ref, how}, run_ms);
  ReportEnd(k, run.owner, run.start.ref, how, run_ms,
            k.held_ends.count(listed) != 0 ? listed : 0);
}

void EndAll(lease_manager_state& k, micros now, run_end_kind how) {
  while (!k.runs.empty())
    EndRun(k, now, leased_task(k.runs.begin()->first), how);
  k.waiting_starts.clear();
}

bool HasEnd(const run_owner& owner, const run_ref& ref) {
  return std::any_of(owner.ends.begin(), owner.ends.end(),
                     [&](const reported_end& e) { return e.end.ref == ref; });
}

// ---- [3] Settling -----------------------------------------------------------

void AckEnds(lease_manager_state& k, run_owner& owner, uint64_t through) {
  while (!owner.ends.empty() && owner.ends.front().end.number <= through) {
    k.held_ends.erase(owner.ends.front().worker_end_number);
    owner.ends.pop_front();
    if (owner.ends_reported > 0)
      --owner.ends_reported;
  }
}

namespace {

// The end stands in no owner's list any more.
void Unclaim(lease_manager_state& k, uint64_t listed) {
  held_end& held = k.held_ends[listed];
  held.claimed = false;
  const auto it = k.owners.find(held.owner);
  if (it == k.owners.end())
    return;
  for (reported_end& told : it->second.ends) {
    if (told.worker_end_number == listed)
      told.worker_end_number = 0;
  }
}

void BeginLeaseExpiry(lease_manager_state& k, micros now) {
  if (k.expiry_pending_until.value != 0)
    return;
  // A process before this one may have granted a lease until just before this
  // one met the worker, and by the clock of a life before.
  const micros granted_before =
      k.session_since + ElapsedByAnyClock(k.options.bounds.max_lease);
  k.expiry_pending_until = std::max({now, k.leases_end_at, granted_before}) +
                           k.options.bounds.margin;
  LogChange(k, "lease left to lapse",
            "an end came too late, runs " + std::to_string(k.runs.size()));
}

}  // namespace

void ResolveHeldEnd(lease_manager_state& k,
                    micros now,
                    incarnation by,
                    const resolved_end& settled) {
  constexpr const char* kFates[] = {"forgotten", "lease must lapse",
                                    "offered to others"};
  for (auto it = k.held_ends.begin(); it != k.held_ends.end(); ++it) {
    if (it->second.end.ref != settled.ref)
      continue;
    LogChange(k, "held end settled",
              ToText(settled.ref) + ", " +
                  kFates[static_cast<size_t>(settled.disposition)] + ", by " +
                  ToHex(by.value));
    if (settled.disposition == end_disposition::forget) {
      k.held_ends.erase(it);
      return;
    }
    Unclaim(k, it->first);
    if (settled.disposition == end_disposition::expire_lease) {
      it->second.awaits_lease_expiry = true;
      BeginLeaseExpiry(k, now);
    }
    return;
  }
}

// Every run there has ended with the lease: what was to be forgotten after that
// is.
void CheckLeaseExpiry(lease_manager_state& k, micros now) {
  if (k.expiry_pending_until.value == 0 || now < k.expiry_pending_until)
    return;
  k.expiry_pending_until = {};
  std::erase_if(k.held_ends,
                [](const auto& row) { return row.second.awaits_lease_expiry; });
}

// ---- [4] Owners that are gone -----------------------------------------------

namespace {

constexpr size_t kMaxUnclaimed = 200;  // in one report

}  // namespace

// Failure guarded against: the owner of a run that has ended is dead. Whoever
// takes its jobs over learns from here what their tasks came to.
std::vector<run_end> UnclaimedEnds(const lease_manager_state& k, micros now) {
  std::vector<run_end> ends;
  for (const auto& [number, held] : k.held_ends) {
    const bool heard = held.claimed && HasOwnerLease(k, now, held.owner) &&
                       now - held.since < k.options.unclaimed_after;
    if (!heard && !held.awaits_lease_expiry && ends.size() < kMaxUnclaimed)
      ends.push_back(held.end);
  }
  return ends;
}

void ForgetOwner(lease_manager_state& k, incarnation owner) {
  for (auto& [number, held] : k.held_ends)
    held.claimed = held.claimed && held.owner != owner;
  k.owners.erase(owner);
}

}  // namespace cassiaferry
