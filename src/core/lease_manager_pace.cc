// The pace of a worker, estimated from the progress of its runs.
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

// Run time that one sample of the pace covers, summed over all runs: ten
// concurrent runs yield a sample in 20 ms, a single run in 200 ms.
constexpr micros kPaceSample = Millis(200);
constexpr double kPaceKeep = 0.6;
constexpr double kPaceChange = 0.2;  // a larger change is reported at once
// After each such time without a measurement, the pace moves half way back to
// normal.
constexpr micros kPaceFade = Millis(500);

void ReportPace(lease_manager_state& m) {
  if (std::abs(m.pace - m.reported_pace) < kPaceChange)
    return;
  constexpr const char* kWhat = "pace changed";
  if (WantsRoutine(m, kWhat, {}))
    LogRoutine(m, kWhat, {}, std::to_string(m.pace));
  m.reported_pace = m.pace;
  for (auto& [name, owner] : m.owners)
    owner.report_pending = true;
}

}  // namespace

// Adds the progress that a run has made since its last measurement.
void AddProgress(lease_manager_state& m,
                 micros now,
                 managed_run& run,
                 uint32_t percent) {
  const micros from = run.measured_at.value == 0 ? run.since : run.measured_at;
  // Workers report whole percents, so no progress means nothing until the
  // expected time of two percent has passed: a task of 14 s, polled every
  // 50 ms, would seem to run at a third of its pace, and would be moved.
  const micros of_two_percent = Millis(run.start.expected_ms / 50);
  if (percent <= run.percent && now - from < of_two_percent)
    return;
  const uint32_t done = percent > run.percent ? percent - run.percent : 0;
  m.pace_work += done * run.start.expected_ms / 100.0;
  m.pace_time = m.pace_time + (now - from);
  run.percent = std::max(run.percent, percent);
  run.measured_at = now;
}

// Failure guarded against: a worker that has become slow, or on which all runs
// have stalled, seems free and healthy: it announces itself and accepts every
// start. The progress of its runs shows it well before any of them ends.
void MeasurePace(lease_manager_state& m, micros now) {
  if (m.pace_time < kPaceSample)
    return;
  const double sample =
      m.pace_work * 1000 / static_cast<double>(m.pace_time.value);
  m.pace = m.pace * kPaceKeep + std::min(3.0, sample) * (1 - kPaceKeep);
  m.pace_work = 0;
  m.pace_time = {};
  m.pace_at = now;
  ReportPace(m);
}

// The pace is measured on runs only: without this, a slow worker that gets no
// runs would count as slow for ever.
void DecayPace(lease_manager_state& m, micros now) {
  if (!m.runs.empty() || now - m.pace_at < kPaceFade)
    return;
  m.pace = (m.pace + 1) / 2;
  m.pace_at = now;
  ReportPace(m);
}

// ---- [2] Stragglers ---------------------------------------------------------

namespace {

// Whether the remaining work, at the worker's pace, takes longer than the whole
// run was expected to take, by the straggler factor.
bool IsStraggler(const lease_manager_options& o,
                 const lease_manager_state& m,
                 const managed_run& run,
                 micros age) {
  if (age < o.straggler_min_age)
    return false;
  const double left = (100.0 - run.percent) / 100 / std::max(0.01, m.pace);
  return left > o.straggler_factor;
}

}  // namespace

void FindStragglers(lease_manager_state& m, micros now) {
  for (auto& [task, run] : m.runs) {
    const micros age = now - run.since;
    if (run.state != run_state::running ||
        !IsStraggler(m.options, m, run, age) ||
        (run.straggler_reported_at.value != 0 &&
         now - run.straggler_reported_at < m.options.straggler_report_interval))
      continue;
    run.straggler_reported_at = now;
    const auto owner = m.owners.find(run.owner);
    if (owner == m.owners.end())
      continue;
    owner->second.stragglers.push_back(
        {run.start.ref, static_cast<uint32_t>(ToMillis(age)), run.percent});
    owner->second.report_pending = true;
  }
}

}  // namespace cassiaferry
