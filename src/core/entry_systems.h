// The entry's systems, as its own files call them. Private to src/core.
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

void SubmitJob(entry_state& s, micros now, job_submitted event);
void RefuseInvalid(entry_state& s, micros now, job_invalid event);
// False: of no job on the own interface.
bool HandleCallerGone(entry_state& s, micros now, ticket_id ticket);
void FailJob(entry_state& s,
             micros now,
             job_seq seq,
             reason why,
             const std::string& message,
             int64_t retry_after_ms);
void FinishTask(entry_state& s,
                micros now,
                worker_id worker,
                const result_record& result);  // ran, answered 200
void CheckDeadlines(entry_state& s, micros now);
void ApplyClaimDecisions(entry_state& s,
                         micros now);  // acts on decisions of the claims
void RequeueTask(entry_state& s,
                 const task_ref& task,
                 retry_reason why);  // provably not run: it waits again
job_row* FindJob(entry_state& s, job_seq seq);

// ---- [2] Dispatch (entry_dispatch.cc) ---------------------------------------

void QueueJob(entry_state& s,
              job_row& job);  // stands in the waiting table, if tasks wait
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
// Takes a newer, valid configuration; an older or invalid one changes nothing.
void AdoptConfig(entry_state& s, const config_document& document);
// What operators have closed, as read where they write it, or as told by
// another process.
void HandleClosedDomainsRead(entry_state& s, const closed_domains& read);
void HandleClosedDomainsReceived(entry_state& s, const closed_domains& told);
void HandleLinkLost(entry_state& s, micros now, link_id link);
void CheckWorkers(entry_state& s, micros now);
void FlushWorkers(entry_state& s, micros now);

// ---- [4] Health (entry_health.cc) -------------------------------------------

void RecordResult(entry_state& s,
                  micros now,
                  worker_row& worker,
                  const job_row& job,
                  const result_record& result);
bool AcceptsTasks(const worker_row& worker,
                  micros now);  // linked, announced, not ejected
bool HasCapacity(const worker_row& worker,
                 micros now);  // takes tasks, and is below its limit
uint32_t SlotLimit(const worker_row& worker);  // own tasks at once: fewer for a
                                               // slow or unproven worker
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
// A stopping entry has written its last word, or has no time left for it.
bool DurableJobsDrained(const entry_state& s, micros now);
void StartDurableJobs(leased_state& s, const entry_options& options);
// A new stream: `same_life` says whether the sidecar behind it is the one that
// the worker's runs were ordered of.
void StartLeaseStream(entry_state& s,
                      worker_id worker,
                      bool same_life,
                      entry_frame& frame);
// Nothing is placed there until its next report says that it takes work.
void SuspendPlacement(entry_state& s, worker_id worker);
// Runs, or ends of them, of this entry are open there.
bool LeasesActive(const entry_state& s, worker_id worker);
// Failure guarded against: starts go down with a stream that is dead in this
// direction alone, while reports keep coming: it is not silent, and the jobs
// would wait for their runs until their callers go.
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
