// Which steps of leased jobs some worker could run, and which none could.
//
// Contents
//   [1] Groups of workers
//   [2] Needs that were not met in a pass
//   [3] Jobs that no worker could run

#include "leased_capacity.h"

#include <algorithm>
#include <utility>

#include "leased_systems.h"

namespace cassiaferry {

// ---- [1] Groups of workers --------------------------------------------------

worker_group GroupOf(const leased_job& job, uint32_t step) {
  return {job.queue.upstream, job.steps[step].label};
}

// ---- [2] Needs that were not met in a pass ----------------------------------

namespace {

// Whether the condition holds for each step of which a task of the job waits.
// Waiting tasks are in the order of their steps, but for those that ran before.
template <typename Condition>
bool ForAllWaitingSteps(const leased_job& job, const Condition& condition) {
  uint32_t last = UINT32_MAX;
  return std::all_of(job.waiting.begin(), job.waiting.end(),
                     [&](uint32_t index) {
                       const uint32_t step = job.tasks[index].task.step;
                       const bool holds = step == last || condition(step);
                       last = step;
                       return holds;
                     });
}

bool IsClosed(const placing_pass& pass, const worker_group& group) {
  const auto it = pass.groups.find(group);
  return it != pass.groups.end() && it->second.jobs >= pass.max_jobs;
}

}  // namespace

bool IsUnmet(const placing_pass& pass, const leased_job& job, uint32_t step) {
  const worker_group group = GroupOf(job, step);
  const auto it = pass.groups.find(group);
  if (it == pass.groups.end())
    return false;
  const resources& need = job.steps[step].need;
  return IsClosed(pass, group) ||
         std::any_of(it->second.unmet.begin(), it->second.unmet.end(),
                     [&](const resources& unmet) { return Fits(unmet, need); });
}

void RecordUnmet(placing_pass& pass, const leased_job& job, uint32_t step) {
  pass.groups[GroupOf(job, step)].unmet.push_back(job.steps[step].need);
}

void CountUnmetJob(placing_pass& pass, const leased_job& job, uint32_t step) {
  ++pass.groups[GroupOf(job, step)].jobs;
}

bool IsClosedFor(const placing_pass& pass, const leased_job& job) {
  return ForAllWaitingSteps(
      job, [&](uint32_t step) { return IsClosed(pass, GroupOf(job, step)); });
}

// ---- [3] Jobs that no worker could run --------------------------------------

namespace {

const resources& LargestOf(const leased_state& s,
                           group_capacities& known,
                           const worker_group& group) {
  const auto [it, is_new] = known.try_emplace(group);
  if (!is_new)
    return it->second;
  for (const leased_worker& w : s.workers) {
    if (w.takes_work && w.info.upstream == group.upstream &&
        HasLabel(w, group.label))
      it->second = ElementwiseMax(it->second, w.info.capacity);
  }
  return it->second;
}

}  // namespace

bool HasNoWorker(const leased_state& s,
                 group_capacities& known,
                 const leased_job& job) {
  return ForAllWaitingSteps(job, [&](uint32_t step) {
    return !Fits(job.steps[step].need, LargestOf(s, known, GroupOf(job, step)));
  });
}

bool IsWithoutWorkerAlone(const leased_state& s,
                          group_capacities& known,
                          const leased_job& job) {
  return HasNoWorker(s, known, job) &&
         LargestOf(s, known, {job.queue.upstream, ""}) != resources{};
}

std::map<std::string, size_t> JobsWithoutWorker(const leased_state& s) {
  std::map<std::string, size_t> jobs;
  group_capacities known;
  for (const auto* queued : {&s.waiting, &s.overdue}) {
    for (leased_seq seq : *queued) {
      const leased_job& job = s.jobs.at(seq);
      if (HasNoWorker(s, known, job))
        ++jobs[job.steps[job.tasks[job.waiting.front()].task.step].label];
    }
  }
  return jobs;
}

void LogJobsWithoutWorker(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(1000);
  leased_state& l = s.leased;
  if (now - l.without_worker_checked_at < kEvery)
    return;
  l.without_worker_checked_at = now;
  std::set<std::string> labels;
  std::string text;
  for (const auto& [label, jobs] : JobsWithoutWorker(l)) {
    if (labels.size() == kMaxLabelsShown)
      break;
    labels.insert(label);
    text += (text.empty() ? "" : ", ") + std::to_string(jobs) + " of label '" +
            label.substr(0, kMaxLabelLength) + "'";
  }
  if (labels == l.logged_without_worker)
    return;
  l.logged_without_worker = std::move(labels);
  s.actions.push_back(leased_decision{
      text.empty() ? "all jobs have workers again" : "jobs without a worker",
      "", std::move(text)});
}

}  // namespace cassiaferry
