// Which waiting leased jobs are refused because they can't be served in time.
// Private to src/core.
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

// Processors that the job's waiting tasks need, thousandths of a core.
int64_t WaitingCpu(const leased_job& job);
// From the start of the job to its end, with a margin for what its queue's jobs
// took beyond the estimate.
micros DurationWithMargin(const leased_state& s, const leased_job& job);
// A job of the queue has taken so long from its start.
void UpdateDurationMargin(leased_state& s, const leased_job& job, micros took);

// How long what waits takes at the rate at which work is done, milliseconds.
double DrainMs(const leased_state& s, int64_t free_cpu);

void RecordArrival(leased_state& s, const leased_job& job);
// Call each tick.
void MeasureArrivals(leased_state& s, micros now);

// ---- [2] Refusals -----------------------------------------------------------

// Nothing of the job has run, and nobody was told that it will.
bool MayRefuse(const leased_job& job);

// Those of `order` (as ServeOrder gave it) that have not started and are to be
// refused now: by the work that stands before them they can't be of use any
// more, or they can't be in time and the admission rule asks for that. Each
// needs processors, and its payload a part of this entry's link. `free_cpu`:
// room that workers have left, thousandths of a core.
std::vector<leased_seq> UnservableJobs(const leased_state& s,
                                       const std::vector<leased_seq>& order,
                                       int64_t free_cpu,
                                       micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_ADMISSION_H_
