// The keeper of leased runs, beside one worker.
//
// Contents
//   [1] Bounds and names
//   [2] Calls to the worker
//   [3] Answers
//   [4] Tick
//   [5] Reports

#include "cassiaferry/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "keeper_systems.h"

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

std::string ToText(const worker_life& life) {
  return life.id + ", started " + std::to_string(life.started_ms);
}

// Vouch, lease by a slow clock and margin together end before a caller sends
// again: 0.31 + 0.54 / 0.98 of the time, and 50 ms, leave a tenth of it spare.
lease_bounds BoundsFor(micros lease_max, micros resend_after) {
  lease_bounds bounds;
  bounds.longest = lease_max;
  bounds.lease = std::min(lease_max, micros{resend_after.value * 54 / 100});
  bounds.vouch = micros{resend_after.value * 31 / 100};
  return bounds;
}

link_timing TimingFor(const lease_bounds& bounds) {
  constexpr int64_t kIdleTimes = 8;  // a second
  link_timing timing;
  timing.heartbeat = micros{bounds.vouch.value / 3};
  timing.silence = bounds.vouch;
  timing.idle_heartbeat = micros{timing.heartbeat.value * kIdleTimes};
  timing.idle_silence = micros{timing.silence.value * kIdleTimes};
  return timing;
}

void Note(keeper_state& k, const char* what, std::string detail) {
  k.actions.push_back(keeper_note{what, std::move(detail)});
}

bool Vouched(const keeper_state& k, micros now, incarnation owner) {
  const auto it = k.owners.find(owner);
  return it != k.owners.end() && now <= it->second.vouched_until;
}

namespace {

// ---- [2] Calls to the worker ------------------------------------------------

bool IsLossy(const keeper_state& k, micros now) {
  return k.last_loss.value != 0 && now - k.last_loss < k.options.lossy_for;
}

micros LookWait(const keeper_state& k, micros now) {
  return IsLossy(k, now) ? k.options.lossy_look_wait : k.options.look_wait;
}

micros CallTimeout(const keeper_state& k, micros now) {
  return IsLossy(k, now) ? k.options.lossy_call_timeout
                         : k.options.call_timeout;
}

// At or before the worker's clock now: `clock_ms` was read before it arrived.
int64_t WorkerClock(const keeper_state& k, micros now) {
  return k.clock_ms + ToMillis(now - k.clock_at);
}

// Failure guarded against: a start lies in a buffer, here or in the network,
// while this process or the worker's machine is frozen, and is carried out
// seconds later, when its task runs elsewhere. The start names the moment, on
// the worker's clock, at which its lease ends; past that the worker refuses it.
int64_t GrantLease(keeper_state& k, micros now) {
  k.lease_over = std::max(k.lease_over, now + LapsedAfter(k.options.bounds));
  return WorkerClock(k, now) + ToMillis(k.options.bounds.lease);
}

void CallStop(keeper_state& k, micros now, const run_ref& ref) {
  k.actions.push_back(call_run_stop{k.worker.life, ref, k.fence,
                                    ToMillis(CallTimeout(k, now))});
}

}  // namespace

void CallStart(keeper_state& k, micros now, kept_run& run) {
  ++run.tries;
  run.called = now;
  run.call_open = true;
  k.actions.push_back(call_run_start{k.worker.life, run.start, k.fence,
                                     GrantLease(k, now),
                                     ToMillis(CallTimeout(k, now))});
}

namespace {

// What its owner doesn't vouch for any more is withdrawn (StopUnvouched).
bool MayStartStill(const keeper_state& k, micros now, const kept_run& run) {
  return run.state == run_state::waiting && TakesLeasedWork(k, now) &&
         now - run.since <= k.options.start_wait;
}

bool IsKeptForAnother(const keeper_state& k, micros now, incarnation owner) {
  return now < k.granted_until && owner != k.grantee;
}

bool FindsRoom(const keeper_state& k, micros now, const kept_run& run) {
  return !IsKeptForAnother(k, now, run.owner) &&
         Fits(run.start.need, FreeRoom(k) + k.waiting_room);
}

}  // namespace

