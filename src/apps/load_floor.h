// The floor of any policy: one central queue over all slots, with no message
// delay, for the very jobs that a run sends.

#ifndef CASSIAFERRY_SRC_APPS_LOAD_FLOOR_H_
#define CASSIAFERRY_SRC_APPS_LOAD_FLOOR_H_

#include <vector>

#include "load_shape.h"

namespace cassiaferry {

enum class floor_order : uint8_t { first_come, fewest_remaining };

// Response of each job in milliseconds, in the order of `jobs`.
std::vector<double> CentralQueue(const std::vector<planned_job>& jobs,
                                 uint32_t slots,
                                 floor_order order);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_LOAD_FLOOR_H_
