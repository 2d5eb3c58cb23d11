// Order in which waiting leased jobs get room. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
#define CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_

#include <vector>

#include "cassiaferry/leased_jobs.h"

namespace cassiaferry {

// All waiting jobs, first to be served first.
std::vector<leased_seq> ServeOrder(const leased_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_ORDER_H_
