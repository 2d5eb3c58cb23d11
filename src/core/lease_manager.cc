// The keeper of leased runs, beside one worker.
//
// Contents
//   [1] Bounds and names
//   [2] Calls to the worker
//   [3] Answers
//   [4] Tick
//   [5] Reports

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <utility>

#include "lease_manager_systems.h"

namespace cassiaferry {

// ---- [1] Bounds and names ---------------------------------------------------

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

std::string ToText(const worker_session& life) {
  return life.id + ", started " + std::to_string(life.started_ms);
}

// Vouch, lease by a slow clock and margin together end before a caller sends
// again: 0.31 + 0.54 / 0.98 of the time, and 50 ms, leave a tenth of it spare.
lease_bounds BoundsFor(micros lease_max, micros resend_after) {
  lease_bounds bounds;
  bounds.max_lease = lease_max;
  bounds.lease = std::min(lease_max, micros{resend_after.value * 54 / 100});
  bounds.owner_lease = micros{resend_after.value * 31 / 100};
  return bounds;
}

link_timing TimingFor(const lease_bounds& bounds) {
  constexpr int64_t kIdleTimes = 8;  // a second
  link_timing timing;
  timing.heartbeat = micros{bounds.owner_lease.value / 3};
  timing.silence_timeout = bounds.owner_lease;
  timing.idle_heartbeat = micros{timing.heartbeat.value * kIdleTimes};
  timing.idle_silence_timeout =
      micros{timing.silence_timeout.value * kIdleTimes};
  return timing;
}

void LogChange(lease_manager_state& k, const char* what, std::string detail) {
  k.actions.push_back(lease_manager_log{what, std::move(detail)});
}

bool HasOwnerLease(const lease_manager_state& k,
                   micros now,
                   incarnation owner) {
  const auto it = k.owners.find(owner);
  return it != k.owners.end() && now <= it->second.owner_lease_until;
}

namespace {

// ---- [2] Calls to the worker ------------------------------------------------

bool IsLossy(const lease_manager_state& k, micros now) {
  return k.last_unanswered_at.value != 0 &&
         now - k.last_unanswered_at < k.options.lossy_period;
}

micros PollWait(const lease_manager_state& k, micros now) {
  return IsLossy(k, now) ? k.options.lossy_poll_wait : k.options.poll_wait;
}

micros CallTimeout(const lease_manager_state& k, micros now) {
  return IsLossy(k, now) ? k.options.lossy_call_timeout
                         : k.options.call_timeout;
}

// At or before the worker's clock now: `clock_ms` was read before it arrived.
int64_t WorkerClock(const lease_manager_state& k, micros now) {
  return k.clock_ms + ToMillis(now - k.clock_at);
}

// Failure guarded against: a start lies in a buffer, here or in the network,
// while this process or the worker's machine is frozen, and is carried out
// seconds later, when its task runs elsewhere. The start names the moment, on
// the worker's clock, at which its lease ends; past that the worker refuses it.
int64_t GrantLease(lease_manager_state& k, micros now) {
  k.leases_end_at =
      std::max(k.leases_end_at, now + LeaseExpiredAfter(k.options.bounds));
  return WorkerClock(k, now) + ToMillis(k.options.bounds.lease);
}

void CallStop(lease_manager_state& k, micros now, const run_ref& ref) {
  k.actions.push_back(call_run_stop{k.worker.session, ref, k.fence,
                                    ToMillis(CallTimeout(k, now))});
}

}  // namespace

void CallStart(lease_manager_state& k, micros now, managed_run& run) {
  ++run.start_attempts;
  run.last_call_at = now;
  run.call_open = true;
  k.actions.push_back(call_run_start{k.worker.session, run.start, k.fence,
                                     GrantLease(k, now),
                                     ToMillis(CallTimeout(k, now))});
}

namespace {

// What its owner doesn't vouch for any more is withdrawn (StopUnvouched).
bool MayStillStart(const lease_manager_state& k,
                   micros now,
                   const managed_run& run) {
  return run.state == run_state::waiting && AcceptsLeasedWork(k, now) &&
         now - run.since <= k.options.max_start_wait;
}

bool IsKeptForAnother(const lease_manager_state& k,
                      micros now,
                      incarnation owner) {
  return now < k.granted_until && owner != k.grantee;
}

bool CanAllocate(const lease_manager_state& k,
                 micros now,
                 const managed_run& run) {
  return !IsKeptForAnother(k, now, run.owner) &&
         Fits(run.start.need, FreeResources(k) + k.waiting_resources);
}

}  // namespace

void StartWaiting(lease_manager_state& k, micros now) {
  std::deque<leased_task> still;
  for (const leased_task& task : k.waiting_starts) {
    const auto it = k.runs.find(task);
    if (it == k.runs.end() || !WaitsForResources(it->second))
      continue;
    managed_run& run = it->second;
    if (!MayStillStart(k, now, run)) {
      ++k.starts_wait_expired;
      EndRun(k, now, leased_task(task), run_end_kind::never_started);
    } else if (!CanAllocate(k, now, run)) {
      still.push_back(task);
    } else {
      k.waiting_resources = k.waiting_resources - run.start.need;
      run.state = run_state::starting;
      run.since = now;
      CallStart(k, now, run);
    }
  }
  k.waiting_starts.swap(still);
}

void RequestStop(lease_manager_state& k, micros now, managed_run& run) {
  if (run.state != run_state::stopping)
    run.stop_ordered_at = now;
  run.state = run_state::stopping;
  run.stop_confirmed = false;
  run.last_call_at = now;
  run.call_open = true;
  CallStop(k, now, run.start.ref);
}

void StopRun(lease_manager_state& k, micros now, managed_run& run) {
  if (WaitsForResources(run))
    run.state = run_state::withdrawn;
  else if (run.state != run_state::stopping)
    RequestStop(k, now, run);
}

namespace {

// Failure guarded against: the worker starts again under its id, and the first
// look that it answers acknowledges ends by the numbers of the life before;
// what it has done since is forgotten, and done again. A life ends with a look
// unanswered; until one is answered nothing is acknowledged.
uint64_t EndsToAcknowledge(const lease_manager_state& k) {
  return k.last_poll_failed ? 0 : AckedEnds(k);
}

// Its owner counts it as over when no lease granted until its vouch ran out, or
// until the stop was ordered, can be left.
bool MustExpire(const lease_manager_state& k,
                micros now,
                const managed_run& run) {
  if (WaitsForResources(run) || run.stop_confirmed)
    return false;
  const bool overdue = run.state == run_state::stopping &&
                       now - run.stop_ordered_at > k.options.bounds.margin;
  return overdue || !HasOwnerLease(k, now, run.owner);
}

// Failure guarded against: a worker answers looks and leaves orders to stop
// unanswered. Each look would give what nobody vouches for a longer lease, and
// its task runs elsewhere by then. A lease is one for all that runs there.
bool AnyMustExpire(const lease_manager_state& k, micros now) {
  return !k.orphan_runs.empty() ||
         std::any_of(k.runs.begin(), k.runs.end(), [&](const auto& row) {
           return MustExpire(k, now, row.second);
         });
}

}  // namespace

void CallPoll(lease_manager_state& k, micros now) {
  k.open_poll = ++k.polls_sent;
  k.poll_sent_at = now;
  call_poll look;
  look.number = k.open_poll;
  look.session = k.worker.session;
  look.fence = k.fence;
  look.acked_through = EndsToAcknowledge(k);
  // What runs there unknown to this process gets no extension: it is stopped,
  // or lapses. Nor does a worker that doesn't answer. Failure guarded against:
  // one that is gone for good, whose runs would count as covered by a lease for
  // as long as it is asked.
  const bool answers = now - k.last_answer <= k.options.suspect_after;
  const bool extends = k.reconciled && k.has_clock && !k.runs.empty() &&
                       answers && k.expiry_pending_until.value == 0 &&
                       !SessionMayBeOver(k) && !AnyMustExpire(k, now);
  look.lease_until_ms = extends ? GrantLease(k, now) : 0;
  const bool waits = k.reconciled && !k.successor;
  look.wait_ms = waits ? ToMillis(PollWait(k, now)) : 0;
  look.timeout_ms = look.wait_ms + ToMillis(CallTimeout(k, now));
  k.actions.emplace_back(std::move(look));
}

namespace {

// ---- [3] Answers ------------------------------------------------------------

void RaiseFence(lease_manager_state& k) {
  k.fence += k.fence_step;
  k.fence_step *= 2;
}

// A start that was refused leaves nothing behind, unless an earlier copy of it
// got no answer and may still be carried out: then a stop marks the run as
// over on the worker first.
void StartRefused(lease_manager_state& k,
                  micros now,
                  managed_run& run,
                  run_end_kind how) {
  if (run.start_attempts > 1)
    StopRun(k, now, run);
  else
    EndRun(k, now, leased_task(run.start.ref.task), how);
}

void RecordUnansweredCall(lease_manager_state& k, micros now) {
  k.last_unanswered_at = now;
  ++k.calls_unanswered;
}

void RetryStart(lease_manager_state& k, micros now, managed_run& run) {
  if (run.start_attempts < k.options.max_start_attempts &&
      k.expiry_pending_until.value == 0 && !SessionMayBeOver(k) &&
      HasOwnerLease(k, now, run.owner))
    CallStart(k, now, run);
  else
    StopRun(k, now, run);
}

void HandleStartAnswer(lease_manager_state& k,
                       micros now,
                       const run_start_answered& e) {
  const auto it = k.runs.find(e.ref.task);
  if (it == k.runs.end() || it->second.start.ref != e.ref ||
      it->second.state != run_state::starting)
    return;
  managed_run& run = it->second;
  run.call_open = false;
  switch (e.answer) {
    case worker_answer::ok:
      run.state = run_state::running;
      run.confirmed = true;
      run.polls_at_change = k.polls_sent;
      return;
    case worker_answer::stale_fence:
      RaiseFence(k);
      RetryStart(k, now, run);
      return;
    case worker_answer::superseded:
      StartRefused(k, now, run, run_end_kind::superseded);
      return;
    case worker_answer::lease_expired:
    case worker_answer::no_resources:
    case worker_answer::unavailable:
    case worker_answer::bad_request:
    case worker_answer::other_session:
      StartRefused(k, now, run, run_end_kind::never_started);
      return;
    case worker_answer::none:
      RecordUnansweredCall(k, now);
      RetryStart(k, now, run);
      return;
  }
}

void HandleStopAnswer(lease_manager_state& k, const run_stop_answered& e) {
  const bool answered = e.answer == worker_answer::ok;
  if (e.answer == worker_answer::stale_fence)
    RaiseFence(k);
  const auto it = k.runs.find(e.ref.task);
  if (it == k.runs.end() || it->second.start.ref != e.ref) {
    if (answered)
      k.orphan_runs.erase(e.ref);
    return;
  }
  managed_run& run = it->second;
  run.call_open = false;
  if (run.state != run_state::stopping || !answered || run.stop_confirmed)
    return;
  run.stop_confirmed = true;
  run.polls_at_change = k.polls_sent;
}

void HandleListedEnd(lease_manager_state& k,
                     micros now,
                     const listed_end& end) {
  const auto it = k.runs.find(end.ref.task);
  const bool known = it != k.runs.end() && it->second.start.ref == end.ref;
  if (end.number <= k.seen) {
    if (known)
      LogChange(k, "end passed over",
                ToText(end.ref) + ", number " + std::to_string(end.number) +
                    ", newest known " + std::to_string(k.seen));
    return;
  }
  k.seen = end.number;
  if (!known) {
    if (k.options.holds_unknown_ends)
      HoldEnd(k, now, incarnation{}, end, 0);
    return;
  }
  if (end.kind == run_end_kind::done)
    AddProgress(k, now, it->second, 100);
  EndRun(k, now, leased_task(end.ref.task), end.kind, end.number);
}

// `look`: the number of the look whose answer lists `running`. A run that was
// confirmed, or whose stop was answered, before that look was sent and is not
// listed is over: its end was listed and forgotten, or it never began.
void CompareRunning(lease_manager_state& k,
                    micros now,
                    uint64_t look,
                    const std::vector<listed_run>& running) {
  std::set<run_ref> listed;
  for (const listed_run& run : running)
    listed.insert(run.ref);
  std::vector<leased_task> over;
  for (const auto& [task, run] : k.runs) {
    const bool settled =
        run.state == run_state::running ||
        (run.state == run_state::stopping && run.stop_confirmed);
    if (settled && run.polls_at_change < look &&
        listed.count(run.start.ref) == 0)
      over.push_back(task);
  }
  for (const leased_task& task : over) {
    const managed_run& run = k.runs[task];
    const bool stopped = run.state == run_state::stopping && !run.session_ended;
    EndRun(k, now, task, stopped ? run_end_kind::stopped : run_end_kind::lost);
  }
  for (const run_ref& ref : listed) {
    const auto it = k.runs.find(ref.task);
    const bool known = it != k.runs.end() && it->second.start.ref == ref;
    if (!known && k.orphan_runs.emplace(ref, now).second)
      CallStop(k, now, ref);
  }
  std::erase_if(k.orphan_runs,
                [&](const auto& row) { return listed.count(row.first) == 0; });
}

void UpdateProgress(lease_manager_state& k,
                    micros now,
                    const std::vector<listed_run>& running) {
  for (const listed_run& listed : running) {
    const auto it = k.runs.find(listed.ref.task);
    if (it != k.runs.end() && it->second.start.ref == listed.ref &&
        it->second.state == run_state::running)
      AddProgress(k, now, it->second, listed.percent);
  }
}

void HandlePollAnswer(lease_manager_state& k,
                      micros now,
                      const poll_answered& e) {
  if (e.answer == worker_answer::other_session) {
    LoseWorker(k, now, session_end_proof::answer,
               "another life answers at its address");
    return;
  }
  // Failure guarded against: a look that was given up is answered after a later
  // one was sent. What has begun between the two is not on its list, and would
  // pass for over.
  if (e.number != k.open_poll)
    return;
  k.open_poll = 0;
  if (e.answer == worker_answer::stale_fence) {
    RaiseFence(k);
    return;
  }
  if (e.answer == worker_answer::none)
    RecordUnansweredCall(k, now);
  k.last_poll_failed = e.answer != worker_answer::ok;
  const bool asked = k.successor && e.number > k.polls_before_successor;
  if (k.last_poll_failed) {
    k.successor_poll_failed = k.successor_poll_failed || asked;
    return;
  }
  if (e.started_ms != 0 && e.started_ms != k.worker.session.started_ms) {
    HandleWorkerRestart(k, now, {k.worker.session.id, e.started_ms});
    return;
  }
  const bool was_suspect = !AcceptsLeasedWork(k, now);
  if (asked)
    IgnoreSuccessor(k);
  k.last_answer = now;
  k.has_clock = true;
  k.clock_ms = e.clock_ms;
  k.clock_at = now;
  for (const listed_end& end : e.ended)
    HandleListedEnd(k, now, end);
  CompareRunning(k, now, e.number, e.running);
  UpdateProgress(k, now, e.running);
  MeasurePace(k, now);
  FindStragglers(k, now);
  if (k.orphan_runs.empty())
    MarkReconciled(k);
  if (was_suspect) {
    for (auto& [name, owner] : k.owners)
      owner.report_pending = true;
  }
}

struct lease_manager_event_handler {
  lease_manager_state& k;
  micros now;

