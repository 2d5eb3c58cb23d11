// Chooses the worker for a task of a leased job.
//
// Contents
//   [1] Cost
//   [2] Workers that may take a task
//   [3] Choice

#include <algorithm>
#include <functional>

#include "cassiaferry/leased_jobs.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// Number of workers compared for a task. With more, all entries would choose
// the same one.
constexpr size_t kChoices = 6;

// ---- [1] Cost ---------------------------------------------------------------

// Resources wanted on one worker: for at least one, at best for all of a number
// of equal tasks.
struct resource_request {
  resources need;  // per task
  uint32_t tasks = 1;
};

uint32_t TasksThatFit(const leased_worker& w, const resource_request& wanted) {
  const int64_t by_cpu =
      AvailableResources(w).cpu / std::max<int64_t>(1, wanted.need.cpu);
  return static_cast<uint32_t>(std::clamp<int64_t>(by_cpu, 1, wanted.tasks));
}

// Cost of placing tasks on a worker; lower is better.
// - Free resources: preferring them spreads the load.
// - Capacity for all of a step's tasks: fewer copies of the payload are sent.
// - Health: a slow or failing worker is used when others are full.
// - Distance: traffic between failure domains is expensive and slower, so a
//   worker in another domain is used when near ones are full.
// - Age of the report: workers that this entry uses report each end, others
//   only with their heartbeats, and by then another entry may have taken the
//   free resources. With twelve entries at 0.8 of the load, the age term lowers
//   the refused starts from 45 to 20 of 100 (cassiaferry-emulate).
double Cost(const leased_worker& w,
            const resource_request& wanted,
            bool is_far,
            double pace_cost,
            micros now) {
  constexpr double kFailingWeight = 4;
  constexpr double kPartWeight = 1;
  constexpr double kAgeWeight = 1;
  constexpr micros kStaleReportAge = Millis(130);  // about one heartbeat
  constexpr double kFarWeight = 1;
  const resources left = AvailableResources(w) - wanted.need;
  const double used =
      1 - static_cast<double>(left.cpu) /
              static_cast<double>(std::max<int64_t>(1, w.info.capacity.cpu));
  const double missing =
      1 - static_cast<double>(TasksThatFit(w, wanted)) / wanted.tasks;
  const double age =
      std::min(1.0, static_cast<double>((now - w.report_received_at).value) /
                        kStaleReportAge.value);
  const double health_cost =
      pace_cost + w.outcomes.failure_share * kFailingWeight;
  // A recovery shows only if the worker gets a run.
  const bool probe_due =
      w.probe_pause.value != 0 && w.open_runs.empty() && now >= w.probe_after;
  return used + (probe_due ? 0 : age * kAgeWeight + health_cost) +
         missing * kPartWeight + (is_far ? kFarWeight : 0);
}

// Declared time of the longest chain of steps after the given one.
int64_t DeclaredAfterMs(const leased_job& job, uint32_t step) {
  std::vector<int64_t> before(job.steps.size(), -1);
  before[step] = 0;
  int64_t longest = 0;
  for (size_t i = step + 1; i < job.steps.size(); ++i) {
    for (uint32_t earlier : job.steps[i].after)
      before[i] = std::max(before[i], before[earlier]);
    if (before[i] < 0)
      continue;
    before[i] += job.steps[i].expected_ms;
    longest = std::max(longest, before[i]);
  }
  return longest;
}

pace_request PaceRequest(entry_state& s,
                         micros now,
                         const leased_job& job,
                         uint32_t step) {
  leased_state& l = s.leased;
  pace_request request;
  request.usual_pace = l.usual_pace[job.queue.upstream];
  request.by_time_left = l.options.adapts_to_uneven_workers &&
                         l.uneven_upstreams.count(job.queue.upstream) != 0;
  if (!request.by_time_left)
    return request;
  const double ratio = l.estimates[job.queue.name].ratio;
  request.expected_ms =
      static_cast<double>(job.steps[step].expected_ms) * ratio;
  const double later_ms = static_cast<double>(DeclaredAfterMs(job, step)) *
                          ratio / std::max(kMinPace, request.usual_pace);
  request.left_ms =
      static_cast<double>((job.late_after - now).value) / 1000 - later_ms;
  return request;
}

// Drops the workers that a condition holds for, unless it holds for all.
template <typename Condition>
void DropUnlessAll(std::vector<worker_id>& fitting, const Condition& drops) {
  if (!std::all_of(fitting.begin(), fitting.end(), drops))
    std::erase_if(fitting, drops);
}

// Keeps only workers on which no run of the job has failed, if any fit.
// Failure guarded against: a worker that fails all has free capacity, gets a
// failed task again and again, and its job fails without a fault of its own.
void KeepUntried(const leased_job& job, std::vector<worker_id>& fitting) {
  DropUnlessAll(fitting,
                [&](worker_id id) { return job.failed_on.count(id) != 0; });
}

