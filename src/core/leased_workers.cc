// Workers of leased runs, as known to an entry: streams, reports, pace and lost
// runs.
//
// Contents
//   [1] Resources and pace
//   [2] Failing workers
//   [3] Lost runs
//   [4] Streams
//   [5] Stragglers
//   [6] Frames

#include <algorithm>

#include "cassiaferry/leased_jobs.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// A worker below this share of the others' pace is slow: it gets at most two
// runs at a time, as probes that show a recovery.
constexpr double kSlowShare = 0.4;
constexpr size_t kSlowProbes = 2;
// Pause between runs on an unhealthy worker, doubled with each run that fails
// or is moved off it: a recovery should be found within a second, and few jobs
// affected until then.
constexpr micros kMinProbePause = Millis(100);
constexpr micros kMaxProbePause = Millis(800);
// A worker that counts as failing gets one run at a time. Failure guarded
// against: a worker that fails every run at once always has free resources, and
// would get and fail every task.
constexpr size_t kFailingProbes = 1;
// Times that one task is moved off slow workers.
constexpr uint32_t kMaxMoves = 2;
// A run is moved if the worker's pace is below the first share of the others'
// pace, scaled by the part of the work that is left, and another worker has
// capacity. Below the second share the worker has stalled: the run is stopped
// even if its task has to wait for another worker.
constexpr double kMoveBelowPaceShare = 0.7;
constexpr double kStalledPaceShare = 0.15;

}  // namespace

// ---- [1] Resources and pace -------------------------------------------------

lease_orders& OrdersFor(entry_state& s, worker_id id) {
  worker_row& w = s.workers[id.value];
  w.must_send = true;
  if (!w.outbox.orders)
    w.outbox.orders.emplace();
  return *w.outbox.orders;
}

resources AvailableResources(const leased_worker& w) {
  return w.free - w.in_flight_resources;
}

bool HasLabel(const leased_worker& w, std::string_view label) {
  return label.empty() || std::find(w.info.labels.begin(), w.info.labels.end(),
                                    label) != w.info.labels.end();
}

