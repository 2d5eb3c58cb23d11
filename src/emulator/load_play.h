// A load of the users' mix on the emulated world, and what callers got.

#ifndef CASSIAFERRY_SRC_EMULATOR_LOAD_PLAY_H_
#define CASSIAFERRY_SRC_EMULATOR_LOAD_PLAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "leased_world.h"

namespace cassiaferry::emulator {

constexpr size_t kLoadQueues = 3;  // quick, long, pings

// A queue is asked `times` as much for a while.
struct load_burst {
  size_t queue = 0;
  double times = 1;
  double from_s = 0;
  double for_s = 0;
};

struct load_options {
  world_options world;  // its capacity is set by PlayLoad
  double load = 1;      // offered against the room of all workers
  double seconds = 6;
  micros warm_up = Millis(2000);  // before the load
  int hanging = 0;                // workers on which all stands still
  int slow = 0;            // workers on which all takes 5.6 times as long
  double late_orders = 0;  // share of orders to workers that come late
  // Callers are spread evenly over the failure domains, and reach the entries
  // of theirs alone. Else they reach any.
  bool callers_stay_near = false;
  std::vector<double> domain_shares;  // of such callers, and of those that keep
                                      // connections; empty: the same
  double wave_swing = 0;              // of the load, as a share of it ...
  double wave_period_s = 11;          // ... and how long a wave takes
  std::vector<load_burst> bursts;
  // Share of the tasks that take `tail_times` as long as others of their job,
  // on any worker. Their estimate doesn't tell.
  double tail_share = 0;
  double tail_times = 7;
  std::function<void(const std::string&)> log;  // of the world
  bool exact_estimates = false;  // entries are told how long tasks take
  bool no_delay = false;         // what is sent is there at once
  bool with_bound = false;       // compare with it: takes longer than the play
};

struct queue_result {
  int asked = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
};

// What callers of one failure domain got.
struct domain_result {
  double owed = 0;
  double earned = 0;
};

struct play_result {
  queue_result queues[kLoadQueues];
  std::vector<domain_result> domains;  // of the entries that callers reached
  double frames_per_job = 0;           // taken and sent by entries
  double value = 0;               // earned against owed; late counts a fifth
  double bound = 0;               // what no schedule of these jobs can be above
  double worst_second = 1;        // value of what came in one second, the least
  double worst_queue = 1;         // of the jobs of one queue, the least
  double bound_worst_second = 1;  // in a schedule that reaches the most ...
  double bound_worst_queue = 1;   // ... value in time
  double used = 0;                // of the room, while the load lasted
  uint64_t starts = 0;
  uint64_t refusals = 0;     // runs that a sidecar refused
  double refused_after = 0;  // mean time to a refusal, against the objective
  int resent = 0;            // jobs that ran in part, and were given up
  size_t broken = 0;
};

play_result PlayLoad(const load_options& options);

const char* QueueName(size_t queue);
// `kLoadQueues` if there is none of that name.
size_t QueueNumber(const std::string& name);

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_SRC_EMULATOR_LOAD_PLAY_H_
