// Declarations shared by the files of leased jobs. Private to src/core.
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
// Whether to make a routine line about the job. Counts the line if not.
bool WantsRoutine(entry_state& s, const char* what, const leased_job& job);
void LogRoutine(entry_state& s,
                const char* what,
                const leased_job& job,
                std::string detail);

void MakeTasks(leased_job& job, uint32_t first_run);
void SetBounds(leased_job& job, micros now, double ratio);
leased_job& AddLeasedJob(leased_state& s, leased_job job);
// Whether some known worker of the upstream could hold a task of each step;
// true while none is known.
bool CanEverRun(const entry_state& s,
                const queue_config& queue,
                const std::vector<leased_step>& steps);
// Makes blocked tasks wait for capacity once the steps before them are done.
void ReleaseTasks(leased_state& s, leased_job& job);
void Dequeue(leased_state& s, leased_job& job);
// Adds the task's processors to those in use by its queue (`sign` 1), or
// subtracts them (-1). Fair shares are computed from these sums.
void AddCpuInUse(leased_state& s,
                 const leased_job& job,
                 const leased_task_row& row,
                 int sign);
// Sends stops for the job's placed runs and removes these from the workers'
// tables. A stop may be lost with its stream: the run is then missing from the
// list of known runs that this entry sends when the next stream begins, so it
// is stopped all the same.
void StopRuns(entry_state& s, leased_job& job);
void EraseLeasedJob(entry_state& s, leased_job& job);

// ---- [2] Answers (leased_jobs.cc) -------------------------------------------

void AnswerTickets(entry_state& s,
                   leased_job& job,
                   leased_outcome outcome,
                   const failure& why);
// Counts and logs the outcome of a job.
void CountOutcome(entry_state& s,
                  micros now,
                  const leased_job& job,
                  leased_outcome outcome,
                  const failure& why);
// Counts and logs the outcome, answers the callers, stops the job's runs and
// erases the job.
void Conclude(entry_state& s,
              micros now,
              leased_job& job,
              leased_outcome outcome,
              const failure& why);
// As Conclude; a durable job ends only once its end is stored.
void EndJob(entry_state& s,
            micros now,
            leased_job& job,
            leased_outcome outcome,
            const failure& why);
// `inputs`: the values that led to the refusal, only for the log.
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
// Marks the task as done, whichever of its runs did it.
void FinishLeasedTask(entry_state& s,
                      micros now,
                      leased_job& job,
                      leased_task_row& row);
// Failed runs that count against the task's attempts.
uint32_t CountedFailures(const leased_task_row& row);
bool IsCountedFailure(const leased_task_row& row, uint32_t run);
// Counts a failed run against the task's attempts, once however often its end
// is found. Returns whether the job failed with it.
bool CountFailedRun(entry_state& s,
                    micros now,
                    leased_job& job,
                    leased_task_row& row,
                    uint32_t run);

// ---- [4] Workers (leased_workers.cc) ----------------------------------------

// Overdue jobs leave this share of a worker's processors to other jobs. Load
// comes in bursts around four fifths of the capacity.
constexpr double kSpareShare = 0.3;

lease_orders& OrdersFor(entry_state& s, worker_id id);
// Whether the worker is slow compared with others, or counts as one that fails
// its runs.
bool IsUnhealthy(const entry_state& s, const leased_worker& w);
// Records what the end of a job's run says about the worker's health.
void RecordHealth(entry_state& s,
                  micros now,
                  worker_id id,
                  const leased_job& job,
                  run_end_kind how);
// Decides anew, now and then, which workers count as failing.
void ReviewFailingWorkers(entry_state& s, micros now);
leased_worker& WorkerOf(entry_state& s, worker_id id);
resources AvailableResources(const leased_worker& w);
bool HasLabel(const leased_worker& w, std::string_view label);
bool MayPlaceOn(const entry_state& s,
                worker_id id,
                const leased_job& job,
                const leased_step& step);
