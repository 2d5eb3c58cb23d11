// How fast a worker works, by the progress of its runs.
//
// Contents
//   [1] Pace
//   [2] Stragglers

#include "cassiaferry/lease_manager.h"

#include <algorithm>
#include <cmath>

#include "lease_manager_systems.h"

namespace cassiaferry {

// ---- [1] Pace ---------------------------------------------------------------

namespace {

// Run time that a sample of the pace covers, over all runs together: ten runs
// side by side give one in 20 ms, a single one in 200 ms.
constexpr micros kPaceSample = Millis(200);
constexpr double kPaceKeep = 0.6;
constexpr double kPaceChange = 0.2;  // told at once
// Unmeasured for this long, the pace is taken to be half way back to normal.
constexpr micros kPaceFade = Millis(500);

void ReportPace(lease_manager_state& k) {
  if (std::abs(k.pace - k.reported_pace) < kPaceChange)
    return;
  LogChange(k, "pace changed", std::to_string(k.pace));
  k.reported_pace = k.pace;
  for (auto& [name, owner] : k.owners)
    owner.report_pending = true;
}

}  // namespace

// Takes in what a run has done since it was last measured.
void AddProgress(lease_manager_state& k,
                 micros now,
                 managed_run& run,
                 uint32_t percent) {
  const micros from = run.measured_at.value == 0 ? run.since : run.measured_at;
  // Workers report whole percents. Until twice the time of one has passed,
  // nothing done says nothing: a task of 14 s at a look every 50 ms would pass
  // for one at a third of its pace, and be moved.
  const micros of_two_percent = Millis(run.start.expected_ms / 50);
  if (percent <= run.percent && now - from < of_two_percent)
    return;
  const uint32_t done = percent > run.percent ? percent - run.percent : 0;
  k.pace_work += done * run.start.expected_ms / 100.0;
  k.pace_time = k.pace_time + (now - from);
  run.percent = std::max(run.percent, percent);
  run.measured_at = now;
}

// Failure guarded against: a worker that has turned slow, or on which all
// stands still, looks free and healthy: it announces itself and takes every
// start. It shows in how far its runs come, well before any of them ends.
void MeasurePace(lease_manager_state& k, micros now) {
  if (k.pace_time < kPaceSample)
    return;
  const double sample =
      k.pace_work * 1000 / static_cast<double>(k.pace_time.value);
  k.pace = k.pace * kPaceKeep + std::min(3.0, sample) * (1 - kPaceKeep);
  k.pace_work = 0;
  k.pace_time = {};
  k.pace_at = now;
  ReportPace(k);
}

// A slow worker that gets nothing would be slow for ever.
void DecayPace(lease_manager_state& k, micros now) {
  if (!k.runs.empty() || now - k.pace_at < kPaceFade)
    return;
  k.pace = (k.pace + 1) / 2;
  k.pace_at = now;
  ReportPace(k);
}

// ---- [2] Stragglers ---------------------------------------------------------

namespace {

// At the worker's pace, what is left takes longer than all of it should.
bool IsStraggler(const lease_manager_options& o,
                 const lease_manager_state& k,
                 const managed_run& run,
                 micros age) {
  if (age < o.straggler_min_age)
    return false;
  const double left = (100.0 - run.percent) / 100 / std::max(0.01, k.pace);
  return left > o.straggler_factor;
}

}  // namespace

void FindStragglers(lease_manager_state& k, micros now) {
  for (auto& [task, run] : k.runs) {
    const micros age = now - run.since;
    if (run.state != run_state::running ||
        !IsStraggler(k.options, k, run, age) ||
        (run.straggler_reported_at.value != 0 &&
         now - run.straggler_reported_at < k.options.straggler_report_interval))
      continue;
    run.straggler_reported_at = now;
    const auto owner = k.owners.find(run.owner);
    if (owner == k.owners.end())
      continue;
    owner->second.stragglers.push_back(
        {run.start.ref, static_cast<uint32_t>(ToMillis(age)), run.percent});
    owner->second.report_pending = true;
  }
}

}  // namespace cassiaferry
