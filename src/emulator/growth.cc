// Cost of a process by the size of the system.
//
// Contents
//   [1] Without load
//   [2] Loss of all entries

#include "growth.h"

#include <algorithm>

namespace cassiaferry::emulator {

namespace {

constexpr micros kSettle = Millis(5000);
constexpr double kIdleSeconds = 5;
constexpr micros kLossStep = Millis(20);
constexpr micros kLossTime = Millis(4000);

size_t Streams(const world& w) {
  size_t streams = 0;
  for (const emulated_entry& e : w.entries)
    streams += e.state == process_state::up ? e.core->links.size() : 0;
  return streams;
}

uint64_t Sum(const std::vector<uint64_t>& values) {
  uint64_t sum = 0;
  for (uint64_t value : values)
    sum += value;
  return sum;
}

uint64_t EntryBytes(const world& w) {
  uint64_t bytes = 0;
  for (const emulated_entry& e : w.entries)
    bytes += e.in.bytes + e.out.bytes;
  return bytes;
}

// ---- [1] Without load -------------------------------------------------------

void MeasureIdle(world& w, growth_result& result) {
  w.Pass(kSettle);
  const auto entries = static_cast<double>(w.entries.size());
  const auto sidecars = static_cast<double>(w.sidecars.size());
  const auto streams = static_cast<double>(Streams(w));
  result.entry_streams = streams / entries;
  result.sidecar_streams = streams / sidecars;
  result.start_dials = static_cast<double>(Sum(w.dials)) / sidecars;
  result.fewest_entry_streams = SIZE_MAX;
  for (const emulated_entry& e : w.entries)
    result.fewest_entry_streams =
        std::min(result.fewest_entry_streams, e.core->links.size());
  const uint64_t frames = Sum(w.frames);
  const uint64_t bytes = EntryBytes(w);
  const uint64_t far_bytes = w.bytes_between_domains;
  w.Pass(micros{static_cast<int64_t>(kIdleSeconds * 1e6)});
  result.sidecar_frames_per_s =
      static_cast<double>(Sum(w.frames) - frames) / sidecars / kIdleSeconds;
  result.entry_bytes_per_s =
      static_cast<double>(EntryBytes(w) - bytes) / entries / kIdleSeconds;
  result.bytes_between_domains_per_s =
      static_cast<double>(w.bytes_between_domains - far_bytes) / kIdleSeconds;
}

// ---- [2] Loss of all entries ------------------------------------------------

void MeasureLoss(world& w, growth_result& result) {
  const size_t before = Streams(w);
  const uint64_t dials = Sum(w.dials);
  for (int i = 0; i < w.options.entries; ++i)
    w.KillEntry(i);
  w.Pass(w.options.restart_after);
  const micros restarted = w.now;
  while (w.now - restarted < kLossTime) {
    w.Pass(kLossStep);
    const size_t streams = Streams(w);
    if (streams > 0 && result.to_first_stream.value == 0)
      result.to_first_stream = w.now - restarted;
    if (streams >= before * 9 / 10 && result.to_nine_tenths.value == 0)
      result.to_nine_tenths = w.now - restarted;
  }
  result.loss_dials = static_cast<double>(Sum(w.dials) - dials) /
                      static_cast<double>(w.sidecars.size());
}

}  // namespace

growth_result MeasureGrowth(const world_options& options) {
  world w(options);
  growth_result result;
  MeasureIdle(w, result);
  MeasureLoss(w, result);
  return result;
}

}  // namespace cassiaferry::emulator
