// Leased jobs while failure domains are closed to new work.
//
// Contents
//   [1] Jobs that need a closed domain
//   [2] Processors in use there

#include <algorithm>

#include "cassiaferry/leased_jobs.h"
#include "entry_systems.h"
#include "leased_admission.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// ---- [1] Jobs that need a closed domain -------------------------------------

// Whether workers in closed domains could run the step, and no others.
bool OnlyClosedDomainsFit(const entry_state& s,
                          const std::string& upstream,
                          const leased_step& step) {
  bool any = false;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    const leased_worker& w = s.leased.workers[i];
    const bool could = w.known && w.info.upstream == upstream &&
                       Fits(step.need, w.max_capacity) &&
                       HasLabel(w, step.label);
    if (could && !s.workers[i].closed)
      return false;
    any = any || could;
  }
  return any;
}

}  // namespace

bool NeedsClosedDomain(const entry_state& s, const leased_job& job) {
  return !s.closed_domains.known.domains.empty() &&
         std::any_of(job.steps.begin(), job.steps.end(),
                     [&](const leased_step& step) {
                       return OnlyClosedDomainsFit(s, job.queue.upstream, step);
                     });
}

// It is unknown when a domain reopens. The retry time is random, so that
// callers don't all return at the same moment.
failure ClosedDomainFailure(entry_state& s) {
  constexpr int64_t kRetryMs = 1000;
  constexpr int64_t kSpreadMs = 1000;
  const auto spread = static_cast<int64_t>(s.random() % kSpreadMs);
  return {verdict::not_run, reason::no_worker,
          "every worker that could run it is in a closed failure domain",
          kRetryMs + spread};
}

void RefuseJobsInClosedDomains(entry_state& s, micros now) {
  std::vector<leased_seq> shut_out;
  for (leased_seq seq : s.leased.waiting) {
    const leased_job& job = s.leased.jobs.at(seq);
    if (MayRefuse(job) && NeedsClosedDomain(s, job))
      shut_out.push_back(seq);
  }
  for (leased_seq seq : shut_out)
    Conclude(s, now, s.leased.jobs.at(seq), leased_outcome::refused,
             ClosedDomainFailure(s));
}

// ---- [2] Processors in use there --------------------------------------------

int64_t CpuInUseInClosedDomains(const entry_state& s) {
  int64_t cpu = 0;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (!s.workers[i].closed)
      continue;
    for (const auto& [ref, seq] : s.leased.workers[i].open_runs) {
      const auto job = s.leased.jobs.find(seq);
      if (job != s.leased.jobs.end())
        cpu += job->second.steps[ref.task.step].need.cpu;
    }
  }
  return cpu;
}

}  // namespace cassiaferry
