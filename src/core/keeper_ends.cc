// Ends of leased runs at a sidecar: told to owners, held until they are stored.
//
// Contents
//   [1] Telling
//   [2] Holding
//   [3] Settling
//   [4] Owners that are gone

#include "cassiaferry/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "keeper_systems.h"

namespace cassiaferry {

// ---- [1] Telling ------------------------------------------------------------

namespace {

// An end is of use to its owner at once if it may be the last of its step here,
// or went badly. Others go with it, or with the next heartbeat: a job of eight
// tasks on one worker costs its entry one frame instead of eight. Room that
// waits for a task is offered at once all the same (GrantRoom).
bool IsUrgent(const keeper_state& k,
              incarnation owner,
              const run_ref& ref,
              run_end_kind how) {
  if (how != run_end_kind::done)
    return true;
  leased_task first = ref.task;
  first.index = 0;
  for (auto it = k.runs.lower_bound(first); it != k.runs.end(); ++it) {
    const leased_task& task = it->first;
    if (task.job != first.job || task.occurrence != first.occurrence ||
        task.step != first.step)
      return true;
    if (it->second.owner == owner && it->second.state != run_state::stopping)
      return false;
  }
  return true;
}

}  // namespace

void TellEnd(keeper_state& k,
             incarnation owner_name,
             const run_ref& ref,
             run_end_kind how,
             uint32_t run_ms,
             uint64_t listed) {
  const auto it = k.owners.find(owner_name);
  if (it == k.owners.end())
    return;
  run_owner& owner = it->second;
  ++k.runs_ended[static_cast<size_t>(how)];
  owner.ends.push_back({{owner.next_end++, ref, how, run_ms}, listed});
  owner.due = owner.due || IsUrgent(k, owner_name, ref, how);
}

// ---- [2] Holding ------------------------------------------------------------

// Failure guarded against: a worker that has been told that an end is known
// forgets it; if its job's owner dies before it has stored the end, the next
// owner runs the task again. So the end is acknowledged after it is stored.
void HoldEnd(keeper_state& k,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms) {
  const bool counts =
      end.how == run_end_kind::done || end.how == run_end_kind::failed;
  if (!counts)
    return;
  const bool claimed = k.owners.count(owner) != 0;
  k.held[end.number] = {
      {0, end.ref, end.how, run_ms}, owner, now, claimed, false};
}

// Ends up to this number may be forgotten by the worker.
uint64_t AckedEnds(const keeper_state& k) {
  return k.held.empty() ? k.seen : k.held.begin()->first - 1;
}

namespace {

void NoteEnd(keeper_state& k,
             const kept_run& run,
             run_end_kind how,
             uint32_t run_ms) {
  Note(k, "run ended",
       ToText(run.start.ref) + ", " + ToText(how) + ", after_ms " +
           std::to_string(run_ms) + ", owner " + ToHex(run.owner.value));
}

}  // namespace

// `listed`: the worker's number of the end; 0: it listed none.
void EndRun(keeper_state& k,
            micros now,
            const leased_task& task,
            run_end_kind how,
            uint64_t listed) {
  const auto it = k.runs.find(task);
  const kept_run run = std::move(it->second);
  k.runs.erase(it);
  k.used = k.used - run.start.need;
  if (WaitsForRoom(run)) {
    k.waiting_room = k.waiting_room - run.start.need;
    how = listed == 0 ? run_end_kind::never_started : how;
  }
  const auto run_ms = static_cast<uint32_t>(ToMillis(now - run.since));
  NoteEnd(k, run, how, run_ms);
  if (run.start.durable && listed != 0)
    HoldEnd(k, now, run.owner, {listed, run.start.ref, how}, run_ms);
  TellEnd(k, run.owner, run.start.ref, how, run_ms,
          k.held.count(listed) != 0 ? listed : 0);
}

void EndAll(keeper_state& k, micros now, run_end_kind how) {
  while (!k.runs.empty())
    EndRun(k, now, leased_task(k.runs.begin()->first), how);
  k.waiting.clear();
}

bool HasEnd(const run_owner& owner, const run_ref& ref) {
  return std::any_of(owner.ends.begin(), owner.ends.end(),
                     [&](const told_end& e) { return e.end.ref == ref; });
}

// ---- [3] Settling -----------------------------------------------------------

void AckEnds(keeper_state& k, run_owner& owner, uint64_t through) {
  while (!owner.ends.empty() && owner.ends.front().end.number <= through) {
    k.held.erase(owner.ends.front().listed);
    owner.ends.pop_front();
    if (owner.ends_told > 0)
      --owner.ends_told;
  }
}

namespace {

// The end stands in no owner's list any more.
void Unclaim(keeper_state& k, uint64_t listed) {
  held_end& held = k.held[listed];
  held.claimed = false;
  const auto it = k.owners.find(held.owner);
  if (it == k.owners.end())
    return;
  for (told_end& told : it->second.ends) {
    if (told.listed == listed)
      told.listed = 0;
  }
}

void BeginLapse(keeper_state& k, micros now) {
  if (k.lapsing_until.value != 0)
    return;
  // A process before this one may have granted a lease until just before this
  // one met the worker, and by the clock of a life before.
  const micros granted_before =
      k.life_since + PassedAfter(k.options.bounds.longest);
  k.lapsing_until =
      std::max({now, k.lease_over, granted_before}) + k.options.bounds.margin;
  Note(k, "lease left to lapse",
       "an end came too late, runs " + std::to_string(k.runs.size()));
}

}  // namespace

void SettleHeld(keeper_state& k,
                micros now,
                incarnation by,
                const settled_end& settled) {
  constexpr const char* kFates[] = {"forgotten", "lease must lapse",
                                    "offered to others"};
  for (auto it = k.held.begin(); it != k.held.end(); ++it) {
    if (it->second.end.ref != settled.ref)
      continue;
    Note(k, "held end settled",
         ToText(settled.ref) + ", " +
             kFates[static_cast<size_t>(settled.fate)] + ", by " +
             ToHex(by.value));
    if (settled.fate == end_fate::forget) {
      k.held.erase(it);
      return;
    }
    Unclaim(k, it->first);
    if (settled.fate == end_fate::lapse) {
      it->second.lapse = true;
      BeginLapse(k, now);
    }
    return;
  }
}

// Every run there has ended with the lease: what was to be forgotten after that
// is.
void CheckLapse(keeper_state& k, micros now) {
  if (k.lapsing_until.value == 0 || now < k.lapsing_until)
    return;
  k.lapsing_until = {};
  std::erase_if(k.held, [](const auto& row) { return row.second.lapse; });
}

// ---- [4] Owners that are gone -----------------------------------------------

namespace {

constexpr size_t kMostUnclaimed = 200;  // in one report

}  // namespace

// Failure guarded against: the owner of a run that has ended is dead. Whoever
// takes its jobs over learns from here what their tasks came to.
std::vector<run_end> UnclaimedEnds(const keeper_state& k, micros now) {
  std::vector<run_end> ends;
  for (const auto& [number, held] : k.held) {
    const bool heard = held.claimed && Vouched(k, now, held.owner) &&
                       now - held.since < k.options.unclaimed_after;
    if (!heard && !held.lapse && ends.size() < kMostUnclaimed)
      ends.push_back(held.end);
  }
  return ends;
}

void ForgetOwner(keeper_state& k, incarnation owner) {
  for (auto& [number, held] : k.held)
    held.claimed = held.claimed && held.owner != owner;
  k.owners.erase(owner);
}

}  // namespace cassiaferry
