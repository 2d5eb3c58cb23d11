// Lives of the worker beside a sidecar: begun by its announcements, ended by
// its goodbye, another life's announcement, or an answer of another life.
//
// Contents
//   [1] Ends
//   [2] Begins
//   [3] Announcements

#include "cassiaferry/lease_keeper.h"

#include <utility>

#include "keeper_systems.h"

namespace cassiaferry {

namespace {

constexpr size_t kMaxPastLives = 1000;

}  // namespace

// ---- [1] Ends ---------------------------------------------------------------

void Open(keeper_state& k) {
  if (k.opened)
    return;
  k.opened = true;
  for (auto& [name, owner] : k.owners)
    owner.due = true;
}

// The worker is gone, and with it all that ran there.
void LoseWorker(keeper_state& k, micros now) {
  Note(k, "worker lost",
       k.worker.life + ", runs " + std::to_string(k.runs.size()));
  EndAll(k, now, run_end_kind::lost);
  k.strays.clear();
  k.held.clear();
  k.lapsing_until = {};
  if (k.past_lives.size() >= kMaxPastLives)
    k.past_lives.clear();
  k.past_lives.insert(k.worker.life);
  k.has_worker = false;
  k.looks_open = 0;
  Open(k);
  for (auto& [name, owner] : k.owners) {
    owner.due = true;
    for (told_end& told : owner.ends)
      told.listed = 0;
  }
}

// ---- [2] Begins -------------------------------------------------------------

namespace {

void BeginLife(keeper_state& k, micros now, const leased_worker_announced& e) {
  const bool first = k.past_lives.empty();
  k.has_worker = true;
  k.worker = e.info;
  k.sequence = e.sequence;
  k.draining = e.draining;
  k.has_clock = false;
  k.seen = 0;
  k.looks_open = 0;
  k.life_since = now;
  k.last_answer = now;
  k.fence = std::max(k.fence, k.options.first_fence);
  k.pace = 1;
  k.pace_told = 1;
  Note(k, "worker announced",
       e.info.life + ", cpu " + std::to_string(e.info.capacity.cpu) +
           (e.draining ? ", draining" : ""));
  // The first life that this process meets may run what an earlier sidecar
  // started there. A later one is new, and runs nothing.
  k.opened = !first;
  for (auto& [name, owner] : k.owners) {
    owner.worker_told = false;
    owner.due = true;
  }
}

}  // namespace

// ---- [3] Announcements ------------------------------------------------------

// Failure guarded against: an announcement held up by a cut arrives after its
// sender has crashed and a new life has announced itself. Lives that are over
// stay over, and within a life the sequence number only grows.
void Announce(keeper_state& k, micros now, const leased_worker_announced& e) {
  if (k.past_lives.count(e.info.life) != 0) {
    Note(k, "announcement passed over", e.info.life + ", that life is over");
    return;
  }
  if (k.has_worker && k.worker.life != e.info.life)
    LoseWorker(k, now);
  if (!k.has_worker) {
    BeginLife(k, now, e);
    return;
  }
  if (e.sequence < k.sequence) {
    Note(k, "announcement passed over",
         e.info.life + ", number " + std::to_string(e.sequence) +
             ", newest known " + std::to_string(k.sequence) +
             (e.draining ? ", draining" : ""));
    return;
  }
  k.sequence = e.sequence;
  const bool changed = k.draining != e.draining || !(k.worker == e.info);
  k.draining = e.draining;
  k.worker = e.info;
  if (!changed)
    return;
  Note(k, e.draining ? "worker drains" : "worker changed", e.info.life);
  for (auto& [name, owner] : k.owners) {
    owner.worker_told = false;
    owner.due = true;
  }
}

}  // namespace cassiaferry