namespace {

// Median pace of the workers of an upstream. Compared with it, no worker looks
// slow when the estimates are off for all of them.
double UsualPace(const leased_state& l, const std::string& upstream) {
  std::vector<double> paces;
  for (const leased_worker& w : l.workers) {
    if (w.known && w.takes_work && w.info.upstream == upstream)
      paces.push_back(w.pace);
  }
  if (paces.empty())
    return 1;
  const auto middle = paces.begin() + static_cast<ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

}  // namespace

void MeasureUsualPace(leased_state& l) {
  l.usual_pace.clear();
  l.uneven_upstreams.clear();
  for (const leased_worker& w : l.workers) {
    if (w.known && l.usual_pace.count(w.info.upstream) == 0)
      l.usual_pace[w.info.upstream] = UsualPace(l, w.info.upstream);
  }
  for (const leased_worker& w : l.workers) {
    if (w.known && w.takes_work &&
        IsUnevenPace(w.pace, l.usual_pace[w.info.upstream]))
      l.uneven_upstreams.insert(w.info.upstream);
  }
}

// Logs when an upstream's workers become uneven or even. The paces of workers
// vary around the limit, so this is done once a second at most.
void LogUnevenWorkers(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(1000);
  leased_state& l = s.leased;
  if (!l.options.adapts_to_uneven_workers ||
      l.uneven_upstreams == l.logged_uneven ||
      now - l.uneven_logged_at < kEvery)
    return;
  l.uneven_logged_at = now;
  l.logged_uneven = l.uneven_upstreams;
  std::string upstreams;
  for (const std::string& upstream : l.uneven_upstreams)
    upstreams += (upstreams.empty() ? "" : " ") + upstream;
  s.actions.push_back(leased_decision{
      upstreams.empty() ? "workers even" : "workers uneven", "", upstreams});
}

namespace {

bool IsSlow(const entry_state& s, const leased_worker& w, double share) {
  const auto usual = s.leased.usual_pace.find(w.info.upstream);
  return usual != s.leased.usual_pace.end() && w.pace < share * usual->second;
}

}  // namespace

bool IsUnhealthy(const entry_state& s, const leased_worker& w) {
  return w.outcomes.is_failing || IsSlow(s, w, kSlowShare);
}

namespace {

// Maximum number of this entry's open runs on the worker.
size_t OpenLimit(const entry_state& s, const leased_worker& w) {
  if (!IsUnhealthy(s, w))
    return SIZE_MAX;
  if (s.leased.last_tick < w.probe_after)
    return 0;
  return w.outcomes.is_failing ? kFailingProbes : kSlowProbes;
}

bool LeavesSpareCapacity(const leased_worker& w, const resources& need) {
  const int64_t free = AvailableResources(w).cpu;
  const int64_t left = free - need.cpu;
  return static_cast<double>(left) >=
             kSpareShare * static_cast<double>(w.info.capacity.cpu) ||
         2 * free >= w.info.capacity.cpu;  // lets large tasks start too
}

}  // namespace

bool MayPlaceOn(const entry_state& s,
                worker_id id,
                const leased_job& job,
                const leased_step& step) {
  const leased_worker& w = s.leased.workers[id.value];
  return s.workers[id.value].state == worker_link::up && w.takes_work &&
         w.info.upstream == job.queue.upstream &&
         Fits(step.need, AvailableResources(w)) &&
         (!job.overdue || LeavesSpareCapacity(w, step.need)) &&
         HasLabel(w, step.label) && w.open_runs.size() < OpenLimit(s, w);
}

leased_worker& WorkerOf(entry_state& s, worker_id id) {
  if (s.leased.workers.size() <= id.value)
    s.leased.workers.resize(id.value + 1);
  return s.leased.workers[id.value];
}

// ---- [2] Failing workers ----------------------------------------------------

namespace {

// Failure guarded against: under overload all other workers are full, and each
// waiting task in turn goes to the one where runs stall or fail. With one of
// eleven workers stalled and 0.9 of the load, the pause serves 0.97 instead of
// 0.95 of the value (cassiaferry-emulate, sixteen seeds).
void RecordBadProbe(leased_worker& w, micros now) {
  w.probe_pause = std::clamp(micros{w.probe_pause.value * 2}, kMinProbePause,
                             kMaxProbePause);
  w.probe_after = now + w.probe_pause;
}

// Whether the bound on failing workers of an upstream leaves room for one more.
bool MayCountOneMore(const entry_state& s, const std::string& upstream) {
  size_t failing = 0;
  size_t workers = 0;
  for (const leased_worker& w : s.leased.workers) {
    if (!w.takes_work || w.info.upstream != upstream)
      continue;
    ++workers;
    failing += w.outcomes.is_failing ? 1 : 0;
  }
  return MayCountAsFailing(failing, workers);
}

// Failure guarded against: jobs that can never be done fail on sound workers,
// and these get one run at a time, whatever room they have.
void JudgeFailing(entry_state& s, worker_id id) {
  leased_worker& w = s.leased.workers[id.value];
  const bool was_failing = w.outcomes.is_failing;
  const bool looks_failing = LooksFailing(w.outcomes);
  if (was_failing == looks_failing ||
      (looks_failing && !MayCountOneMore(s, w.info.upstream)))
    return;
  w.outcomes.is_failing = looks_failing;
  s.actions.push_back(leased_decision{
      looks_failing ? "worker counts as failing" : "worker counts as sound", "",
      "worker " + s.workers[id.value].name + ", share of jobs that failed " +
          std::to_string(w.outcomes.failure_share) + ", of newest jobs " +
          std::to_string(w.outcomes.by_job.size())});
}

}  // namespace

void RecordHealth(entry_state& s,
                  micros now,
                  worker_id id,
                  const leased_job& job,
                  run_end_kind how) {
  leased_worker& w = s.leased.workers[id.value];
  const bool failed = how == run_end_kind::failed;
  bool tells_more = true;
  if (failed || how == run_end_kind::done) {
    tells_more = RecordOutcome(w.outcomes, now, job.seq, failed);
    JudgeFailing(s, id);
  }
  if (tells_more && IsUnhealthy(s, w))
    RecordBadProbe(w, now);
}

void ReviewFailingWorkers(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(100);
  if (now - s.leased.failing_reviewed_at < kEvery)
    return;
  s.leased.failing_reviewed_at = now;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    ForgetOldOutcomes(s.leased.workers[i].outcomes, now);
    JudgeFailing(s, worker_id{i});
  }
}

