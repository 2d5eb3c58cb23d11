// Choice of a sidecar's neighbours.

#include "cassiaferry/neighbours.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace cassiaferry {

namespace {

// Chooses among the near candidates, or among the far ones, in order of rank.
// Returns the number chosen that are reachable.
size_t ChooseByRank(const std::vector<neighbour_candidate>& candidates,
                    const std::vector<size_t>& order,
                    bool near,
                    size_t wanted,
                    std::vector<bool>& chosen) {
  constexpr size_t kMostWithUnreachable = 2;  // times the number wanted
  size_t before = 0;
  size_t reachable_before = 0;
  size_t chosen_reachable = 0;
  for (size_t i : order) {
    const neighbour_candidate& c = candidates[i];
    if (c.near != near)
      continue;
    const size_t most = wanted * c.reach;
    const bool ranks =
        reachable_before < most && before < kMostWithUnreachable * most;
    chosen[i] = ranks || c.required;
    ++before;
    reachable_before += c.reachable ? 1 : 0;
    chosen_reachable += chosen[i] && c.reachable ? 1 : 0;
  }
  return chosen_reachable;
}

}  // namespace

uint64_t NeighbourRank(const std::string& sidecar, const std::string& address) {
  const uint64_t seed = XXH64(sidecar.data(), sidecar.size(), 0);
  return XXH64(address.data(), address.size(), seed);
}

std::vector<bool> ChooseNeighbours(
    const std::vector<neighbour_candidate>& candidates,
    const neighbour_options& options) {
  if (candidates.size() <= options.all_up_to)
    return std::vector<bool>(candidates.size(), true);
  std::vector<size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return candidates[a].rank < candidates[b].rank;
  });
  std::vector<bool> chosen(candidates.size(), false);
  const size_t near =
      ChooseByRank(candidates, order, true, options.near, chosen);
  const size_t lacking = options.near - std::min(options.near, near);
  ChooseByRank(candidates, order, false, options.far + lacking, chosen);
  return chosen;
}

}  // namespace cassiaferry
