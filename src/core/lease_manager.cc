// The lease manager of one worker: calls to the worker, their answers, and the
// tick.
//
// Contents
//   [1] Bounds and texts
//   [2] Calls to the worker
//   [3] Answers
//   [4] Tick
//   [5] Reports

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

// ---- [1] Bounds and texts ---------------------------------------------------

const char* ToText(run_end_kind kind) {
  constexpr const char* kNames[] = {"done", "failed",        "stopped",
                                    "lost", "never_started", "superseded"};
  return kNames[static_cast<size_t>(kind)];
}

std::string ToText(const leased_task& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string ToText(const run_ref& ref) {
  return ToText(ref.task) + ", run " + std::to_string(ref.run);
}

std::string ToText(const worker_session& session) {
  return session.id + ", started " + std::to_string(session.started_ms);
}

// The owner lease, the worker's lease by a slow clock and the margin together
// end before a caller sends its job again: 0.31 + 0.54 / 0.98 of that time, and
// 50 ms, leave a tenth of it spare.
lease_bounds BoundsFor(micros lease_max, micros resend_after) {
  lease_bounds bounds;
  bounds.max_lease = lease_max;
  bounds.lease = std::min(lease_max, micros{resend_after.value * 54 / 100});
  bounds.owner_lease = micros{resend_after.value * 31 / 100};
  return bounds;
}

link_timing TimingFor(const lease_bounds& bounds) {
  constexpr int64_t kIdleFactor = 8;  // of the busy heartbeat: about one second
  link_timing timing;
  timing.heartbeat = micros{bounds.owner_lease.value / 3};
  timing.silence_timeout = bounds.owner_lease;
  timing.idle_heartbeat = micros{timing.heartbeat.value * kIdleFactor};
  timing.idle_silence_timeout =
      micros{timing.silence_timeout.value * kIdleFactor};
  return timing;
}

void LogChange(lease_manager_state& m, const char* what, std::string detail) {
  m.actions.push_back(lease_manager_log{what, std::move(detail)});
}

bool WantsRoutine(lease_manager_state& m,
                  const char* what,
                  const std::string& job) {
  if (m.logs_routine || IsSampledJob(job))
    return true;
  m.actions.push_back(
      lease_manager_log{what, {}, log_class::routine, false, true});
  return false;
}

void LogRoutine(lease_manager_state& m,
                const char* what,
                const std::string& job,
                std::string detail) {
  m.actions.push_back(lease_manager_log{what, std::move(detail),
                                        log_class::routine, IsSampledJob(job)});
}

bool HasOwnerLease(const lease_manager_state& m,
                   micros now,
                   incarnation owner) {
  const auto it = m.owners.find(owner);
  return it != m.owners.end() && now <= it->second.owner_lease_until;
}

namespace {

// ---- [2] Calls to the worker ------------------------------------------------

bool IsLossy(const lease_manager_state& m, micros now) {
  return m.last_unanswered_at.value != 0 &&
         now - m.last_unanswered_at < m.options.lossy_period;
}

micros PollWait(const lease_manager_state& m, micros now) {
  return IsLossy(m, now) ? m.options.lossy_poll_wait : m.options.poll_wait;
}

micros CallTimeout(const lease_manager_state& m, micros now) {
  return IsLossy(m, now) ? m.options.lossy_call_timeout
                         : m.options.call_timeout;
}

// A lower bound of the worker's clock now: the clock was read before the answer
// that holds it arrived here.
int64_t WorkerClock(const lease_manager_state& m, micros now) {
  return m.clock_ms + ToMillis(now - m.clock_at);
}

// Whether the lease of this run must not be extended. Its owner takes the run
// for over when no lease can be left that was granted before the owner lease
// expired or before the stop was ordered.
bool MustExpire(const lease_manager_state& m,
                micros now,
                const managed_run& run) {
  if (WaitsForResources(run) || run.stop_confirmed)
    return false;
  const bool overdue = run.state == run_state::stopping &&
                       now - run.stop_ordered_at > m.options.bounds.margin;
  return overdue || !HasOwnerLease(m, now, run.owner);
}

// Failure guarded against: a worker answers polls and starts, but not stops.
// Each of these calls would extend the lease of runs that have no owner any
// more, while their tasks run elsewhere. All runs on a worker share one lease.
bool MayExtendLease(const lease_manager_state& m, micros now) {
  return m.expiry_pending_until.value == 0 && !SessionMayBeOver(m) &&
         m.orphan_runs.empty() &&
         std::none_of(m.runs.begin(), m.runs.end(), [&](const auto& row) {
           return MustExpire(m, now, row.second);
         });
}

// Failure guarded against: a start is buffered, here or in the network, while
// this process or the worker's machine is frozen, and is carried out seconds
// later, when its task runs elsewhere. So the start carries the time on the
// worker's clock at which its lease ends; after that the worker refuses it.
// It is the end of the newest lease granted while that must not be extended.
int64_t GrantLease(lease_manager_state& m, micros now) {
  if (!MayExtendLease(m, now))
    return m.granted_lease_ms;
  m.leases_end_at =
      std::max(m.leases_end_at, now + LeaseExpiredAfter(m.options.bounds));
  m.granted_lease_ms =
      std::max(m.granted_lease_ms,
               WorkerClock(m, now) + ToMillis(m.options.bounds.lease));
  return m.granted_lease_ms;
}

void CallStop(lease_manager_state& m, micros now, const run_ref& ref) {
  m.actions.push_back(call_run_stop{m.worker.session, ref, m.fence,
                                    ToMillis(CallTimeout(m, now))});
}

}  // namespace

bool LeaseLasts(const lease_manager_state& m, micros now, int64_t run_ms) {
  return WorkerClock(m, now) + run_ms < m.granted_lease_ms ||
         MayExtendLease(m, now);
}

void CallStart(lease_manager_state& m, micros now, managed_run& run) {
  ++run.start_attempts;
  run.last_call_at = now;
  run.call_open = true;
  m.actions.push_back(call_run_start{m.worker.session, run.start, m.fence,
                                     GrantLease(m, now),
                                     ToMillis(CallTimeout(m, now))});
}

namespace {

// A run whose owner lease has expired is withdrawn by
// StopRunsWithoutOwnerLease().
bool MayStillStart(const lease_manager_state& m,
                   micros now,
                   const managed_run& run) {
  return run.state == run_state::waiting && AcceptsLeasedWork(m, now) &&
         LeaseLasts(m, now, run.start.expected_ms) &&
         now - run.since <= m.options.max_start_wait;
}

bool IsReservedForAnother(const lease_manager_state& m,
                          micros now,
                          incarnation owner) {
  return now < m.granted_until && owner != m.grantee;
}

bool CanAllocate(const lease_manager_state& m,
                 micros now,
                 const managed_run& run) {
  return !IsReservedForAnother(m, now, run.owner) &&
         Fits(run.start.need, FreeResources(m) + m.waiting_resources);
}

}  // namespace

void StartWaiting(lease_manager_state& m, micros now) {
  std::deque<leased_task> still_waiting;
  for (const leased_task& task : m.waiting_starts) {
    const auto it = m.runs.find(task);
    if (it == m.runs.end() || !WaitsForResources(it->second))
      continue;
    managed_run& run = it->second;
    if (!MayStillStart(m, now, run)) {
      ++m.starts_wait_expired;
      EndRun(m, now, leased_task(task), run_end_kind::never_started);
    } else if (!CanAllocate(m, now, run)) {
      still_waiting.push_back(task);
    } else {
      m.waiting_resources = m.waiting_resources - run.start.need;
      run.state = run_state::starting;
      run.since = now;
      CallStart(m, now, run);
    }
  }
  m.waiting_starts.swap(still_waiting);
}

void RequestStop(lease_manager_state& m, micros now, managed_run& run) {
  if (run.state != run_state::stopping)
    run.stop_ordered_at = now;
  run.state = run_state::stopping;
  run.stop_confirmed = false;
  run.last_call_at = now;
  run.call_open = true;
  CallStop(m, now, run.start.ref);
}

void StopRun(lease_manager_state& m, micros now, managed_run& run) {
  if (WaitsForResources(run))
    run.state = run_state::withdrawn;
  else if (run.state != run_state::stopping)
    RequestStop(m, now, run);
}

namespace {

// Failure guarded against: the worker starts again under its id, and the first
// poll of the new session acknowledges ends by the numbers of the previous one;
// the worker forgets ends that were never received, and their tasks run again.
// A session always ends with an unanswered poll, so after one nothing is
// acknowledged until a poll is answered.
uint64_t EndsToAcknowledge(const lease_manager_state& m) {
  return m.last_poll_failed ? 0 : AckedEnds(m);
}

}  // namespace

void CallPoll(lease_manager_state& m, micros now) {
  m.open_poll = ++m.polls_sent;
  m.poll_sent_at = now;
  call_poll poll;
  poll.number = m.open_poll;
  poll.session = m.worker.session;
  poll.fence = m.fence;
  poll.acked_through = EndsToAcknowledge(m);
  // The lease is not extended while the worker has runs unknown to this
  // process, which are stopped or expire, nor while the worker doesn't answer.
  // Failure guarded against: a worker is gone for good, and its runs count as
  // covered by a lease for as long as it is polled.
  const bool answers = now - m.last_answer <= m.options.suspect_after;
  const bool extends = m.reconciled && m.has_clock && !m.runs.empty() &&
                       answers && MayExtendLease(m, now);
  poll.lease_until_ms = extends ? GrantLease(m, now) : 0;
  const bool waits = m.reconciled && !m.successor;
  poll.wait_ms = waits ? ToMillis(PollWait(m, now)) : 0;
  poll.timeout_ms = poll.wait_ms + ToMillis(CallTimeout(m, now));
  m.actions.emplace_back(std::move(poll));
}

namespace {

// ---- [3] Answers ------------------------------------------------------------

void RaiseFence(lease_manager_state& m) {
  m.fence += m.fence_step;
  m.fence_step *= 2;
}

// A refused start has no effect, unless an earlier copy of it got no answer and
// may still be carried out: then a stop first marks the run as over on the
// worker.
void StartRefused(lease_manager_state& m,
                  micros now,
                  managed_run& run,
                  run_end_kind kind) {
  if (run.start_attempts > 1)
    StopRun(m, now, run);
  else
    EndRun(m, now, leased_task(run.start.ref.task), kind);
}

void RecordUnansweredCall(lease_manager_state& m, micros now) {
  m.last_unanswered_at = now;
  ++m.calls_unanswered;
}

void RetryStart(lease_manager_state& m, micros now, managed_run& run) {
  if (run.start_attempts < m.options.max_start_attempts &&
      m.expiry_pending_until.value == 0 && !SessionMayBeOver(m) &&
      HasOwnerLease(m, now, run.owner) &&
      LeaseLasts(m, now, run.start.expected_ms))
    CallStart(m, now, run);
  else
    StopRun(m, now, run);
}

void HandleStartAnswer(lease_manager_state& m,
                       micros now,
                       const run_start_answered& e) {
  const auto it = m.runs.find(e.ref.task);
  if (it == m.runs.end() || it->second.start.ref != e.ref ||
      it->second.state != run_state::starting)
    return;
  managed_run& run = it->second;
  run.call_open = false;
  switch (e.answer) {
    case worker_answer::ok:
      run.state = run_state::running;
      run.confirmed = true;
      run.polls_at_change = m.polls_sent;
      return;
    case worker_answer::stale_fence:
      RaiseFence(m);
      RetryStart(m, now, run);
      return;
    case worker_answer::superseded:
      StartRefused(m, now, run, run_end_kind::superseded);
      return;
    case worker_answer::lease_expired:
    case worker_answer::no_resources:
    case worker_answer::unavailable:
    case worker_answer::bad_request:
    case worker_answer::other_session:
      StartRefused(m, now, run, run_end_kind::never_started);
      return;
    case worker_answer::none:
      RecordUnansweredCall(m, now);
      RetryStart(m, now, run);
      return;
  }
}

void HandleStopAnswer(lease_manager_state& m, const run_stop_answered& e) {
  const bool answered = e.answer == worker_answer::ok;
  if (e.answer == worker_answer::stale_fence)
    RaiseFence(m);
  const auto it = m.runs.find(e.ref.task);
  if (it == m.runs.end() || it->second.start.ref != e.ref) {
    if (answered)
      m.orphan_runs.erase(e.ref);
    return;
  }
  managed_run& run = it->second;
  run.call_open = false;
  if (run.state != run_state::stopping || !answered || run.stop_confirmed)
    return;
  run.stop_confirmed = true;
  run.polls_at_change = m.polls_sent;
}

void HandleListedEnd(lease_manager_state& m,
                     micros now,
                     const listed_end& end) {
  const auto it = m.runs.find(end.ref.task);
  const bool known = it != m.runs.end() && it->second.start.ref == end.ref;
  if (end.number <= m.seen) {
    if (known)
      LogChange(m, "end ignored",
                ToText(end.ref) + ", number " + std::to_string(end.number) +
                    ", newest known " + std::to_string(m.seen));
    return;
  }
  m.seen = end.number;
  if (!known) {
    if (m.options.holds_unknown_ends)
      HoldEnd(m, now, incarnation{}, end, 0);
    return;
  }
  if (end.kind == run_end_kind::done)
    AddProgress(m, now, it->second, 100);
  EndRun(m, now, leased_task(end.ref.task), end.kind, end.number);
}

// Compares the known runs with those that the answer to poll number `poll`
// lists. A run is over if it is not listed and was confirmed, or its stop was
// answered, before that poll was sent: its end was listed and forgotten, or it
// never began. So is one whose stop is never answered, once no lease was left
// when that poll was sent: a start that arrives later is refused.
void CompareRunning(lease_manager_state& m,
                    micros now,
                    uint64_t poll,
                    const std::vector<listed_run>& running) {
  std::set<run_ref> listed;
  for (const listed_run& run : running)
    listed.insert(run.ref);
  const bool lease_was_over =
      m.poll_sent_at > m.leases_end_at + m.options.bounds.margin;
  std::vector<leased_task> over;
  for (const auto& [task, run] : m.runs) {
    const bool confirmed = run.state == run_state::running ||
                           (run.state == run_state::stopping &&
                            (run.stop_confirmed || lease_was_over));
    if (confirmed && run.polls_at_change < poll &&
        listed.count(run.start.ref) == 0)
      over.push_back(task);
  }
  for (const leased_task& task : over) {
    const managed_run& run = m.runs[task];
    const bool stopped = run.state == run_state::stopping && !run.session_ended;
    EndRun(m, now, task, stopped ? run_end_kind::stopped : run_end_kind::lost);
  }
  for (const run_ref& ref : listed) {
    const auto it = m.runs.find(ref.task);
    const bool known = it != m.runs.end() && it->second.start.ref == ref;
    if (!known && m.orphan_runs.emplace(ref, now).second)
      CallStop(m, now, ref);
  }
  std::erase_if(m.orphan_runs,
                [&](const auto& row) { return listed.count(row.first) == 0; });
}

void UpdateProgress(lease_manager_state& m,
                    micros now,
                    const std::vector<listed_run>& running) {
  for (const listed_run& listed : running) {
    const auto it = m.runs.find(listed.ref.task);
    if (it != m.runs.end() && it->second.start.ref == listed.ref &&
        it->second.state == run_state::running)
      AddProgress(m, now, it->second, listed.percent);
  }
}

void HandlePollAnswer(lease_manager_state& m,
                      micros now,
                      const poll_answered& e) {
  if (e.answer == worker_answer::other_session && m.record) {
    DropRecord(m, "another session answers at its address");
    return;
  }
  if (e.answer == worker_answer::other_session) {
    LoseWorker(m, now, session_end_proof::answer,
               "another session answers at its address");
    return;
  }
  // Failure guarded against: a poll that was given up is answered after a later
  // one was sent. Runs that began between the two are not on its list and would
  // be taken for over.
  if (e.number != m.open_poll)
    return;
  m.open_poll = 0;
  if (e.answer == worker_answer::stale_fence) {
    RaiseFence(m);
    return;
  }
  if (e.answer == worker_answer::none)
    RecordUnansweredCall(m, now);
  m.last_poll_failed = e.answer != worker_answer::ok;
  const bool verifies = m.successor && e.number > m.polls_before_successor;
  if (m.last_poll_failed) {
    m.successor_poll_failed = m.successor_poll_failed || verifies;
    return;
  }
  if (!VerifyRecord(m, e.started_ms))
    return;
  if (e.started_ms != 0 && e.started_ms != m.worker.session.started_ms) {
    HandleWorkerRestart(m, now, {m.worker.session.id, e.started_ms});
    return;
  }
  const bool was_suspect = !AcceptsLeasedWork(m, now);
  if (verifies)
    IgnoreSuccessor(m);
  m.last_answer = now;
  m.has_clock = true;
  m.clock_ms = e.clock_ms;
  m.clock_at = now;
  for (const listed_end& end : e.ended)
    HandleListedEnd(m, now, end);
  CompareRunning(m, now, e.number, e.running);
  UpdateProgress(m, now, e.running);
  MeasurePace(m, now);
  FindStragglers(m, now);
  if (m.orphan_runs.empty())
    MarkReconciled(m);
  if (was_suspect) {
    for (auto& [name, owner] : m.owners)
      owner.report_pending = true;
  }
}

struct lease_manager_event_handler {
  lease_manager_state& m;
  micros now;

  bool IsCurrent(const worker_session& session) const {
    return m.has_worker && m.worker.session == session;
  }
  void operator()(const leased_worker_announced& e) {
    HandleAnnouncement(m, now, e);
  }
  void operator()(const leased_worker_deregistered& e) {
    HandleDeregistration(m, now, e.session);
  }
  void operator()(worker_record_read& e) {
    HandleRecordRead(m, now, std::move(e.info));
  }
  void operator()(const run_start_answered& e) {
    if (IsCurrent(e.session))
      HandleStartAnswer(m, now, e);
  }
  void operator()(const run_stop_answered& e) {
    if (IsCurrent(e.session))
      HandleStopAnswer(m, e);
  }
  void operator()(const poll_answered& e) {
    if (IsCurrent(e.session))
      HandlePollAnswer(m, now, e);
  }
};

// ---- [4] Tick ---------------------------------------------------------------

// Failure guarded against: the worker has crashed or is unreachable, and
// answers no call. Once no lease granted to it can be left, its runs have
// ended, whatever its state.
void CheckWorkerSilence(lease_manager_state& m, micros now) {
  const bool over = now > m.leases_end_at + m.options.bounds.margin &&
                    now - m.last_answer > m.options.suspect_after;
  if (!m.runs.empty() && over) {
    EndAll(m, now, run_end_kind::lost);
    // A worker that starts again refuses everything that was ordered until now.
    ++m.fence;
  }
  if (m.has_worker && over &&
      (m.deregistered || (m.successor && m.successor_poll_failed)))
    LoseWorker(m, now, session_end_proof::lease,
               "silent, and no lease is left");
  const micros leases_of_others =
      LeaseExpiredAfter(m.options.bounds) + m.options.bounds.lease;
  if (m.has_worker && !m.reconciled && now - m.session_since > leases_of_others)
    MarkReconciled(m);
}

// Failure guarded against: an owner has crashed or is cut off, and another
// entry may start its job again. Runs whose owner lease has expired are
// stopped.
void StopRunsWithoutOwnerLease(lease_manager_state& m, micros now) {
  for (auto& [task, run] : m.runs) {
    if (run.state == run_state::stopping || HasOwnerLease(m, now, run.owner))
      continue;
    LogChange(m, "run stopped, its owner is silent",
              ToText(run.start.ref) + ", owner " + ToHex(run.owner.value));
    StopRun(m, now, run);
  }
}

void LogAcceptingChange(lease_manager_state& m, micros now) {
  const bool accepting = AcceptsLeasedWork(m, now);
  if (accepting != m.was_accepting)
    LogChange(m, accepting ? "takes work" : "takes no work",
              "last answer of the worker " +
                  std::to_string(ToMillis(now - m.last_answer)) + " ms ago" +
                  (MayExtendLease(m, now) ? "" : ", its lease must end"));
  for (auto& [name, owner] : m.owners)
    owner.report_pending = owner.report_pending || accepting != m.was_accepting;
  m.was_accepting = accepting;
}

void RetryStops(lease_manager_state& m, micros now) {
  for (auto& [task, run] : m.runs) {
    const bool retries = run.state == run_state::stopping &&
                         !run.stop_confirmed && !run.call_open &&
                         now - run.last_call_at >= CallTimeout(m, now);
    if (!retries)
      continue;
    run.last_call_at = now;
    run.call_open = true;
    CallStop(m, now, run.start.ref);
  }
  for (auto& [ref, called] : m.orphan_runs) {
    if (now - called < CallTimeout(m, now))
      continue;
    called = now;
    CallStop(m, now, ref);
  }
}

void KeepPolling(lease_manager_state& m, micros now) {
  if (!m.has_worker || m.open_poll != 0)
    return;
  const bool failing = m.last_answer < m.poll_sent_at;
  if (failing && now - m.poll_sent_at < m.options.call_timeout)
    return;
  if (!m.held_ends.empty() &&
      now - m.poll_sent_at < m.options.min_poll_interval)
    return;
  CallPoll(m, now);
}

void ForgetIdleOwners(lease_manager_state& m, micros now) {
  constexpr micros kOwnerRetention = Millis(60'000);
  std::vector<incarnation> idle;
  for (const auto& [name, owner] : m.owners) {
    if (now - owner.owner_lease_until > kOwnerRetention)
      idle.push_back(name);
  }
  for (incarnation name : idle)
    ForgetOwner(m, name);
}

// The next owner, in turn, that waits for resources; null if none does.
run_owner* NextGrantee(lease_manager_state& m, micros now) {
  auto it = m.owners.upper_bound(m.grantee);
  for (size_t i = 0; i < m.owners.size(); ++i) {
    if (it == m.owners.end())
      it = m.owners.begin();
    const int64_t wanted = it->second.wanted_cpu;
    if (wanted > 0 && wanted <= FreeResources(m).cpu &&
        now >= it->second.next_offer_at &&
        !(it->second.last_offer == FreeResources(m))) {
      m.grantee = it->first;
      return &it->second;
    }
    ++it;
  }
  return nullptr;
}

// Failure guarded against: an overloaded entry waits for resources, and each of
// many workers sends it an offer every few milliseconds. It can't answer in
// time, falls further behind with each offer, and starts nothing.
void RecordMissedOffer(lease_manager_state& m, micros now) {
  if (!m.grant_pending)
    return;
  m.grant_pending = false;
  const auto it = m.owners.find(m.grantee);
  if (it == m.owners.end())
    return;
  run_owner& owner = it->second;
  owner.offer_pause =
      std::clamp(micros{owner.offer_pause.value * 2}, m.options.min_offer_pause,
                 m.options.max_offer_pause);
  owner.next_offer_at = now + owner.offer_pause;
}

// Failure guarded against: all entries that wait for resources receive reports
// of freed ones, all send a start, and all but one are refused, thousands of
// times a second. So the resources are offered to one entry after the other.
void GrantResources(lease_manager_state& m, micros now) {
  if (now < m.granted_until || FreeResources(m).cpu <= 0 ||
      !AcceptsLeasedWork(m, now))
    return;
  RecordMissedOffer(m, now);
  run_owner* next = NextGrantee(m, now);
  if (next == nullptr)
    return;
  m.granted_until = now + m.options.grant_duration;
  m.grant_pending = true;
  next->last_offer = FreeResources(m);
  next->report_pending = true;
}

}  // namespace

lease_manager_state MakeLeaseManager(lease_manager_options options) {
  lease_manager_state m;
  m.fence = options.first_fence;
  m.options = options;
  return m;
}

void HandleLeaseManagerEvent(lease_manager_state& m,
                             micros now,
                             lease_manager_event event) {
  std::visit(lease_manager_event_handler{m, now}, event);
}

void TickLeaseManager(lease_manager_state& m, micros now) {
  CheckWorkerSilence(m, now);
  CheckLeaseExpiry(m, now);
  StopRunsWithoutOwnerLease(m, now);
  RetryStops(m, now);
  KeepPolling(m, now);
  StartWaiting(m, now);
  GrantResources(m, now);
  ForgetIdleOwners(m, now);
  DecayPace(m, now);
  LogAcceptingChange(m, now);
}

bool AcceptsLeasedWork(const lease_manager_state& m, micros now) {
  constexpr int64_t kShortRunMs = 100;
  return m.announced && m.reconciled && m.has_clock && !m.draining &&
         !m.stopping && !m.closed && m.expiry_pending_until.value == 0 &&
         !SessionMayBeOver(m) &&
         now - m.last_answer <= m.options.suspect_after &&
         LeaseLasts(m, now, kShortRunMs);
}

void SetClosed(lease_manager_state& m, bool closed) {
  if (m.closed == closed)
    return;
  m.closed = closed;
  for (auto& [name, owner] : m.owners)
    owner.report_pending = true;
}

bool HasRuns(const lease_manager_state& m, incarnation owner) {
  return std::any_of(m.runs.begin(), m.runs.end(), [&](const auto& row) {
    return row.second.owner == owner && row.second.state != run_state::stopping;
  });
}

bool HasUnreportedChange(const lease_manager_state& m, incarnation owner) {
  // A change that is smaller than a usual task's share of a worker is not worth
  // a frame.
  constexpr int64_t kReportedFraction = 16;
  constexpr double kReportedPaceChange = 0.1;
  const auto it = m.owners.find(owner);
  if (it == m.owners.end())
    return false;
  const run_owner& o = it->second;
  if (o.ends_reported < o.ends.size())
    return true;
  if (!o.follows_resources)
    return false;
  const int64_t changed = std::abs(FreeResources(m).cpu - o.reported_free.cpu);
  return changed > m.worker.capacity.cpu / kReportedFraction ||
         std::abs(m.pace - o.reported_pace) > kReportedPaceChange;
}

resources FreeResources(const lease_manager_state& m) {
  return m.worker.capacity - m.used;
}

resources FreeResourcesFor(const lease_manager_state& m,
                           micros now,
                           incarnation owner) {
  return IsReservedForAnother(m, now, owner) ? resources{} : FreeResources(m);
}

// ---- [5] Reports ------------------------------------------------------------

namespace {

// Adds the sums over the other entries, if this owner has sent its own demand.
void AttachDemand(const lease_manager_state& m,
                  micros now,
                  const run_owner& receiver,
                  lease_reports& report) {
  if (!IsCurrent(receiver.demand, now))
    return;
  for (const auto& [name, owner] : m.owners) {
    if (!IsCurrent(owner.demand, now))
      continue;
    ++report.demand_entries;
    if (&owner != &receiver)
      AddDemand(report.demand, owner.demand.queues);
  }
}

}  // namespace

lease_reports ReportFor(lease_manager_state& m,
                        micros now,
                        incarnation owner_name) {
  lease_reports report;
  report.stamp = now.value;
  run_owner& owner = m.owners[owner_name];
  report.starts_seen = owner.starts_seen;
  report.accepts_work = AcceptsLeasedWork(m, now);
  report.free = FreeResourcesFor(m, now, owner_name);
  owner.reported_free = FreeResources(m);
  owner.reported_pace = m.pace;
  if (!owner.worker_reported && m.announced)
    report.worker = m.worker;
  owner.worker_reported = m.announced;
  for (size_t i = owner.ends_reported; i < owner.ends.size(); ++i)
    report.ends.push_back(owner.ends[i].end);
  owner.ends_reported = owner.ends.size();
  report.resolved_seen = owner.resolved_seen;
  if (now - owner.unclaimed_reported_at >= m.options.unclaimed_report_interval)
    report.unclaimed = UnclaimedEnds(m, now);
  if (!report.unclaimed.empty())
    owner.unclaimed_reported_at = now;
  if (owner.received_stamp != 0)
    report.last_received = {owner.received_stamp,
                            owner.received_at.value - owner.received_stamp,
                            (now - owner.received_at).value};
  report.pace = static_cast<uint32_t>(std::max(0.0, m.pace) * 1000);
  report.stragglers.swap(owner.stragglers);
  AttachDemand(m, now, owner, report);
  owner.report_pending = false;
  return report;
}

}  // namespace cassiaferry
