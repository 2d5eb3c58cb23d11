// Lives of the worker beside a sidecar: begun by its announcements, or by an
// answer that names another start; ended by another life's answer at its
// address. Words about a life (another one's announcement, a goodbye) may be
// late: they end none.
//
// Contents
//   [1] Ends
//   [2] Begins
//   [3] Announcements
//   [4] Goodbyes

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

namespace {

constexpr size_t kMaxPastSessions = 1000;

}  // namespace

// ---- [1] Ends ---------------------------------------------------------------

void MarkReconciled(lease_manager_state& k) {
  if (k.reconciled)
    return;
  k.reconciled = true;
  for (auto& [name, owner] : k.owners)
    owner.report_pending = true;
}

namespace {

void RecordPastSession(lease_manager_state& k, const worker_session& life) {
  if (k.past_sessions.size() >= kMaxPastSessions)
    k.past_sessions.clear();
  k.past_sessions.insert(life);
}

// What this life listed, numbered and ran is no more.
void EndSession(lease_manager_state& k) {
  k.has_worker = false;
  k.announced = false;
  k.open_poll = 0;
  k.orphan_runs.clear();
  k.held_ends.clear();
  k.expiry_pending_until = {};
  for (auto& [name, owner] : k.owners) {
    owner.report_pending = true;
    for (reported_end& told : owner.ends)
      told.worker_end_number = 0;
  }
}

// ---- [2] Begins -------------------------------------------------------------

// Failure guarded against: orders to the life before reach this one, if it has
// the same id, or what an earlier sidecar started still runs. Nothing starts
// until the worker has seen a fence above all of them, and has listed nothing
// that this process doesn't know.
void BeginSession(lease_manager_state& k,
                  micros now,
                  const worker_session& life) {
  k.past_sessions.erase(life);
  ++k.sessions_met;
  k.has_worker = true;
  k.announced = false;
  k.worker.session = life;
  k.sequence = 0;
  k.draining = false;
  k.reconciled = false;
  k.has_clock = false;
  k.seen = 0;
  k.session_since = now;
  k.last_answer = now;
  k.successor_poll_failed = false;
  k.deregistered = false;
  k.fence = std::max(k.fence + 1, k.options.first_fence);
  k.pace = 1;
  k.reported_pace = 1;
  for (auto& [name, owner] : k.owners)
    owner.report_pending = true;
}

}  // namespace

// Failure guarded against: a worker starts again under its id, and what is
// known of the life before is held against the new one. Its announcements and
// the ends of its runs, numbered from 1 again, pass for known ones: tasks that
// are done count as lost, and run again; it says that it leaves, and still gets
// work. So its start is a part of its name, and all that was numbered is
// forgotten with the life before.
//
// What was ordered of that life is over, unless the order reached the new one.
// So each run is stopped there under its number, and told as lost once the
// worker has answered that and doesn't list it: then it can't begin any more.
void HandleWorkerRestart(lease_manager_state& k,
                         micros now,
                         const worker_session& life) {
  LogChange(k, "worker started again",
            ToText(life) + ", before " +
                std::to_string(k.worker.session.started_ms) + ", runs " +
                std::to_string(k.runs.size()));
  RecordPastSession(k, k.worker.session);
  EndSession(k);
  BeginSession(k, now, life);
  // What was granted by the clock of the life before may be as long as the
  // worker allows.
  k.leases_end_at = std::max(
      k.leases_end_at, now + ElapsedByAnyClock(k.options.bounds.max_lease));
  for (auto& [task, run] : k.runs) {
    run.session_ended = true;
    if (WaitsForResources(run))
      run.state = run_state::withdrawn;
    else
      RequestStop(k, now, run);
  }
}

// ---- [3] Announcements ------------------------------------------------------

