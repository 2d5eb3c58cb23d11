// Estimates from a queue's finished runs.

#include "cassiaferry/run_estimates.h"

#include <algorithm>

namespace cassiaferry {

namespace {

constexpr double kEstimateDecay = 0.95;
// A tail of tasks that take several times as long shifts the median by its
// share of the tasks only, and no single task shifts it by more than this.
constexpr double kMedianStep = 1.02;
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 100;
// Nearly all runs take less than this many times the declared time.
constexpr int64_t kObservedTimes = 3;

// The first sample is enough: the median is tracked from the initial ratio in
// bounded steps, so few samples can't move it far.
void TrackMedian(queue_estimate& e, double sample) {
  const double moved =
      sample > e.ratio ? e.ratio * kMedianStep : e.ratio / kMedianStep;
  e.ratio = std::clamp(moved, kMinRatio, kMaxRatio);
}

}  // namespace

void RecordFirstStart(queue_estimate& e, micros now) {
  if (!e.first_start)
    e.first_start = now;
}

bool IsFairSample(const queue_estimate& e, int64_t declared_ms, micros now) {
  return e.first_start &&
         now - *e.first_start >= Millis(kObservedTimes * declared_ms);
}

void RecordRunTime(queue_estimate& e,
                   const run_sample& run,
                   estimate_method method,
                   micros now) {
  if (run.declared_ms <= 0)
    return;
  const double sample =
      static_cast<double>(run.run_ms) / static_cast<double>(run.declared_ms);
  if (method == estimate_method::decaying_mean)
    e.ratio = e.ratio * kEstimateDecay + sample * (1 - kEstimateDecay);
  else if (IsFairSample(e, run.declared_ms, now))
    TrackMedian(e, sample);
}

}  // namespace cassiaferry
