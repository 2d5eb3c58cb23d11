// What the files of the lease keeper share. Private to src/core.
//
// Contents
//   [1] Keeper
//   [2] Lives
//   [3] Ends
//   [4] Pace

#ifndef CASSIAFERRY_SRC_CORE_KEEPER_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_KEEPER_SYSTEMS_H_

#include <string>
#include <vector>

#include "cassiaferry/lease_keeper.h"

namespace cassiaferry {

// ---- [1] Keeper (lease_keeper.cc) -------------------------------------------

void Note(keeper_state& k, const char* what, std::string detail);
bool Vouched(const keeper_state& k, micros now, incarnation owner);
// The worker has not been called.
inline bool WaitsForRoom(const kept_run& run) {
  return run.state == run_state::waiting || run.state == run_state::withdrawn;
}
// Calls the worker, once more if it was called before; extends its lease.
void CallStart(keeper_state& k, micros now, kept_run& run);
// Asks what runs, beside a look that is under way: that one's answer is passed
// over.
void CallLook(keeper_state& k, micros now);
// What waits for room starts, or is refused when it has waited for too long.
void StartWaiting(keeper_state& k, micros now);
// Asks the worker to stop a run that it may have been told to start.
void AskToStop(keeper_state& k, micros now, kept_run& run);
// The run's end is told once the worker lists it, or no longer runs it.
void StopRun(keeper_state& k, micros now, kept_run& run);

// ---- [2] Lives (keeper_lives.cc) --------------------------------------------

// Nothing runs on the worker that this process doesn't know.
void Open(keeper_state& k);
// What shows that nothing runs on a life any more.
enum class life_proof : uint8_t {
  answer,  // the life is over: another one answers in its place
  lease,   // it is silent, and no lease that it was granted can be left
};
// Nothing of what ran there does any more. `why`: for the log.
void LoseWorker(keeper_state& k,
                micros now,
                life_proof proof,
                const std::string& why);
// Some word says that the life called is over, and its answers don't show it
// yet: nothing new starts there.
inline bool MayBeOver(const keeper_state& k) {
  return k.successor.has_value() || k.left;
}
// The life called has answered since the other one was announced.
void PassOverSuccessor(keeper_state& k);
// The worker has started again under its id, as this life.
void BeginAgain(keeper_state& k, micros now, const worker_life& life);
void Announce(keeper_state& k, micros now, leased_worker_announced e);
void TakeGoodbye(keeper_state& k, micros now, const worker_life& life);

// ---- [3] Ends (keeper_ends.cc) ----------------------------------------------

void TellEnd(keeper_state& k,
             incarnation owner_name,
             const run_ref& ref,
             run_end_kind how,
             uint32_t run_ms,
             uint64_t listed = 0);
void HoldEnd(keeper_state& k,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms);
// Ends up to this number may be forgotten by the worker.
uint64_t AckedEnds(const keeper_state& k);
// `listed`: the worker's number of the end; 0: it listed none.
void EndRun(keeper_state& k,
            micros now,
            const leased_task& task,
            run_end_kind how,
            uint64_t listed = 0);
void EndAll(keeper_state& k, micros now, run_end_kind how);
bool HasEnd(const run_owner& owner, const run_ref& ref);
void AckEnds(keeper_state& k, run_owner& owner, uint64_t through);
void SettleHeld(keeper_state& k,
                micros now,
                incarnation by,
                const settled_end& settled);
void CheckLapse(keeper_state& k, micros now);
std::vector<run_end> UnclaimedEnds(const keeper_state& k, micros now);

// ---- [4] Pace (keeper_pace.cc) ----------------------------------------------

void AddProgress(keeper_state& k, micros now, kept_run& run, uint32_t percent);
void MeasurePace(keeper_state& k, micros now);
// A slow worker that gets nothing would be slow for ever.
void FadePace(keeper_state& k, micros now);
void FindStragglers(keeper_state& k, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_KEEPER_SYSTEMS_H_
