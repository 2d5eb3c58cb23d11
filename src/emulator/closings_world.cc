// The emulated world's closed failure domains: what operators write, how
// entries read it, and what must not start.
//
// Contents
//   [1] Operators
//   [2] Entries
//   [3] What must hold

#include <algorithm>
#include <string>

#include "leased_world.h"

namespace cassiaferry::emulator {

namespace {

constexpr micros kReadEvery =
    Millis(50);                        // by an entry that has missed a change
constexpr uint64_t kVersionStep = 10;  // other rows change in between

}  // namespace

// ---- [1] Operators ----------------------------------------------------------

void world::CloseDomain(int domain) {
  const std::string name = std::to_string(domain);
  closings.domains.insert(name);
  closed_at.emplace(name, now);
  Log("operator", "closes domain " + name);
  WriteClosings();
}

void world::OpenDomain(int domain) {
  const std::string name = std::to_string(domain);
  closed_at.erase(name);
  if (closings.domains.erase(name) == 0)
    return;
  Log("operator", "opens domain " + name);
  WriteClosings();
}

void world::WriteClosings() {
  closings.version.value += kVersionStep;
  closings_told_.clear();
  if (!tells_closings_)
    TellClosings();
}

// ---- [2] Entries ------------------------------------------------------------

bool world::ReachesStore(int entry) {
  return entries[static_cast<size_t>(entry)].state == process_state::up &&
         store_cut_until_[entry] <= now && !store.down && !store.silent;
}

// Who reads late reads the table whole, as of a later moment.
void world::TellClosings() {
  tells_closings_ = true;
  for (int i = 0; i < options.entries; ++i) {
    emulated_entry& e = entries[static_cast<size_t>(i)];
    const bool told = closings_told_[i] == e.lives;
    if (told || !ReachesStore(i))
      continue;
    closings_told_[i] = e.lives;
    closed_domains read = closings;
    read.version.value +=
        static_cast<uint64_t>(now.value / 1000) % kVersionStep;
    At(now + Millis(store.answer_ms), [this, i, life = e.lives, read] {
      emulated_entry& same = entries[static_cast<size_t>(i)];
      if (same.lives != life)
        return;
      same.inbox.emplace_back(closed_domains_read{read});
      WakeEntry(i);
    });
  }
  At(now + kReadEvery, [this] { TellClosings(); });
}

// ---- [3] What must hold -----------------------------------------------------

// Since when some entry has reached both the store and the sidecar.
micros world::InTouchSince(int sidecar) {
  micros since = now;
  for (int i = 0; i < options.entries; ++i) {
    const std::pair<int, int> pair{i, sidecar};
    const micros calm = std::max({entry_trouble_until_[i], store_cut_until_[i],
                                  cut_to_sidecar_[pair], cut_to_entry_[pair]});
    since = std::min(since, calm);
  }
  return std::max(
      {since, sidecar_trouble_until_[sidecar], store_trouble_until_});
}

// A start that got no answer may be called again: it was admitted before.
void world::CheckClosed(int sidecar, const call_run_start& call) {
  const sidecar_state& s = *sidecars[static_cast<size_t>(sidecar)].core;
  const auto run = s.lease_manager.runs.find(call.start.ref.task);
  if (run != s.lease_manager.runs.end() && run->second.start_attempts > 1)
    return;
  const std::string& domain = s.options.failure_domain;
  if (IsClosed(s.closed_domains, domain))
    Broken("started where its sidecar knows that it is closed: " +
           call.start.ref.task.job);
  const auto closed = closed_at.find(domain);
  if (closed != closed_at.end() &&
      now > std::max(closed->second, InTouchSince(sidecar)) +
                options.close_within)
    Broken("started in a closed domain: " + call.start.ref.task.job);
}

}  // namespace cassiaferry::emulator
