// Order in which waiting leased jobs get room. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
#define CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_

#include <vector>

#include "cassiaferry/leased_jobs.h"

namespace cassiaferry {

// All waiting jobs, first to be served first.
std::vector<leased_seq> ServeOrder(const leased_state& s, micros now);

// Those of `order` (as ServeOrder gave it) that have not started and, by the
// work that stands before them, can't be of use any more: to be refused now.
// Each needs processors, and its payload a part of this entry's link.
// `free_cpu`: room that workers have left, thousandths of a core.
std::vector<leased_seq> Hopeless(const leased_state& s,
                                 const std::vector<leased_seq>& order,
                                 int64_t free_cpu,
                                 micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
