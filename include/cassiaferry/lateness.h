// How late a process acts on what has arrived.
//
// A process that is short of processor time shows it in nothing else that it
// decides by: its workers look idle, its link looks free, and callers and
// frames wait in sockets that it has not read. Frames carry the time at which
// they were sent, on their sender's clock: what they take longer than the
// quickest of late is time in queues, here for the most part.
//
// Pure: no thread, clock or socket.
//
// Contents
//   [1] Clocks of two processes
//   [2] Lateness
//   [3] Calls

#ifndef CASSIAFERRY_LATENESS_H_
#define CASSIAFERRY_LATENESS_H_

#include <cstdint>
#include <optional>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Clocks of two processes --------------------------------------------

// Least difference between the time at which something came, on one clock, and
// at which it was sent, on another, of this span of time and of the one before:
// clocks drift. Microseconds.
struct clock_offset {
  int64_t min_difference = INT64_MAX;
  int64_t previous_min_difference = INT64_MAX;
  micros window_start{0};
};

// What this difference is above the least of late.
int64_t DelayAboveMin(clock_offset& gap, micros now, int64_t difference);

// ---- [2] Lateness -----------------------------------------------------------

struct lateness_options {
  micros interval = Millis(100);        // of one value
  micros averaging_time = Millis(300);  // of the mean of values
  // A single stream that was held up tells nothing of this process.
  micros max_frame_delay = Millis(500);
  // Late above the first, until below the second: callers of short tasks have
  // about 60 ms beside their tasks' work, and wait for this process twice.
  micros late_above = Millis(30);
  micros in_time_below = Millis(15);
  // While an interval's value is above this, more of the new work is refused,
  // else less: so much each interval.
  micros refuse_above = Millis(25);
  double refuse_share_step = 0.1;
  double max_refuse_share = 0.9;
  // Above this even what has time for it is refused: heartbeats wait as well,
  // and runs lapse after some hundred milliseconds without one.
  micros refuse_any_above = Millis(100);
};

struct lateness {
  lateness_options options;
  double mean_us = 0;           // of late
  double last_interval_us = 0;  // of the newest interval
  double sum_us = 0;            // of the frames of this interval ...
  uint64_t frames = 0;          // ... so many
  micros loop_wait{0};  // longest wait of an event for a tick, this interval
  micros last_loop_wait{0};  // ... and the one before
  micros interval_start{0};  // this interval
  bool is_late = false;
  double refuse_share = 0;  // of new work, so that the rest is done in time
};

// ---- [3] Calls --------------------------------------------------------------

// A frame was handled; `above`: time on its way, above the usual.
void RecordFrameDelay(lateness& l, int64_t above);
// What a tick handles has waited so long in this process.
void RecordLoopWait(lateness& l, micros waited);
// Each tick. Set when "is it late" has changed.
std::optional<bool> TickLateness(lateness& l, micros now);
// A job that has so much time beside its work can't be in time here: it waits
// for this process twice, for its start and for its end.
bool IsTooLateFor(const lateness& l, micros spare);
// This process was paused: what was measured meanwhile tells nothing.
void RestartInterval(lateness& l, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LATENESS_H_