void StartWaiting(keeper_state& k, micros now) {
  std::deque<leased_task> still;
  for (const leased_task& task : k.waiting) {
    const auto it = k.runs.find(task);
    if (it == k.runs.end() || !WaitsForRoom(it->second))
      continue;
    kept_run& run = it->second;
    if (!MayStartStill(k, now, run)) {
      ++k.starts_waited_in_vain;
      EndRun(k, now, leased_task(task), run_end_kind::never_started);
    } else if (!FindsRoom(k, now, run)) {
      still.push_back(task);
    } else {
      k.waiting_room = k.waiting_room - run.start.need;
      run.state = run_state::starting;
      run.since = now;
      CallStart(k, now, run);
    }
  }
  k.waiting.swap(still);
}

void AskToStop(keeper_state& k, micros now, kept_run& run) {
  if (run.state != run_state::stopping)
    run.stop_since = now;
  run.state = run_state::stopping;
  run.stop_done = false;
  run.called = now;
  run.call_open = true;
  CallStop(k, now, run.start.ref);
}

void StopRun(keeper_state& k, micros now, kept_run& run) {
  if (WaitsForRoom(run))
    run.state = run_state::withdrawn;
  else if (run.state != run_state::stopping)
    AskToStop(k, now, run);
}

namespace {

// Failure guarded against: the worker starts again under its id, and the first
// look that it answers acknowledges ends by the numbers of the life before;
// what it has done since is forgotten, and done again. A life ends with a look
// unanswered; until one is answered nothing is acknowledged.
uint64_t EndsToAcknowledge(const keeper_state& k) {
  return k.look_failed ? 0 : AckedEnds(k);
}

// Its owner counts it as over when no lease granted until its vouch ran out, or
// until the stop was ordered, can be left.
bool MustLapse(const keeper_state& k, micros now, const kept_run& run) {
  if (WaitsForRoom(run) || run.stop_done)
    return false;
  const bool overdue = run.state == run_state::stopping &&
                       now - run.stop_since > k.options.bounds.margin;
  return overdue || !Vouched(k, now, run.owner);
}

// Failure guarded against: a worker answers looks and leaves orders to stop
// unanswered. Each look would give what nobody vouches for a longer lease, and
// its task runs elsewhere by then. A lease is one for all that runs there.
bool SomeMustLapse(const keeper_state& k, micros now) {
  return !k.strays.empty() ||
         std::any_of(k.runs.begin(), k.runs.end(), [&](const auto& row) {
           return MustLapse(k, now, row.second);
         });
}

}  // namespace

void CallLook(keeper_state& k, micros now) {
  k.looks_open = ++k.looks_sent;
  k.look_called = now;
  call_look look;
  look.number = k.looks_open;
  look.life = k.worker.life;
  look.fence = k.fence;
  look.seen = EndsToAcknowledge(k);
  // What runs there unknown to this process gets no extension: it is stopped,
  // or lapses. Nor does a worker that doesn't answer. Failure guarded against:
  // one that is gone for good, whose runs would count as covered by a lease for
  // as long as it is asked.
  const bool answers = now - k.last_answer <= k.options.suspect_after;
  const bool extends = k.opened && k.has_clock && !k.runs.empty() && answers &&
                       k.lapsing_until.value == 0 && !MayBeOver(k) &&
                       !SomeMustLapse(k, now);
  look.lease_until_ms = extends ? GrantLease(k, now) : 0;
  const bool waits = k.opened && !k.successor;
  look.wait_ms = waits ? ToMillis(LookWait(k, now)) : 0;
  look.timeout_ms = look.wait_ms + ToMillis(CallTimeout(k, now));
  k.actions.emplace_back(std::move(look));
}

