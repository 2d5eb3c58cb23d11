// How the runs of an entry end on one worker.

#include "cassiaferry/run_outcomes.h"

#include <algorithm>

namespace cassiaferry {

namespace {

constexpr size_t kMaxOutcomes = 8;
constexpr double kDecay = 0.8;  // of an outcome's weight, with each newer one
constexpr double kFailingShare = 0.5;
// Longer than the pause between two probes and a probe's run. Tasks on a worker
// that gets one at a time may take far longer, and must not wait for its end.
constexpr micros kMaxAge = Millis(2000);
// At most this part of the workers counts as failing, or one: the others have
// room for more than half of the work.
constexpr size_t kFailingOneOf = 3;

void UpdateShare(run_outcomes& o) {
  o.failure_share = 0;
  for (const run_outcome& outcome : o.by_job)
    o.failure_share =
        o.failure_share * kDecay + (outcome.failed ? 1 - kDecay : 0);
}

}  // namespace

bool RecordOutcome(run_outcomes& o, micros now, leased_seq job, bool failed) {
  const auto same =
      std::find_if(o.by_job.begin(), o.by_job.end(),
                   [&](const run_outcome& other) { return other.job == job; });
  const bool is_known = same != o.by_job.end() && same->failed && failed;
  if (same != o.by_job.end())
    o.by_job.erase(same);
  o.by_job.push_back({job, failed});
  if (o.by_job.size() > kMaxOutcomes)
    o.by_job.pop_front();
  o.newest_at = now;
  UpdateShare(o);
  return !is_known;
}

void ForgetOldOutcomes(run_outcomes& o, micros now) {
  if (o.by_job.empty() || now - o.newest_at < kMaxAge)
    return;
  o.by_job.clear();
  o.failure_share = 0;
}

bool LooksFailing(const run_outcomes& o) {
  return o.failure_share > kFailingShare;
}

bool MayCountAsFailing(size_t failing, size_t workers) {
  return (failing + 1) * kFailingOneOf <= workers ||
         (failing == 0 && workers > 1);
}

}  // namespace cassiaferry
