// Sessions of the worker that a sidecar serves. An announcement begins one, or
// an answer with another start time; an answer of another session at the
// worker's address ends it. Messages about a session (the announcement of
// another one, a deregistration) may be late, so they alone end none.
//
// Contents
//   [1] End of a session
//   [2] Begin of a session
//   [3] Announcements
//   [4] Deregistration
//   [5] Record of an earlier sidecar

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

namespace {

constexpr size_t kMaxPastSessions = 1000;

}  // namespace

// ---- [1] End of a session ---------------------------------------------------

void MarkReconciled(lease_manager_state& m) {
  if (m.reconciled)
    return;
  m.reconciled = true;
  for (auto& [name, owner] : m.owners)
    owner.report_pending = true;
}

namespace {

void RecordPastSession(lease_manager_state& m, const worker_session& session) {
  if (m.past_sessions.size() >= kMaxPastSessions)
    m.past_sessions.clear();
  m.past_sessions.insert(session);
}

// Drops the state that belongs to the current session.
void EndSession(lease_manager_state& m) {
  m.has_worker = false;
  m.announced = false;
  m.open_poll = 0;
  m.orphan_runs.clear();
  m.held_ends.clear();
  m.expiry_pending_until = {};
  for (auto& [name, owner] : m.owners) {
    owner.report_pending = true;
    for (reported_end& reported : owner.ends)
      reported.worker_end_number = 0;
  }
}

// ---- [2] Begin of a session -------------------------------------------------

// Failure guarded against: calls to the previous session reach this one, if it
// has the same id, or runs that an earlier sidecar started are still in
// progress. Nothing starts until the worker has seen a fence above all of
// theirs and has listed no run that is unknown to this process.
void BeginSession(lease_manager_state& m,
                  micros now,
                  const worker_session& session) {
  m.past_sessions.erase(session);
  ++m.sessions_met;
  m.has_worker = true;
  m.announced = false;
  m.worker.session = session;
  m.sequence = 0;
  m.draining = false;
  m.reconciled = false;
  m.has_clock = false;
  m.granted_lease_ms = 0;
  m.seen = 0;
  m.session_since = now;
  m.last_answer = now;
  m.successor_poll_failed = false;
  m.deregistered = false;
  m.fence = std::max(m.fence + 1, m.options.first_fence);
  m.pace = 1;
  m.reported_pace = 1;
  for (auto& [name, owner] : m.owners)
    owner.report_pending = true;
}

}  // namespace

// Failure guarded against: a worker starts again under its id, and state of the
// previous session is applied to the new one. Its announcements and the ends of
// its runs, numbered from 1 again, are taken for known ones: tasks that are
// done count as lost and run again, and a worker that announces that it drains
// still gets work. So a session is identified by id and start time, and all
// numbers are forgotten with the previous session.
//
// The runs of the previous session are over, unless their start reached the new
// one. So each run is stopped there under its number, and reported as lost once
// the worker has answered the stop and doesn't list the run: after that it
// can't begin any more.
void HandleWorkerRestart(lease_manager_state& m,
                         micros now,
                         const worker_session& session) {
  LogChange(m, "worker restarted",
            ToText(session) + ", before " +
                std::to_string(m.worker.session.started_ms) + ", runs " +
                std::to_string(m.runs.size()));
  RecordPastSession(m, m.worker.session);
  EndSession(m);
  BeginSession(m, now, session);
  // A lease granted by the clock of the previous session may be as long as the
  // longest lease that the worker accepts.
  m.leases_end_at = std::max(
      m.leases_end_at, now + ElapsedByAnyClock(m.options.bounds.max_lease));
  for (auto& [task, run] : m.runs) {
    run.session_ended = true;
    if (WaitsForResources(run))
      run.state = run_state::withdrawn;
    else
      RequestStop(m, now, run);
  }
}

// ---- [3] Announcements ------------------------------------------------------

