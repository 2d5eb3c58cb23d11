// Lives of the worker beside a sidecar: begun by its announcements, or by an
// answer that names another start; ended by another life's answer at its
// address. Words about a life (another one's announcement, a goodbye) may be
// late: they end none.
//
// Contents
//   [1] Ends
//   [2] Begins
//   [3] Announcements
//   [4] Goodbyes

#include "cassiaferry/lease_keeper.h"

#include <algorithm>
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

namespace {

void NoteOver(keeper_state& k, const worker_life& life) {
  if (k.past_lives.size() >= kMaxPastLives)
    k.past_lives.clear();
  k.past_lives.insert(life);
}

// What this life listed, numbered and ran is no more.
void EndLife(keeper_state& k) {
  k.has_worker = false;
  k.announced = false;
  k.looks_open = 0;
  k.strays.clear();
  k.held.clear();
  k.lapsing_until = {};
  for (auto& [name, owner] : k.owners) {
    owner.due = true;
    for (told_end& told : owner.ends)
      told.listed = 0;
  }
}

// ---- [2] Begins -------------------------------------------------------------

// Failure guarded against: orders to the life before reach this one, if it has
// the same id, or what an earlier sidecar started still runs. Nothing starts
// until the worker has seen a fence above all of them, and has listed nothing
// that this process doesn't know.
void BeginLife(keeper_state& k, micros now, const worker_life& life) {
  k.past_lives.erase(life);
  ++k.lives_met;
  k.has_worker = true;
  k.announced = false;
  k.worker.life = life;
  k.sequence = 0;
  k.draining = false;
  k.opened = false;
  k.has_clock = false;
  k.seen = 0;
  k.life_since = now;
  k.last_answer = now;
  k.asked_in_vain = false;
  k.left = false;
  k.fence = std::max(k.fence + 1, k.options.first_fence);
  k.pace = 1;
  k.pace_told = 1;
  for (auto& [name, owner] : k.owners)
    owner.due = true;
}

}  // namespace

// Failure guarded against: a worker starts again under its id, and what is
// known of the life before is held against the new one. Its announcements and
// the ends of its runs, numbered from 1 again, pass for known ones: tasks that
// are done count as lost, and run again; it says that it leaves, and still gets
// work. So its start is a part of its name, and all that was numbered is
// forgotten with the life before.
//
// What was ordered of that life is over, unless the order reached the new one.
// So each run is stopped there under its number, and told as lost once the
// worker has answered that and doesn't list it: then it can't begin any more.
void BeginAgain(keeper_state& k, micros now, const worker_life& life) {
  Note(k, "worker started again",
       ToText(life) + ", before " + std::to_string(k.worker.life.started_ms) +
           ", runs " + std::to_string(k.runs.size()));
  NoteOver(k, k.worker.life);
  EndLife(k);
  BeginLife(k, now, life);
  // What was granted by the clock of the life before may be as long as the
  // worker allows.
  k.lease_over =
      std::max(k.lease_over, now + PassedAfter(k.options.bounds.longest));
  for (auto& [task, run] : k.runs) {
    run.life_over = true;
    if (WaitsForRoom(run))
      run.state = run_state::withdrawn;
    else
      AskToStop(k, now, run);
  }
}

// ---- [3] Announcements ------------------------------------------------------

