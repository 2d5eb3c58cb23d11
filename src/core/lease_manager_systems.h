// Functions shared by the source files of the lease manager. Private to
// src/core.
//
// Contents
//   [1] Manager
//   [2] Sessions
//   [3] Ends
//   [4] Pace

#ifndef CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_

#include <string>
#include <vector>

#include "cassiaferry/lease_manager.h"

namespace cassiaferry {

// ---- [1] Manager (lease_manager.cc) -----------------------------------------

void LogChange(lease_manager_state& m, const char* what, std::string detail);
// Whether to make a routine line about the job, or about none if the id is
// empty. Counts the line if not.
bool WantsRoutine(lease_manager_state& m,
                  const char* what,
                  const std::string& job);
void LogRoutine(lease_manager_state& m,
                const char* what,
                const std::string& job,
                std::string detail);
bool HasOwnerLease(const lease_manager_state& m, micros now, incarnation owner);
// Whether the run waits for resources; the worker has not been called for it.
inline bool WaitsForResources(const managed_run& run) {
  return run.state == run_state::waiting || run.state == run_state::withdrawn;
}
// Whether a run of this length that starts now would end before the worker's
// lease does: always, while the lease may be extended.
bool LeaseLasts(const lease_manager_state& m, micros now, int64_t run_ms);
// Sends the start to the worker, again if it was sent before; extends the
// lease, if it may be extended.
void CallStart(lease_manager_state& m, micros now, managed_run& run);
// Sends a status poll. If another poll is open, its answer will be ignored.
void CallPoll(lease_manager_state& m, micros now);
// Starts the waiting runs for which resources are free, and refuses those that
// have waited too long.
void StartWaiting(lease_manager_state& m, micros now);
// Sends a stop for a run whose start the worker may have received.
void RequestStop(lease_manager_state& m, micros now, managed_run& run);
// Stops a run. Its end is reported once the worker lists the end or no longer
// lists the run.
void StopRun(lease_manager_state& m, micros now, managed_run& run);

// ---- [2] Sessions (lease_manager_sessions.cc) -------------------------------

// Records that this process knows every run on the worker.
void MarkReconciled(lease_manager_state& m);
// The evidence that no run of a session is left.
enum class session_end_proof : uint8_t {
  answer,  // another session answers at its address
  lease,   // it is silent, and no lease granted to it can be left
};
// Ends the current session; its runs are reported as lost. `why`: for the log.
void LoseWorker(lease_manager_state& m,
                micros now,
                session_end_proof proof,
                const std::string& why);
// Whether an announcement or a deregistration says that the current session is
// over while its answers don't show that yet. Nothing new starts then.
inline bool SessionMayBeOver(const lease_manager_state& m) {
  return m.successor.has_value() || m.deregistered;
}
// Drops the announced successor: the current session has answered since.
void IgnoreSuccessor(lease_manager_state& m);
// Handles the start of a new session under the same worker id.
void HandleWorkerRestart(lease_manager_state& m,
                         micros now,
                         const worker_session& session);
void HandleAnnouncement(lease_manager_state& m,
                        micros now,
                        leased_worker_announced e);
void HandleDeregistration(lease_manager_state& m,
                          micros now,
                          const worker_session& session);
// Calls the recorded session, unless a session is known or was known.
void HandleRecordRead(lease_manager_state& m,
                      micros now,
                      leased_worker_info info);
// Drops the record, if there is one. No session is known afterwards.
void DropRecord(lease_manager_state& m, const std::string& why);
// Handles the start time in an answer of the recorded session. Returns false if
// it dropped the record.
bool VerifyRecord(lease_manager_state& m, int64_t started_ms);

// ---- [3] Ends (lease_manager_ends.cc) ---------------------------------------

void ReportEnd(lease_manager_state& m,
               incarnation owner_name,
               const run_ref& ref,
               run_end_kind kind,
               uint32_t run_ms,
               uint64_t listed = 0);
void HoldEnd(lease_manager_state& m,
             micros now,
             incarnation owner,
             const listed_end& end,
             uint32_t run_ms);
// The number up to which the worker may forget its ends.
uint64_t AckedEnds(const lease_manager_state& m);
// Ends a run and reports that to its owner. `listed`: the worker's number of
// the end; 0: the worker has listed none.
void EndRun(lease_manager_state& m,
            micros now,
            const leased_task& task,
            run_end_kind kind,
            uint64_t listed = 0);
void EndAll(lease_manager_state& m, micros now, run_end_kind kind);
bool HasEnd(const run_owner& owner, const run_ref& ref);
void AckEnds(lease_manager_state& m, run_owner& owner, uint64_t through);
void ResolveHeldEnd(lease_manager_state& m,
                    micros now,
                    incarnation by,
                    const resolved_end& resolved);
void CheckLeaseExpiry(lease_manager_state& m, micros now);
std::vector<run_end> UnclaimedEnds(const lease_manager_state& m, micros now);

// ---- [4] Pace (lease_manager_pace.cc) ---------------------------------------

void AddProgress(lease_manager_state& m,
                 micros now,
                 managed_run& run,
                 uint32_t percent);
void MeasurePace(lease_manager_state& m, micros now);
// Moves the pace of a worker without runs back towards 1.
void DecayPace(lease_manager_state& m, micros now);
void FindStragglers(lease_manager_state& m, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASE_MANAGER_SYSTEMS_H_
