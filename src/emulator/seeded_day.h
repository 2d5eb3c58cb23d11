// A day of jobs and faults drawn from a seed, on the emulated world.

#ifndef CASSIAFERRY_SRC_EMULATOR_SEEDED_DAY_H_
#define CASSIAFERRY_SRC_EMULATOR_SEEDED_DAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "leased_world.h"

namespace cassiaferry::emulator {

struct day_report {
  uint64_t seed = 0;
  size_t jobs = 0;
  size_t completed = 0;
  size_t faults = 0;
  std::vector<violation> violations;
};

struct day_options {
  uint64_t seed = 1;
  bool one_way_cuts = false;  // those between one entry and one sidecar hold up
                              // one direction
  // Workers start again under the ids that they had, some within milliseconds,
  // some after they said that they leave.
  bool workers_keep_ids = false;
  // Operators close failure domains for new work and open them again.
  bool closes_domains = false;
  // Announcements of past lives come late, and workers go on after a goodbye.
  bool late_words = false;
  // Sidecars have streams to two of five entries, and give them back.
  bool chooses_entries = false;
  // Sidecars keep records of their workers in the store.
  bool keeps_worker_records = false;
  // Entries and sidecars are stopped in turn as planned, beside the faults.
  bool stops_processes = false;
  // Tasks of a job take unequal times, some fail at first, and some need one of
  // the workers, which is lost in the end.
  bool mixes_work = false;
  // Short jobs keep coming, callers' time ends while their long tasks run, and
  // workers leave stops unanswered.
  bool ends_callers_time = false;
};

// One fault, for about `time`, of an entry, a sidecar, a worker or the link
// between two of them.
void AddProcessFault(world& w, micros time);

// Durable and other jobs, cancels, and faults of every kind, overlapping; then
// time to recover. `log`, if any, gets each fault and decision as a line.
day_report PlaySeededDay(
    const day_options& day,
    const std::function<void(const std::string&)>& log = {});

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_SRC_EMULATOR_SEEDED_DAY_H_