namespace {

// ---- [3] Answers ------------------------------------------------------------

void RaiseFence(keeper_state& k) {
  k.fence += k.fence_step;
  k.fence_step *= 2;
}

// A start that was refused leaves nothing behind, unless an earlier copy of it
// got no answer and may still be carried out: then a stop marks the run as
// over on the worker first.
void StartRefused(keeper_state& k,
                  micros now,
                  kept_run& run,
                  run_end_kind how) {
  if (run.tries > 1)
    StopRun(k, now, run);
  else
    EndRun(k, now, leased_task(run.start.ref.task), how);
}

void NoteLoss(keeper_state& k, micros now) {
  k.last_loss = now;
  ++k.calls_unanswered;
}

void RetryStart(keeper_state& k, micros now, kept_run& run) {
  if (run.tries < k.options.start_tries && k.lapsing_until.value == 0 &&
      !MayBeOver(k) && Vouched(k, now, run.owner))
    CallStart(k, now, run);
  else
    StopRun(k, now, run);
}

void TakeStartAnswer(keeper_state& k, micros now, const run_start_answered& e) {
  const auto it = k.runs.find(e.ref.task);
  if (it == k.runs.end() || it->second.start.ref != e.ref ||
      it->second.state != run_state::starting)
    return;
  kept_run& run = it->second;
  run.call_open = false;
  switch (e.answer) {
    case worker_answer::ok:
      run.state = run_state::running;
      run.confirmed = true;
      run.looks_at_change = k.looks_sent;
      return;
    case worker_answer::stale_fence:
      RaiseFence(k);
      RetryStart(k, now, run);
      return;
    case worker_answer::superseded:
      StartRefused(k, now, run, run_end_kind::superseded);
      return;
    case worker_answer::late:
    case worker_answer::no_room:
    case worker_answer::unavailable:
    case worker_answer::bad_request:
    case worker_answer::other_life:
      StartRefused(k, now, run, run_end_kind::never_started);
      return;
    case worker_answer::none:
      NoteLoss(k, now);
      RetryStart(k, now, run);
      return;
  }
}

void TakeStopAnswer(keeper_state& k, const run_stop_answered& e) {
  const bool answered = e.answer == worker_answer::ok;
  if (e.answer == worker_answer::stale_fence)
    RaiseFence(k);
  const auto it = k.runs.find(e.ref.task);
  if (it == k.runs.end() || it->second.start.ref != e.ref) {
    if (answered)
      k.strays.erase(e.ref);
    return;
  }
  kept_run& run = it->second;
  run.call_open = false;
  if (run.state != run_state::stopping || !answered || run.stop_done)
    return;
  run.stop_done = true;
  run.looks_at_change = k.looks_sent;
}

void TakeListedEnd(keeper_state& k, micros now, const listed_end& end) {
  const auto it = k.runs.find(end.ref.task);
  const bool known = it != k.runs.end() && it->second.start.ref == end.ref;
  if (end.number <= k.seen) {
    if (known)
      Note(k, "end passed over",
           ToText(end.ref) + ", number " + std::to_string(end.number) +
               ", newest known " + std::to_string(k.seen));
    return;
  }
  k.seen = end.number;
  if (!known) {
    if (k.options.keeps_ends)
      HoldEnd(k, now, incarnation{}, end, 0);
    return;
  }
  if (end.how == run_end_kind::done)
    AddProgress(k, now, it->second, 100);
  EndRun(k, now, leased_task(end.ref.task), end.how, end.number);
}

// `look`: the number of the look whose answer lists `running`. A run that was
// confirmed, or whose stop was answered, before that look was sent and is not
// listed is over: its end was listed and forgotten, or it never began.
void CompareRunning(keeper_state& k,
                    micros now,
                    uint64_t look,
                    const std::vector<listed_run>& running) {
  std::set<run_ref> listed;
  for (const listed_run& run : running)
    listed.insert(run.ref);
  std::vector<leased_task> over;
  for (const auto& [task, run] : k.runs) {
    const bool settled = run.state == run_state::running ||
                         (run.state == run_state::stopping && run.stop_done);
    if (settled && run.looks_at_change < look &&
        listed.count(run.start.ref) == 0)
      over.push_back(task);
  }
  for (const leased_task& task : over) {
    const kept_run& run = k.runs[task];
    const bool stopped = run.state == run_state::stopping && !run.life_over;
    EndRun(k, now, task, stopped ? run_end_kind::stopped : run_end_kind::lost);
  }
  for (const run_ref& ref : listed) {
    const auto it = k.runs.find(ref.task);
    const bool known = it != k.runs.end() && it->second.start.ref == ref;
    if (!known && k.strays.emplace(ref, now).second)
      CallStop(k, now, ref);
  }
  std::erase_if(k.strays,
                [&](const auto& row) { return listed.count(row.first) == 0; });
}

void TakeProgress(keeper_state& k,
                  micros now,
                  const std::vector<listed_run>& running) {
  for (const listed_run& listed : running) {
    const auto it = k.runs.find(listed.ref.task);
    if (it != k.runs.end() && it->second.start.ref == listed.ref &&
        it->second.state == run_state::running)
      AddProgress(k, now, it->second, listed.percent);
  }
}

void TakeLook(keeper_state& k, micros now, const look_answered& e) {
  if (e.answer == worker_answer::other_life) {
    LoseWorker(k, now, life_proof::answer,
               "another life answers at its address");
    return;
  }
  // Failure guarded against: a look that was given up is answered after a later
  // one was sent. What has begun between the two is not on its list, and would
  // pass for over.
  if (e.number != k.looks_open)
    return;
  k.looks_open = 0;
  if (e.answer == worker_answer::stale_fence) {
    RaiseFence(k);
    return;
  }
  if (e.answer == worker_answer::none)
    NoteLoss(k, now);
  k.look_failed = e.answer != worker_answer::ok;
  const bool asked = k.successor && e.number > k.asked_after;
  if (k.look_failed) {
    k.asked_in_vain = k.asked_in_vain || asked;
    return;
  }
  if (e.started_ms != 0 && e.started_ms != k.worker.life.started_ms) {
    BeginAgain(k, now, {k.worker.life.id, e.started_ms});
    return;
  }
  const bool was_suspect = !TakesLeasedWork(k, now);
  if (asked)
    PassOverSuccessor(k);
  k.last_answer = now;
  k.has_clock = true;
  k.clock_ms = e.clock_ms;
  k.clock_at = now;
  for (const listed_end& end : e.ended)
    TakeListedEnd(k, now, end);
  CompareRunning(k, now, e.number, e.running);
  TakeProgress(k, now, e.running);
  MeasurePace(k, now);
  FindStragglers(k, now);
  if (k.strays.empty())
    Open(k);
  if (was_suspect) {
    for (auto& [name, owner] : k.owners)
      owner.due = true;
  }
}

struct keeper_event_taker {
  keeper_state& k;
  micros now;

