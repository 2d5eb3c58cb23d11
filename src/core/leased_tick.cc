// The tick of leased jobs, with refusals for lack of capacity, shutdown and
// pauses.
//
// Contents
//   [1] Refusals
//   [2] Shutdown and pauses
//   [3] Tick

#include <algorithm>
#include <optional>
#include <random>
#include <string>

#include "cassiaferry/leased_jobs.h"
#include "entry_systems.h"
#include "leased_admission.h"
#include "leased_capacity.h"
#include "leased_order.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// ---- [1] Refusals -----------------------------------------------------------

// Failure guarded against: after an outage workers return one by one, and
// measured by the first few, no job could be served in time. While the capacity
// of workers grows, and for this long after, no job is refused because of the
// rate at which work is done.
constexpr micros kGrowthStabilisationDelay = Millis(1000);
constexpr int64_t kUnknownRate = int64_t{1} << 50;

void RecordCapacityGrowth(entry_state& s, micros now) {
  int64_t cpu = 0;
  for (const leased_worker& w : s.leased.workers)
    cpu += w.takes_work ? w.info.capacity.cpu : 0;
  if (cpu > s.leased.accepting_cpu)
    s.leased.capacity_grown_at = now;
  s.leased.accepting_cpu = cpu;
}

int64_t FreeCpu(const entry_state& s) {
  int64_t free = 0;
  for (const leased_worker& w : s.leased.workers) {
    if (w.takes_work)
      free += std::max<int64_t>(0, AvailableResources(w).cpu);
  }
  return free;
}

// `drain_ms`: time until the work waiting here is done.
int64_t RetryAfterMs(entry_state& s, double drain_ms) {
  // Sooner, the same burst is still going on.
  constexpr double kMinMs = 300;
  constexpr double kMaxMs = 10'000;  // callers give up if told to wait longer
  const double spread =
      std::uniform_real_distribution<double>(1, 1.5)(s.random);
  return static_cast<int64_t>(std::clamp(drain_ms, kMinMs, kMaxMs) * spread);
}

}  // namespace

int64_t RetryAfterMs(entry_state& s) {
  return RetryAfterMs(s, DrainMs(s.leased, FreeCpu(s)));
}

// Failure guarded against: an entry that is short of processor time accepts
// every job, ends of runs and heartbeats wait in its sockets, runs expire and
// are sent again, and nearly all its answers are late. A job that it can't
// finish in time is refused at once, which costs less than half of serving it.
// A job with enough time to wait for this process is accepted.
bool RefusesNewWork(entry_state& s, const leased_job& job) {
  const double share = s.leased.late.refuse_share;
  if (share <= 0)
    return false;
  const micros spare =
      job.late_after - job.arrival - DurationWithMargin(s.leased, job);
  return IsTooLateFor(s.leased.late, spare) &&
         std::bernoulli_distribution(share)(s.random);
}

std::string LatenessText(const lateness& l) {
  return "entry late by ms " +
         std::to_string(static_cast<int64_t>(l.mean_us / 1000)) +
         ", longest event wait ms " +
         std::to_string(ToMillis(l.last_loop_wait)) +
         ", requests read late by ms " +
         std::to_string(ToMillis(l.last_read_delay)) +
         ", longest request wait ms " +
         std::to_string(ToMillis(l.last_request_wait));
}

