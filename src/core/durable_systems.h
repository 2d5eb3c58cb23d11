// Functions shared by the files of durable jobs. Private to src/core.
//
// Contents
//   [1] Writes and reads
//   [2] Ends
//   [3] Callers
//   [4] Ownership
//   [5] Adoption

#ifndef CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_

#include <string>
#include <vector>

#include "cassiaferry/entry.h"

namespace cassiaferry {

// Bits of a run number below the owner's epoch. Their range is far above the
// attempts of a task, including the steps over numbers that were refused.
constexpr uint32_t kEpochShift = 12;

// Run numbers of a task increase across its owners without a write for each,
// because the owner's epoch is their high part.
constexpr uint32_t FirstRun(uint32_t epoch) {
  return epoch << kEpochShift;
}

inline bool IsDurable(const leased_job& job) {
  return job.durable.stage != durable_stage::none;
}

// ---- [1] Writes and reads (durable_jobs.cc) ---------------------------------

journal_op_id WriteRows(durable_state& d,
                        row_transaction rows,
                        open_write purpose);
void ReadRows(entry_state& s, row_range range, open_read purpose);
// Remembers how a job ended, and schedules the removal of its ended row.
void RememberEnded(durable_state& d,
                   micros now,
                   const std::string& id,
                   const ended_job& ended);
void EraseDurableJob(entry_state& s, leased_job& job);
// The job's row has changed although no other entry has taken over: a caller
// has cancelled the job through another entry.
void HandleCancelledElsewhere(entry_state& s, micros now, leased_job& job);
// Handles another entry's notice that it has cancelled the job.
void HandleCancelRow(entry_state& s, micros now, const std::string& id);

// ---- [2] Ends (durable_ends.cc) ---------------------------------------------

void ResolveEnds(entry_state& s,
                 std::vector<unsaved_end>& ends,
                 end_disposition disposition);

// ---- [3] Callers (durable_callers.cc) ---------------------------------------

leased_job_state StateOf(leased_outcome outcome);
void AnswerQueries(entry_state& s,
                   leased_job& job,
                   leased_job_state state,
                   bool unavailable);
void AnswerOverdueQueries(entry_state& s, micros now);
void AnswerCancelRequests(entry_state& s, leased_job& job, bool known);
// Looks the job up in the store and answers the caller with its state, or
// is_cancel it.
void LookUpJob(entry_state& s,
               ticket_id ticket,
               const std::string& id,
               bool is_cancel);
void HandleLookUp(entry_state& s,
                  micros now,
                  const open_read& read,
                  const rows_reply& reply);
// Looks up a job unknown here, runs of which were found on a worker.
void LookUpForeignJob(entry_state& s, micros now, const std::string& id);
void HandleForeignJob(entry_state& s,
                      const open_read& read,
                      const rows_reply& reply);

// ---- [4] Ownership (durable_ownership.cc) -----------------------------------

void Depose(entry_state& s, micros now);
void CheckOwnership(entry_state& s, micros now);
void ReleaseJobs(entry_state& s, micros now);
void MaintainOwnRow(entry_state& s, micros now);
void RefreshOwnRowFields(entry_state& s, micros now);

// ---- [5] Adoption (durable_adoption.cc) -------------------------------------

void HandleOwnersPage(entry_state& s, micros now, const rows_reply& reply);
void HandleAdoptionPage(entry_state& s, micros now, const rows_reply& reply);
void HandleAdoptionWrite(entry_state& s,
                         micros now,
                         const open_write& write,
                         const journal_result& result);
void TickAdoption(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_
