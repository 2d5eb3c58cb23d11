// Durable jobs of an entry: acceptance, storing of progress, answers of the
// store, and the tick.
//
// Contents
//   [1] Writes and reads
//   [2] Accepting a job
//   [3] Storing progress
//   [4] Answers of the store
//   [5] Tick

#include "cassiaferry/durable_jobs.h"

#include <algorithm>
#include <utility>

#include "durable_rows.h"
#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

constexpr int64_t kStoreRetryMs = 1000;

}  // namespace

// ---- [1] Writes and reads ---------------------------------------------------

journal_op_id WriteRows(durable_state& d,
                        row_transaction rows,
                        open_write purpose) {
  const journal_op_id id = EnqueueWrite(d.journal, std::move(rows));
  d.writes.emplace(id.value, std::move(purpose));
  return id;
}

void ReadRows(entry_state& s, row_range range, open_read purpose) {
  durable_state& d = s.leased.durable;
  // Even call numbers belong to the journal, odd ones to reads.
  const uint64_t call = 2 * d.next_read++ + 1;
  d.reads.emplace(call, std::move(purpose));
  ++d.counters.reads;
  s.actions.push_back(store_call{call, std::move(range)});
}

void RememberEnded(durable_state& d,
                   micros now,
                   const std::string& id,
                   const ended_job& ended) {
  if (d.ended.insert_or_assign(id, ended).second)
    d.ended_order.emplace_back(now + d.options.ended_retention, id);
}

void EraseDurableJob(entry_state& s, leased_job& job) {
  durable_state& d = s.leased.durable;
  d.dirty.erase(job.seq.value);
  d.writes.erase(job.durable.pending_op.value);
  --d.jobs;
  EraseLeasedJob(s, job);
}

// ---- [2] Accepting a job ----------------------------------------------------

namespace {

failure StoreUnavailable() {
  return {verdict::not_run, reason::platform_unavailable,
          "the store doesn't answer; nothing was stored", kStoreRetryMs};
}

// Returns nullopt if the job may be accepted.
std::optional<failure> RefusalReason(const entry_state& s, micros now) {
  const durable_state& d = s.leased.durable;
  // A stopping entry serves what its callers still send on open connections,
  // and leaves what it can't finish to other entries.
  const bool is_stopping =
      s.draining &&
      (d.released || now - s.drain_since >= s.leased.options.drain_accept);
  if (is_stopping)
    return failure{verdict::not_run, reason::draining, "this entry stops",
                   kStoreRetryMs};
  if (IsUnreachable(d.journal, now))
    return StoreUnavailable();
  if (d.jobs >= d.options.max_jobs)
    return failure{verdict::not_run, reason::queue_full,
                   "too many jobs wait at this entry", kStoreRetryMs};
  return std::nullopt;
}

void WriteAccept(durable_state& d, leased_job& job) {
  row_transaction rows;
  rows.expected = {{{kJobsTable, job.id}, 0}, {{kEndedTable, job.id}, 0}};
  rows.sets = {{kJobsTable, job.id, JobRow(job, d.owner_incarnation)}};
  job.durable.pending_op =
      WriteRows(d, std::move(rows), {write_purpose::accept, job.id, {}});
}

void HandleAccepted(entry_state& s,
                    micros now,
                    leased_job& job,
                    uint64_t version) {
  durable_state& d = s.leased.durable;
  job.durable.stage = durable_stage::stored;
  job.durable.version = version;
  job.durable.pending_op = {};
  ++d.counters.accepted;
  CountOutcome(s, now, job, leased_outcome::accepted, {});
  AnswerTickets(s, job, leased_outcome::accepted, {});
  s.leased.deadlines.erase({job.deadline, job.seq});
  job.deadline = {};
  ReleaseTasks(s.leased, job);
  if (!job.durable.cancel_tickets.empty())
    EndDurableJob(s, job, leased_outcome::cancelled);
}

// Another entry has stored the job, or it has ended: the caller's id refers to
// that job.
void HandleAlreadyStored(entry_state& s, leased_job& job) {
  LogJob(s, "job already known", job, "stored by another entry");
  AnswerTickets(s, job, leased_outcome::accepted, {});
  const std::vector<ticket_id> cancels = std::move(job.durable.cancel_tickets);
  const std::string id = job.id;
  EraseDurableJob(s, job);
  for (ticket_id ticket : cancels)
    LookUpJob(s, ticket, id, true);
}

}  // namespace

