// Order in which waiting leased jobs get capacity. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
#define CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_

#include <vector>

#include "cassiaferry/leased_jobs.h"

namespace cassiaferry {

// Returns all waiting jobs in the order in which they are served.
std::vector<leased_seq> ServeOrder(const leased_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