namespace {

// Free resources by which one tick's refusals are explained in the log. They
// are computed once per tick: computing them for each refused job takes an
// entry with a tenth of a core 40 ms for 25 jobs.
struct free_resources_summary {
  int64_t max_free_cpu = 0;  // on a single worker, thousandths of a core
  // Workers that take work and are not avoided now.
  uint32_t usable_workers = 0;
  // By which the time until a job starts is predicted, in thousandths of a
  // core.
  double work_rate = 0;
};

free_resources_summary SummarizeFreeResources(const entry_state& s,
                                              int64_t free_cpu) {
  free_resources_summary free_resources;
  free_resources.work_rate = WorkRate(s.leased, free_cpu);
  for (const leased_worker& w : s.leased.workers) {
    if (!w.takes_work)
      continue;
    free_resources.max_free_cpu =
        std::max(free_resources.max_free_cpu, AvailableResources(w).cpu);
    free_resources.usable_workers +=
        w.avoid_until <= s.leased.last_tick ? 1 : 0;
  }
  return free_resources;
}

std::string FreeResourcesText(const entry_state& s,
                              const free_resources_summary& free_resources,
                              const leased_job& job) {
  return "waiting " + std::to_string(s.leased.waiting.size()) +
         ", least cpu needed " + std::to_string(job.min_cpu) +
         ", most free on a worker " +
         std::to_string(free_resources.max_free_cpu) +
         ", workers not avoided " +
         std::to_string(free_resources.usable_workers) + ", work rate " +
         std::to_string(static_cast<int64_t>(free_resources.work_rate)) +
         ", work arriving " +
         std::to_string(static_cast<int64_t>(s.leased.work_arriving)) + ", " +
         LatenessText(s.leased.late);
}

// Refuses jobs that have not run and can't be served in time any more. Their
// callers learn at once that nothing ran and when to retry. Because the work
// ahead of a job counts, most such refusals come long before its time is over.
void RefuseUnservable(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(10);  // ranking takes 0.1 ms for 200 jobs
  if (s.leased.waiting.empty() || now - s.leased.last_refusal < kEvery)
    return;
  s.leased.last_refusal = now;
  if (!s.closed_domains.known.domains.empty())
    RefuseJobsInClosedDomains(s, now);
  const std::vector<leased_seq> order = ServeOrder(s.leased, now);
  const bool capacity_stable =
      now - s.leased.capacity_grown_at > kGrowthStabilisationDelay;
  // With an unknown rate, only jobs that no capacity could save are refused.
  const int64_t free =
      capacity_stable ? FreeCpu(s) - CpuInUseInClosedDomains(s) : kUnknownRate;
  const std::vector<leased_seq> unservable =
      UnservableJobs(s.leased, order, free, now);
  if (unservable.empty())
    return;
  const free_resources_summary free_resources = SummarizeFreeResources(s, free);
  const double drain_ms = DrainMs(s.leased, FreeCpu(s));
  for (leased_seq seq : unservable) {
    leased_job& job = s.leased.jobs[seq];
    Conclude(s, now, job, leased_outcome::refused,
             {verdict::not_run, reason::deadline_unreachable,
              "no room in time, " + FreeResourcesText(s, free_resources, job),
              RetryAfterMs(s, drain_ms)});
  }
}

void CheckLeasedDeadlines(entry_state& s, micros now) {
  while (!s.leased.deadlines.empty() &&
         s.leased.deadlines.begin()->first <= now) {
    leased_job& job = s.leased.jobs[s.leased.deadlines.begin()->second];
    if (job.durable.stage != durable_stage::none) {
      HandleDurableDeadline(s, now, job);
      continue;
    }
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::deadline, "the caller's deadline passed",
              job.started ? 0 : RetryAfterMs(s)});
  }
}

// ---- [2] Shutdown and pauses ------------------------------------------------

// Full workers report freed resources only to entries that wait for some. This
// entry requests such reports at once from the workers that it follows or uses,
// and later from all others if that has not helped.
void RequestCapacityReports(entry_state& s, micros now) {
  // A third of the time that callers of short tasks allow.
  constexpr micros kRequestFromAllAfter = Millis(20);
  leased_state& l = s.leased;
  int64_t wanted = 0;
  for (leased_seq seq : l.waiting) {
    const int64_t min_cpu = l.jobs.at(seq).min_cpu;
    wanted = wanted == 0 ? min_cpu : std::min(wanted, min_cpu);
  }
  const bool began = wanted > 0 && l.wanted_cpu == 0;
  if (began)
    l.wanted_since = now;
  if (wanted == 0 || began)
    l.requested_from_all = false;
  l.wanted_cpu = wanted;
  if (wanted == 0 || l.requested_from_all)
    return;
  const bool all = now - l.wanted_since > kRequestFromAllAfter;
  if (!began && !all)
    return;
  l.requested_from_all = all;
  for (uint32_t i = 0; i < l.workers.size(); ++i) {
    const leased_worker& w = l.workers[i];
    const bool request =
        all ? !w.wanted_cpu_sent : w.follows || !w.open_runs.empty();
    worker_row& row = s.workers[i];
    row.must_send = row.must_send || (request && row.state == worker_link::up);
  }
}

void UpdateOwnDemand(leased_state& l, micros now) {
  if (l.wanted_cpu != 0)
    l.demand.last_waited = now;
  if (!SendsDemand(l.demand, now))
    return;
  cpu_by_queue waiting;
  for (leased_seq seq : l.waiting) {
    const leased_job& job = l.jobs.at(seq);
    waiting[job.queue.name] += WaitingCpu(job);
  }
  l.demand.own = MakeDemand(l.cpu_in_use, waiting);
}