void SubmitDurableJob(entry_state& s, micros now, leased_job job) {
  durable_state& d = s.leased.durable;
  s.leased.last_durable = now;
  if (const auto why = RefusalReason(s, now)) {
    RefuseTicket(s, job.tickets.front(), job.id, *why);
    return;
  }
  ++d.jobs;
  WriteAccept(d, AddLeasedJob(s.leased, std::move(job)));
}

void HandleDurableDeadline(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  s.leased.deadlines.erase({job.deadline, job.seq});
  job.deadline = {};
  if (job.durable.stage != durable_stage::accepting)
    return;
  if (Withdraw(d.journal, job.durable.pending_op)) {
    const failure why = StoreUnavailable();
    CountOutcome(s, now, job, leased_outcome::refused, why);
    AnswerTickets(s, job, leased_outcome::refused, why);
    EraseDurableJob(s, job);
    return;
  }
  // The job may be stored already, or may be stored later; it then runs.
  AnswerTickets(s, job, leased_outcome::refused,
                {verdict::may_have_run, reason::deadline,
                 "the store has not answered yet", kStoreRetryMs});
}

namespace {

// While the store is unreachable, callers that wait for their jobs to be stored
// are refused at once, and not only at their deadlines.
void RefuseWhileUnreachable(entry_state& s, micros now) {
  constexpr micros kInterval = Millis(100);
  durable_state& d = s.leased.durable;
  if (!IsUnreachable(d.journal, now) || now < d.next_refusals)
    return;
  d.next_refusals = now + kInterval;
  std::vector<leased_seq> accepting;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (job.durable.stage == durable_stage::accepting && !job.tickets.empty())
      accepting.push_back(seq);
  }
  for (leased_seq seq : accepting)
    HandleDurableDeadline(s, now, s.leased.jobs.at(seq));
}

}  // namespace

// ---- [3] Storing progress ---------------------------------------------------

void MarkUnsaved(entry_state& s, leased_job& job) {
  if (!IsDurable(job))
    return;
  job.durable.unsaved = true;
  s.leased.durable.dirty.insert(job.seq.value);
}

void AddUnsavedEnd(entry_state& s,
                   leased_job& job,
                   worker_id worker,
                   const run_end& end) {
  if (!IsDurable(job))
    return;
  leased_worker& w = s.leased.workers[worker.value];
  job.durable.unsaved_ends.push_back(
      {worker, w.sidecar_incarnation, end.number, end.ref});
  if (end.number != 0)
    w.unresolved_ends.insert(end.number);
  MarkUnsaved(s, job);
}

void EndDurableJob(entry_state& s, leased_job& job, leased_outcome outcome) {
  if (job.durable.stage == durable_stage::ending)
    return;
  job.durable.stage = durable_stage::ending;
  job.durable.end_outcome = outcome;
  StopRuns(s, job);
  Dequeue(s.leased, job);
  MarkUnsaved(s, job);
}

namespace {

row_condition JobRowUnchanged(const leased_job& job) {
  return {{kJobsTable, job.id}, job.durable.version};
}

row_transaction EndRows(const durable_state& d, const leased_job& job) {
  row_transaction rows;
  rows.expected = {JobRowUnchanged(job)};
  rows.removes = {{kJobsTable, job.id}};
  if (job.durable.has_progress)
    rows.removes.push_back({kProgressTable, job.id});
  rows.sets = {{kEndedTable, job.id,
                EndedRow({job.durable.end_outcome, job.durable.epoch},
                         d.owner_incarnation, d.owner_incarnation)}};
  return rows;
}

row_transaction SaveRows(const leased_job& job) {
  row_transaction rows;
  rows.expected = {JobRowUnchanged(job)};
  rows.sets = {{kProgressTable, job.id, ProgressRow(job)}};
  return rows;
}

void WriteProgress(entry_state& s, leased_job& job) {
  durable_state& d = s.leased.durable;
  const bool ends = job.durable.stage == durable_stage::ending;
  job.durable.unsaved = false;
  job.durable.unsaved_since = {};
  std::move(job.durable.unsaved_ends.begin(), job.durable.unsaved_ends.end(),
            std::back_inserter(job.durable.saving_ends));
  job.durable.unsaved_ends.clear();
  job.durable.pending_op =
      WriteRows(d, ends ? EndRows(d, job) : SaveRows(job),
                {ends ? write_purpose::end : write_purpose::save, job.id, {}});
  job.durable.has_progress = true;
}

// Each job has at most one write in progress; what changes meanwhile goes into
// the next one.
void WriteUnsaved(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  std::erase_if(d.dirty, [&](uint64_t seq) {
    leased_job& job = s.leased.jobs.at(leased_seq{seq});
    if (job.durable.pending_op.value != 0 ||
        job.durable.stage == durable_stage::accepting)
      return false;
    if (job.durable.unsaved_since.value == 0)
      job.durable.unsaved_since = now;
    const bool is_due = job.durable.stage == durable_stage::ending ||
                        job.durable.must_save ||
                        now - job.durable.unsaved_since >= d.options.save_delay;
    if (is_due)
      WriteProgress(s, job);
    return is_due;
  });
}

void HandleSaved(entry_state& s, leased_job& job) {
  job.durable.pending_op = {};
  job.durable.must_save = job.durable.must_save && job.durable.unsaved;
  ResolveEnds(s, job.durable.saving_ends, end_disposition::forget);
}

void HandleEnded(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  const leased_outcome outcome = job.durable.end_outcome;
  HandleSaved(s, job);
  ResolveEnds(s, job.durable.unsaved_ends, end_disposition::forget);
  CountOutcome(s, now, job, outcome, {});
  AnswerCancelRequests(s, job, true);
  AnswerQueries(s, job, StateOf(outcome), false);
  RememberEnded(d, now, job.id, {outcome, job.durable.epoch});
  EraseDurableJob(s, job);
}

}  // namespace

