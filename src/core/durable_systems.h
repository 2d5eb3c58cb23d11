// What the files of durable jobs share. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_

#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

// Runs of one owner's epoch are numbered below this many; far above the
// attempts of a task, with the steps over numbers that were refused.
constexpr uint32_t kEpochShift = 12;

// ---- durable_jobs.cc

journal_op_id WriteRows(durable_state& d,
                        row_transaction rows,
                        open_write purpose);
void ReadRows(entry_state& s, row_range range, open_read purpose);
// Keeps what is known of a job past its end, and sweeps its row later.
void RememberEnded(durable_state& d,
                   micros now,
                   const std::string& id,
                   const ended_job& ended);
// Answers the caller with what the store says of the job, or cancels it.
void LookUpJob(entry_state& s,
               ticket_id ticket,
               const std::string& id,
               bool cancels);
// Runs of a job unknown here were found on a worker: does it live?
void LookUpStranger(entry_state& s, micros now, const std::string& id);
// Another entry has cancelled the job.
void TakeCancelRow(entry_state& s, micros now, const std::string& id);

// ---- durable_adoption.cc

void TakeOwners(entry_state& s, micros now, const rows_reply& reply);
void TakeAdoptionPage(entry_state& s, micros now, const rows_reply& reply);
void TakeAdoptionWrite(entry_state& s,
                       micros now,
                       const open_write& write,
                       const journal_result& result);
void TickAdoption(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_DURABLE_SYSTEMS_H_