namespace {

// The sidecar may forget ends up to this number.
uint64_t LastResolvedEnd(const leased_worker& w) {
  return w.unresolved_ends.empty() ? w.received_end
                                   : *w.unresolved_ends.begin() - 1;
}

void HandleConfirmedStarts(leased_worker& w, uint64_t seen) {
  while (!w.in_flight.empty() && w.in_flight.front().sequence <= seen) {
    w.in_flight_resources = w.in_flight_resources - w.in_flight.front().need;
    w.in_flight.pop_front();
  }
}

// ---- [3] Lost runs ----------------------------------------------------------

void HandleConfirmedResolutions(leased_worker& w, uint64_t seen) {
  while (!w.open_resolutions.empty() &&
         w.open_resolutions.front().sequence <= seen) {
    w.unresolved_ends.erase(w.open_resolutions.front().end_number);
    w.open_resolutions.pop_front();
  }
}

// Failure guarded against: a sidecar is gone or out of reach, with runs of this
// entry. By the bounds of leases, the runs are over some time after its last
// report, so they are ended then.
void EndOrphanedRuns(entry_state& s, micros now, worker_id id) {
  leased_worker& w = s.leased.workers[id.value];
  std::vector<run_ref> expired;
  std::erase_if(w.orphaned, [&](const auto& batch) {
    if (batch.first > now)
      return false;
    expired.insert(expired.end(), batch.second.begin(), batch.second.end());
    return true;
  });
  for (const run_ref& ref : expired)
    HandleRunEnd(s, now, id, {0, ref, run_end_kind::lost, 0});
}

// Time at which this entry's runs on the worker are over. Until then its last
// renewal may keep them alive.
micros RunsOverAt(const entry_state& s, const leased_worker& w) {
  return std::max(w.report_received_at, w.owner_lease_renewed_at) +
         RunsOverAfter(s.leased.options.bounds);
}

void OrphanRuns(entry_state& s, leased_worker& w) {
  if (w.open_runs.empty())
    return;
  std::vector<run_ref> refs;
  for (const auto& [ref, seq] : w.open_runs)
    refs.push_back(ref);
  w.orphaned.emplace_back(RunsOverAt(s, w), std::move(refs));
}

}  // namespace

void EndLostRuns(entry_state& s, micros now) {
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    leased_worker& w = s.leased.workers[i];
    const bool down = s.workers[i].state == worker_link::down;
    if (down && w.orphaned.empty() && now > RunsOverAt(s, w))
      OrphanRuns(s, w);
    EndOrphanedRuns(s, now, worker_id{i});
  }
}

// ---- [4] Streams ------------------------------------------------------------

namespace {

// Failure guarded against: the order to stop a run is lost with the stream, and
// the run continues, because this entry still lists it as its own.
bool IsBeingStopped(entry_state& s, leased_seq seq, const run_ref& ref) {
  leased_job* job = FindLeasedJob(s.leased, seq);
  const leased_task_row* row =
      job == nullptr ? nullptr : FindTask(*job, ref.task);
  return row != nullptr && row->run == ref.run && row->moving;
}

}  // namespace

void StartLeaseStream(entry_state& s,
                      worker_id id,
                      bool same_incarnation,
                      entry_frame& frame) {
  leased_worker& w = WorkerOf(s, id);
  w.starts_sent = 0;
  w.in_flight.clear();
  w.in_flight_resources = {};
  w.frames = {};
  w.takes_work = false;
  if (!same_incarnation) {
    OrphanRuns(s, w);
    w.received_end = 0;
    w.unresolved_ends.clear();
    w.open_resolutions.clear();
    w.offset = {};
    ++w.sidecar_incarnation;
  }
  w.resolutions_sent = 0;
  lease_orders first;
  first.is_first = true;
  first.acked_end = LastResolvedEnd(w);
  w.acked_end_sent = LastResolvedEnd(w);
  w.wanted_cpu_sent = false;
  w.follows_sent = false;
  first.last_received_end = w.received_end;
  for (open_resolution& open : w.open_resolutions) {
    open.sequence = ++w.resolutions_sent;
    first.resolved_ends.push_back(open.what);
  }
  // Runs ordered from an earlier sidecar incarnation are unknown to this one.
  std::set<run_ref> earlier;
  for (const auto& [over_at, refs] : w.orphaned)
    earlier.insert(refs.begin(), refs.end());
  for (const auto& [ref, seq] : w.open_runs) {
    if (earlier.count(ref) != 0)
      continue;
    first.known.push_back(ref);
    if (IsBeingStopped(s, seq, ref))
      first.stops.push_back(ref);
  }
  frame.orders = std::move(first);
}

