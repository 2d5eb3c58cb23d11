// Estimates from a queue's finished runs and jobs.

#ifndef CASSIAFERRY_RUN_ESTIMATES_H_
#define CASSIAFERRY_RUN_ESTIMATES_H_

#include <cstdint>
#include <optional>

#include "cassiaferry/ids.h"

namespace cassiaferry {

struct queue_estimate {
  double ratio = 1;   // run time relative to the declared time
  double margin = 1;  // most jobs take less than the estimate times this
  std::optional<micros> first_start;  // of a run, since this process started
};

// A run that is done.
struct run_sample {
  int64_t declared_ms = 0;
  int64_t run_ms = 0;
};

enum class estimate_method : uint8_t {
  decaying_mean,    // counts each run from the first on
  unbiased_median,  // withstands a heavy tail and the bias after a start
};

void RecordFirstStart(queue_estimate& e, micros now);

// Whether runs of this declared time that end now are a fair sample: of runs
// that have been observed for a short time, only the short ones have ended.
bool IsFairSample(const queue_estimate& e, int64_t declared_ms, micros now);

void RecordRunTime(queue_estimate& e,
                   const run_sample& run,
                   estimate_method method,
                   micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_RUN_ESTIMATES_H_
