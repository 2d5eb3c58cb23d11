// The most that callers could have got: an upper bound on the value of any
// schedule of the same jobs in the same room, with all known beforehand.
//
// Work is taken to be divisible, free to move and to pause, and the room of all
// workers to be one: whatever a real schedule does, this can do, so its best is
// never below that of a real one. What is left of the truth: arrivals,
// objectives, the room at each moment, true run times, and that a job uses no
// more at once than all its tasks side by side.
//
// The work vectors that fit are a polymatroid (supplies of a flow network with
// one sink), so taking jobs by value a unit of work, each as far as it fits
// beside what was taken before, is optimal.

#ifndef CASSIAFERRY_SRC_EMULATOR_VALUE_BOUND_H_
#define CASSIAFERRY_SRC_EMULATOR_VALUE_BOUND_H_

#include <cstdint>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry::emulator {

struct bound_job {
  micros arrival{0};
  micros objective{0};  // from the arrival
  double value = 1;     // if it ends within the objective
  double work = 0;      // thousandths of a core times microseconds
  double most_cpu = 0;  // thousandths of a core that it can use at once
};

// Room of all workers together, slot by slot; none before and after.
struct bound_room {
  micros from{0};
  micros slot = Millis(10);
  std::vector<double> work;  // of each slot, thousandths of a core times us
};

// Of each job, the share of its work that the best schedule does within `times`
// its objective.
std::vector<double> MostWork(const std::vector<bound_job>& jobs,
                             const bound_room& room,
                             double times);

struct value_bound {
  double owed = 0;                    // value of all jobs
  double most = 0;                    // that any schedule can earn of it
  std::vector<double> share_in_time;  // of each job, in one best schedule
};

// A job that ends after its objective, and within `useful_times` of it, earns
// `late_share` of its value. What is earned is (1 - late_share) of the value
// that is in time and late_share of the value that is of use: each is at most
// what a schedule that cares for it alone can get.
value_bound BoundValue(const std::vector<bound_job>& jobs,
                       const bound_room& room,
                       double useful_times,
                       double late_share);

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_SRC_EMULATOR_VALUE_BOUND_H_
