// Internal functions of the entry, shared by its source files. Private to
// src/core.
//
// Contents
//   [1] Jobs
//   [2] Dispatch
//   [3] Links
//   [4] Health
//   [5] Leased jobs

#ifndef CASSIAFERRY_SRC_CORE_ENTRY_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_ENTRY_SYSTEMS_H_

#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

// ---- [1] Jobs (entry_jobs.cc) -----------------------------------------------

// Asks for more workers while those that have streams here don't suffice, and
// refuses jobs that no worker at all can hold.
void TickReach(entry_state& s, micros now);
// Whether workers that have no stream here may still be reached.
bool MayReachMore(const entry_state& s, micros now);
failure NeverRunnable();

// When a job arrived, from which its caller's deadline counts. Failure guarded
// against: this process stood still, or is short of processor time, while the
// request waited in its socket. Counted from its reading, the deadline would
// pass after the caller has given up, and tasks would start for nobody.
micros ArrivalOf(micros received, micros now);
void SubmitJob(entry_state& s, micros now, job_submitted event);
void RefuseInvalid(entry_state& s, micros now, job_invalid event);
// False if the ticket belongs to no job of this kind (it may be a leased
// job's).
bool HandleCallerGone(entry_state& s, micros now, ticket_id ticket);
void FailJob(entry_state& s,
             micros now,
             job_seq seq,
             reason cause,
             const std::string& message,
             int64_t retry_after_ms);
// For a task that ran and that its upstream answered with 200.
void FinishTask(entry_state& s,
                micros now,
                worker_id worker,
                const result_record& result);
void CheckDeadlines(entry_state& s, micros now);
// Applies decisions on claims: their jobs start, are answered or fail.
void ApplyClaimDecisions(entry_state& s, micros now);
// Returns a task that provably did not run to the waiting ones.
void RequeueTask(entry_state& s, const task_ref& task, retry_reason cause);
job_row* FindJob(entry_state& s, job_seq seq);

// ---- [2] Dispatch (entry_dispatch.cc) ---------------------------------------

// Adds the job to the waiting table if any of its tasks wait.
void QueueJob(entry_state& s, job_row& job);
void UnqueueJob(entry_state& s, job_row& job);
void CancelProbes(entry_state& s, job_row& job);
void Dispatch(entry_state& s, micros now);
void AnswerOffers(entry_state& s,
                  micros now,
                  worker_id worker,
                  const sidecar_frame& frame);
void NotifyBacklogs(entry_state& s, micros now);
// Order of the first waiting job that this worker may serve; kNoBacklog: none,
// or the worker is held back.
order_key BacklogFor(const entry_state& s,
                     micros now,
                     const worker_row& worker);

// ---- [3] Links (entry_links.cc) ---------------------------------------------

void HandleSidecarFrame(entry_state& s,
                        micros now,
                        const sidecar_frame_received& event);
// Adopts a newer, valid configuration; an older or invalid one changes nothing.
void AdoptConfig(entry_state& s, const config_document& document);
// Closed failure domains, as read from the operators' store or as received from
// another process.
void HandleClosedDomainsRead(entry_state& s, const closed_domains& read);
void HandleClosedDomainsReceived(entry_state& s,
                                 const closed_domains& received);
void HandleLinkLost(entry_state& s, micros now, link_id link);
void CheckWorkers(entry_state& s, micros now);
void FlushWorkers(entry_state& s, micros now);

// ---- [4] Health (entry_health.cc) -------------------------------------------

void RecordResult(entry_state& s,
                  micros now,
                  worker_row& worker,
                  const job_row& job,
                  const result_record& result);
// Whether its stream is up, its upstream is ready, it is not ejected and its
// domain is not closed.
bool AcceptsTasks(const worker_row& worker, micros now);
// Whether it accepts tasks and is below its slot limit.
bool HasCapacity(const worker_row& worker, micros now);
// Maximum number of this entry's tasks there at once; reduced for slow workers
// and on probation.
uint32_t SlotLimit(const worker_row& worker);
void MeasureDrainRate(entry_state& s, micros now);

// ---- [5] Leased jobs (leased_jobs.cc) ---------------------------------------

void SubmitLeasedJob(entry_state& s, micros now, leased_job_submitted event);
void HandleLeasedCallerGone(entry_state& s, micros now, ticket_id ticket);
void CancelLeasedJob(entry_state& s,
                     micros now,
                     ticket_id ticket,
                     const std::string& id);
void AnswerLeasedState(entry_state& s,
                       micros now,
                       ticket_id ticket,
                       const std::string& id);
void HandleStoreAnswer(entry_state& s, micros now, const store_answered& event);
// Whether a stopping entry has written all that it must store, or its time for
// that is over.
bool DurableJobsDrained(const entry_state& s, micros now);
void StartDurableJobs(leased_state& s, const entry_options& options);
// Begins a new stream. `same_incarnation`: the sidecar is the process that the
// worker's runs were ordered from.
void StartLeaseStream(entry_state& s,
                      worker_id worker,
                      bool same_incarnation,
                      entry_frame& frame);
// Places nothing there until its next report says that it takes work.
void SuspendPlacement(entry_state& s, worker_id worker);
// Whether runs of this entry, or ends of them, are open there.
bool LeasesActive(const entry_state& s, worker_id worker);
// Whether starts sent there have stayed unconfirmed for too long. Failure
// guarded against: a stream is dead in this direction only while reports keep
// arriving; it is not silent, and jobs wait for their runs until their callers
// leave.
bool StartsUnconfirmed(const entry_state& s, micros now, worker_id worker);
void HandleReports(entry_state& s,
                   micros now,
                   worker_id worker,
                   const lease_reports& reports);
void AttachOrders(entry_state& s,
                  micros now,
                  worker_id worker,
                  entry_frame& frame);
void TickLeasedJobs(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_ENTRY_SYSTEMS_H_
