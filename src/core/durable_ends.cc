// Ends of durable runs: their resolution with sidecars, and ends found without
// an open run.
//
// Contents
//   [1] Resolution
//   [2] Classification of orphaned ends
//   [3] Handling of orphaned ends

#include "cassiaferry/durable_jobs.h"

#include <algorithm>
#include <utility>

#include "durable_rows.h"
#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

// ---- [1] Resolution ---------------------------------------------------------

namespace {

bool Counts(run_end_kind kind) {
  return kind == run_end_kind::done || kind == run_end_kind::failed;
}

}  // namespace

bool IsHeldUntilResolved(const run_end& end) {
  return Counts(end.kind) && end.ref.run >= FirstRun(durable_job_state().epoch);
}

namespace {

// Failure guarded against: the order not to acknowledge an end yet is lost with
// its stream, and the next acknowledgement covers the end. The end counts as
// unresolved until the sidecar has confirmed the order, and the order is sent
// again on each stream.
void ResolveEnd(entry_state& s,
                const unsaved_end& end,
                end_disposition disposition) {
  leased_worker& w = s.leased.workers[end.worker.value];
  if (w.sidecar_incarnation != end.sidecar_incarnation)
    return;  // whoever finds it there offers it again
  if (end.number != 0 && disposition == end_disposition::forget) {
    w.unresolved_ends.erase(end.number);
    return;
  }
  if (end.number != 0)
    w.unresolved_ends.insert(end.number);
  w.open_resolutions.push_back(
      {++w.resolutions_sent, end.number, {end.ref, disposition}});
  if (s.workers[end.worker.value].state != worker_link::down)
    OrdersFor(s, end.worker).resolved_ends.push_back({end.ref, disposition});
}

}  // namespace

void ResolveEnds(entry_state& s,
                 std::vector<unsaved_end>& ends,
                 end_disposition disposition) {
  for (const unsaved_end& end : ends)
    ResolveEnd(s, end, disposition);
  ends.clear();
}

// ---- [2] Classification of orphaned ends ------------------------------------

namespace {

enum class orphan_kind : uint8_t {
  counts,          // its task has not started again; the end is valid
  failure_counts,  // its task has started again, but the failed run counts
                   // against its attempts
  known,           // it has been counted, and may not be stored yet
  irrelevant,      // it has no consequences
  too_late,  // its task has started again, which this end would have prevented
  unknown,   // its job is not known here
};

bool IsFirstOfEpoch(const leased_job& job, const leased_task_row& row) {
  return row.run == FirstRun(job.durable.epoch);
}

orphan_kind ClassifyTaskEnd(const leased_job& job,
                            const leased_task_row& row,
                            const run_end& end) {
  const bool failed = end.kind == run_end_kind::failed;
  if (failed && IsCountedFailure(row, end.ref.run))
    return orphan_kind::known;
  // An owner of an earlier version may have counted it.
  if (failed && row.unnamed_failures != 0 &&
      end.ref.run < FirstRun(job.durable.epoch))
    return orphan_kind::too_late;
  const bool newest = end.ref.run == row.run;
  const bool is_over = row.state == leased_task_state::done ||
                       job.durable.stage == durable_stage::ending;
  if (is_over && newest)
    return orphan_kind::known;
  const bool waits = !is_over && row.state != leased_task_state::placed;
  // Failure guarded against: the end of a run that the owner before last
  // ordered is taken as valid. The last owner may have started the task again,
  // and no process can tell.
  const bool of_previous_owner = IsFirstOfEpoch(job, row) &&
                                 end.ref.run < row.run &&
                                 end.ref.run > row.abandoned_run &&
                                 end.ref.run >= FirstRun(job.durable.epoch - 1);
  if (waits && (newest || of_previous_owner))
    return orphan_kind::counts;
  // The task has started again since. That is harmless unless this failure was
  // the last one allowed, in which case the task must not have started again.
  const bool harmless = failed && job.durable.stage != durable_stage::ending &&
                        CountedFailures(row) + 1 < job.queue.max_attempts;
  return harmless ? orphan_kind::failure_counts : orphan_kind::too_late;
}

orphan_kind ClassifyForeignEnd(const durable_state& d, const run_end& end) {
  const auto foreign = d.foreign_jobs.find(end.ref.task.job);
  if (foreign == d.foreign_jobs.end() || !foreign->second.ends_disposition)
    return orphan_kind::unknown;
  return *foreign->second.ends_disposition == end_disposition::expire_lease
             ? orphan_kind::too_late
             : orphan_kind::irrelevant;
}

orphan_kind ClassifyEndOfEndedJob(const durable_state& d, const run_end& end) {
  const auto ended = d.ended.find(end.ref.task.job);
  const bool older =
      ended != d.ended.end() &&
      (ended->second.inherited || end.ref.run < FirstRun(ended->second.epoch));
  if (ended != d.ended.end() && ended->second.cancelled_elsewhere)
    return ClassifyForeignEnd(d, end);
  if (older || d.abandoned_runs.count(end.ref) != 0)
    return orphan_kind::too_late;
  if (ended != d.ended.end())
    return orphan_kind::irrelevant;
  return ClassifyForeignEnd(d, end);
}

orphan_kind ClassifyOrphan(entry_state& s, const run_end& end) {
  // Its job is not durable: there is no row to look up.
  if (!IsHeldUntilResolved(end))
    return orphan_kind::irrelevant;
  leased_job* job = FindLeasedJob(s.leased, end.ref.task.job);
  if (job == nullptr || !IsDurable(*job) ||
      job->durable.stage == durable_stage::accepting)
    return ClassifyEndOfEndedJob(s.leased.durable, end);
  leased_task_row* row = FindTask(*job, end.ref.task);
  return row == nullptr ? orphan_kind::irrelevant
                        : ClassifyTaskEnd(*job, *row, end);
}

// ---- [3] Handling of orphaned ends ------------------------------------------

void HandleCountingEnd(entry_state& s,
                       micros now,
                       worker_id id,
                       const run_end& end) {
  leased_job& job = *FindLeasedJob(s.leased, end.ref.task.job);
  leased_task_row& row = *FindTask(job, end.ref.task);
  LogJob(s, "run ended, found", job,
         std::string(ToText(end.kind)) + ", run " +
             std::to_string(end.ref.run) + ", worker " +
             s.workers[id.value].name);
  AddUnsavedEnd(s, job, id, end);
  if (end.kind == run_end_kind::failed) {
    CountFailedRun(s, now, job, row, end.ref.run);
    return;
  }
  std::erase(job.waiting, static_cast<uint32_t>(&row - job.tasks.data()));
  if (job.waiting.empty())
    Dequeue(s.leased, job);
  FinishLeasedTask(s, now, job, row);
}

void ResolveOrphan(entry_state& s,
                   worker_id id,
                   const run_end& end,
                   end_disposition disposition) {
  if (disposition == end_disposition::offer_to_others)
    s.actions.push_back(leased_decision{
        "end of a job unknown here", end.ref.task.job,
        ToText(end.ref) + ", " + ToText(end.kind) +
            ", offered to other entries, worker " + s.workers[id.value].name});
  if (disposition == end_disposition::expire_lease) {
    ++s.leased.durable.counters.expiries_requested;
    s.actions.push_back(leased_decision{
        "end came too late", end.ref.task.job,
        std::string(ToText(end.kind)) + ", run " + std::to_string(end.ref.run) +
            ", abandoned earlier; its worker's lease must expire, worker " +
            s.workers[id.value].name});
  }
  ResolveEnd(
      s,
      {id, s.leased.workers[id.value].sidecar_incarnation, end.number, end.ref},
      disposition);
}

}  // namespace