bool LeasesActive(const entry_state& s, worker_id id) {
  if (s.leased.workers.size() <= id.value)
    return false;
  const leased_worker& w = s.leased.workers[id.value];
  const bool waits = s.leased.wanted_cpu != 0;
  return !w.open_runs.empty() || !w.open_resolutions.empty() ||
         !w.unresolved_ends.empty() || w.acked_end_sent != LastResolvedEnd(w) ||
         (w.wanted_cpu_sent && !waits) || w.follows_sent != w.follows;
}

bool StartsUnconfirmed(const entry_state& s, micros now, worker_id id) {
  if (s.leased.workers.size() <= id.value)
    return false;
  const leased_worker& w = s.leased.workers[id.value];
  return !w.in_flight.empty() &&
         now - w.in_flight.front().sent > s.options.timing.silence_timeout;
}

void SuspendPlacement(entry_state& s, worker_id id) {
  leased_worker& w = WorkerOf(s, id);
  w.takes_work = false;
}

// ---- [5] Stragglers ---------------------------------------------------------

namespace {

bool AnotherWorkerHasCapacity(const entry_state& s,
                              worker_id excluded,
                              const leased_job& job,
                              const leased_step& step) {
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (worker_id{i} != excluded && MayPlaceOn(s, worker_id{i}, job, step))
      return true;
  }
  return false;
}

double CpuOf(const leased_job& job, const leased_task_row& row) {
  return static_cast<double>(job.steps[row.task.step].need.cpu);
}

// Counts why a move was declined. Returns whether to move.
bool CountDecision(move_counters& c, move_decision decision) {
  c.no_gain += decision == move_decision::no_gain ? 1 : 0;
  c.no_budget += decision == move_decision::no_budget ? 1 : 0;
  return decision == move_decision::move;
}

// Whether to stop the run now. A stalled worker's run is stopped in any case.
bool DecideMove(entry_state& s,
                micros now,
                worker_id id,
                const leased_job& job,
                const leased_task_row& row,
                const straggler& slow) {
  leased_state& l = s.leased;
  const leased_worker& w = l.workers[id.value];
  const leased_step& step = job.steps[row.task.step];
  const double left = (100.0 - slow.percent) / 100;
  if (IsSlow(s, w, left * kStalledPaceShare))
    return true;
  if (!IsSlow(s, w, left * kMoveBelowPaceShare))
    return false;
  if (!AnotherWorkerHasCapacity(s, id, job, step)) {
    ++l.moves.no_capacity;
    return false;
  }
  if (!l.options.adapts_to_uneven_workers)
    return true;
  const double expected_ms =
      static_cast<double>(step.expected_ms) * l.estimates[job.queue.name].ratio;
  return CountDecision(
      l.moves,
      DecideMove({w.pace, l.usual_pace[w.info.upstream], expected_ms, left},
                 l.budget_of_moves, now));
}

// Stops a run on a slow worker if the task would be done sooner elsewhere. The
// task waits again only once the end of the run is reported, so two runs never
// overlap. On a worker as fast as others a long run is just a long task and is
// not moved.
void MoveStraggler(entry_state& s,
                   micros now,
                   worker_id id,
                   const straggler& slow) {
  const leased_worker& w = s.leased.workers[id.value];
  const auto open = w.open_runs.find(slow.ref);
  if (open == w.open_runs.end())
    return;
  leased_job* job = FindLeasedJob(s.leased, open->second);
  leased_task_row* row =
      job == nullptr ? nullptr : FindTask(*job, slow.ref.task);
  if (row == nullptr || row->moving || row->moves >= kMaxMoves)
    return;
  if (!DecideMove(s, now, id, *job, *row, slow))
    return;
  row->moving = true;
  ++row->moves;
  ++s.leased.moves.moves;
  RecordDiscarded(s.leased.budget_of_moves, CpuOf(*job, *row) * slow.run_ms,
                  now);
  RecordBadProbe(s.leased.workers[id.value], now);
  OrdersFor(s, id).stops.push_back(slow.ref);
  LogJob(s, "run stopped to move it", *job,
         "ran_ms " + std::to_string(slow.run_ms) + ", percent " +
             std::to_string(slow.percent) + ", worker " +
             s.workers[id.value].name + ", pace " +
             std::to_string(s.leased.workers[id.value].pace));
}

}  // namespace

