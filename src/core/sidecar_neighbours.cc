// The neighbours of a sidecar: which entries it dials, and which streams it
// gives back.
//
// Contents
//   [1] Entries
//   [2] Choice
//   [3] Dials

#include <algorithm>

#include "durable_systems.h"
#include "lease_manager_systems.h"
#include "sidecar_systems.h"

namespace cassiaferry {

// ---- [1] Entries ------------------------------------------------------------

entry_id AddEntryAddress(sidecar_state& s,
                         const std::string& address,
                         bool is_seed) {
  for (size_t i = 0; i < s.links.size(); ++i) {
    if (s.links[i].address == address)
      return entry_id{static_cast<uint32_t>(i)};
  }
  entry_link link;
  link.address = address;
  link.is_seed = is_seed;
  link.rank = NeighbourRank(s.options.name, address);
  s.links.push_back(std::move(link));
  s.choice_due = true;
  return entry_id{static_cast<uint32_t>(s.links.size() - 1)};
}

void UpdateDirectoryRow(sidecar_state& s, const directory_row& row) {
  const entry_id id = AddEntryAddress(s, row.link, false);
  entry_link& link = s.links[id.value];
  if (link.row == row)
    return;
  link.row = row;
  s.choice_due = true;
}

// ---- [2] Choice -------------------------------------------------------------

namespace {

// Between two choices if nothing they rest on is known to have changed.
constexpr micros kChoiceInterval = Millis(500);

bool WantsLabelOf(const directory_row& row, const leased_worker_info& worker) {
  return std::any_of(
      row.labels.begin(), row.labels.end(), [&](const std::string& label) {
        return std::find(worker.labels.begin(), worker.labels.end(), label) !=
               worker.labels.end();
      });
}

// Whether tasks, runs or results of the entry are here. Failure guarded
// against: its stream breaks, and an entry that is no neighbour is not dialled
// any more and never hears of them.
bool HasOpenWork(const sidecar_state& s, const entry_link& link) {
  const auto entry = s.entries.find(link.entry);
  if (entry != s.entries.end() && !entry->second.results.empty())
    return true;
  const auto task = s.running.lower_bound({link.entry, {}});
  if (task != s.running.end() && task->first.entry == link.entry)
    return true;
  const auto owner = s.lease_manager.owners.find(link.entry);
  return HasRuns(s.lease_manager, link.entry) ||
         (owner != s.lease_manager.owners.end() && !owner->second.ends.empty());
}

// Failure guarded against: the owner of a durable run that has ended here is
// gone, and the entry that takes over its job is no neighbour, never hears of
// the end, and runs the task again. Ends of runs that are not durable matter to
// nobody: any entry says so.
bool NeedsAllEntries(const sidecar_state& s, micros now) {
  if (s.lease_manager.held_ends.empty())
    return false;
  const std::vector<run_end> ends = UnclaimedEnds(s.lease_manager, now);
  const uint32_t first_durable = FirstRun(durable_job_state().epoch);
  return std::any_of(ends.begin(), ends.end(), [&](const run_end& end) {
    return end.ref.run >= first_durable;
  });
}

// An entry that starts again is back within this; only then another one takes
// its place.
constexpr micros kReplaceAfter = Millis(1000);

bool IsReachable(const entry_link& link, micros now) {
  return link.state == link_state::up || link.first_failed.value == 0 ||
         now - link.first_failed < kReplaceAfter;
}

// Without entries that are gone; `indices`: of their links.
std::vector<neighbour_candidate> Candidates(const sidecar_state& s,
                                            micros now,
                                            std::vector<size_t>& indices) {
  const bool all = NeedsAllEntries(s, now);
  std::vector<neighbour_candidate> candidates;
  for (size_t i = 0; i < s.links.size(); ++i) {
    const entry_link& link = s.links[i];
    if (IsGone(link, now))
      continue;
    neighbour_candidate c;
    c.rank = link.rank;
    c.near = link.row.failure_domain == s.options.failure_domain;
    c.reachable = IsReachable(link, now);
    c.required = all || HasOpenWork(s, link) ||
                 WantsLabelOf(link.row, s.lease_manager.worker);
    c.reach = link.row.reach;
    candidates.push_back(c);
    indices.push_back(i);
  }
  return candidates;
}

void LogChoice(sidecar_state& s, size_t known, size_t added, size_t removed) {
  const auto neighbours =
      std::count_if(s.links.begin(), s.links.end(),
                    [](const entry_link& link) { return link.is_neighbour; });
  s.actions.emplace_back(lease_manager_action{lease_manager_log{
      "neighbours chosen", "entries " + std::to_string(known) +
                               ", neighbours " + std::to_string(neighbours) +
                               ", added " + std::to_string(added) +
                               ", removed " + std::to_string(removed)}});
}

void Choose(sidecar_state& s, micros now) {
  s.choice_due = false;
  s.chosen_at = now;
  std::vector<size_t> indices;
  const std::vector<neighbour_candidate> candidates =
      Candidates(s, now, indices);
  const std::vector<bool> chosen =
      ChooseNeighbours(candidates, s.options.neighbours);
  s.chooses_entries = candidates.size() > s.options.neighbours.all_up_to;
  size_t added = 0;
  size_t removed = 0;
  for (size_t i = 0; i < indices.size(); ++i) {
    entry_link& link = s.links[indices[i]];
    added += chosen[i] && !link.is_neighbour ? 1 : 0;
    removed += !chosen[i] && link.is_neighbour ? 1 : 0;
    if (!chosen[i] && link.is_neighbour)
      link.not_neighbour_since = now;
    link.is_neighbour = chosen[i];
  }
  if (added + removed > 0)
    LogChoice(s, candidates.size(), added, removed);
}

// The entry closes the stream, not this sidecar. Failure guarded against: a
// start is on its way when the stream is closed, and its entry can't know for
// seconds whether it was carried out.
void ReleaseStreams(sidecar_state& s, micros now) {
  for (entry_link& link : s.links) {
    const bool released =
        !link.is_neighbour && link.state == link_state::up &&
        now - link.not_neighbour_since > s.options.neighbours.release_after;
    link.must_send = link.must_send || released != link.is_released;
    link.is_released = released;
  }
}

}  // namespace

void TickNeighbours(sidecar_state& s, micros now) {
  if (s.choice_due || now - s.chosen_at > kChoiceInterval)
    Choose(s, now);
  ReleaseStreams(s, now);
}

std::string NeighboursPrometheusText(const sidecar_state& s) {
  size_t neighbours = 0;
  size_t up = 0;
  for (const entry_link& link : s.links) {
    neighbours += link.is_neighbour ? 1 : 0;
    up += link.state == link_state::up ? 1 : 0;
  }
  std::string out;
  AppendMetric(out, "cassiaferry_entries_known", "",
               static_cast<double>(s.links.size()));
  AppendMetric(out, "cassiaferry_neighbours", "",
               static_cast<double>(neighbours));
  AppendMetric(out, "cassiaferry_streams_up", "", static_cast<double>(up));
  AppendMetric(out, "cassiaferry_dials_total", "",
               static_cast<double>(s.dials));
  return out;
}

// ---- [3] Dials --------------------------------------------------------------

namespace {

constexpr micros kGoneDialInterval = Millis(30'000);

}  // namespace

// The more entries don't answer, the longer each waits: after a loss of all
// entries, dials don't take the processors of those that come back. Dials
// spread at random are not all made at the same moment.
micros NextDial(sidecar_state& s, micros now, const entry_link& link) {
  if (IsGone(link, now))
    return now + kGoneDialInterval;
  const auto failing = std::count_if(
      s.links.begin(), s.links.end(), [&](const entry_link& link) {
        return link.is_neighbour && link.state != link_state::up &&
               link.first_failed.value != 0 && !IsGone(link, now);
      });
  const int64_t paced = s.options.neighbours.dial_interval.value * failing;
  if (paced <= s.options.redial.value)
    return now + s.options.redial;
  const auto spread = static_cast<uint64_t>(paced);
  return now + micros{paced / 2 + static_cast<int64_t>(s.random() % spread)};
}

micros DialTimeout(const sidecar_state& s, const entry_link& link) {
  constexpr uint32_t kMostDoublings = 3;
  const uint32_t doublings = std::min(link.failed_dials, kMostDoublings);
  return micros{s.options.timing.silence_timeout.value << doublings};
}

bool IsGone(const entry_link& link, micros now) {
  return !link.is_seed && link.first_failed.value != 0 &&
         now - link.first_failed > Millis(60'000);
}

}  // namespace cassiaferry
