// Ends of leased runs at a sidecar: reported to owners, and held until they are
// stored.
//
// Contents
//   [1] Reports
//   [2] Held ends
//   [3] Resolution
//   [4] Owners that are gone

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

// ---- [1] Reports ------------------------------------------------------------

namespace {

// Whether an end is reported at once: it may be the last of its step here, or
// the run didn't succeed. Other ends go with such a report, or with the next
// heartbeat: a job of eight tasks on one worker costs its entry one frame
// instead of eight. Freed resources are offered at once all the same
// (GrantResources).
bool IsUrgent(const lease_manager_state& m,
              incarnation owner,
              const run_ref& ref,
              run_end_kind kind) {
  if (kind != run_end_kind::done)
    return true;
  leased_task first = ref.task;
  first.index = 0;
  for (auto it = m.runs.lower_bound(first); it != m.runs.end(); ++it) {
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

void ReportEnd(lease_manager_state& m,
               incarnation owner_name,
               const run_ref& ref,
               run_end_kind kind,
               uint32_t run_ms,
               uint64_t listed) {
  const auto it = m.owners.find(owner_name);
  if (it == m.owners.end())
    return;
  run_owner& owner = it->second;
  ++m.runs_ended[static_cast<size_t>(kind)];
  owner.ends.push_back({{owner.next_end++, ref, kind, run_ms}, listed});
  owner.report_pending =
      owner.report_pending || IsUrgent(m, owner_name, ref, kind);
}

// ---- [2] Held ends ----------------------------------------------------------

// Failure guarded against: a worker forgets an end that was acknowledged to it;
// if the owner of the job crashes before it has stored the end, the next owner
// runs the task again. So an end is acknowledged only after it is stored.
void HoldEnd(lease_manager_state& m,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms) {
  const bool counts =
      end.kind == run_end_kind::done || end.kind == run_end_kind::failed;
  if (!counts)
    return;
  const bool claimed = m.owners.count(owner) != 0;
  m.held_ends[end.number] = {
      {0, end.ref, end.kind, run_ms}, owner, now, claimed, false};
}

// The number up to which the worker may forget its ends.
uint64_t AckedEnds(const lease_manager_state& m) {
  return m.held_ends.empty() ? m.seen : m.held_ends.begin()->first - 1;
}

namespace {

void LogEnd(lease_manager_state& m,
            const managed_run& run,
            run_end_kind kind,
            uint32_t run_ms) {
  constexpr const char* kWhat = "run ended";
  const std::string& job = run.start.ref.task.job;
  const bool routine = kind == run_end_kind::done;
  if (routine && !WantsRoutine(m, kWhat, job))
    return;
  std::string detail = ToText(run.start.ref) + ", " + ToText(kind) +
                       ", after_ms " + std::to_string(run_ms) + ", owner " +
                       ToHex(run.owner.value);
  if (routine)
    LogRoutine(m, kWhat, job, std::move(detail));
  else
    LogChange(m, kWhat, std::move(detail));
}

}  // namespace

// `listed`: the worker's number of the end; 0: the worker has listed none.
void EndRun(lease_manager_state& m,
            micros now,
            const leased_task& task,
            run_end_kind kind,
            uint64_t listed) {
  const auto it = m.runs.find(task);
  const managed_run run = std::move(it->second);
  m.runs.erase(it);
  m.used = m.used - run.start.need;
  if (WaitsForResources(run)) {
    m.waiting_resources = m.waiting_resources - run.start.need;
    kind = listed == 0 ? run_end_kind::never_started : kind;
  }
  const auto run_ms = static_cast<uint32_t>(ToMillis(now - run.since));
  LogEnd(m, run, kind, run_ms);
  if (run.start.durable && listed != 0)
    HoldEnd(m, now, run.owner, {listed, run.start.ref, kind}, run_ms);
  ReportEnd(m, run.owner, run.start.ref, kind, run_ms,
            m.held_ends.count(listed) != 0 ? listed : 0);
}

void EndAll(lease_manager_state& m, micros now, run_end_kind kind) {
  while (!m.runs.empty())
    EndRun(m, now, leased_task(m.runs.begin()->first), kind);
  m.waiting_starts.clear();
}

bool HasEnd(const run_owner& owner, const run_ref& ref) {
  return std::any_of(owner.ends.begin(), owner.ends.end(),
                     [&](const reported_end& e) { return e.end.ref == ref; });
}

// ---- [3] Resolution ---------------------------------------------------------

void AckEnds(lease_manager_state& m, run_owner& owner, uint64_t through) {
  while (!owner.ends.empty() && owner.ends.front().end.number <= through) {
    m.held_ends.erase(owner.ends.front().worker_end_number);
    owner.ends.pop_front();
    if (owner.ends_reported > 0)
      --owner.ends_reported;
  }
}

namespace {

// Removes the end from its owner's unacknowledged ends.
void Unclaim(lease_manager_state& m, uint64_t listed) {
  held_end& held = m.held_ends[listed];
  held.claimed = false;
  const auto it = m.owners.find(held.owner);
  if (it == m.owners.end())
    return;
  for (reported_end& reported : it->second.ends) {
    if (reported.worker_end_number == listed)
      reported.worker_end_number = 0;
  }
}

void BeginLeaseExpiry(lease_manager_state& m, micros now) {
  if (m.expiry_pending_until.value != 0)
    return;
  // An earlier sidecar process may have granted leases until just before this
  // one began the session, and by the clock of an earlier session.
  const micros granted_before =
      m.session_since + ElapsedByAnyClock(m.options.bounds.max_lease);
  m.expiry_pending_until = std::max({now, m.leases_end_at, granted_before}) +
                           m.options.bounds.margin;
  LogChange(m, "lease left to expire",
            "an end came too late, runs " + std::to_string(m.runs.size()));
}

}  // namespace

void ResolveHeldEnd(lease_manager_state& m,
                    micros now,
                    incarnation by,
                    const resolved_end& resolved) {
  constexpr const char* kDispositions[] = {"forgotten", "lease must expire",
                                           "offered to others"};
  for (auto it = m.held_ends.begin(); it != m.held_ends.end(); ++it) {
    if (it->second.end.ref != resolved.ref)
      continue;
    LogChange(m, "held end resolved",
              ToText(resolved.ref) + ", " +
                  kDispositions[static_cast<size_t>(resolved.disposition)] +
                  ", by " + ToHex(by.value));
    if (resolved.disposition == end_disposition::forget) {
      m.held_ends.erase(it);
      return;
    }
    Unclaim(m, it->first);
    if (resolved.disposition == end_disposition::expire_lease) {
      it->second.awaits_lease_expiry = true;
      BeginLeaseExpiry(m, now);
    }
    return;
  }
}

// Once the lease has expired, every run on the worker has ended, and the ends
// that waited for that are acknowledged.
void CheckLeaseExpiry(lease_manager_state& m, micros now) {
  if (m.expiry_pending_until.value == 0 || now < m.expiry_pending_until)
    return;
  m.expiry_pending_until = {};
  std::erase_if(m.held_ends,
                [](const auto& row) { return row.second.awaits_lease_expiry; });
}

// ---- [4] Owners that are gone -----------------------------------------------

namespace {

constexpr size_t kMaxUnclaimed = 200;  // in one report

}  // namespace

// Failure guarded against: the owner of a run that has ended has crashed. The
// entry that takes over its jobs receives their ends this way.
std::vector<run_end> UnclaimedEnds(const lease_manager_state& m, micros now) {
  std::vector<run_end> ends;
  for (const auto& [number, held] : m.held_ends) {
    const bool awaits_owner = held.claimed &&
                              HasOwnerLease(m, now, held.owner) &&
                              now - held.since < m.options.unclaimed_after;
    if (!awaits_owner && !held.awaits_lease_expiry &&
        ends.size() < kMaxUnclaimed)
      ends.push_back(held.end);
  }
  return ends;
}

void ForgetOwner(lease_manager_state& m, incarnation owner) {
  for (auto& [number, held] : m.held_ends)
    held.claimed = held.claimed && held.owner != owner;
  m.owners.erase(owner);
}

}  // namespace cassiaferry
