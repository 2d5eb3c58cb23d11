// What a process of the emulated system costs, by the size of the system.

#ifndef CASSIAFERRY_SRC_EMULATOR_GROWTH_H_
#define CASSIAFERRY_SRC_EMULATOR_GROWTH_H_

#include "leased_world.h"

namespace cassiaferry::emulator {

// Means over all processes of a role; without load unless it says otherwise.
struct growth_result {
  double entry_streams = 0;
  size_t fewest_entry_streams = 0;
  double sidecar_streams = 0;
  double start_dials = 0;                  // of a sidecar, from the start on
  double sidecar_frames_per_s = 0;         // sent
  double entry_bytes_per_s = 0;            // sent and received
  double bytes_between_domains_per_s = 0;  // of the whole system
  // A loss of all entries, which start again after `restart_after`.
  double loss_dials = 0;      // of a sidecar, until four seconds after it
  micros to_first_stream{0};  // from the restart until some entry has a stream
  micros to_nine_tenths{0};  // ... and until nine tenths of the streams are up;
                             // 0: not within the time
};

// Starts the system, lets it idle, and kills all of its entries.
growth_result MeasureGrowth(const world_options& options);

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_SRC_EMULATOR_GROWTH_H_
