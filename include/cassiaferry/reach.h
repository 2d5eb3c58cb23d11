// Whether the workers that have streams to an entry suffice for its jobs.
//
// Sidecars choose the entries that they keep streams to (neighbours.h). An
// entry whose workers are too few, full, or unfit for a job asks for more in
// its row of the directory, and takes that back when it has not needed them for
// a while.
//
// Part of the entry's tick.

#ifndef CASSIAFERRY_REACH_H_
#define CASSIAFERRY_REACH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

struct reach_options {
  size_t few_workers = 8;  // with fewer an entry asks for more streams
};

struct reach_state {
  bool is_partial = false;  // some sidecar keeps streams to some entries only
  uint32_t reach = 1;       // multiple of the usual streams, as last published
  // Labels asked for, and when a job last needed each.
  std::map<std::string, micros> labels;
  micros few_since{0};     // since when there have been few workers; 0: not few
  uint32_t least = 1;      // with less there were few workers
  micros unfit_at{0};      // when a job came that no known worker can hold
  micros checked_at{0};    // when the need was last looked at
  micros changed_at{0};    // when the reach was last changed
  micros next_change{0};   // the reach does not grow before
  micros needed_at{0};     // when this reach was last needed
  micros all_known_at{0};  // when all workers were last known; 0: never
};

// The row of the directory is to be written with these.
struct reach_changed {
  uint32_t reach = 1;
  std::vector<std::string> labels;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_REACH_H_