namespace {

// Failure guarded against: an announcement held up by a cut arrives after its
// sender has crashed and a new life has announced itself. Lives that are over
// stay over, also those that this process has never met: they started earlier.
// Should the worker's clock have gone back, its answers tell which life it is.
bool IsPastSession(const lease_manager_state& k, const worker_session& life) {
  if (k.past_sessions.count(life) != 0)
    return true;
  return k.has_worker && life.started_ms != 0 &&
         life.started_ms < k.worker.session.started_ms;
}

void LogIgnoredAnnouncement(lease_manager_state& k,
                            const leased_worker_announced& e,
                            const std::string& why) {
  LogChange(k, "announcement passed over",
            ToText(e.info.session) + ", number " + std::to_string(e.sequence) +
                (e.draining ? ", draining; " : "; ") + why);
}

// Of the id called, or of any if none is.
void EnsureSession(lease_manager_state& k,
                   micros now,
                   const worker_session& life) {
  if (!k.has_worker)
    BeginSession(k, now, life);
  else if (k.worker.session != life)
    HandleWorkerRestart(k, now, life);
}

void UpdateWorkerInfo(lease_manager_state& k,
                      const leased_worker_announced& e) {
  const bool first = !k.announced;
  const bool changed = k.draining != e.draining || !(k.worker == e.info);
  k.announced = true;
  k.sequence = e.sequence;
  k.draining = e.draining;
  k.worker = e.info;
  if (!first && !changed)
    return;
  const char* what = first        ? "worker announced"
                     : e.draining ? "worker drains"
                                  : "worker changed";
  LogChange(k, what,
            ToText(e.info.session) + ", cpu " +
                std::to_string(e.info.capacity.cpu) +
                (e.draining ? ", draining" : ""));
  for (auto& [name, owner] : k.owners) {
    owner.worker_reported = false;
    owner.report_pending = true;
  }
}

// Failure guarded against: an announcement of an earlier life, held up in the
// network, reaches a process that hasn't met that life since its own start. The
// order of the two is unknown, or told by clocks that may have gone back. Taken
// for a new life, it would end runs that go on, and the true life would be
// called no more.
void VerifySuccessor(lease_manager_state& k,
                     micros now,
                     leased_worker_announced e) {
  const bool asks = !k.successor;
  if (asks || k.successor->info.session != e.info.session)
    LogChange(k, "announcement of another life, the worker is asked",
              ToText(k.worker.session) + ", announced " +
                  ToText(e.info.session) + ", runs " +
                  std::to_string(k.runs.size()));
  k.successor = std::move(e);
  if (!asks)
    return;
  k.polls_before_successor = k.polls_sent;
  k.successor_poll_failed = false;
  CallPoll(k, now);
}

void AdoptSuccessor(lease_manager_state& k, micros now) {
  if (!k.successor)
    return;
  const leased_worker_announced e = std::move(*k.successor);
  k.successor.reset();
  BeginSession(k, now, e.info.session);
  UpdateWorkerInfo(k, e);
}

}  // namespace

void IgnoreSuccessor(lease_manager_state& k) {
  if (!k.successor)
    return;
  LogIgnoredAnnouncement(k, *k.successor,
                         "the worker answers as " + ToText(k.worker.session));
  k.successor.reset();
}

// A life that was only silent may be announced again, and is then called again.
void LoseWorker(lease_manager_state& k,
                micros now,
                session_end_proof proof,
                const std::string& why) {
  LogChange(k, "worker lost",
            ToText(k.worker.session) + ", runs " +
                std::to_string(k.runs.size()) + ", " + why);
  EndAll(k, now, run_end_kind::lost);
  if (proof == session_end_proof::answer || k.deregistered)
    RecordPastSession(k, k.worker.session);
  EndSession(k);
  AdoptSuccessor(k, now);
}

void HandleAnnouncement(lease_manager_state& k,
                        micros now,
                        leased_worker_announced e) {
  worker_session& life = e.info.session;
  if (k.has_worker && life.started_ms == 0 && life.id == k.worker.session.id)
    life = k.worker.session;
  if (IsPastSession(k, life)) {
    LogIgnoredAnnouncement(k, e, "that life is over");
    return;
  }
  if (k.has_worker && k.worker.session.id != life.id) {
    VerifySuccessor(k, now, std::move(e));
    return;
  }
  EnsureSession(k, now, life);
  if (k.deregistered) {
    LogIgnoredAnnouncement(k, e, "that life has said goodbye");
    return;
  }
  if (k.announced && e.sequence < k.sequence) {
    LogIgnoredAnnouncement(k, e, "newest known " + std::to_string(k.sequence));
    return;
  }
  UpdateWorkerInfo(k, e);
}

// ---- [4] Goodbyes -----------------------------------------------------------

namespace {

// It can end within the lease that is left, and has more work behind it than
// waiting for that lease takes, should the worker end first: nobody learns
// before then that it is over.
bool IsWorthFinishing(const lease_manager_state& k,
                      micros now,
                      const managed_run& run) {
  if (run.state != run_state::running || run.percent == 0)
    return false;
  const micros margin = k.options.bounds.margin;
  const micros age = now - run.since;
  const micros left{age.value * (100 - run.percent) / run.percent};
  return now + left + margin <= k.leases_end_at &&
         now + age >= k.leases_end_at + margin;
}

}  // namespace

// Failure guarded against: a worker that has said goodbye still has to end, and
// goes on for seconds if its goodbye isn't confirmed. Runs that count as lost
// by then start elsewhere beside those here. No lease is extended after it, so
// what can't end within the one it has is stopped: while the worker answers,
// that shows sooner that the run is over.
void HandleDeregistration(lease_manager_state& k,
                          micros now,
                          const worker_session& life) {
  const bool untold = life.started_ms == 0 && life.id == k.worker.session.id;
  if (!k.has_worker || k.deregistered || !(untold || life == k.worker.session))
    return;
  LogChange(
      k, "worker said goodbye",
      ToText(k.worker.session) + ", runs " + std::to_string(k.runs.size()));
  k.deregistered = true;
  for (auto& [task, run] : k.runs) {
    if (!IsWorthFinishing(k, now, run))
      StopRun(k, now, run);
  }
  StartWaiting(k, now);
  for (auto& [name, owner] : k.owners)
    owner.report_pending = true;
}

}  // namespace cassiaferry