// ---- [6] Frames -------------------------------------------------------------

void HandleReports(entry_state& s,
                   micros now,
                   worker_id id,
                   const lease_reports& reports) {
  leased_worker& w = WorkerOf(s, id);
  w.report_stamp = reports.stamp;
  w.report_received_at = now;
  RecordFrameDelay(s.leased.late,
                   DelayAboveMin(w.offset, now, now.value - reports.stamp));
  w.takes_work = reports.accepts_work && !s.workers[id.value].closed &&
                 !s.workers[id.value].is_released;
  w.free = reports.free;
  w.pace = reports.pace / 1000.0;
  if (!IsUnhealthy(s, w))
    w.probe_pause = {};
  if (reports.worker) {
    if (w.info.session != reports.worker->session) {
      w.outcomes = {};
      w.max_capacity = {};
    }
    w.info = *reports.worker;
    w.max_capacity = ElementwiseMax(w.max_capacity, w.info.capacity);
    w.known = true;
  }
  if (reports.last_received.sent != 0)
    RecordArrived(s.leased.link, w.frames, now,
                  {micros{reports.last_received.sent},
                   reports.last_received.transit, reports.last_received.held});
  if (s.leased.options.shares_across_entries)
    RecordSums(s.leased.demand, now, reports);
  HandleConfirmedStarts(w, reports.starts_seen);
  HandleConfirmedResolutions(w, reports.resolved_seen);
  LogRefusedStarts(s, id, reports.ends);
  for (const run_end& end : reports.ends)
    HandleRunEnd(s, now, id, end);
  HandleUnclaimedEnds(s, now, id, reports);
  for (const straggler& slow : reports.stragglers)
    MoveStraggler(s, now, id, slow);
}

namespace {

// Returns a time on the sidecar's clock that is not later than the sending of
// this frame: normally the newest stamp from the sidecar. After an idle period
// that stamp is old, and the sidecar would refuse a start because of it. So for
// a start the time since the stamp was received is added, less the possible
// difference of clock rates. This renews the owner lease as of now, so the run
// also counts as over later (RunsOverAt).
int64_t EchoFor(leased_worker& w, micros now, micros heartbeat, bool starts) {
  constexpr double kMinClockRate = 0.98;
  const micros age = now - w.report_received_at;
  if (!starts || age <= heartbeat)
    return w.report_stamp;
  w.owner_lease_renewed_at = now;
  return w.report_stamp +
         static_cast<int64_t>(static_cast<double>(age.value) * kMinClockRate);
}

}  // namespace

void AttachOrders(entry_state& s,
                  micros now,
                  worker_id id,
                  entry_frame& frame) {
  leased_worker& w = WorkerOf(s, id);
  if (!frame.orders)
    frame.orders.emplace();
  frame.orders->echo = EchoFor(w, now, s.options.timing.heartbeat,
                               !frame.orders->starts.empty());
  frame.orders->acked_end = LastResolvedEnd(w);
  frame.orders->wanted_cpu = s.leased.wanted_cpu;
  w.acked_end_sent = LastResolvedEnd(w);
  w.wanted_cpu_sent = s.leased.wanted_cpu != 0;
  frame.orders->follows_resources = w.follows;
  w.follows_sent = w.follows;
  if (s.leased.options.shares_across_entries &&
      SendsDemand(s.leased.demand, now))
    frame.orders->demand = s.leased.demand.own;
  frame.orders->sent = now.value;
  RecordSent(s.leased.link, w.frames, now, FrameBytes(frame));
}

}  // namespace cassiaferry