// Also finds the upstreams with uneven workers.
void MeasureUsualPace(leased_state& l);
void LogUnevenWorkers(entry_state& s, micros now);
// Ends the runs on workers that have been silent for long enough.
void EndLostRuns(entry_state& s, micros now);

// ---- [5] Choosing and placing (leased_choice.cc, leased_placing.cc) ---------

// Whether the worker may get one more task of the job's step.
bool MayPlaceOneMore(const entry_state& s,
                     worker_id id,
                     const leased_job& job,
                     uint32_t step);
// Whether some worker has capacity for a task of the step, however many tasks
// of the job it has.
bool HasCapacityFor(const entry_state& s, const leased_job& job, uint32_t step);
// Returns the best of a sample of workers with capacity for a task of the step.
// Workers with capacity for more of `tasks` such tasks are preferred.
std::optional<worker_id> ChooseWorker(entry_state& s,
                                      micros now,
                                      const leased_job& job,
                                      uint32_t step,
                                      uint32_t tasks);
void FollowWorkers(entry_state& s, micros now);
void PlaceWaiting(entry_state& s, micros now);
void PlaceOverdue(entry_state& s, micros now);
// Whether to refuse the job because this entry is too late for it. While the
// entry is late it refuses a random share of such jobs.
bool RefusesNewWork(entry_state& s, const leased_job& job);
// How late this process is, for the log.
std::string LatenessText(const lateness& l);
// Time until the work waiting here is done at the current rate, plus a random
// part of up to half of it, so that callers refused together don't return
// together.
int64_t RetryAfterMs(entry_state& s);

// ---- [6] Closed failure domains (leased_closed_domains.cc)
// ------------------------

// Whether some step of the job fits only workers in closed domains.
bool NeedsClosedDomain(const entry_state& s, const leased_job& job);
failure ClosedDomainFailure(entry_state& s);
// Refuses waiting jobs that have not started and need a closed domain.
void RefuseJobsInClosedDomains(entry_state& s, micros now);
// Processors that this entry's runs use in closed domains, thousandths of a
// core. No other task can use them once they are free.
int64_t CpuInUseInClosedDomains(const entry_state& s);

// ---- [7] Durable jobs (durable_jobs.cc, durable_adoption.cc) ----------------

void SubmitDurableJob(entry_state& s, micros now, leased_job job);
// Ends a job whose tasks are all done, of which a task has failed for good, or
// which was cancelled. It ends once that is stored.
void EndDurableJob(entry_state& s, leased_job& job, leased_outcome outcome);
// Marks the job's state as to be stored, if the job is durable.
void MarkUnsaved(entry_state& s, leased_job& job);
// Records an end that is acknowledged only once the job's state is stored.
void AddUnsavedEnd(entry_state& s,
                   leased_job& job,
                   worker_id worker,
                   const run_end& end);
// Whether a sidecar holds such an end, and its worker lists it, until an entry
// has resolved it.
bool IsHeldUntilResolved(const run_end& end);
// Handles the deadline of a caller whose durable job is still being accepted.
void HandleDurableDeadline(entry_state& s, micros now, leased_job& job);
// Handles an end for which this entry has no open run.
void HandleOrphanedEnd(entry_state& s,
                       micros now,
                       worker_id id,
                       const run_end& end);
// Handles ends that a sidecar holds for owners that are silent or unknown.
void HandleUnclaimedEnds(entry_state& s,
                         micros now,
                         worker_id id,
                         const lease_reports& reports);
// Gives up a run whose end is unknown.
void AbandonRun(entry_state& s,
                micros now,
                leased_job& job,
                const run_ref& ref);
// Whether this entry may start the job's tasks now.
bool MayStart(const entry_state& s, micros now, const leased_job& job);
void TickDurableJobs(entry_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_LEASED_SYSTEMS_H_