namespace {

// Failure guarded against: an announcement held up by a cut arrives after its
// sender has crashed and a new life has announced itself. Lives that are over
// stay over, also those that this process has never met: they started earlier.
// Should the worker's clock have gone back, its answers tell which life it is.
bool IsOver(const keeper_state& k, const worker_life& life) {
  if (k.past_lives.count(life) != 0)
    return true;
  return k.has_worker && life.started_ms != 0 &&
         life.started_ms < k.worker.life.started_ms;
}

void NotePassedOver(keeper_state& k,
                    const leased_worker_announced& e,
                    const std::string& why) {
  Note(k, "announcement passed over",
       ToText(e.info.life) + ", number " + std::to_string(e.sequence) +
           (e.draining ? ", draining; " : "; ") + why);
}

// Of the id called, or of any if none is.
void MeetLife(keeper_state& k, micros now, const worker_life& life) {
  if (!k.has_worker)
    BeginLife(k, now, life);
  else if (k.worker.life != life)
    BeginAgain(k, now, life);
}

void TakeInfo(keeper_state& k, const leased_worker_announced& e) {
  const bool first = !k.announced;
  const bool changed = k.draining != e.draining || !(k.worker == e.info);
  k.announced = true;
  k.sequence = e.sequence;
  k.draining = e.draining;
  k.worker = e.info;
  if (!first && !changed)
    return;
  const char* what = first        ? "worker announced"
                     : e.draining ? "worker drains"
                                  : "worker changed";
  Note(k, what,
       ToText(e.info.life) + ", cpu " + std::to_string(e.info.capacity.cpu) +
           (e.draining ? ", draining" : ""));
  for (auto& [name, owner] : k.owners) {
    owner.worker_told = false;
    owner.due = true;
  }
}

// Failure guarded against: an announcement of an earlier life, held up in the
// network, reaches a process that hasn't met that life since its own start. The
// order of the two is unknown, or told by clocks that may have gone back. Taken
// for a new life, it would end runs that go on, and the true life would be
// called no more.
void AskAbout(keeper_state& k, micros now, leased_worker_announced e) {
  const bool asks = !k.successor;
  if (asks || k.successor->info.life != e.info.life)
    Note(k, "announcement of another life, the worker is asked",
         ToText(k.worker.life) + ", announced " + ToText(e.info.life) +
             ", runs " + std::to_string(k.runs.size()));
  k.successor = std::move(e);
  if (!asks)
    return;
  k.asked_after = k.looks_sent;
  k.asked_in_vain = false;
  CallLook(k, now);
}

void AdoptSuccessor(keeper_state& k, micros now) {
  if (!k.successor)
    return;
  const leased_worker_announced e = std::move(*k.successor);
  k.successor.reset();
  BeginLife(k, now, e.info.life);
  TakeInfo(k, e);
}

}  // namespace

void PassOverSuccessor(keeper_state& k) {
  if (!k.successor)
    return;
  NotePassedOver(k, *k.successor,
                 "the worker answers as " + ToText(k.worker.life));
  k.successor.reset();
}

// A life that was only silent may be announced again, and is then called again.
void LoseWorker(keeper_state& k,
                micros now,
                life_proof proof,
                const std::string& why) {
  Note(k, "worker lost",
       ToText(k.worker.life) + ", runs " + std::to_string(k.runs.size()) +
           ", " + why);
  EndAll(k, now, run_end_kind::lost);
  if (proof == life_proof::answer || k.left)
    NoteOver(k, k.worker.life);
  EndLife(k);
  AdoptSuccessor(k, now);
}

void Announce(keeper_state& k, micros now, leased_worker_announced e) {
  worker_life& life = e.info.life;
  if (k.has_worker && life.started_ms == 0 && life.id == k.worker.life.id)
    life = k.worker.life;
  if (IsOver(k, life)) {
    NotePassedOver(k, e, "that life is over");
    return;
  }
  if (k.has_worker && k.worker.life.id != life.id) {
    AskAbout(k, now, std::move(e));
    return;
  }
  MeetLife(k, now, life);
  if (k.left) {
    NotePassedOver(k, e, "that life has said goodbye");
    return;
  }
  if (k.announced && e.sequence < k.sequence) {
    NotePassedOver(k, e, "newest known " + std::to_string(k.sequence));
    return;
  }
  TakeInfo(k, e);
}

// ---- [4] Goodbyes -----------------------------------------------------------

namespace {

// It can end within the lease that is left, and has more work behind it than
// waiting for that lease takes, should the worker end first: nobody learns
// before then that it is over.
bool IsWorthFinishing(const keeper_state& k, micros now, const kept_run& run) {
  if (run.state != run_state::running || run.percent == 0)
    return false;
  const micros margin = k.options.bounds.margin;
  const micros age = now - run.since;
  const micros left{age.value * (100 - run.percent) / run.percent};
  return now + left + margin <= k.lease_over &&
         now + age >= k.lease_over + margin;
}

}  // namespace

// Failure guarded against: a worker that has said goodbye still has to end, and
// goes on for seconds if its goodbye isn't confirmed. Runs that count as lost
// by then start elsewhere beside those here. No lease is extended after it, so
// what can't end within the one it has is stopped: while the worker answers,
// that shows sooner that the run is over.
void TakeGoodbye(keeper_state& k, micros now, const worker_life& life) {
  const bool untold = life.started_ms == 0 && life.id == k.worker.life.id;
  if (!k.has_worker || k.left || !(untold || life == k.worker.life))
    return;
  Note(k, "worker said goodbye",
       ToText(k.worker.life) + ", runs " + std::to_string(k.runs.size()));
  k.left = true;
  for (auto& [task, run] : k.runs) {
    if (!IsWorthFinishing(k, now, run))
      StopRun(k, now, run);
  }
  StartWaiting(k, now);
  for (auto& [name, owner] : k.owners)
    owner.due = true;
}

}  // namespace cassiaferry
