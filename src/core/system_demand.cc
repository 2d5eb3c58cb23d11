// Demand of all entries for capacity, by queue.
//
// Contents
//   [1] Sums
//   [2] Sidecar
//   [3] Entry
//   [4] Text output

#include "cassiaferry/system_demand.h"

#include <algorithm>
#include <utility>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

namespace {

bool IsWithinLifetime(micros at, micros now) {
  return at.value != 0 && now - at <= kDemandLifetime;
}

}  // namespace

// ---- [1] Sums ---------------------------------------------------------------

void AddDemand(std::vector<queue_demand>& sums,
               const std::vector<queue_demand>& demand) {
  for (const queue_demand& d : demand) {
    const auto sum =
        std::find_if(sums.begin(), sums.end(),
                     [&](const queue_demand& s) { return s.queue == d.queue; });
    if (sum == sums.end()) {
      sums.push_back(d);
      continue;
    }
    sum->cpu_in_use += d.cpu_in_use;
    sum->cpu_waiting += d.cpu_waiting;
  }
}

// ---- [2] Sidecar ------------------------------------------------------------

void RecordDemand(entry_demand& d,
                  micros now,
                  std::vector<queue_demand> queues) {
  if (queues.empty())
    return;
  d.queues = std::move(queues);
  d.received_at = now;
}

bool IsCurrent(const entry_demand& d, micros now) {
  return IsWithinLifetime(d.received_at, now);
}

// ---- [3] Entry --------------------------------------------------------------

// Queues without demand are listed too: the frames after the last task waited
// replace what earlier ones said.
std::vector<queue_demand> MakeDemand(const cpu_by_queue& in_use,
                                     const cpu_by_queue& waiting) {
  std::vector<queue_demand> demand;
  for (const auto& [queue, cpu] : in_use)
    demand.push_back({queue, cpu, 0});
  std::vector<queue_demand> needed;
  for (const auto& [queue, cpu] : waiting)
    needed.push_back({queue, 0, cpu});
  AddDemand(demand, needed);
  return demand;
}

bool SendsDemand(const system_demand& d, micros now) {
  return IsWithinLifetime(d.last_waited, now);
}

void RecordSums(system_demand& d, micros now, const lease_reports& reports) {
  if (reports.demand_entries == 0)
    return;
  d.others = reports.demand;
  d.entries = reports.demand_entries;
  d.received_at = now;
}

bool HasCurrentSums(const system_demand& d, micros now) {
  return IsWithinLifetime(d.received_at, now);
}

cpu_by_queue CpuInUseForShares(const system_demand& d,
                               const cpu_by_queue& own,
                               micros now) {
  cpu_by_queue in_use = own;
  if (!HasCurrentSums(d, now))
    return in_use;
  for (const queue_demand& sum : d.others)
    in_use[sum.queue] += sum.cpu_in_use;
  return in_use;
}

// ---- [4] Text output --------------------------------------------------------

std::vector<queue_demand> SumsInUse(const system_demand& d, micros now) {
  std::vector<queue_demand> sums;
  if (!HasCurrentSums(d, now))
    return sums;
  AddDemand(sums, d.own);
  AddDemand(sums, d.others);
  return sums;
}

std::string SystemDemandPrometheusText(const system_demand& d, micros now) {
  std::string out;
  AppendMetric(out, "cassiaferry_demand_entries", "",
               HasCurrentSums(d, now) ? d.entries : 0);
  for (const queue_demand& sum : SumsInUse(d, now)) {
    const std::string label = "queue=\"" + sum.queue + "\"";
    AppendMetric(out, "cassiaferry_demand_cpu_in_use", label,
                 static_cast<double>(sum.cpu_in_use));
    AppendMetric(out, "cassiaferry_demand_cpu_waiting", label,
                 static_cast<double>(sum.cpu_waiting));
  }
  return out;
}

}  // namespace cassiaferry