// Keeps only workers with the step's preferred label, if any fit. A task takes
// longer away from its data, but may still be done sooner there than after a
// wait, so other workers are used when the preferred ones are full.
void KeepPreferred(const entry_state& s,
                   const leased_step& step,
                   std::vector<worker_id>& fitting) {
  DropUnlessAll(fitting, [&](worker_id id) {
    return !HasLabel(s.leased.workers[id.value], step.preferred_label);
  });
}

// ---- [2] Workers that may take a task ---------------------------------------

uint32_t TasksOfStepOn(const leased_job& job, uint32_t step, worker_id id) {
  return static_cast<uint32_t>(std::count_if(
      job.tasks.begin(), job.tasks.end(), [&](const leased_task_row& row) {
        return row.state == leased_task_state::placed &&
               row.task.step == step && row.worker == id;
      }));
}

}  // namespace

namespace {

bool HasCapacityFor(const entry_state& s,
                    worker_id id,
                    const leased_job& job,
                    uint32_t step) {
  return MayPlaceOn(s, id, job, job.steps[step]) &&
         s.leased.workers[id.value].avoid_until <= s.leased.last_tick;
}

}  // namespace

bool HasCapacityFor(const entry_state& s,
                    const leased_job& job,
                    uint32_t step) {
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (HasCapacityFor(s, worker_id{i}, job, step))
      return true;
  }
  return false;
}

bool MayPlaceOneMore(const entry_state& s,
                     worker_id id,
                     const leased_job& job,
                     uint32_t step) {
  const uint32_t limit = job.steps[step].max_per_worker;
  return HasCapacityFor(s, id, job, step) &&
         (limit == 0 || TasksOfStepOn(job, step, id) < limit);
}

// ---- [3] Choice -------------------------------------------------------------

namespace {

// Whether the worker is in another failure domain than this entry. An unknown
// domain counts as near.
bool IsFar(const entry_state& s, worker_id id) {
  const std::string& domain = s.workers[id.value].failure_domain;
  return !domain.empty() && domain != s.options.failure_domain;
}

// Draws up to `kChoices` workers at random, those in this entry's own failure
// domain first.
std::vector<worker_id> DrawChoices(entry_state& s,
                                   std::vector<worker_id> fitting) {
  const auto far = std::partition(fitting.begin(), fitting.end(),
                                  [&](worker_id id) { return !IsFar(s, id); });
  auto near_left = static_cast<size_t>(far - fitting.begin());
  std::vector<worker_id> choices;
  while (choices.size() < kChoices && !fitting.empty()) {
    const size_t among = near_left > 0 ? near_left : fitting.size();
    const size_t pick = s.random() % among;
    choices.push_back(fitting[pick]);
    fitting.erase(fitting.begin() + static_cast<ptrdiff_t>(pick));
    near_left -= near_left > 0 ? 1 : 0;
  }
  return choices;
}

}  // namespace

// Selects the workers that report each change of their free resources to this
// entry at once; others report once a second. Workers in its own failure domain
// come first, then the order is by rendezvous hashing: entries follow different
// workers, and a worker that joins or leaves changes little. Workers that run
// tasks for this entry report changes in any case. With 61 workers and ten
// entries at 0.8 of the load, an entry receives 170 instead of 380 such frames
// a second.
void FollowWorkers(entry_state& s, micros now) {
  constexpr size_t kFollowed = 16;  // as many as an entry's jobs need at once
  constexpr micros kEvery = Millis(500);
  if (now - s.leased.last_follow < kEvery)
    return;
  s.leased.last_follow = now;
  struct ranked_worker {
    bool far = false;
    size_t hash = 0;
    uint32_t index = 0;
  };
  std::vector<ranked_worker> ranked;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    s.leased.workers[i].follows = false;
    if (s.workers[i].state == worker_link::up && s.leased.workers[i].takes_work)
      ranked.push_back(
          {IsFar(s, worker_id{i}),
           std::hash<std::string>()(s.options.name + "/" + s.workers[i].name),
           i});
  }
  const size_t count = std::min(kFollowed, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count),
      ranked.end(), [](const auto& a, const auto& b) {
        return std::pair(a.far, a.hash) < std::pair(b.far, b.hash);
      });
  for (size_t i = 0; i < count; ++i)
    s.leased.workers[ranked[i].index].follows = true;
}

std::optional<worker_id> ChooseWorker(entry_state& s,
                                      micros now,
                                      const leased_job& job,
                                      uint32_t step,
                                      uint32_t tasks) {
  const leased_step& needs = job.steps[step];
  std::vector<worker_id> fitting;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (MayPlaceOneMore(s, worker_id{i}, job, step))
      fitting.push_back(worker_id{i});
  }
  KeepUntried(job, fitting);
  KeepPreferred(s, needs, fitting);
  const pace_request pace = PaceRequest(s, now, job, step);
  std::optional<worker_id> best;
  double best_cost = 0;
  for (worker_id id : DrawChoices(s, std::move(fitting))) {
    const leased_worker& w = s.leased.workers[id.value];
    const double cost =
        Cost(w, {needs.need, tasks}, IsFar(s, id), PaceCost(pace, w.pace), now);
    if (!best || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace cassiaferry
