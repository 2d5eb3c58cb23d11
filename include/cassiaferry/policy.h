// Dispatch policies: free functions over plain structs.
//
// Contents
//   [1] Inputs of a policy
//   [2] Choosing workers
//   [3] Ordering jobs

#ifndef CASSIAFERRY_POLICY_H_
#define CASSIAFERRY_POLICY_H_

#include <optional>
#include <random>
#include <vector>

#include "cassiaferry/config.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/messages.h"

namespace cassiaferry {

// ---- [1] Inputs of a policy -------------------------------------------------

// One worker that may take a task now.
struct worker_choice {
  worker_id id;
  uint32_t slots = 0;
  uint32_t free = 0;  // free slots in the latest report, less tasks sent since
  // Tasks of this entry in flight there, plus its queue in the latest report.
  uint32_t load = 0;
  double speed = 1;  // run time relative to the others; 2: takes twice as long
};

using random_source = std::mt19937_64;

// ---- [2] Choosing workers ---------------------------------------------------

// Each returns an index into `workers`, which must not be empty.
size_t PickRandom(const std::vector<worker_choice>& workers,
                  random_source& random);
size_t PickRoundRobin(const std::vector<worker_choice>& workers,
                      uint64_t& turn);
size_t PickLeastLoaded(const std::vector<worker_choice>& workers,
                       uint32_t choices,
                       random_source& random);

// The worker with the largest share of its slots free, weighted by speed; ties
// at random. Empty: none has a free slot.
std::optional<size_t> PickFreest(const std::vector<worker_choice>& workers,
                                 random_source& random);

// Draws `count` workers without repetition; when all have been drawn, starts
// over.
std::vector<size_t> PickProbes(const std::vector<worker_choice>& workers,
                               size_t count,
                               random_source& random);

// ---- [3] Ordering jobs ------------------------------------------------------

// Key of a job with `waiting` tasks not yet started; lower is served first.
// With fewest_remaining each waiting task weighs as much as `ageing_ms` of
// later arrival: small jobs overtake large ones, but none starves. The key does
// not change with time, so a sorted set stays sorted.
order_key JobOrder(const policy_config& policy, micros arrival, size_t waiting);

// Penalty on the order of a team that holds more than its weighted share of the
// slots in use. `used` and `total` count tasks in flight; `share` is 0 to 1.
int64_t TeamPenalty(uint32_t used, uint32_t total, double share);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_POLICY_H_