  bool IsCurrent(const worker_session& life) const {
    return k.has_worker && k.worker.session == life;
  }
  void operator()(const leased_worker_announced& e) {
    HandleAnnouncement(k, now, e);
  }
  void operator()(const leased_worker_deregistered& e) {
    HandleDeregistration(k, now, e.session);
  }
  void operator()(const run_start_answered& e) {
    if (IsCurrent(e.session))
      HandleStartAnswer(k, now, e);
  }
  void operator()(const run_stop_answered& e) {
    if (IsCurrent(e.session))
      HandleStopAnswer(k, e);
  }
  void operator()(const poll_answered& e) {
    if (IsCurrent(e.session))
      HandlePollAnswer(k, now, e);
  }
};

// ---- [4] Tick ---------------------------------------------------------------

// Failure guarded against: the worker is gone without a word, or out of reach.
// It shows as no answer at all. Once no lease granted to it can be left, what
// ran there has ended, whatever became of the worker.
void CheckWorkerSilence(lease_manager_state& k, micros now) {
  const bool over = now > k.leases_end_at + k.options.bounds.margin &&
                    now - k.last_answer > k.options.suspect_after;
  if (!k.runs.empty() && over) {
    EndAll(k, now, run_end_kind::lost);
    // Should it start again, it does nothing that was ordered until now.
    ++k.fence;
  }
  if (k.has_worker && over &&
      (k.deregistered || (k.successor && k.successor_poll_failed)))
    LoseWorker(k, now, session_end_proof::lease,
               "silent, and no lease is left");
  const micros leases_of_others =
      LeaseExpiredAfter(k.options.bounds) + k.options.bounds.lease;
  if (k.has_worker && !k.reconciled && now - k.session_since > leases_of_others)
    MarkReconciled(k);
}

// Failure guarded against: an owner died, or was cut off, and its job may be
// started again by another entry. What nobody vouches for is stopped.
void StopRunsWithoutOwnerLease(lease_manager_state& k, micros now) {
  for (auto& [task, run] : k.runs) {
    if (run.state == run_state::stopping || HasOwnerLease(k, now, run.owner))
      continue;
    LogChange(k, "run stopped, its owner is silent",
              ToText(run.start.ref) + ", owner " + ToHex(run.owner.value));
    StopRun(k, now, run);
  }
}

void LogAcceptingChange(lease_manager_state& k, micros now) {
  const bool taking = AcceptsLeasedWork(k, now);
  if (taking != k.was_accepting)
    LogChange(k, taking ? "takes work" : "takes no work",
              "last answer of the worker " +
                  std::to_string(ToMillis(now - k.last_answer)) + " ms ago");
  k.was_accepting = taking;
}

void RetryStops(lease_manager_state& k, micros now) {
  for (auto& [task, run] : k.runs) {
    const bool due = run.state == run_state::stopping && !run.stop_confirmed &&
                     !run.call_open &&
                     now - run.last_call_at >= k.options.call_timeout;
    if (!due)
      continue;
    run.last_call_at = now;
    run.call_open = true;
    CallStop(k, now, run.start.ref);
  }
  for (auto& [ref, called] : k.orphan_runs) {
    if (now - called < k.options.call_timeout)
      continue;
    called = now;
    CallStop(k, now, ref);
  }
}

void KeepPolling(lease_manager_state& k, micros now) {
  if (!k.has_worker || k.open_poll != 0)
    return;
  const bool failing = k.last_answer < k.poll_sent_at;
  if (failing && now - k.poll_sent_at < k.options.call_timeout)
    return;
  if (!k.held_ends.empty() &&
      now - k.poll_sent_at < k.options.min_poll_interval)
    return;
  CallPoll(k, now);
}

void ForgetIdleOwners(lease_manager_state& k, micros now) {
  constexpr micros kOwnerMemory = Millis(60'000);
  std::vector<incarnation> idle;
  for (const auto& [name, owner] : k.owners) {
    if (now - owner.owner_lease_until > kOwnerMemory)
      idle.push_back(name);
  }
  for (incarnation name : idle)
    ForgetOwner(k, name);
}

// The next owner that waits for room, in turn. Null: none does.
run_owner* NextGrantee(lease_manager_state& k, micros now) {
  auto it = k.owners.upper_bound(k.grantee);
  for (size_t i = 0; i < k.owners.size(); ++i) {
    if (it == k.owners.end())
      it = k.owners.begin();
    const int64_t wanted = it->second.wanted_cpu;
    if (wanted > 0 && wanted <= FreeResources(k).cpu &&
        now >= it->second.next_offer_at &&
        !(it->second.last_offer == FreeResources(k))) {
      k.grantee = it->first;
      return &it->second;
    }
    ++it;
  }
  return nullptr;
}

// Failure guarded against: an entry that is behind with its work waits for
// room, and each of many workers offers it some each few milliseconds. It can't
// answer in time, is further behind with each offer, and starts nothing.
void RecordMissedOffer(lease_manager_state& k, micros now) {
  if (!k.grant_pending)
    return;
  k.grant_pending = false;
  const auto it = k.owners.find(k.grantee);
  if (it == k.owners.end())
    return;
  run_owner& owner = it->second;
  owner.offer_pause =
      std::clamp(micros{owner.offer_pause.value * 2}, k.options.min_offer_pause,
                 k.options.max_offer_pause);
  owner.next_offer_at = now + owner.offer_pause;
}

// Failure guarded against: room that gets free is seen by all entries that wait
// for some, all send a start, and all but one are refused, by thousands a
// second. One after the other is offered it.
void GrantResources(lease_manager_state& k, micros now) {
  if (now < k.granted_until || FreeResources(k).cpu <= 0 ||
      !AcceptsLeasedWork(k, now))
    return;
  RecordMissedOffer(k, now);
  run_owner* next = NextGrantee(k, now);
  if (next == nullptr)
    return;
  k.granted_until = now + k.options.grant_duration;
  k.grant_pending = true;
  next->last_offer = FreeResources(k);
  next->report_pending = true;
}

}  // namespace

lease_manager_state MakeLeaseManager(lease_manager_options options) {
  lease_manager_state k;
  k.fence = options.first_fence;
  k.options = options;
  return k;
}

void HandleLeaseManagerEvent(lease_manager_state& k,
                             micros now,
                             lease_manager_event event) {
  std::visit(lease_manager_event_handler{k, now}, event);
}

void TickLeaseManager(lease_manager_state& k, micros now) {
  CheckWorkerSilence(k, now);
  CheckLeaseExpiry(k, now);
  StopRunsWithoutOwnerLease(k, now);
  RetryStops(k, now);
  KeepPolling(k, now);
  StartWaiting(k, now);
  GrantResources(k, now);
  ForgetIdleOwners(k, now);
  DecayPace(k, now);
  LogAcceptingChange(k, now);
}

bool AcceptsLeasedWork(const lease_manager_state& k, micros now) {
  return k.announced && k.reconciled && k.has_clock && !k.draining &&
         !k.stopping && !k.closed && k.expiry_pending_until.value == 0 &&
         !SessionMayBeOver(k) && now - k.last_answer <= k.options.suspect_after;
}

void SetClosed(lease_manager_state& k, bool closed) {
  if (k.closed == closed)
    return;
  k.closed = closed;
  for (auto& [name, owner] : k.owners)
    owner.report_pending = true;
}

bool HasRuns(const lease_manager_state& k, incarnation owner) {
  return std::any_of(k.runs.begin(), k.runs.end(), [&](const auto& row) {
    return row.second.owner == owner && row.second.state != run_state::stopping;
  });
}

bool HasUnreportedChange(const lease_manager_state& k, incarnation owner) {
  // Less than a usual task takes of a worker is not worth a frame.
  constexpr int64_t kToldParts = 16;
  constexpr double kToldPace = 0.1;
  const auto it = k.owners.find(owner);
  if (it == k.owners.end())
    return false;
  const run_owner& o = it->second;
  if (o.ends_reported < o.ends.size())
    return true;
  if (!o.follows_resources)
    return false;
  const int64_t changed = std::abs(FreeResources(k).cpu - o.reported_free.cpu);
  return changed > k.worker.capacity.cpu / kToldParts ||
         std::abs(k.pace - o.reported_pace) > kToldPace;
}

resources FreeResources(const lease_manager_state& k) {
  return k.worker.capacity - k.used;
}

resources FreeResourcesFor(const lease_manager_state& k,
                           micros now,
                           incarnation owner) {
  return IsKeptForAnother(k, now, owner) ? resources{} : FreeResources(k);
}

// ---- [5] Reports ------------------------------------------------------------

lease_reports ReportFor(lease_manager_state& k,
                        micros now,
                        incarnation owner_name) {
  lease_reports report;
  report.stamp = now.value;
  run_owner& owner = k.owners[owner_name];
  report.starts_seen = owner.starts_seen;
  report.accepts_work = AcceptsLeasedWork(k, now);
  report.free = FreeResourcesFor(k, now, owner_name);
  owner.reported_free = FreeResources(k);
  owner.reported_pace = k.pace;
  if (!owner.worker_reported && k.announced)
    report.worker = k.worker;
  owner.worker_reported = k.announced;
  for (size_t i = owner.ends_reported; i < owner.ends.size(); ++i)
    report.ends.push_back(owner.ends[i].end);
  owner.ends_reported = owner.ends.size();
  report.resolved_seen = owner.resolved_seen;
  if (now - owner.unclaimed_reported_at >= k.options.unclaimed_report_interval)
    report.unclaimed = UnclaimedEnds(k, now);
  if (!report.unclaimed.empty())
    owner.unclaimed_reported_at = now;
  if (owner.received_stamp != 0)
    report.last_received = {owner.received_stamp,
                            owner.received_at.value - owner.received_stamp,
                            (now - owner.received_at).value};
  report.pace = static_cast<uint32_t>(std::max(0.0, k.pace) * 1000);
  report.stragglers.swap(owner.stragglers);
  owner.report_pending = false;
  return report;
}

}  // namespace cassiaferry
