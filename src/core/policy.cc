// Dispatch policies.

#include "cassiaferry/policy.h"

#include <algorithm>
#include <numeric>

namespace cassiaferry {

namespace {

// A team that exceeds its share of the slots in use by 0.1 is ordered as if its
// jobs had arrived 6 s later.
constexpr double kPenaltyMicros = 60e6;

size_t RandomBelow(size_t bound, random_source& random) {
  return std::uniform_int_distribution<size_t>(0, bound - 1)(random);
}

double FreeShare(const worker_choice& w) {
  return static_cast<double>(w.free) / std::max(1u, w.slots) /
         std::max(1.0, w.speed);
}

}  // namespace

size_t PickRandom(const std::vector<worker_choice>& workers,
                  random_source& random) {
  return RandomBelow(workers.size(), random);
}

size_t PickRoundRobin(const std::vector<worker_choice>& workers,
                      uint64_t& turn) {
  return turn++ % workers.size();
}

size_t PickLeastLoaded(const std::vector<worker_choice>& workers,
                       uint32_t choices,
                       random_source& random) {
  size_t best = RandomBelow(workers.size(), random);
  for (uint32_t i = 1; i < choices; ++i) {
    const size_t other = RandomBelow(workers.size(), random);
    if (workers[other].load < workers[best].load)
      best = other;
  }
  return best;
}

std::optional<size_t> PickFreest(const std::vector<worker_choice>& workers,
                                 random_source& random) {
  std::optional<size_t> best;
  double best_share = 0;
  size_t ties = 0;
  for (size_t i = 0; i < workers.size(); ++i) {
    const double share = FreeShare(workers[i]);
    if (workers[i].free == 0 || share < best_share)
      continue;
    ties = share > best_share ? 1 : ties + 1;
    best_share = share;
    if (ties == 1 || RandomBelow(ties, random) == 0)
      best = i;
  }
  return best;
}

std::vector<size_t> PickProbes(const std::vector<worker_choice>& workers,
                               size_t count,
                               random_source& random) {
  std::vector<size_t> order(workers.size());
  std::iota(order.begin(), order.end(), 0);
  std::vector<size_t> picked;
  picked.reserve(count);
  while (picked.size() < count) {
    std::shuffle(order.begin(), order.end(), random);
    for (size_t i = 0; i < order.size() && picked.size() < count; ++i)
      picked.push_back(order[i]);
  }
  return picked;
}

order_key JobOrder(const policy_config& policy,
                   micros arrival,
                   size_t waiting) {
  if (policy.order == job_order::first_come)
    return order_key{arrival.value};
  const int64_t weight_ms = std::min(
      policy.ageing_ms * static_cast<int64_t>(waiting), policy.ageing_cap_ms);
  return order_key{arrival.value + weight_ms * 1000};
}

int64_t TeamPenalty(uint32_t used, uint32_t total, double share) {
  if (total == 0)
    return 0;
  const double over = static_cast<double>(used) / total - share;
  return over <= 0 ? 0 : static_cast<int64_t>(over * kPenaltyMicros);
}

}  // namespace cassiaferry
