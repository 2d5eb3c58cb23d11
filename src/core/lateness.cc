// Measures how late this process handles what has arrived.
//
// Contents
//   [1] Clock offset
//   [2] Lateness

#include "cassiaferry/lateness.h"

#include <algorithm>
#include <cmath>

namespace cassiaferry {

// ---- [1] Clock offset -------------------------------------------------------

int64_t DelayAboveMin(clock_offset& offset, micros now, int64_t difference) {
  // Clocks whose rates differ by one percent drift 50 ms apart in this time.
  constexpr micros kSpan = Millis(5000);
  if (now - offset.window_start >= kSpan) {
    offset.window_start = now;
    offset.previous_min_difference = offset.min_difference;
    offset.min_difference = INT64_MAX;
  }
  offset.min_difference = std::min(offset.min_difference, difference);
  return difference -
         std::min(offset.min_difference, offset.previous_min_difference);
}

// ---- [2] Lateness -----------------------------------------------------------

void RecordFrameDelay(lateness& l, int64_t above) {
  l.sum_us += static_cast<double>(
      std::clamp<int64_t>(above, 0, l.options.max_frame_delay.value));
  ++l.frames;
}

void RecordLoopWait(lateness& l, micros waited) {
  l.loop_wait = std::max(l.loop_wait, waited);
}

void RecordRequestWait(lateness& l, micros waited) {
  l.request_wait = std::max(l.request_wait, waited);
}

void RecordReadDelay(lateness& l, micros waited) {
  l.read_delay =
      std::max(l.read_delay, std::min(waited, l.options.max_frame_delay));
}

void RestartInterval(lateness& l, micros now) {
  l.sum_us = 0;
  l.frames = 0;
  l.loop_wait = {};
  l.request_wait = {};
  l.read_delay = {};
  l.interval_start = now;
}

bool IsTooLateFor(const lateness& l, micros spare) {
  const double late = std::max(l.last_interval_us, l.mean_us);
  return late > static_cast<double>(l.options.refuse_any_above.value) ||
         2 * late > static_cast<double>(spare.value);
}

std::optional<bool> TickLateness(lateness& l, micros now) {
  const micros passed = now - l.interval_start;
  if (passed < l.options.interval)
    return std::nullopt;
  const double frames =
      l.frames == 0 ? 0 : l.sum_us / static_cast<double>(l.frames);
  // Frames are handled by one thread, callers' requests are read by another.
  const double newest =
      std::max(frames, static_cast<double>(l.read_delay.value));
  const double keep =
      std::exp(-static_cast<double>(passed.value) /
               static_cast<double>(l.options.averaging_time.value));
  l.mean_us = l.mean_us * keep + newest * (1 - keep);
  const bool too_late =
      newest > static_cast<double>(l.options.refuse_above.value);
  l.last_interval_us = newest;
  const double change =
      too_late ? l.options.refuse_share_step : -l.options.refuse_share_step;
  l.refuse_share =
      std::clamp(l.refuse_share + change, 0.0, l.options.max_refuse_share);
  l.last_loop_wait = l.loop_wait;
  l.last_request_wait = l.request_wait;
  l.last_read_delay = l.read_delay;
  RestartInterval(l, now);
  const micros bound =
      l.is_late ? l.options.in_time_below : l.options.late_above;
  const bool is_late = l.mean_us > static_cast<double>(bound.value);
  if (is_late == l.is_late)
    return std::nullopt;
  l.is_late = is_late;
  return is_late;
}

}  // namespace cassiaferry
