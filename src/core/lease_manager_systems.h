// What the files of the lease keeper share. Private to src/core.
//
// Contents
//   [1] Keeper
//   [2] Lives
//   [3] Ends
//   [4] Pace

#ifndef CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_

#include <string>
#include <vector>

#include "cassiaferry/lease_manager.h"

namespace cassiaferry {

// ---- [1] Keeper (lease_manager.cc)
// -------------------------------------------

void LogChange(lease_manager_state& k, const char* what, std::string detail);
bool HasOwnerLease(const lease_manager_state& k, micros now, incarnation owner);
// The worker has not been called.
inline bool WaitsForResources(const managed_run& run) {
  return run.state == run_state::waiting || run.state == run_state::withdrawn;
}
// Calls the worker, once more if it was called before; extends its lease.
void CallStart(lease_manager_state& k, micros now, managed_run& run);
// Asks what runs, beside a look that is under way: that one's answer is passed
// over.
void CallPoll(lease_manager_state& k, micros now);
// What waits for room starts, or is refused when it has waited for too long.
void StartWaiting(lease_manager_state& k, micros now);
// Asks the worker to stop a run that it may have been told to start.
void RequestStop(lease_manager_state& k, micros now, managed_run& run);
// The run's end is told once the worker lists it, or no longer runs it.
void StopRun(lease_manager_state& k, micros now, managed_run& run);

// ---- [2] Lives (lease_manager_sessions.cc)
// --------------------------------------------

// Nothing runs on the worker that this process doesn't know.
void MarkReconciled(lease_manager_state& k);
// What shows that nothing runs on a life any more.
enum class session_end_proof : uint8_t {
  answer,  // the life is over: another one answers in its place
  lease,   // it is silent, and no lease that it was granted can be left
};
// Nothing of what ran there does any more. `why`: for the log.
void LoseWorker(lease_manager_state& k,
                micros now,
                session_end_proof proof,
                const std::string& why);
// Some word says that the life called is over, and its answers don't show it
// yet: nothing new starts there.
inline bool SessionMayBeOver(const lease_manager_state& k) {
  return k.successor.has_value() || k.deregistered;
}
// The life called has answered since the other one was announced.
void IgnoreSuccessor(lease_manager_state& k);
// The worker has started again under its id, as this life.
void HandleWorkerRestart(lease_manager_state& k,
                         micros now,
                         const worker_session& life);
void HandleAnnouncement(lease_manager_state& k,
                        micros now,
                        leased_worker_announced e);
void HandleDeregistration(lease_manager_state& k,
                          micros now,
                          const worker_session& life);

// ---- [3] Ends (lease_manager_ends.cc)
// ----------------------------------------------

void ReportEnd(lease_manager_state& k,
               incarnation owner_name,
               const run_ref& ref,
               run_end_kind how,
               uint32_t run_ms,
               uint64_t listed = 0);
void HoldEnd(lease_manager_state& k,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms);
// Ends up to this number may be forgotten by the worker.
uint64_t AckedEnds(const lease_manager_state& k);
// `listed`: the worker's number of the end; 0: it listed none.
void EndRun(lease_manager_state& k,
            micros now,
            const leased_task& task,
            run_end_kind how,
            uint64_t listed = 0);
void EndAll(lease_manager_state& k, micros now, run_end_kind how);
bool HasEnd(const run_owner& owner, const run_ref& ref);
void AckEnds(lease_manager_state& k, run_owner& owner, uint64_t through);
void ResolveHeldEnd(lease_manager_state& k,
                    micros now,
                    incarnation by,
                    const resolved_end& settled);
void CheckLeaseExpiry(lease_manager_state& k, micros now);
std::vector<run_end> UnclaimedEnds(const lease_manager_state& k, micros now);

// ---- [4] Pace (lease_manager_pace.cc)
// ----------------------------------------------

void AddProgress(lease_manager_state& k,
                 micros now,
                 managed_run& run,
                 uint32_t percent);
void MeasurePace(lease_manager_state& k, micros now);
// A slow worker that gets nothing would be slow for ever.
void DecayPace(lease_manager_state& k, micros now);
void FindStragglers(lease_manager_state& k, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_
