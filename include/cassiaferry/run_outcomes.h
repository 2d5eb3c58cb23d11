// How the runs of an entry end on one worker: what tells a worker that fails
// its runs from jobs that fail on every worker.

#ifndef CASSIAFERRY_RUN_OUTCOMES_H_
#define CASSIAFERRY_RUN_OUTCOMES_H_

#include <cstdint>
#include <deque>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// A job's newest outcome on the worker.
struct run_outcome {
  leased_seq job;
  bool failed = false;
};

struct run_outcomes {
  std::deque<run_outcome> by_job;  // the job whose run ended last is last
  micros newest_at{0};             // when a run last ended
  double failure_share = 0;        // of the jobs; newer ones weigh more
  bool is_failing = false;         // the worker counts as one that fails runs
};

// Records that a run of the job has ended. Returns false if a run of the job
// had failed here before and this one has too: that says nothing more about the
// worker.
bool RecordOutcome(run_outcomes& o, micros now, leased_seq job, bool failed);

// Forgets all outcomes once no run has ended for so long that they say nothing
// about the worker any more.
void ForgetOldOutcomes(run_outcomes& o, micros now);

// Whether the outcomes alone make the worker look like one that fails runs.
bool LooksFailing(const run_outcomes& o);

// Whether one more of `workers` workers may count as failing beside `failing`
// others. Jobs that fail everywhere make all workers look alike.
bool MayCountAsFailing(size_t failing, size_t workers);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_RUN_OUTCOMES_H_