namespace {

// Failure guarded against: an announcement delayed by a network partition
// arrives after its sender has crashed and a new session has announced itself.
// A session that is over stays over, and so does one that this process has
// never known and that started earlier. If the worker's clock went back, its
// answers show which session it is.
bool IsPastSession(const lease_manager_state& m,
                   const worker_session& session) {
  if (m.past_sessions.count(session) != 0)
    return true;
  return m.has_worker && session.started_ms != 0 &&
         session.started_ms < m.worker.session.started_ms;
}

void LogIgnoredAnnouncement(lease_manager_state& m,
                            const leased_worker_announced& e,
                            const std::string& why) {
  LogChange(m, "announcement ignored",
            ToText(e.info.session) + ", number " + std::to_string(e.sequence) +
                (e.draining ? ", draining; " : "; ") + why);
}

// Begins this session unless it is the current one. It has the id of the
// current session, if there is one.
void EnsureSession(lease_manager_state& m,
                   micros now,
                   const worker_session& session) {
  if (!m.has_worker)
    BeginSession(m, now, session);
  else if (m.worker.session != session)
    HandleWorkerRestart(m, now, session);
}

void ReportWorkerAgain(lease_manager_state& m) {
  for (auto& [name, owner] : m.owners) {
    owner.worker_reported = false;
    owner.report_pending = true;
  }
}

void UpdateWorkerInfo(lease_manager_state& m,
                      const leased_worker_announced& e) {
  const bool first = !m.announced;
  const bool changed = m.draining != e.draining || !(m.worker == e.info);
  m.announced = true;
  m.sequence = e.sequence;
  m.draining = e.draining;
  m.worker = e.info;
  if (!first && !changed)
    return;
  const char* what = first        ? "worker announced"
                     : e.draining ? "worker drains"
                                  : "worker changed";
  LogChange(m, what,
            ToText(e.info.session) + ", cpu " +
                std::to_string(e.info.capacity.cpu) +
                (e.draining ? ", draining" : ""));
  ReportWorkerAgain(m);
}

// Failure guarded against: a delayed announcement of an earlier session reaches
// a process that hasn't known that session since its own start. The order of
// the two is unknown, or known only from clocks that may have gone back. If the
// earlier one were taken for a new session, runs in progress would count as
// over, and the real session would not be called any more. So the worker is
// polled first.
void VerifySuccessor(lease_manager_state& m,
                     micros now,
                     leased_worker_announced e) {
  const bool is_first = !m.successor;
  if (is_first || m.successor->info.session != e.info.session)
    LogChange(m, "announcement of another session, worker polled",
              ToText(m.worker.session) + ", announced " +
                  ToText(e.info.session) + ", runs " +
                  std::to_string(m.runs.size()));
  m.successor = std::move(e);
  if (!is_first)
    return;
  m.polls_before_successor = m.polls_sent;
  m.successor_poll_failed = false;
  CallPoll(m, now);
}

void AdoptSuccessor(lease_manager_state& m, micros now) {
  if (!m.successor)
    return;
  const leased_worker_announced e = std::move(*m.successor);
  m.successor.reset();
  BeginSession(m, now, e.info.session);
  UpdateWorkerInfo(m, e);
}

}  // namespace

void IgnoreSuccessor(lease_manager_state& m) {
  if (!m.successor)
    return;
  LogIgnoredAnnouncement(m, *m.successor,
                         "the worker answers as " + ToText(m.worker.session));
  m.successor.reset();
}

// A session that was only silent may be announced again; calls to it then
// resume.
void LoseWorker(lease_manager_state& m,
                micros now,
                session_end_proof proof,
                const std::string& why) {
  LogChange(m, "worker lost",
            ToText(m.worker.session) + ", runs " +
                std::to_string(m.runs.size()) + ", " + why);
  EndAll(m, now, run_end_kind::lost);
  if (proof == session_end_proof::answer || m.deregistered)
    RecordPastSession(m, m.worker.session);
  EndSession(m);
  AdoptSuccessor(m, now);
}

void HandleAnnouncement(lease_manager_state& m,
                        micros now,
                        leased_worker_announced e) {
  DropRecord(m, "announced " + ToText(e.info.session));
  worker_session& session = e.info.session;
  if (m.has_worker && session.started_ms == 0 &&
      session.id == m.worker.session.id)
    session = m.worker.session;
  if (IsPastSession(m, session)) {
    LogIgnoredAnnouncement(m, e, "that session is over");
    return;
  }
  if (m.has_worker && m.worker.session.id != session.id) {
    VerifySuccessor(m, now, std::move(e));
    return;
  }
  EnsureSession(m, now, session);
  if (m.deregistered) {
    LogIgnoredAnnouncement(m, e, "that session has deregistered");
    return;
  }
  if (m.announced && e.sequence < m.sequence) {
    LogIgnoredAnnouncement(m, e, "newest known " + std::to_string(m.sequence));
    return;
  }
  UpdateWorkerInfo(m, e);
}

