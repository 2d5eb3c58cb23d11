// Demand of all entries for capacity, by queue.
//
// Entries whose tasks wait for capacity send their demand to sidecars. Each
// sidecar keeps the newest demand of each entry and reports sums over the
// others to every entry that has sent its own. Entries compute fair shares of
// queues from these sums.
//
// Pure functions over plain structs: part of the ticks of entry and sidecar.
//
// Contents
//   [1] Sums
//   [2] Sidecar
//   [3] Entry
//   [4] Text output

#ifndef CASSIAFERRY_SYSTEM_DEMAND_H_
#define CASSIAFERRY_SYSTEM_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/leases.h"

namespace cassiaferry {

// Demand and sums are used for this long after they were received, and an entry
// sends its demand for this long after its tasks last waited. Waiting entries
// exchange several frames with each sidecar in this time.
constexpr micros kDemandLifetime = Millis(1000);

// ---- [1] Sums ---------------------------------------------------------------

using cpu_by_queue = std::map<std::string, int64_t>;  // thousandths of a core

// Adds the demand to the sums, queue by queue.
void AddDemand(std::vector<queue_demand>& sums,
               const std::vector<queue_demand>& demand);

// ---- [2] Sidecar ------------------------------------------------------------

// The newest demand of one entry, as known to a sidecar.
struct entry_demand {
  std::vector<queue_demand> queues;
  micros received_at{0};  // 0: none received yet
};

// Stores the demand of a frame. An empty one changes nothing: the entry has not
// sent any.
void RecordDemand(entry_demand& d,
                  micros now,
                  std::vector<queue_demand> queues);
bool IsCurrent(const entry_demand& d, micros now);

// ---- [3] Entry --------------------------------------------------------------

// The demand of all entries, as known to one entry.
struct system_demand {
  std::vector<queue_demand> own;     // as of the newest tick
  std::vector<queue_demand> others;  // sums over the other entries
  uint32_t entries = 0;              // in these sums, this one included
  micros received_at{0};             // when the sums arrived; 0: none yet
  micros last_waited{0};  // when own tasks last waited for capacity; 0: never
  bool logged_in_use = false;  // whether sums were in use, as last logged
};

std::vector<queue_demand> MakeDemand(const cpu_by_queue& in_use,
                                     const cpu_by_queue& waiting);
// Whether frames to sidecars carry the own demand.
bool SendsDemand(const system_demand& d, micros now);
// Stores the sums of a sidecar's report, if it has any.
void RecordSums(system_demand& d, micros now, const lease_reports& reports);
// Whether the sums are recent enough for use.
bool HasCurrentSums(const system_demand& d, micros now);
// The processors that each queue uses: of all entries if the sums are current,
// else of this entry alone. `own` is what this entry's runs use now.
cpu_by_queue CpuInUseForShares(const system_demand& d,
                               const cpu_by_queue& own,
                               micros now);

// ---- [4] Text output --------------------------------------------------------

// The sums in use, this entry's demand included; empty without current sums.
std::vector<queue_demand> SumsInUse(const system_demand& d, micros now);
std::string SystemDemandPrometheusText(const system_demand& d, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SYSTEM_DEMAND_H_
