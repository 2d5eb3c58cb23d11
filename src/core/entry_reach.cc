// How many workers an entry asks for.
//
// Contents
//   [1] Need
//   [2] Labels
//   [3] Reach

#include <algorithm>

#include "cassiaferry/directory.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

constexpr micros kCheckInterval = Millis(50);
// Between two steps up: a row reaches the sidecars, and they dial, well within.
// Entries that are full at the same time don't all write at the same time.
constexpr micros kStepInterval = Millis(1000);
constexpr micros kStepSpread = Millis(1000);
// A reach or a label that was not needed for this long is given up.
constexpr micros kForgetAfter = Millis(30'000);
// Jobs wait for this long before more workers are asked for.
constexpr micros kFullAfter = Millis(150);
// Most reach for want of free resources. Failure guarded against: a burst fills
// all workers, and every entry asks for all of them.
constexpr uint32_t kMaxReachWhenFull = 4;
constexpr micros kFewAfter = Millis(3000);
// After it asked for all workers, an entry knows the largest of them.
constexpr micros kAllKnownAfter = Millis(2000);
// ... and asks for all again after this. Failure guarded against: callers that
// send jobs which fit nowhere keep a stream between each entry and each worker.
constexpr micros kAllKnownFor = Millis(300'000);

// ---- [1] Need ---------------------------------------------------------------

bool IsPartial(const entry_state& s) {
  return std::any_of(s.workers.begin(), s.workers.end(),
                     [](const worker_row& w) {
                       return w.state == worker_link::up && w.chooses_entries;
                     });
}

size_t WorkersUp(const entry_state& s) {
  return static_cast<size_t>(std::count_if(
      s.workers.begin(), s.workers.end(), [](const worker_row& w) {
        return w.state == worker_link::up && !w.is_released;
      }));
}

std::vector<leased_seq> JobsThatNeverFit(const entry_state& s) {
  std::vector<leased_seq> jobs;
  for (leased_seq seq : s.leased.waiting) {
    const leased_job& job = s.leased.jobs.at(seq);
    if (!job.started && !CanEverRun(s, job.queue, job.steps))
      jobs.push_back(seq);
  }
  return jobs;
}

bool KnowsAll(const reach_state& r, micros now) {
  return r.all_known_at.value != 0 && now - r.all_known_at < kAllKnownFor;
}

void RecordAllKnown(reach_state& r, micros now) {
  if (r.reach == kMaxReach && now - r.changed_at >= kAllKnownAfter)
    r.all_known_at = now;
}

bool IsFull(const entry_state& s, micros now) {
  return s.leased.wanted_cpu != 0 && now - s.leased.wanted_since > kFullAfter;
}

void RecordFew(entry_state& s, micros now) {
  reach_state& r = s.reach;
  if (WorkersUp(s) >= s.options.reach.few_workers)
    r.few_since = {};
  else if (r.few_since.value == 0)
    r.few_since = now;
}

// The reach that is needed now; 1: the usual one.
uint32_t NeededReach(const entry_state& s, micros now) {
  const reach_state& r = s.reach;
  const bool unfit = r.unfit_at.value != 0 && now - r.unfit_at < kAllKnownAfter;
  if (!KnowsAll(r, now) && (unfit || !JobsThatNeverFit(s).empty()))
    return kMaxReach;
  if (r.few_since.value != 0 && now - r.few_since > kFewAfter)
    return std::min(2 * r.reach, kMaxReach);
  if (IsFull(s, now))
    return std::max(std::min(2 * r.reach, kMaxReachWhenFull), r.reach);
  return r.least;
}

// ---- [2] Labels -------------------------------------------------------------

bool HasWorkerWith(const entry_state& s,
                   const std::string& upstream,
                   const std::string& label) {
  for (size_t i = 0; i < s.leased.workers.size(); ++i) {
    const leased_worker& w = s.leased.workers[i];
    if (s.workers[i].state == worker_link::up && w.known &&
        w.info.upstream == upstream && HasLabel(w, label))
      return true;
  }
  return false;
}

// Returns whether a label was added.
bool RecordLabels(entry_state& s, micros now) {
  reach_state& r = s.reach;
  bool added = false;
  for (leased_seq seq : s.leased.waiting) {
    const leased_job& job = s.leased.jobs.at(seq);
    for (const leased_step& step : job.steps) {
      if (step.label.empty())
        continue;
      const auto known = r.labels.find(step.label);
      if (known != r.labels.end()) {
        known->second = now;
      } else if (r.labels.size() < kMaxWantedLabels &&
                 !HasWorkerWith(s, job.queue.upstream, step.label)) {
        r.labels.emplace(step.label, now);
        added = true;
      }
    }
  }
  return added;
}

// ---- [3] Reach --------------------------------------------------------------

void Publish(entry_state& s, const char* why) {
  reach_changed change;
  change.reach = s.reach.reach;
  std::string labels;
  for (const auto& [label, needed_at] : s.reach.labels) {
    change.labels.push_back(label);
    labels += (labels.empty() ? "" : " ") + label;
  }
  s.actions.push_back(
      leased_decision{"reach changed", "",
                      std::string(why) + ", reach " +
                          std::to_string(change.reach) + ", labels [" + labels +
                          "], workers " + std::to_string(WorkersUp(s))});
  s.actions.push_back(std::move(change));
}

// Returns whether the reach changed.
bool UpdateReach(entry_state& s, micros now) {
  reach_state& r = s.reach;
  const uint32_t needed = NeededReach(s, now);
  if (needed >= r.reach)
    r.needed_at = now;
  if (needed > r.reach && now >= r.next_change) {
    if (r.few_since.value != 0)
      r.least = std::max(r.least, needed);
    r.reach = needed;
    r.changed_at = now;
    r.next_change = now + kStepInterval +
                    micros{static_cast<int64_t>(
                        s.random() % static_cast<uint64_t>(kStepSpread.value))};
    return true;
  }
  if (now - r.needed_at > kForgetAfter) {
    r.reach = needed;
    r.changed_at = now;
    return true;
  }
  return false;
}

void RefuseNeverFitting(entry_state& s, micros now) {
  for (leased_seq seq : JobsThatNeverFit(s)) {
    leased_job& job = s.leased.jobs.at(seq);
    // An accepted durable job is kept.
    if (job.durable.stage == durable_stage::none)
      Conclude(s, now, job, leased_outcome::refused, NeverRunnable());
  }
}

}  // namespace

bool MayReachMore(const entry_state& s, micros now) {
  return s.reach.is_partial && !KnowsAll(s.reach, now);
}

void TickReach(entry_state& s, micros now) {
  reach_state& r = s.reach;
  if (!s.leased.options.enabled || now - r.checked_at < kCheckInterval)
    return;
  r.checked_at = now;
  r.is_partial = IsPartial(s);
  if (!r.is_partial)
    return;
  RecordFew(s, now);
  const bool labels_added = RecordLabels(s, now);
  const size_t forgotten = std::erase_if(r.labels, [&](const auto& row) {
    return now - row.second > kForgetAfter;
  });
  RecordAllKnown(r, now);
  const bool reach_changed = UpdateReach(s, now);
  if (labels_added || reach_changed || forgotten > 0)
    Publish(s, labels_added    ? "a job needs a label"
               : reach_changed ? "workers needed"
                               : "a label is needed no more");
  if (!MayReachMore(s, now))
    RefuseNeverFitting(s, now);
}

}  // namespace cassiaferry
