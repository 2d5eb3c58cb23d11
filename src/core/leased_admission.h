// Decides which waiting leased jobs are refused because they can't be served in
// time. Private to src/core.
//
// Contents
//   [1] Predictions
//   [2] Refusals

#ifndef CASSIAFERRY_SRC_CORE_LEASED_ADMISSION_H_
#define CASSIAFERRY_SRC_CORE_LEASED_ADMISSION_H_

#include <vector>

#include "cassiaferry/leased_jobs.h"

namespace cassiaferry {

// ---- [1] Predictions --------------------------------------------------------

// Processors that the job's waiting tasks need, in thousandths of a core.
int64_t WaitingCpu(const leased_job& job);
// Expected time from the job's start to its end, times a margin learnt from how
// far the queue's jobs exceeded the estimate.
micros DurationWithMargin(const leased_state& s, const leased_job& job);
// Updates the margin of the job's queue with the time that the job took from
// its start.
void UpdateDurationMargin(leased_state& s, const leased_job& job, micros took);

// Rate at which work is done, in thousandths of a core: the processors in use
// and free. Work ahead of a job takes its core-seconds divided by this.
double WorkRate(const leased_state& s, int64_t free_cpu);
// Time to finish all waiting work at the current rate, in milliseconds.
double DrainMs(const leased_state& s, int64_t free_cpu);

void RecordArrival(leased_state& s, const leased_job& job);
// Call each tick.
void MeasureArrivals(leased_state& s, micros now);

// ---- [2] Refusals -----------------------------------------------------------

// Whether the job may still be refused: none of its runs may have begun, and
// its caller was not told that it is accepted.
bool MayRefuse(const leased_job& job);

// Returns the jobs of `order` (from ServeOrder) that have not started and are
// to be refused now. Given the work ahead of them, their result would come too
// late to be of use, or late, if the admission rule refuses late jobs. Each job
// needs processors and, for its payload, a part of this entry's link.
// `free_cpu`: free processors of the workers, in thousandths of a core.
std::vector<leased_seq> UnservableJobs(const leased_state& s,
                                       const std::vector<leased_seq>& order,
                                       int64_t free_cpu,
                                       micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_ADMISSION_H_