// Failure guarded against: the next owner of the job finds the end of a run
// that this entry abandoned and replaced, and takes it for the newest run. The
// abandonment is therefore stored before the task starts again.
void AbandonRun(entry_state& s,
                micros now,
                leased_job& job,
                const run_ref& ref) {
  if (!IsDurable(job))
    return;
  s.leased.durable.abandoned_runs.emplace(ref, now);
  if (leased_task_row* row = FindTask(job, ref.task))
    row->abandoned_run = std::max(row->abandoned_run, ref.run);
  job.durable.must_save = true;
  MarkUnsaved(s, job);
}

// Failure guarded against: a run that this entry abandoned as lost, and whose
// task it started elsewhere, had ended before its worker was cut off. If its
// end were acknowledged, the task would count as done twice, or as failed too
// often. The end may be forgotten only after the worker's lease has expired.
void HandleOrphanedEnd(entry_state& s,
                       micros now,
                       worker_id id,
                       const run_end& end) {
  if (!Counts(end.kind) || !s.leased.durable.options.enabled)
    return;
  switch (ClassifyOrphan(s, end)) {
    case orphan_kind::counts:
      HandleCountingEnd(s, now, id, end);
      return;
    case orphan_kind::failure_counts: {
      leased_job& job = *FindLeasedJob(s.leased, end.ref.task.job);
      AddUnsavedEnd(s, job, id, end);
      CountFailedRun(s, now, job, *FindTask(job, end.ref.task), end.ref.run);
      return;
    }
    case orphan_kind::known:
      AddUnsavedEnd(s, *FindLeasedJob(s.leased, end.ref.task.job), id, end);
      return;
    case orphan_kind::too_late:
      ResolveOrphan(s, id, end, end_disposition::expire_lease);
      return;
    case orphan_kind::irrelevant:
      ResolveOrphan(s, id, end, end_disposition::forget);
      return;
    case orphan_kind::unknown:
      // Failure guarded against: this entry has left the job to others while
      // the end was on its way, and they never learn of it.
      if (end.number == 0)
        LookUpForeignJob(s, now, end.ref.task.job);
      else
        ResolveOrphan(s, id, end, end_disposition::offer_to_others);
      return;
  }
}

void HandleUnclaimedEnds(entry_state& s,
                         micros now,
                         worker_id id,
                         const lease_reports& reports) {
  for (run_end end : reports.unclaimed) {
    end.number = 0;
    // An end that this entry has received and is storing is resolved once it is
    // stored.
    leased_job* job = FindLeasedJob(s.leased, end.ref.task.job);
    const auto is_same_end = [&](const unsaved_end& u) {
      return u.ref == end.ref;
    };
    if (job != nullptr &&
        std::any_of(job->durable.unsaved_ends.begin(),
                    job->durable.unsaved_ends.end(), is_same_end))
      continue;
    if (job != nullptr &&
        std::any_of(job->durable.saving_ends.begin(),
                    job->durable.saving_ends.end(), is_same_end))
      continue;
    HandleRunEnd(s, now, id, end);
  }
}

}  // namespace cassiaferry