void LogShares(entry_state& s, micros now) {
  system_demand& d = s.leased.demand;
  const bool in_use = HasCurrentSums(d, now);
  if (in_use == d.logged_in_use)
    return;
  d.logged_in_use = in_use;
  s.actions.push_back(
      leased_decision{in_use ? "shares of all entries" : "own shares", "",
                      "entries " + std::to_string(d.entries)});
}

// Keeps this entry's demand current for the frames of this tick.
void TickSystemDemand(entry_state& s, micros now) {
  if (!s.leased.options.shares_across_entries)
    return;
  UpdateOwnDemand(s.leased, now);
  LogShares(s, now);
}

// Bounds the time of a shutdown: jobs that are still open at its end are
// stopped, and their callers are answered before the process exits.
void CloseJobs(entry_state& s, micros now) {
  const leased_options& o = s.leased.options;
  if (!s.draining || now - s.drain_since < o.drain_accept + o.drain_close)
    return;
  std::vector<leased_seq> open;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (job.durable.stage == durable_stage::none)
      open.push_back(seq);
  }
  for (leased_seq seq : open) {
    leased_job& job = s.leased.jobs.at(seq);
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::draining, "this entry stops", 1000});
  }
}

// Logs when the link's bound appears, disappears or changes by half or more.
void LogLinkRate(entry_state& s) {
  constexpr double kLogFactor = 1.5;
  const double rate = s.leased.link.rate;
  const double logged = s.leased.logged_link_rate;
  const bool same_kind = (rate > 0) == (logged > 0);
  if (same_kind && rate <= kLogFactor * logged && logged <= kLogFactor * rate)
    return;
  s.leased.logged_link_rate = rate;
  s.actions.push_back(leased_decision{
      rate > 0 ? "link bounded" : "link has no bound", "",
      "bytes_per_s " + std::to_string(static_cast<int64_t>(rate)) +
          ", delay_ms " + std::to_string(ToMillis(s.leased.link.delay))});
}

void LogLateness(entry_state& s, micros now) {
  const std::optional<bool> changed = TickLateness(s.leased.late, now);
  if (!changed)
    return;
  s.actions.push_back(
      leased_decision{*changed ? "entry late" : "entry in time again", "",
                      LatenessText(s.leased.late) + ", jobs open " +
                          std::to_string(s.leased.jobs.size())});
}

// Requests may lie unread while all frames are handled in time.
void LogRequestWaits(entry_state& s, micros now) {
  constexpr micros kLoggedFrom = Millis(100);
  constexpr micros kEvery = Millis(1000);
  leased_state& l = s.leased;
  if (std::max(l.late.last_request_wait, l.late.last_read_delay) <
          kLoggedFrom ||
      now - l.request_waits_logged_at < kEvery)
    return;
  l.request_waits_logged_at = now;
  s.actions.push_back(
      leased_decision{"requests lay unread", "", LatenessText(l.late)});
}

// Failure guarded against: this process was frozen, and wakes with jobs whose
// callers have meanwhile gone to other entries. Nothing starts until the data
// in its sockets, such as the ends of those connections, has been read.
void DetectPause(leased_state& s, micros now) {
  if (s.last_tick.value != 0 && now - s.last_tick > s.options.pause_threshold) {
    ForgetInterval(s.link, now);
    RestartInterval(s.late, now);
    s.recovery_until = now + s.options.recovery_delay;
  }
  s.last_tick = now;
}

}  // namespace

// ---- [3] Tick ---------------------------------------------------------------

void TickLeasedJobs(entry_state& s, micros now) {
  if (!s.leased.options.enabled)
    return;
  DetectPause(s.leased, now);
  TickUplink(s.leased.link, now,
             std::max(s.leased.late.loop_wait, s.leased.late.last_loop_wait));
  LogLinkRate(s);
  LogLateness(s, now);
  LogRequestWaits(s, now);
  LogUnevenWorkers(s, now);
  LogJobsWithoutWorker(s, now);
  EndLostRuns(s, now);
  ReviewFailingWorkers(s, now);
  RecordCapacityGrowth(s, now);
  MeasureArrivals(s.leased, now);
  CheckLeasedDeadlines(s, now);
  CloseJobs(s, now);
  FollowWorkers(s, now);
  PlaceWaiting(s, now);
  PlaceOverdue(s, now);
  RefuseUnservable(s, now);
  RequestCapacityReports(s, now);
  TickSystemDemand(s, now);
  TickDurableJobs(s, now);
}

}  // namespace cassiaferry