// The job's row has changed although no other entry has taken over: a caller
// has cancelled the job through another entry.
void HandleCancelledElsewhere(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  CountOutcome(s, now, job, leased_outcome::cancelled,
               {verdict::may_have_run, reason::cancelled,
                "cancelled through another entry", 0});
  StopRuns(s, job);
  ResolveEnds(s, job.durable.saving_ends, end_disposition::forget);
  ResolveEnds(s, job.durable.unsaved_ends, end_disposition::forget);
  AnswerCancelRequests(s, job, true);
  AnswerQueries(s, job, leased_job_state::cancelled, false);
  RememberEnded(d, now, job.id, {leased_outcome::cancelled, job.durable.epoch});
  EraseDurableJob(s, job);
}

// ---- [4] Answers of the store -----------------------------------------------

namespace {

void HandleJobWrite(entry_state& s,
                    micros now,
                    const open_write& write,
                    const journal_result& result) {
  leased_job* job = FindLeasedJob(s.leased, write.id);
  if (job == nullptr || job->durable.pending_op != result.id)
    return;
  if (write.purpose == write_purpose::accept) {
    if (result.done)
      HandleAccepted(s, now, *job, result.version);
    else
      HandleAlreadyStored(s, *job);
  } else if (!result.done) {
    HandleCancelledElsewhere(s, now, *job);
  } else if (write.purpose == write_purpose::end) {
    HandleEnded(s, now, *job);
  } else {
    HandleSaved(s, *job);
  }
}

void HandleWrite(entry_state& s, micros now, const journal_result& result) {
  durable_state& d = s.leased.durable;
  const auto it = d.writes.find(result.id.value);
  if (it == d.writes.end())
    return;
  const open_write write = std::move(it->second);
  d.writes.erase(it);
  switch (write.purpose) {
    case write_purpose::accept:
    case write_purpose::save:
    case write_purpose::end:
      HandleJobWrite(s, now, write, result);
      return;
    case write_purpose::cancel_elsewhere:
      if (!result.done) {  // the job's row has changed; look it up again
        LookUpJob(s, write.ticket, write.id, true);
        return;
      }
      RememberEnded(d, now, write.id,
                    {leased_outcome::cancelled, 0, false, true});
      d.cancel_rows.emplace_back(now + d.options.cancel_retention, write.id);
      s.actions.push_back(answer_cancelled{write.ticket, true, false});
      return;
    case write_purpose::claim_owner:
    case write_purpose::adopt_job:
    case write_purpose::remove_owner:
      HandleAdoptionWrite(s, now, write, result);
      return;
    case write_purpose::release:
    case write_purpose::sweep:
      return;
  }
}

void HandleWrites(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  std::vector<journal_result> results;
  results.swap(d.journal.results);
  for (const journal_result& result : results)
    HandleWrite(s, now, result);
  if (d.journal.deposed)
    Depose(s, now);
}

void LogFailedWrite(entry_state& s, const store_answered& e) {
  const bool refused = e.reply.status == store_status::refused;
  if (!refused && e.reply.status != store_status::no_answer)
    return;
  const std::optional<open_transaction>& open = s.leased.durable.journal.open;
  if (!open || open->call != e.call / 2)
    return;
  const bool may_be_done = !refused || open->may_be_done;
  s.actions.push_back(leased_decision{
      refused ? "store transaction refused" : "store transaction not answered",
      "",
      "transaction " + std::to_string(open->call) + ", operations " +
          std::to_string(open->ops.size()) +
          (may_be_done ? ", may be done, " : ", not done, ") + e.reply.detail});
}

}  // namespace