// ---- [4] Deregistration -----------------------------------------------------

namespace {

// Whether a run may continue after the worker has deregistered. It must be able
// to end within the remaining lease. It must also have run for longer than that
// lease lasts: if the worker terminates first, the run is known to be over only
// when the lease has expired.
bool IsWorthFinishing(const lease_manager_state& m,
                      micros now,
                      const managed_run& run) {
  if (run.state != run_state::running || run.percent == 0)
    return false;
  const micros margin = m.options.bounds.margin;
  const micros age = now - run.since;
  const micros left{age.value * (100 - run.percent) / run.percent};
  return now + left + margin <= m.leases_end_at &&
         now + age >= m.leases_end_at + margin;
}

}  // namespace

// Failure guarded against: a worker that has deregistered still has to
// terminate, and continues for seconds if its deregistration isn't confirmed.
// If its runs counted as lost at once, their tasks would run elsewhere at the
// same time. The lease is not extended any more, so runs that can't end within
// it are stopped: while the worker answers, this shows sooner that they are
// over.
void HandleDeregistration(lease_manager_state& m,
                          micros now,
                          const worker_session& session) {
  const bool unknown_start =
      session.started_ms == 0 && session.id == m.worker.session.id;
  if (!m.has_worker || m.deregistered ||
      !(unknown_start || session == m.worker.session))
    return;
  if (m.record) {
    DropRecord(m, "deregistered");
    return;
  }
  LogChange(
      m, "worker deregistered",
      ToText(m.worker.session) + ", runs " + std::to_string(m.runs.size()));
  m.deregistered = true;
  for (auto& [task, run] : m.runs) {
    if (!IsWorthFinishing(m, now, run))
      StopRun(m, now, run);
  }
  StartWaiting(m, now);
  for (auto& [name, owner] : m.owners)
    owner.report_pending = true;
}

// ---- [5] Record of an earlier sidecar ---------------------------------------

// Failure guarded against: the record is of a worker that is gone, or of an
// earlier session under the same id, and tasks are placed on it. The recorded
// session is only polled until it has answered: `announced` stays false.
void HandleRecordRead(lease_manager_state& m,
                      micros now,
                      leased_worker_info info) {
  if (m.has_worker || m.sessions_met != 0 || info.session.started_ms == 0) {
    ++m.records_dropped;
    LogChange(m, "worker record dropped",
              ToText(info.session) + ", " +
                  (info.session.started_ms == 0 ? "its start is unknown"
                                                : "a session is known"));
    return;
  }
  BeginSession(m, now, info.session);
  m.record = std::move(info);
}

// Failure guarded against: polls of a recorded session that is gone have made
// the worker's calls count as lossy, or one of them is still open, when the
// real session announces itself; the record would delay it. The fence stays
// above those of the polls sent.
void DropRecord(lease_manager_state& m, const std::string& why) {
  if (!m.record)
    return;
  ++m.records_dropped;
  LogChange(m, "worker record dropped", ToText(m.record->session) + ", " + why);
  m.record.reset();
  EndSession(m);
  --m.sessions_met;
  m.worker = {};
  m.reconciled = false;
  m.last_unanswered_at = {};
  m.last_poll_failed = false;
}

bool VerifyRecord(lease_manager_state& m, int64_t started_ms) {
  if (!m.record)
    return true;
  if (started_ms != m.record->session.started_ms) {
    DropRecord(m,
               "the worker answers with start " + std::to_string(started_ms));
    return false;
  }
  m.worker = std::move(*m.record);
  m.record.reset();
  m.announced = true;
  ++m.records_used;
  LogChange(m, "worker record used",
            ToText(m.worker.session) + ", cpu " +
                std::to_string(m.worker.capacity.cpu));
  ReportWorkerAgain(m);
  return true;
}

}  // namespace cassiaferry
