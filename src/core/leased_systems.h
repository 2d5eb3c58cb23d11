// What the files of leased jobs share. Private to src/core.
//
// Contents
//   [1] Jobs and tasks
//   [2] Answers
//   [3] Ends
//   [4] Workers
//   [5] Choosing and placing
//   [6] Closed failure domains
//   [7] Durable jobs

#ifndef CASSIAFERRY_SRC_CORE_LEASED_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_LEASED_SYSTEMS_H_

#include <optional>
#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

// ---- [1] Jobs and tasks (leased_jobs.cc) ------------------------------------

leased_job* FindLeasedJob(leased_state& s, leased_seq seq);
leased_job* FindLeasedJob(leased_state& s, const std::string& id);
leased_task_row* FindTask(leased_job& job, const leased_task& task);
run_ref RefOf(const leased_task_row& row);
void LogJob(entry_state& s,
            const char* what,
            const leased_job& job,
            std::string detail);

void MakeTasks(leased_job& job, uint32_t first_run);
void SetBounds(leased_job& job, micros now, micros wait, double ratio);
leased_job& AddLeasedJob(leased_state& s, leased_job job);
// Tasks whose earlier steps are done wait for room.
void ReleaseTasks(leased_state& s, leased_job& job);
void Dequeue(leased_state& s, leased_job& job);
// Processor room that each queue's tasks hold, for their fair shares.
void AddCpuInUse(leased_state& s,
                 const leased_job& job,
                 const leased_task_row& row,
                 int sign);
// Sends stops for whatever of the job is placed, and forgets it there. A stop
// that is lost with its stream is made up for when the next one begins: the
// run is then not among those this entry names.
void StopRuns(entry_state& s, leased_job& job);
void EraseLeasedJob(entry_state& s, leased_job& job);

// ---- [2] Answers (leased_jobs.cc) -------------------------------------------

void AnswerTickets(entry_state& s,
                   leased_job& job,
                   leased_outcome outcome,
                   const failure& why);
// Counts, logs and answers.
void CountOutcome(entry_state& s,
                  micros now,
                  const leased_job& job,
                  leased_outcome outcome,
                  const failure& why);
// ... and ends the job here.
void Conclude(entry_state& s,
              micros now,
              leased_job& job,
              leased_outcome outcome,
              const failure& why);
// ... or, if it is durable, once its end is stored.
void EndJob(entry_state& s,
            micros now,
            leased_job& job,
            leased_outcome outcome,
            const failure& why);
// `inputs`: what decided it, for the log alone.
void RefuseTicket(entry_state& s,
                  ticket_id ticket,
                  const std::string& id,
                  failure why,
                  const std::string& inputs = "");

// ---- [3] Ends (leased_jobs.cc) ----------------------------------------------

void HandleRunEnd(entry_state& s, micros now, worker_id id, const run_end& end);
void LogRefusedStarts(entry_state& s,
                      worker_id id,
                      const std::vector<run_end>& ends);
// The task is done, by whichever run.
void FinishLeasedTask(entry_state& s,
                      micros now,
                      leased_job& job,
                      leased_task_row& row);
// A run has failed: counts against the task's attempts. True: the job failed.
bool CountFailedRun(entry_state& s,
                    micros now,
                    leased_job& job,
                    leased_task_row& row);

// ---- [4] Workers (leased_workers.cc) ----------------------------------------

// Overdue jobs leave this share of a worker's processors to others. Load comes
// in bursts around four fifths of the room.
constexpr double kSpareShare = 0.3;

lease_orders& OrdersFor(entry_state& s, worker_id id);
// Slow against the others, or most of its newest runs failed.
bool IsUnhealthy(const entry_state& s, const leased_worker& w);
// A run on the worker failed, or was moved off it: if it is sick, the next one
// waits.
void RecordBadProbe(leased_worker& w, micros now);
leased_worker& WorkerOf(entry_state& s, worker_id id);
resources AvailableResources(const leased_worker& w);
bool HasLabel(const leased_worker& w, const std::string& label);
bool MayPlaceOn(const entry_state& s,
                worker_id id,
                const leased_job& job,
                const leased_step& step);
void MeasureUsualPace(leased_state& l);
// Runs on workers that have been silent for long enough are over.
void EndLostRuns(entry_state& s, micros now);

// ---- [5] Choosing and placing (leased_choice.cc, leased_placing.cc) ---------

// The worker may have one more task of the job's step.
bool MayPlaceOneMore(const entry_state& s,
                     worker_id id,
                     const leased_job& job,
                     uint32_t step);
// The best of some that fit, with room for most of so many tasks alike.
std::optional<worker_id> ChooseWorker(entry_state& s,
                                      micros now,
                                      const leased_job& job,
                                      uint32_t step,
                                      uint32_t tasks);
void FollowWorkers(entry_state& s, micros now);
void PlaceWaiting(entry_state& s, micros now);
void PlaceOverdue(entry_state& s, micros now);
// This entry acts too late for the job, which is among those that it leaves.
bool RefusesNewWork(entry_state& s, const leased_job& job);
// How late this process acts, for the log.
std::string LatenessText(const lateness& l);
// When the work that waits here is done, as fast as work is done now, and up to
// half as long again: callers that were refused together don't come back
// together.
int64_t RetryAfterMs(entry_state& s);

// ---- [6] Closed failure domains (leased_closed_domains.cc)
// ------------------------

// A step of the job could run on workers of closed domains alone.
bool NeedsClosedDomain(const entry_state& s, const leased_job& job);
failure ClosedDomainFailure(entry_state& s);
// Refuses what waits, has not started, and is shut out.
void RefuseJobsInClosedDomains(entry_state& s, micros now);
// Room that this entry's runs hold there, thousandths of a core: it comes back
// to nobody.
int64_t CpuInUseInClosedDomains(const entry_state& s);

// ---- [7] Durable jobs (durable_jobs.cc, durable_adoption.cc) ----------------

void SubmitDurableJob(entry_state& s, micros now, leased_job job);
// Every task of the job is done, or one has failed for good, or it is
// cancelled: the job ends when that is stored.
void EndDurableJob(entry_state& s, leased_job& job, leased_outcome outcome);
// What the job has come to must be stored. Not durable: nothing is.
void MarkUnsaved(entry_state& s, leased_job& job);
// The end is acknowledged when that is done.
void AddUnsavedEnd(entry_state& s,
                   leased_job& job,
                   worker_id worker,
                   const run_end& end);
// The caller of a job that is being accepted has waited for as long as it
// could.
void HandleDurableDeadline(entry_state& s, micros now, leased_job& job);
// An end for which this entry has no run open.
void HandleOrphanedEnd(entry_state& s,
                       micros now,
                       worker_id id,
                       const run_end& end);
// Ends that a sidecar keeps for owners it does not hear of.
void HandleUnclaimedEnds(entry_state& s,
                         micros now,
                         worker_id id,
                         const lease_reports& reports);
// The run is given up without word of its end.
void AbandonRun(entry_state& s,
                micros now,
                leased_job& job,
                const run_ref& ref);
// This entry may start the job's tasks.
bool MayStart(const entry_state& s, micros now, const leased_job& job);
void TickDurableJobs(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_SYSTEMS_H_