void HandleStoreAnswer(entry_state& s, micros now, const store_answered& e) {
  durable_state& d = s.leased.durable;
  if (e.call % 2 == 0) {
    LogFailedWrite(s, e);
    HandleJournalReply(d.journal, now, e.call / 2, e.reply);
    HandleWrites(s, now);
    return;
  }
  const auto it = d.reads.find(e.call);
  if (it == d.reads.end())
    return;
  const open_read read = std::move(it->second);
  d.reads.erase(it);
  switch (read.purpose) {
    case read_purpose::poll_owners:
      HandleOwnersPage(s, now, e.reply);
      return;
    case read_purpose::find_ended:
    case read_purpose::find_live:
    case read_purpose::find_ended_again:
      HandleLookUp(s, now, read, e.reply);
      return;
    case read_purpose::find_orphan_job:
    case read_purpose::find_orphan_job_ended:
      HandleForeignJob(s, read, e.reply);
      return;
    case read_purpose::adopt:
      HandleAdoptionPage(s, now, e.reply);
      return;
  }
}

void HandleCancelRow(entry_state& s, micros now, const std::string& id) {
  leased_job* job = FindLeasedJob(s.leased, id);
  if (job != nullptr && job->durable.stage == durable_stage::stored)
    HandleCancelledElsewhere(s, now, *job);
}

// ---- [5] Tick ---------------------------------------------------------------

namespace {

// Removes rows that no caller queries any more, many to a transaction.
void Sweep(entry_state& s, micros now) {
  constexpr size_t kMaxRemovals = 40;
  constexpr micros kInterval = Millis(1000);
  durable_state& d = s.leased.durable;
  std::erase_if(d.abandoned_runs, [&](const auto& row) {
    return now - row.second > d.options.abandoned_retention;
  });
  std::erase_if(d.foreign_jobs, [&](const auto& row) {
    return now - row.second.next_lookup_at > d.options.foreign_retention;
  });
  if (now < d.next_sweep || IsUnreachable(d.journal, now))
    return;
  d.next_sweep = now + kInterval;
  row_transaction rows;
  while (!d.ended_order.empty() && d.ended_order.front().first <= now &&
         rows.removes.size() < kMaxRemovals) {
    rows.removes.push_back({kEndedTable, d.ended_order.front().second});
    d.ended.erase(d.ended_order.front().second);
    d.ended_order.pop_front();
  }
  while (!d.cancel_rows.empty() && d.cancel_rows.front().first <= now &&
         rows.removes.size() < 2 * kMaxRemovals) {
    rows.removes.push_back(
        {kOwnersTable, kCancelPrefix + d.cancel_rows.front().second});
    d.cancel_rows.pop_front();
  }
  if (!rows.removes.empty())
    WriteRows(d, std::move(rows), {write_purpose::sweep, "", {}});
}

}  // namespace

bool MayStart(const entry_state& s, micros now, const leased_job& job) {
  if (!IsDurable(job))
    return true;
  return job.durable.stage == durable_stage::stored && !job.durable.must_save &&
         now >= job.durable.not_before &&
         IsOwner(s.leased.durable.journal, now);
}

void StartDurableJobs(leased_state& l, const entry_options& options) {
  durable_state& d = l.durable;
  d.options = l.options.durable;
  d.generation = 1;
  d.owner_incarnation = ToHex(options.self.value) + ".1";
  d.journal.own_row = {kOwnersTable, kEntryPrefix + d.owner_incarnation};
}

bool DurableJobsDrained(const entry_state& s, micros now) {
  const durable_state& d = s.leased.durable;
  const leased_options& o = s.leased.options;
  return !d.options.enabled || (!d.journal.open && d.journal.waiting.empty()) ||
         now - s.drain_since >= o.drain_accept + o.drain_close;
}

void TickDurableJobs(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (!d.options.enabled)
    return;
  AnswerOverdueQueries(s, now);
  RefuseWhileUnreachable(s, now);
  CheckOwnership(s, now);
  ReleaseJobs(s, now);
  WriteUnsaved(s, now);
  TickAdoption(s, now);
  Sweep(s, now);
  MaintainOwnRow(s, now);
  RefreshOwnRowFields(s, now);
  TickJournal(d.journal, now);
  for (auto& [call, transaction] : d.journal.calls)
    s.actions.push_back(store_call{2 * call, std::move(transaction)});
  d.journal.calls.clear();
}

}  // namespace cassiaferry