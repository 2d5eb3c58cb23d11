// Which steps of leased jobs some worker could run, and which none could.
// Private to src/core.
//
// Contents
//   [1] Groups of workers
//   [2] Needs that were not met in a pass
//   [3] Jobs that no worker could run

#ifndef CASSIAFERRY_SRC_CORE_LEASED_CAPACITY_H_
#define CASSIAFERRY_SRC_CORE_LEASED_CAPACITY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cassiaferry/entry.h"
#include "cassiaferry/leased_jobs.h"

namespace cassiaferry {

// ---- [1] Groups of workers --------------------------------------------------

// The workers that may run a step. Refers to strings of the job.
struct worker_group {
  std::string_view upstream;
  std::string_view label;  // empty: any worker of the upstream
  auto operator<=>(const worker_group&) const = default;
};

worker_group GroupOf(const leased_job& job, uint32_t step);

// ---- [2] Needs that were not met in a pass ----------------------------------

// What one pass over waiting jobs has found out. Free resources only shrink
// during a pass, so a step that needs at least as much as one that no worker
// could take is not tried.
//
// Failure guarded against: jobs that find no worker end the pass, and jobs that
// others could run, behind them, are never tried.
struct placing_pass {
  struct group_state {
    std::vector<resources> unmet;  // needs that no worker could take
    size_t jobs = 0;               // whose needs were not met
  };
  std::map<worker_group, group_state> groups;
  // Of a group; after so many no other job is tried for it in this pass.
  size_t max_jobs = SIZE_MAX;
  size_t tries = 0;  // searches for a worker that found none
};

// Whether the step need not be tried any more in this pass.
bool IsUnmet(const placing_pass& pass, const leased_job& job, uint32_t step);
void RecordUnmet(placing_pass& pass, const leased_job& job, uint32_t step);
// Counts a job that didn't find capacity for some task of the step.
void CountUnmetJob(placing_pass& pass, const leased_job& job, uint32_t step);
// Whether all steps of which tasks wait are of groups that are not tried any
// more.
bool IsClosedFor(const placing_pass& pass, const leased_job& job);

// ---- [3] Jobs that no worker could run --------------------------------------

// Largest resources of a single worker that takes work, by group. Filled as
// asked for; valid while the workers don't change.
using group_capacities = std::map<worker_group, resources>;

// Whether no worker that takes work now could run any of the job's waiting
// tasks, even if it were free.
bool HasNoWorker(const leased_state& s,
                 group_capacities& known,
                 const leased_job& job);
// Whether the job has no worker while others of its upstream take work.
bool IsWithoutWorkerAlone(const leased_state& s,
                          group_capacities& known,
                          const leased_job& job);

// Labels are from callers: of how many, and of how much of each, operators
// read.
constexpr size_t kMaxLabelsShown = 20;
constexpr size_t kMaxLabelLength = 64;

// Number of waiting and overdue jobs that have no worker, by the label that
// they need; "": any worker, but none is large enough.
std::map<std::string, size_t> JobsWithoutWorker(const leased_state& s);

// Logs when labels appear in JobsWithoutWorker or disappear from it.
void LogJobsWithoutWorker(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_CAPACITY_H_
