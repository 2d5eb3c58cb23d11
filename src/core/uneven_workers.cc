// Decisions for workers of different pace.
//
// Contents
//   [1] Placement
//   [2] Moves

#include "cassiaferry/uneven_workers.h"

#include <algorithm>
#include <cmath>

namespace cassiaferry {

// ---- [1] Placement ----------------------------------------------------------

double PaceCost(const pace_request& task, double pace) {
  // Short tasks leave fast workers to long ones.
  constexpr double kFastWeight = 0.3;
  constexpr double kMaxFast = 2;
  // More than the terms for free resources, age and parts together.
  constexpr double kLateCost = 3;
  constexpr double kMaxMore = 4;
  const double limited = std::max(kMinPace, pace);
  const double usual = std::max(kMinPace, task.usual_pace);
  const double takes_ms = task.expected_ms / limited;
  if (task.by_time_left && takes_ms <= task.left_ms)
    return kFastWeight * std::clamp(pace / usual, 0.0, kMaxFast);
  if (task.by_time_left && task.expected_ms / usual <= task.left_ms)
    return kLateCost + std::clamp((takes_ms - task.left_ms) / task.expected_ms,
                                  0.0, kMaxMore);
  return std::clamp(task.usual_pace / limited - 1, 0.0, kMaxMore);
}

bool IsUnevenPace(double pace, double usual_pace) {
  constexpr double kUnevenShare = 0.8;
  return pace < kUnevenShare * usual_pace;
}

// ---- [2] Moves --------------------------------------------------------------

namespace {

void Decay(move_budget& b, micros now) {
  constexpr micros kAveragingTime = Millis(1000);
  const double keep = std::exp(-static_cast<double>((now - b.at).value) /
                               static_cast<double>(kAveragingTime.value));
  b.done *= keep;
  b.discarded *= keep;
  b.at = now;
}

}  // namespace

void RecordDone(move_budget& b, double work, micros now) {
  Decay(b, now);
  b.done += work;
}

void RecordDiscarded(move_budget& b, double work, micros now) {
  Decay(b, now);
  b.discarded += work;
}

bool EndsSoonerElsewhere(const move_request& run) {
  constexpr double kRestartMs = 10;
  const double here_ms =
      run.left_share * run.expected_ms / std::max(kMinPace, run.pace);
  const double elsewhere_ms =
      run.expected_ms / std::max(kMinPace, run.usual_pace) + kRestartMs;
  return elsewhere_ms < here_ms;
}

move_decision DecideMove(const move_request& run, move_budget& b, micros now) {
  // Of the work done. The work of the run itself doesn't count yet: a single
  // long run may be more than the whole budget of a small entry.
  constexpr double kMaxDiscardedShare = 0.02;
  if (!EndsSoonerElsewhere(run))
    return move_decision::no_gain;
  Decay(b, now);
  return b.discarded < kMaxDiscardedShare * b.done ? move_decision::move
                                                   : move_decision::no_budget;
}

}  // namespace cassiaferry