  bool IsCurrent(const worker_life& life) const {
    return k.has_worker && k.worker.life == life;
  }
  void operator()(const leased_worker_announced& e) { Announce(k, now, e); }
  void operator()(const leased_worker_left& e) { TakeGoodbye(k, now, e.life); }
  void operator()(const run_start_answered& e) {
    if (IsCurrent(e.life))
      TakeStartAnswer(k, now, e);
  }
  void operator()(const run_stop_answered& e) {
    if (IsCurrent(e.life))
      TakeStopAnswer(k, e);
  }
  void operator()(const look_answered& e) {
    if (IsCurrent(e.life))
      TakeLook(k, now, e);
  }
};

// ---- [4] Tick ---------------------------------------------------------------

// Failure guarded against: the worker is gone without a word, or out of reach.
// It shows as no answer at all. Once no lease granted to it can be left, what
// ran there has ended, whatever became of the worker.
void CheckLease(keeper_state& k, micros now) {
  const bool over = now > k.lease_over + k.options.bounds.margin &&
                    now - k.last_answer > k.options.suspect_after;
  if (!k.runs.empty() && over) {
    EndAll(k, now, run_end_kind::lost);
    // Should it start again, it does nothing that was ordered until now.
    ++k.fence;
  }
  if (k.has_worker && over && (k.left || (k.successor && k.asked_in_vain)))
    LoseWorker(k, now, life_proof::lease, "silent, and no lease is left");
  const micros leases_of_others =
      LapsedAfter(k.options.bounds) + k.options.bounds.lease;
  if (k.has_worker && !k.opened && now - k.life_since > leases_of_others)
    Open(k);
}

// Failure guarded against: an owner died, or was cut off, and its job may be
// started again by another entry. What nobody vouches for is stopped.
void StopUnvouched(keeper_state& k, micros now) {
  for (auto& [task, run] : k.runs) {
    if (run.state == run_state::stopping || Vouched(k, now, run.owner))
      continue;
    Note(k, "run stopped, its owner is silent",
         ToText(run.start.ref) + ", owner " + ToHex(run.owner.value));
    StopRun(k, now, run);
  }
}

void NoteTaking(keeper_state& k, micros now) {
  const bool taking = TakesLeasedWork(k, now);
  if (taking != k.was_taking)
    Note(k, taking ? "takes work" : "takes no work",
         "last answer of the worker " +
             std::to_string(ToMillis(now - k.last_answer)) + " ms ago");
  k.was_taking = taking;
}

void RetryStops(keeper_state& k, micros now) {
  for (auto& [task, run] : k.runs) {
    const bool due = run.state == run_state::stopping && !run.stop_done &&
                     !run.call_open &&
                     now - run.called >= k.options.call_timeout;
    if (!due)
      continue;
    run.called = now;
    run.call_open = true;
    CallStop(k, now, run.start.ref);
  }
  for (auto& [ref, called] : k.strays) {
    if (now - called < k.options.call_timeout)
      continue;
    called = now;
    CallStop(k, now, ref);
  }
}

void KeepLooking(keeper_state& k, micros now) {
  if (!k.has_worker || k.looks_open != 0)
    return;
  const bool failing = k.last_answer < k.look_called;
  if (failing && now - k.look_called < k.options.call_timeout)
    return;
  if (!k.held.empty() && now - k.look_called < k.options.look_gap)
    return;
  CallLook(k, now);
}

void ForgetIdleOwners(keeper_state& k, micros now) {
  constexpr micros kOwnerMemory = Millis(60'000);
  std::vector<incarnation> idle;
  for (const auto& [name, owner] : k.owners) {
    if (now - owner.vouched_until > kOwnerMemory)
      idle.push_back(name);
  }
  for (incarnation name : idle)
    ForgetOwner(k, name);
}

// The next owner that waits for room, in turn. Null: none does.
run_owner* NextGrantee(keeper_state& k, micros now) {
  auto it = k.owners.upper_bound(k.grantee);
  for (size_t i = 0; i < k.owners.size(); ++i) {
    if (it == k.owners.end())
      it = k.owners.begin();
    const int64_t wanted = it->second.wanted_cpu;
    if (wanted > 0 && wanted <= FreeRoom(k).cpu &&
        now >= it->second.offer_after && !(it->second.offered == FreeRoom(k))) {
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
void NoteMissedOffer(keeper_state& k, micros now) {
  if (!k.grant_open)
    return;
  k.grant_open = false;
  const auto it = k.owners.find(k.grantee);
  if (it == k.owners.end())
    return;
  run_owner& owner = it->second;
  owner.offer_pause =
      std::clamp(micros{owner.offer_pause.value * 2},
                 k.options.least_offer_pause, k.options.most_offer_pause);
  owner.offer_after = now + owner.offer_pause;
}

// Failure guarded against: room that gets free is seen by all entries that wait
// for some, all send a start, and all but one are refused, by thousands a
// second. One after the other is offered it.
void GrantRoom(keeper_state& k, micros now) {
  if (now < k.granted_until || FreeRoom(k).cpu <= 0 || !TakesLeasedWork(k, now))
    return;
  NoteMissedOffer(k, now);
  run_owner* next = NextGrantee(k, now);
  if (next == nullptr)
    return;
  k.granted_until = now + k.options.grant;
  k.grant_open = true;
  next->offered = FreeRoom(k);
  next->due = true;
}

}  // namespace

keeper_state MakeKeeper(keeper_options options) {
  keeper_state k;
  k.fence = options.first_fence;
  k.options = options;
  return k;
}

void TakeKeeperEvent(keeper_state& k, micros now, keeper_event event) {
  std::visit(keeper_event_taker{k, now}, event);
}

void TickKeeper(keeper_state& k, micros now) {
  CheckLease(k, now);
  CheckLapse(k, now);
  StopUnvouched(k, now);
  RetryStops(k, now);
  KeepLooking(k, now);
  StartWaiting(k, now);
  GrantRoom(k, now);
  ForgetIdleOwners(k, now);
  FadePace(k, now);
  NoteTaking(k, now);
}

bool TakesLeasedWork(const keeper_state& k, micros now) {
  return k.announced && k.opened && k.has_clock && !k.draining && !k.stopping &&
         !k.closed && k.lapsing_until.value == 0 && !MayBeOver(k) &&
         now - k.last_answer <= k.options.suspect_after;
}

void SetClosed(keeper_state& k, bool closed) {
  if (k.closed == closed)
    return;
  k.closed = closed;
  for (auto& [name, owner] : k.owners)
    owner.due = true;
}

bool HasRuns(const keeper_state& k, incarnation owner) {
  return std::any_of(k.runs.begin(), k.runs.end(), [&](const auto& row) {
    return row.second.owner == owner && row.second.state != run_state::stopping;
  });
}

bool HasNews(const keeper_state& k, incarnation owner) {
  // Less than a usual task takes of a worker is not worth a frame.
  constexpr int64_t kToldParts = 16;
  constexpr double kToldPace = 0.1;
  const auto it = k.owners.find(owner);
  if (it == k.owners.end())
    return false;
  const run_owner& o = it->second;
  if (o.ends_told < o.ends.size())
    return true;
  if (!o.follows)
    return false;
  const int64_t changed = std::abs(FreeRoom(k).cpu - o.told_free.cpu);
  return changed > k.worker.capacity.cpu / kToldParts ||
         std::abs(k.pace - o.told_pace) > kToldPace;
}

room FreeRoom(const keeper_state& k) {
  return k.worker.capacity - k.used;
}

room FreeFor(const keeper_state& k, micros now, incarnation owner) {
  return IsKeptForAnother(k, now, owner) ? room{} : FreeRoom(k);
}

// ---- [5] Reports ------------------------------------------------------------

lease_reports ReportFor(keeper_state& k, micros now, incarnation owner_name) {
  lease_reports report;
  report.stamp = now.value;
  run_owner& owner = k.owners[owner_name];
  report.starts_seen = owner.starts_seen;
  report.takes_work = TakesLeasedWork(k, now);
  report.free = FreeFor(k, now, owner_name);
  owner.told_free = FreeRoom(k);
  owner.told_pace = k.pace;
  if (!owner.worker_told && k.announced)
    report.worker = k.worker;
  owner.worker_told = k.announced;
  for (size_t i = owner.ends_told; i < owner.ends.size(); ++i)
    report.ends.push_back(owner.ends[i].end);
  owner.ends_told = owner.ends.size();
  report.settled_seen = owner.settled_seen;
  if (now - owner.unclaimed_told >= k.options.tell_unclaimed)
    report.unclaimed = UnclaimedEnds(k, now);
  if (!report.unclaimed.empty())
    owner.unclaimed_told = now;
  if (owner.heard_sent != 0)
    report.heard = {owner.heard_sent, owner.heard_at.value - owner.heard_sent,
                    (now - owner.heard_at).value};
  report.pace = static_cast<uint32_t>(std::max(0.0, k.pace) * 1000);
  report.stragglers.swap(owner.stragglers);
  owner.due = false;
  return report;
}

}  // namespace cassiaferry
