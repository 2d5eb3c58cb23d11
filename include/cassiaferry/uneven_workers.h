// Decisions for workers of different pace.
//
// Contents
//   [1] Placement
//   [2] Moves

#ifndef CASSIAFERRY_UNEVEN_WORKERS_H_
#define CASSIAFERRY_UNEVEN_WORKERS_H_

#include <cstdint>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// Paces below it count as this one, so that times stay finite.
constexpr double kMinPace = 0.05;

// ---- [1] Placement ----------------------------------------------------------

// What the pace of a worker means for a task.
struct pace_request {
  double usual_pace = 1;
  // The cost depends on whether the task would be in time; else on the pace
  // alone.
  bool by_time_left = false;
  double expected_ms = 0;  // at pace 1
  double left_ms = 0;      // until the task must be done to be in time
};

// Cost of the worker's pace; lower is better.
double PaceCost(const pace_request& task, double pace);

// Whether a worker of this pace makes its upstream uneven.
bool IsUnevenPace(double pace, double usual_pace);

// ---- [2] Moves --------------------------------------------------------------

// Core time done, and discarded by moves, both in thousandths of a core times
// milliseconds, with a decay that leaves a second's worth.
struct move_budget {
  double done = 0;
  double discarded = 0;
  micros at{0};
};

void RecordDone(move_budget& b, double work, micros now);
void RecordDiscarded(move_budget& b, double work, micros now);

// A run that may be moved off its worker.
struct move_request {
  double pace = 1;  // of its worker
  double usual_pace = 1;
  double expected_ms = 0;  // for the whole run, at pace 1
  double left_share = 1;   // of its work
};

// Whether the run ends sooner on a worker of usual pace, counting its restart.
bool EndsSoonerElsewhere(const move_request& run);

enum class move_decision : uint8_t { move, no_gain, no_budget };

move_decision DecideMove(const move_request& run, move_budget& b, micros now);

struct move_counters {
  uint64_t moves = 0;
  uint64_t no_gain = 0;
  uint64_t no_budget = 0;
  uint64_t no_capacity = 0;  // no other worker has capacity
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_UNEVEN_WORKERS_H_
