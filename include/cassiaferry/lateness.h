// Measures how late a process handles what has arrived.
//
// None of the other inputs to its decisions show that a process is short of
// processor time: its workers look idle, its link looks free, and requests and
// frames wait in sockets that it has not read. Frames carry the time at which
// they were sent, on the sender's clock. The delay of a frame beyond that of
// the fastest recent frame is queueing time, most of it in this process. It
// doesn't tell how long callers' requests wait, which another thread reads: the
// delay of that thread is measured by itself.
//
// Pure functions: no thread, clock or socket.
//
// Contents
//   [1] Clock offset
//   [2] Lateness
//   [3] Functions

#ifndef CASSIAFERRY_LATENESS_H_
#define CASSIAFERRY_LATENESS_H_

#include <cstdint>
#include <optional>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Clock offset -------------------------------------------------------

// Smallest difference between receive time on one clock and send time on
// another, over the current and the previous time window. Only two windows are
// kept because clocks drift. Microseconds.
struct clock_offset {
  int64_t min_difference = INT64_MAX;
  int64_t previous_min_difference = INT64_MAX;
  micros window_start{0};
};

// Records a difference and returns by how much it exceeds the smallest recent
// one.
int64_t DelayAboveMin(clock_offset& offset, micros now, int64_t difference);

// ---- [2] Lateness -----------------------------------------------------------

struct lateness_options {
  micros interval = Millis(100);        // length of one interval
  micros averaging_time = Millis(300);  // decay time of the mean
  // Bounds the effect of a single delayed stream, which says nothing about this
  // process, and of a single delay in reading.
  micros max_frame_delay = Millis(500);
  // The process counts as late above `late_above`, until it is below
  // `in_time_below`. Callers of short tasks allow about 60 ms beyond the task's
  // own work, and wait for this process twice.
  micros late_above = Millis(30);
  micros in_time_below = Millis(15);
  // After each interval whose mean is above this, the refused share of new work
  // grows by one step; otherwise it shrinks by one.
  micros refuse_above = Millis(25);
  double refuse_share_step = 0.1;
  double max_refuse_share = 0.9;
  // Above this, jobs with time to spare are refused too: heartbeats are delayed
  // as well, and runs expire after a few hundred milliseconds without one.
  micros refuse_any_above = Millis(100);
};

struct lateness {
  lateness_options options;
  double mean_us = 0;           // decayed mean over intervals
  double last_interval_us = 0;  // mean of the newest interval
  double sum_us = 0;            // sum over the frames of this interval
  uint64_t frames = 0;          // frames in this interval
  micros loop_wait{0};  // longest wait of an event for a tick in this interval
  micros last_loop_wait{0};  // same, in the previous interval
  // Longest time that a caller's request lay unread in this interval.
  micros request_wait{0};
  micros last_request_wait{0};  // same, in the previous interval
  // Longest time in this interval that what callers sent was ready and waited
  // to be read.
  micros read_delay{0};
  micros last_read_delay{0};  // same, in the previous interval
  micros interval_start{0};   // start of this interval
  bool is_late = false;
  double refuse_share = 0;  // refused share of new work; the rest stays in time
};

// ---- [3] Functions ----------------------------------------------------------

// Records a handled frame; `above` is its delay beyond the smallest recent one.
void RecordFrameDelay(lateness& l, int64_t above);
// Records how long an event waited in this process for the tick that handles
// it.
void RecordLoopWait(lateness& l, micros waited);
// Records how long a caller's request lay on this machine before it was
// handled.
void RecordRequestWait(lateness& l, micros waited);
// Records how long what callers send waits to be read, as measured now.
void RecordReadDelay(lateness& l, micros waited);
// Call each tick. Returns the new value of `is_late` if it has changed.
std::optional<bool> TickLateness(lateness& l, micros now);
// Whether a job with `spare` time beyond its own work can't finish in time
// here. It waits for this process twice: for its start and for its end.
bool IsTooLateFor(const lateness& l, micros spare);
// Discards the current interval, because the process was paused during it.
void RestartInterval(lateness& l, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LATENESS_H_
