// Durable jobs of an entry: taking, storing, ends, what callers ask.
//
// Contents
//   [1] Writes
//   [2] Taking a job
//   [3] Storing what tasks come to
//   [4] Ends without an open run
//   [5] What callers ask
//   [6] Losing ownership
//   [7] Answers of the store
//   [8] Tick

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

bool IsDurable(const leased_job& job) {
  return job.durable.stage != durable_stage::none;
}

row_condition JobStands(const leased_job& job) {
  return {{kJobsTable, job.id}, job.durable.version};
}

}  // namespace

// ---- [1] Writes -------------------------------------------------------------

namespace {

leased_job_state StateOf(leased_outcome outcome) {
  switch (outcome) {
    case leased_outcome::completed:
      return leased_job_state::completed;
    case leased_outcome::failed:
      return leased_job_state::failed;
    case leased_outcome::cancelled:
      return leased_job_state::cancelled;
    case leased_outcome::refused:
    case leased_outcome::accepted:
      break;
  }
  return leased_job_state::unknown;
}

}  // namespace

journal_op_id WriteRows(durable_state& d,
                        row_transaction rows,
                        open_write purpose) {
  const journal_op_id id = Write(d.journal, std::move(rows));
  d.writes.emplace(id.value, std::move(purpose));
  return id;
}

void ReadRows(entry_state& s, row_range range, open_read purpose) {
  durable_state& d = s.leased.durable;
  // Even numbers are the journal's, odd ones are reads.
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
    d.ended_order.emplace_back(now + d.options.keep_ended, id);
}

// ---- [2] Taking a job -------------------------------------------------------

namespace {

failure StoreUnavailable() {
  return {verdict::not_run, reason::platform_unavailable,
          "the store doesn't answer; nothing was stored", kStoreRetryMs};
}

// Null: it may be taken.
std::optional<failure> WhyNot(const entry_state& s, micros now) {
  const durable_state& d = s.leased.durable;
  if (s.draining)
    return failure{verdict::not_run, reason::draining, "this entry stops",
                   kStoreRetryMs};
  if (IsUnreachable(d.journal, now))
    return StoreUnavailable();
  if (d.jobs >= d.options.most_jobs)
    return failure{verdict::not_run, reason::queue_full,
                   "too many jobs wait at this entry", kStoreRetryMs};
  return std::nullopt;
}

// Run numbers of a task rise over all its owners without a write for each: the
// owner's epoch is their high part.
uint32_t FirstRun(uint32_t epoch) {
  return epoch << kEpochShift;
}

void WriteAccept(durable_state& d, leased_job& job) {
  row_transaction rows;
  rows.expected = {{{kJobsTable, job.id}, 0}, {{kEndedTable, job.id}, 0}};
  rows.sets = {{kJobsTable, job.id, JobRow(job, d.life)}};
  job.durable.op =
      WriteRows(d, std::move(rows), {write_purpose::accept, job.id, {}});
}

void EraseDurableJob(entry_state& s, leased_job& job) {
  durable_state& d = s.leased.durable;
  d.dirty.erase(job.seq.value);
  d.writes.erase(job.durable.op.value);
  --d.jobs;
  EraseLeasedJob(s, job);
}

void Accepted(entry_state& s, micros now, leased_job& job, uint64_t version) {
  durable_state& d = s.leased.durable;
  job.durable.stage = durable_stage::stored;
  job.durable.version = version;
  job.durable.op = {};
  ++d.counters.accepted;
  CountOutcome(s, now, job, leased_outcome::accepted, {});
  AnswerTickets(s, job, leased_outcome::accepted, {});
  s.leased.deadlines.erase({job.deadline, job.seq});
  job.deadline = {};
  ReleaseTasks(s.leased, job);
  if (!job.durable.cancels.empty())
    EndDurableJob(s, job, leased_outcome::cancelled);
}

// Another entry has it, or it has ended: the caller's id names that job.
void AlreadyTaken(entry_state& s, leased_job& job) {
  LogJob(s, "job known already", job, "stored by another entry");
  AnswerTickets(s, job, leased_outcome::accepted, {});
  const std::vector<ticket_id> cancels = std::move(job.durable.cancels);
  const std::string id = job.id;
  EraseDurableJob(s, job);
  for (ticket_id ticket : cancels)
    LookUpJob(s, ticket, id, true);
}

}  // namespace

void SubmitDurableJob(entry_state& s,
                      micros now,
                      leased_job_submitted& event,
                      const queue_config& queue) {
  leased_state& l = s.leased;
  leased_job_request& r = event.request;
  if (const auto why = WhyNot(s, now)) {
    RefuseTicket(s, event.ticket, r.id, *why);
    return;
  }
  leased_job job;
  job.seq = leased_seq{l.next_job++};
  job.id = r.id;
  job.queue = queue;
  job.payload = std::move(r.payload);
  job.steps = std::move(r.steps);
  job.tickets = {event.ticket};
  job.durable.stage = durable_stage::accepting;
  MakeTasks(job, FirstRun(job.durable.epoch));
  SetBounds(job, now, Millis(r.wait_ms), l.estimates[queue.name].ratio);
  ++l.durable.jobs;
  WriteAccept(l.durable, AddLeasedJob(l, std::move(job)));
}

void MissDurableDeadline(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  s.leased.deadlines.erase({job.deadline, job.seq});
  job.deadline = {};
  if (job.durable.stage != durable_stage::accepting)
    return;
  if (Withdraw(d.journal, job.durable.op)) {
    const failure why = StoreUnavailable();
    CountOutcome(s, now, job, leased_outcome::refused, why);
    AnswerTickets(s, job, leased_outcome::refused, why);
    EraseDurableJob(s, job);
    return;
  }
  // It may be stored already, or be stored later: then it runs.
  AnswerTickets(s, job, leased_outcome::refused,
                {verdict::may_have_run, reason::deadline,
                 "the store has not answered yet", kStoreRetryMs});
}

namespace {

// The store is out of reach: callers that wait for their jobs to be stored are
// told at once, and not when their time is over.
void RefuseWhileUnreachable(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(100);
  durable_state& d = s.leased.durable;
  if (!IsUnreachable(d.journal, now) || now < d.next_refusals)
    return;
  d.next_refusals = now + kEvery;
  std::vector<leased_seq> accepting;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (job.durable.stage == durable_stage::accepting && !job.tickets.empty())
      accepting.push_back(seq);
  }
  for (leased_seq seq : accepting)
    MissDurableDeadline(s, now, s.leased.jobs.at(seq));
}

}  // namespace

// ---- [3] Storing what tasks come to -----------------------------------------

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
  job.durable.ends.push_back({worker, w.sidecar_life, end.number, end.ref});
  if (end.number != 0)
    w.unsaved.insert(end.number);
  MarkUnsaved(s, job);
}

void EndDurableJob(entry_state& s, leased_job& job, leased_outcome outcome) {
  if (job.durable.stage == durable_stage::ending)
    return;
  job.durable.stage = durable_stage::ending;
  job.durable.ends_as = outcome;
  StopRuns(s, job);
  Dequeue(s.leased, job);
  MarkUnsaved(s, job);
}

namespace {

leased_job_state StateOf(const leased_job& job) {
  return job.started ? leased_job_state::running : leased_job_state::queued;
}

bool MayEndSoon(const leased_job& job) {
  return job.durable.stage == durable_stage::ending ||
         (job.durable.stage == durable_stage::stored &&
          job.placed + job.done == job.tasks.size());
}

void AnswerAskers(entry_state& s,
                  leased_job& job,
                  leased_job_state state,
                  bool unavailable) {
  for (ticket_id ticket : job.durable.askers)
    s.actions.push_back(answer_leased_state{ticket, state, unavailable});
  job.durable.askers.clear();
}

void AnswerOldQuestions(entry_state& s, micros now) {
  std::deque<open_question>& questions = s.leased.durable.questions;
  while (!questions.empty() && questions.front().until <= now) {
    leased_job* job = FindLeasedJob(s.leased, questions.front().id);
    if (job != nullptr &&
        std::erase(job->durable.askers, questions.front().ticket) != 0)
      s.actions.push_back(
          answer_leased_state{questions.front().ticket, StateOf(*job), false});
    questions.pop_front();
  }
}

}  // namespace

namespace {

// Failure guarded against: the word that an end must not be acknowledged yet is
// lost with its stream, and the next acknowledgement covers the end. Until the
// sidecar has confirmed the word the end counts as unsaved, and the word is
// sent again on each stream.
void SettleEnd(entry_state& s, const unsaved_end& end, end_fate fate) {
  leased_worker& w = s.leased.workers[end.worker.value];
  if (w.sidecar_life != end.life)
    return;  // whoever finds it there offers it again
  if (end.number != 0 && fate == end_fate::forget) {
    w.unsaved.erase(end.number);
    return;
  }
  if (end.number != 0)
    w.unsaved.insert(end.number);
  w.settling.push_back({++w.settled_sent, end.number, {end.ref, fate}});
  if (s.workers[end.worker.value].state != worker_link::down)
    OrdersFor(s, end.worker).settled.push_back({end.ref, fate});
}

void SettleEnds(entry_state& s, std::vector<unsaved_end>& ends, end_fate fate) {
  for (const unsaved_end& end : ends)
    SettleEnd(s, end, fate);
  ends.clear();
}

row_transaction EndRows(const durable_state& d, const leased_job& job) {
  row_transaction rows;
  rows.expected = {JobStands(job)};
  rows.removes = {{kJobsTable, job.id}};
  if (job.durable.has_progress)
    rows.removes.push_back({kProgressTable, job.id});
  rows.sets = {
      {kEndedTable, job.id,
       EndedRow({job.durable.ends_as, job.durable.epoch}, d.life, d.life)}};
  return rows;
}

row_transaction SaveRows(const leased_job& job) {
  row_transaction rows;
  rows.expected = {JobStands(job)};
  rows.sets = {{kProgressTable, job.id, ProgressRow(job)}};
  return rows;
}

void WriteProgress(entry_state& s, leased_job& job) {
  durable_state& d = s.leased.durable;
  const bool ends = job.durable.stage == durable_stage::ending;
  job.durable.unsaved = false;
  job.durable.unsaved_since = {};
  std::move(job.durable.ends.begin(), job.durable.ends.end(),
            std::back_inserter(job.durable.saving));
  job.durable.ends.clear();
  job.durable.op =
      WriteRows(d, ends ? EndRows(d, job) : SaveRows(job),
                {ends ? write_purpose::end : write_purpose::save, job.id, {}});
  job.durable.has_progress = true;
}

// Each job has one write under way; what it comes to meanwhile goes with the
// next.
void WriteUnsaved(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  std::erase_if(d.dirty, [&](uint64_t seq) {
    leased_job& job = s.leased.jobs.at(leased_seq{seq});
    if (job.durable.op.value != 0 ||
        job.durable.stage == durable_stage::accepting)
      return false;
    if (job.durable.unsaved_since.value == 0)
      job.durable.unsaved_since = now;
    const bool due = job.durable.stage == durable_stage::ending ||
                     job.durable.must_save ||
                     now - job.durable.unsaved_since >= d.options.save_after;
    if (due)
      WriteProgress(s, job);
    return due;
  });
}

void AnswerCancels(entry_state& s, leased_job& job, bool known) {
  for (ticket_id ticket : job.durable.cancels)
    s.actions.push_back(answer_cancelled{ticket, known, false});
  job.durable.cancels.clear();
}

void Saved(entry_state& s, leased_job& job) {
  job.durable.op = {};
  job.durable.must_save = job.durable.must_save && job.durable.unsaved;
  SettleEnds(s, job.durable.saving, end_fate::forget);
}

void Ended(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  const leased_outcome outcome = job.durable.ends_as;
  Saved(s, job);
  SettleEnds(s, job.durable.ends, end_fate::forget);
  CountOutcome(s, now, job, outcome, {});
  AnswerCancels(s, job, true);
  AnswerAskers(s, job, StateOf(outcome), false);
  RememberEnded(d, now, job.id, {outcome, job.durable.epoch});
  EraseDurableJob(s, job);
}

// The job's row is not as this entry left it, though nobody has taken its
// place: a caller has cancelled the job through another entry.
void CancelledElsewhere(entry_state& s, micros now, leased_job& job) {
  durable_state& d = s.leased.durable;
  CountOutcome(s, now, job, leased_outcome::cancelled,
               {verdict::may_have_run, reason::cancelled,
                "cancelled through another entry", 0});
  StopRuns(s, job);
  SettleEnds(s, job.durable.saving, end_fate::forget);
  SettleEnds(s, job.durable.ends, end_fate::forget);
  AnswerCancels(s, job, true);
  AnswerAskers(s, job, leased_job_state::cancelled, false);
  RememberEnded(d, now, job.id, {leased_outcome::cancelled, job.durable.epoch});
  EraseDurableJob(s, job);
}

}  // namespace

// ---- [4] Ends without an open run -------------------------------------------

namespace {

enum class stray_kind : uint8_t {
  counts,          // its task has not started again: it stands
  failure_counts,  // ... it has, but the failed run counts against its attempts
  settled,         // nothing follows from it
  too_late,        // its task has started again, which it would have forbidden
  unknown,         // of no job known here
};

bool IsFirstOfEpoch(const leased_job& job, const leased_task_row& row) {
  return row.run == FirstRun(job.durable.epoch);
}

stray_kind JudgeLiveTask(const leased_job& job,
                         const leased_task_row& row,
                         const run_end& end) {
  const bool newest = end.ref.run == row.run;
  const bool is_over = row.state == leased_task_state::done ||
                       job.durable.stage == durable_stage::ending;
  if (is_over && newest)
    return stray_kind::settled;
  const bool waits = !is_over && row.state != leased_task_state::placed;
  const bool of_owner_before = IsFirstOfEpoch(job, row) &&
                               end.ref.run < row.run &&
                               end.ref.run > row.given_up;
  if (waits && (newest || of_owner_before))
    return stray_kind::counts;
  // It has started again since. Had this failure been the last one allowed, it
  // must not have.
  const bool harmless = end.how == run_end_kind::failed &&
                        job.durable.stage != durable_stage::ending &&
                        row.failed + 1 < job.queue.max_attempts;
  return harmless ? stray_kind::failure_counts : stray_kind::too_late;
}

stray_kind JudgeStranger(const durable_state& d, const run_end& end) {
  const auto stranger = d.strangers.find(end.ref.task.job);
  if (stranger == d.strangers.end() || !stranger->second.fate)
    return stray_kind::unknown;
  return *stranger->second.fate == end_fate::lapse ? stray_kind::too_late
                                                   : stray_kind::settled;
}

stray_kind JudgeEndedJob(const durable_state& d, const run_end& end) {
  const auto ended = d.ended.find(end.ref.task.job);
  const bool older =
      ended != d.ended.end() &&
      (ended->second.inherited || end.ref.run < FirstRun(ended->second.epoch));
  if (ended != d.ended.end() && ended->second.elsewhere)
    return JudgeStranger(d, end);
  if (older || d.disowned.count(end.ref) != 0)
    return stray_kind::too_late;
  if (ended != d.ended.end())
    return stray_kind::settled;
  return JudgeStranger(d, end);
}

stray_kind JudgeStray(entry_state& s, const run_end& end) {
  leased_job* job = FindLeasedJob(s.leased, end.ref.task.job);
  if (job == nullptr || job->durable.stage == durable_stage::accepting)
    return JudgeEndedJob(s.leased.durable, end);
  if (!IsDurable(*job))
    return stray_kind::settled;
  leased_task_row* row = FindTask(*job, end.ref.task);
  return row == nullptr ? stray_kind::settled : JudgeLiveTask(*job, *row, end);
}

void TakeStanding(entry_state& s,
                  micros now,
                  worker_id id,
                  const run_end& end) {
  leased_job& job = *FindLeasedJob(s.leased, end.ref.task.job);
  leased_task_row& row = *FindTask(job, end.ref.task);
  LogJob(s, "run ended, found", job,
         std::string(ToText(end.how)) + ", run " + std::to_string(end.ref.run) +
             ", worker " + s.workers[id.value].name);
  AddUnsavedEnd(s, job, id, end);
  if (end.how == run_end_kind::failed) {
    CountFailedRun(s, now, job, row);
    return;
  }
  std::erase(job.waiting, static_cast<uint32_t>(&row - job.tasks.data()));
  if (job.waiting.empty())
    Dequeue(s.leased, job);
  FinishLeasedTask(s, now, job, row);
}

void SettleStray(entry_state& s,
                 worker_id id,
                 const run_end& end,
                 end_fate fate) {
  if (fate == end_fate::lapse) {
    ++s.leased.durable.counters.lapses_asked;
    s.actions.push_back(leased_decision{
        "end came too late", end.ref.task.job,
        std::string(ToText(end.how)) + ", run " + std::to_string(end.ref.run) +
            ", given up before; its worker's lease must lapse, worker " +
            s.workers[id.value].name});
  }
  SettleEnd(s,
            {id, s.leased.workers[id.value].sidecar_life, end.number, end.ref},
            fate);
}

}  // namespace

// Failure guarded against: the next owner of the job finds the end of a run
// that this one gave up and replaced, and takes it for the newest. That it was
// given up is stored before its task starts again.
void DisownRun(entry_state& s,
               micros now,
               leased_job& job,
               const run_ref& ref) {
  if (!IsDurable(job))
    return;
  s.leased.durable.disowned.emplace(ref, now);
  if (leased_task_row* row = FindTask(job, ref.task))
    row->given_up = std::max(row->given_up, ref.run);
  job.durable.must_save = true;
  MarkUnsaved(s, job);
}

// Failure guarded against: a run that this entry gave up as lost, and whose
// task it started elsewhere, had ended before its worker was cut off. If its
// end were acknowledged the task would count as done twice, or as failed too
// often. It may be forgotten only after the worker's lease has lapsed.
void TakeStrayEnd(entry_state& s,
                  micros now,
                  worker_id id,
                  const run_end& end) {
  const bool counts =
      end.how == run_end_kind::done || end.how == run_end_kind::failed;
  if (!counts || !s.leased.durable.options.enabled)
    return;
  switch (JudgeStray(s, end)) {
    case stray_kind::counts:
      TakeStanding(s, now, id, end);
      return;
    case stray_kind::failure_counts: {
      leased_job& job = *FindLeasedJob(s.leased, end.ref.task.job);
      AddUnsavedEnd(s, job, id, end);
      CountFailedRun(s, now, job, *FindTask(job, end.ref.task));
      return;
    }
    case stray_kind::too_late:
      SettleStray(s, id, end, end_fate::lapse);
      return;
    case stray_kind::settled:
      if (end.number == 0)
        SettleStray(s, id, end, end_fate::forget);
      return;
    case stray_kind::unknown:
      if (end.number == 0)
        LookUpStranger(s, now, end.ref.task.job);
      return;
  }
}

void TakeUnclaimedEnds(entry_state& s,
                       micros now,
                       worker_id id,
                       const lease_reports& reports) {
  for (run_end end : reports.unclaimed) {
    end.number = 0;
    // One that this entry has taken, and is storing, is settled when it is.
    leased_job* job = FindLeasedJob(s.leased, end.ref.task.job);
    const auto is_it = [&](const unsaved_end& u) { return u.ref == end.ref; };
    if (job != nullptr &&
        std::any_of(job->durable.ends.begin(), job->durable.ends.end(), is_it))
      continue;
    if (job != nullptr && std::any_of(job->durable.saving.begin(),
                                      job->durable.saving.end(), is_it))
      continue;
    TakeEnd(s, now, id, end);
  }
}

// ---- [5] What callers ask ---------------------------------------------------

void LookUpJob(entry_state& s,
               ticket_id ticket,
               const std::string& id,
               bool cancels) {
  ReadRows(s, {kEndedTable, id, 1, false},
           {read_purpose::find_ended, id, ticket, cancels});
}

void LookUpStranger(entry_state& s, micros now, const std::string& id) {
  constexpr micros kAskAgain = Millis(1000);
  stranger& row = s.leased.durable.strangers[id];
  if (now < row.ask_again)
    return;
  row.ask_again = now + kAskAgain;
  ReadRows(s, {kJobsTable, id, 1, false},
           {read_purpose::find_stray, id, {}, false});
}

void TellLeasedState(entry_state& s,
                     micros now,
                     ticket_id ticket,
                     const std::string& id) {
  durable_state& d = s.leased.durable;
  leased_job* job = FindLeasedJob(s.leased, id);
  const auto ended = d.ended.find(id);
  if (job != nullptr && MayEndSoon(*job)) {
    job->durable.askers.push_back(ticket);
    d.questions.push_back({now + d.options.answer_within, ticket, id});
  } else if (job != nullptr && job->durable.stage != durable_stage::accepting) {
    s.actions.push_back(answer_leased_state{ticket, StateOf(*job), false});
  } else if (ended != d.ended.end()) {
    s.actions.push_back(
        answer_leased_state{ticket, StateOf(ended->second.outcome), false});
  } else if (d.options.enabled) {
    LookUpJob(s, ticket, id, false);
  } else {
    s.actions.push_back(
        answer_leased_state{ticket, leased_job_state::unknown, false});
  }
}

void CancelLeasedJob(entry_state& s,
                     micros now,
                     ticket_id ticket,
                     const std::string& id) {
  durable_state& d = s.leased.durable;
  leased_job* job = FindLeasedJob(s.leased, id);
  if (job != nullptr && !IsDurable(*job)) {
    Conclude(s, now, *job, leased_outcome::cancelled,
             {verdict::may_have_run, reason::cancelled, "cancelled", 0});
    s.actions.push_back(answer_cancelled{ticket, true, false});
  } else if (job != nullptr) {
    job->durable.cancels.push_back(ticket);
    if (job->durable.stage == durable_stage::stored)
      EndDurableJob(s, *job, leased_outcome::cancelled);
  } else if (d.ended.count(id) != 0 || !d.options.enabled) {
    s.actions.push_back(answer_cancelled{ticket, false, false});
  } else {
    LookUpJob(s, ticket, id, true);
  }
}

namespace {

void AnswerLookUp(entry_state& s,
                  const open_read& read,
                  leased_job_state state,
                  bool unavailable) {
  if (read.cancels)
    s.actions.push_back(answer_cancelled{read.ticket, false, unavailable});
  else
    s.actions.push_back(answer_leased_state{read.ticket, state, unavailable});
}

// A job that another entry owns is cancelled by taking its row away: whatever
// that entry still writes for it fails, and it learns of it by the row beside.
void CancelElsewhere(entry_state& s,
                     micros now,
                     const open_read& read,
                     const stored_row& row) {
  durable_state& d = s.leased.durable;
  row_transaction rows;
  rows.expected = {{{kJobsTable, read.id}, row.version}};
  rows.removes = {{kJobsTable, read.id}, {kProgressTable, read.id}};
  const uint32_t epoch = EpochOf(row.value);
  rows.sets = {{kEndedTable, read.id,
                EndedRow({leased_outcome::cancelled, epoch}, d.life,
                         OwnerOf(row.value))},
               {kOwnersTable, kCancelPrefix + read.id, "{}"}};
  WriteRows(d, std::move(rows),
            {write_purpose::cancel_elsewhere, read.id, read.ticket});
  d.needed_until = std::max(d.needed_until, now + d.options.keep_cancel);
}

const stored_row* RowOf(const rows_reply& reply, const std::string& id) {
  for (const stored_row& row : reply.rows) {
    if (row.key == id)
      return &row;
  }
  return nullptr;
}

void TakeLookUp(entry_state& s,
                micros now,
                open_read read,
                const rows_reply& reply) {
  if (reply.status != store_status::ok) {
    AnswerLookUp(s, read, leased_job_state::unknown, true);
    return;
  }
  const stored_row* row = RowOf(reply, read.id);
  if (read.purpose == read_purpose::find_live) {
    if (row != nullptr && read.cancels)
      CancelElsewhere(s, now, read, *row);
    else if (row != nullptr)
      AnswerLookUp(s, read, leased_job_state::queued, false);
    else
      ReadRows(
          s, {kEndedTable, read.id, 1, false},
          {read_purpose::find_ended_again, read.id, read.ticket, read.cancels});
    return;
  }
  const auto ended = row == nullptr ? std::nullopt : ReadEndedRow(row->value);
  if (ended)
    AnswerLookUp(s, read, StateOf(ended->outcome), false);
  else if (read.purpose == read_purpose::find_ended)
    ReadRows(s, {kJobsTable, read.id, 1, false},
             {read_purpose::find_live, read.id, read.ticket, read.cancels});
  else
    AnswerLookUp(s, read, leased_job_state::unknown, false);
}

// Ends of a job that lives are its owner's to settle, and so are those of one
// that has ended, as only its owner knows which runs it counted. If that one is
// gone too, a lapse is always safe. A job without any row needs nothing.
void TakeStranger(entry_state& s,
                  const open_read& read,
                  const rows_reply& reply) {
  durable_state& d = s.leased.durable;
  const auto stranger = d.strangers.find(read.id);
  if (reply.status != store_status::ok || stranger == d.strangers.end())
    return;
  const stored_row* row = RowOf(reply, read.id);
  if (read.purpose == read_purpose::find_stray) {
    if (row == nullptr)
      ReadRows(s, {kEndedTable, read.id, 1, false},
               {read_purpose::find_stray_ended, read.id, {}, false});
    return;
  }
  const std::string owner = row == nullptr ? "" : OwnerOf(row->value);
  const bool lives =
      owner != d.life && d.peers.count(kEntryPrefix + owner) != 0;
  if (row == nullptr)
    stranger->second.fate = end_fate::forget;
  else if (!lives)
    stranger->second.fate = end_fate::lapse;
}

}  // namespace

// ---- [6] Losing ownership ---------------------------------------------------

namespace {

template <typename Function>
void ForEachDurableJob(entry_state& s, Function function) {
  std::vector<leased_seq> seqs;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (IsDurable(job))
      seqs.push_back(seq);
  }
  for (leased_seq seq : seqs)
    function(s.leased.jobs.at(seq));
}

// The jobs are another entry's, or about to be: nothing of them is said or done
// here any more. Callers that wait for an answer get none that promises.
void LeaveJobs(entry_state& s) {
  ForEachDurableJob(s, [&](leased_job& job) {
    StopRuns(s, job);
    SettleEnds(s, job.durable.saving, end_fate::pass_on);
    SettleEnds(s, job.durable.ends, end_fate::pass_on);
    AnswerTickets(s, job, leased_outcome::refused,
                  {verdict::may_have_run, reason::platform_unavailable,
                   "another entry has taken over", 0});
    for (ticket_id ticket : job.durable.cancels)
      s.actions.push_back(answer_cancelled{ticket, false, true});
    AnswerAskers(s, job, leased_job_state::unknown, true);
    EraseDurableJob(s, job);
  });
}

void NewLife(entry_state& s) {
  durable_state& d = s.leased.durable;
  d.peers.erase(d.journal.own.key);
  ++d.generation;
  d.life = ToHex(s.options.self.value) + "." + std::to_string(d.generation);
  journal_state fresh;
  fresh.options = d.journal.options;
  fresh.own = {kOwnersTable, kEntryPrefix + d.life};
  fresh.transactions = d.journal.transactions;
  fresh.next_call = d.journal.next_call;
  fresh.next_op = d.journal.next_op;
  d.journal = std::move(fresh);
  d.facts_at = {};
}

// Failure guarded against: this entry was cut off from the store, or stood
// still, for so long that another took its jobs over. Its writes fail from then
// on; it drops the jobs and goes on as a new owner.
void Depose(entry_state& s) {
  durable_state& d = s.leased.durable;
  ++d.counters.deposed;
  s.actions.push_back(
      leased_decision{"jobs taken over by another entry", "",
                      "life " + d.life + ", jobs " + std::to_string(d.jobs)});
  LeaveJobs(s);
  for (const auto& [op, write] : d.writes) {
    if (write.purpose == write_purpose::cancel_elsewhere)
      s.actions.push_back(answer_cancelled{write.ticket, false, true});
  }
  d.writes.clear();
  d.taking_over.reset();
  NewLife(s);
}

// Failure guarded against: the store is out of this entry's reach, and another
// entry may soon take its jobs over. What runs is stopped before that.
void CheckOwnership(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const bool owner = d.journal.own_version == 0 || IsOwner(d.journal, now);
  if (owner != d.owner_told)
    s.actions.push_back(leased_decision{
        owner ? "owns its jobs again" : "owns its jobs no more", "",
        "life " + d.life + ", jobs " + std::to_string(d.jobs)});
  const bool lapsed = d.owner_told && !owner;
  d.owner_told = owner;
  if (!lapsed)
    return;
  ForEachDurableJob(s, [&](leased_job& job) {
    for (leased_task_row& row : job.tasks) {
      if (row.state != leased_task_state::placed || row.moving)
        continue;
      row.moving = true;
      OrdersFor(s, row.worker).stops.push_back(RefOf(row));
    }
  });
}

// A stopping entry leaves what it has not finished to others, in time for its
// word to be written.
void ReleaseJobs(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const leased_options& o = s.leased.options;
  if (!s.draining || d.released ||
      now - s.drain_since < o.drain_accept + micros{o.drain_close.value / 2})
    return;
  d.released = true;
  if (d.jobs == 0 && !d.taking_over)
    return;  // the own row goes
  s.actions.push_back(leased_decision{"jobs left to other entries", "",
                                      "jobs " + std::to_string(d.jobs)});
  LeaveJobs(s);
  d.taking_over.reset();  // what it has taken so far is left too
  d.left_jobs = true;
  d.facts_at = {};
  WriteRows(d, {}, {write_purpose::release, "", {}});
}

}  // namespace

// ---- [7] Answers of the store -----------------------------------------------

namespace {

void TakeJobWrite(entry_state& s,
                  micros now,
                  const open_write& write,
                  const journal_result& result) {
  leased_job* job = FindLeasedJob(s.leased, write.id);
  if (job == nullptr || job->durable.op != result.id)
    return;
  if (write.purpose == write_purpose::accept) {
    if (result.done)
      Accepted(s, now, *job, result.version);
    else
      AlreadyTaken(s, *job);
  } else if (!result.done) {
    CancelledElsewhere(s, now, *job);
  } else if (write.purpose == write_purpose::end) {
    Ended(s, now, *job);
  } else {
    Saved(s, *job);
  }
}

void TakeWrite(entry_state& s, micros now, const journal_result& result) {
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
      TakeJobWrite(s, now, write, result);
      return;
    case write_purpose::cancel_elsewhere:
      if (!result.done) {  // it has moved on: look again
        LookUpJob(s, write.ticket, write.id, true);
        return;
      }
      RememberEnded(d, now, write.id,
                    {leased_outcome::cancelled, 0, false, true});
      d.cancel_rows.emplace_back(now + d.options.keep_cancel, write.id);
      s.actions.push_back(answer_cancelled{write.ticket, true, false});
      return;
    case write_purpose::claim_owner:
    case write_purpose::adopt_job:
    case write_purpose::close_owner:
      TakeAdoptionWrite(s, now, write, result);
      return;
    case write_purpose::release:
    case write_purpose::sweep:
      return;
  }
}

void TakeWrites(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  std::vector<journal_result> results;
  results.swap(d.journal.results);
  for (const journal_result& result : results)
    TakeWrite(s, now, result);
  if (d.journal.deposed)
    Depose(s);
}

}  // namespace

void TakeStoreAnswer(entry_state& s, micros now, const store_answered& e) {
  durable_state& d = s.leased.durable;
  if (e.call % 2 == 0) {
    TakeJournalReply(d.journal, now, e.call / 2, e.reply);
    TakeWrites(s, now);
    return;
  }
  const auto it = d.reads.find(e.call);
  if (it == d.reads.end())
    return;
  open_read read = std::move(it->second);
  d.reads.erase(it);
  switch (read.purpose) {
    case read_purpose::poll_owners:
      TakeOwners(s, now, e.reply);
      return;
    case read_purpose::find_ended:
    case read_purpose::find_live:
    case read_purpose::find_ended_again:
      TakeLookUp(s, now, std::move(read), e.reply);
      return;
    case read_purpose::find_stray:
    case read_purpose::find_stray_ended:
      TakeStranger(s, read, e.reply);
      return;
    case read_purpose::adopt:
      TakeAdoptionPage(s, now, e.reply);
      return;
  }
}

void TakeCancelRow(entry_state& s, micros now, const std::string& id) {
  leased_job* job = FindLeasedJob(s.leased, id);
  if (job != nullptr && job->durable.stage == durable_stage::stored)
    CancelledElsewhere(s, now, *job);
}

// ---- [8] Tick ---------------------------------------------------------------

namespace {

// Rows that nobody asks for any more are removed, many to a transaction.
void Sweep(entry_state& s, micros now) {
  constexpr size_t kMostAtOnce = 40;
  constexpr micros kEvery = Millis(1000);
  durable_state& d = s.leased.durable;
  std::erase_if(d.disowned, [&](const auto& row) {
    return now - row.second > d.options.keep_disowned;
  });
  std::erase_if(d.strangers, [&](const auto& row) {
    return now - row.second.ask_again > d.options.keep_stranger;
  });
  if (now < d.next_sweep || IsUnreachable(d.journal, now))
    return;
  d.next_sweep = now + kEvery;
  row_transaction rows;
  while (!d.ended_order.empty() && d.ended_order.front().first <= now &&
         rows.removes.size() < kMostAtOnce) {
    rows.removes.push_back({kEndedTable, d.ended_order.front().second});
    d.ended.erase(d.ended_order.front().second);
    d.ended_order.pop_front();
  }
  while (!d.cancel_rows.empty() && d.cancel_rows.front().first <= now &&
         rows.removes.size() < 2 * kMostAtOnce) {
    rows.removes.push_back(
        {kOwnersTable, kCancelPrefix + d.cancel_rows.front().second});
    d.cancel_rows.pop_front();
  }
  if (!rows.removes.empty())
    WriteRows(d, std::move(rows), {write_purpose::sweep, "", {}});
}

// The own row is there while jobs are owned, and some time longer. Once it is
// gone this entry is a new owner: a copy of an old write that is still on its
// way must not find the row absent, as it expects, and apply.
void KeepOwnRow(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (d.jobs > 0 || d.taking_over)
    d.needed_until = std::max(d.needed_until, now + d.options.linger);
  // One that says that jobs are left to others stays until they are taken.
  const bool needed = d.left_jobs ? d.journal.own_version != 0
                                  : now < d.needed_until && !d.released;
  const bool removed = !d.journal.wanted && d.had_row &&
                       d.journal.own_version == 0 && !d.journal.open &&
                       d.journal.waiting.empty();
  if (removed) {
    NewLife(s);
    d.had_row = false;
  }
  d.had_row = d.had_row || d.journal.own_version != 0;
  d.journal.wanted = needed;
}

void TellFacts(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(250);
  durable_state& d = s.leased.durable;
  if (d.facts_at.value != 0 && now - d.facts_at < kEvery)
    return;
  d.facts_at = now;
  d.journal.facts = OwnerFacts(s);
}

}  // namespace

bool MayStart(const entry_state& s, micros now, const leased_job& job) {
  if (!IsDurable(job))
    return true;
  return job.durable.stage == durable_stage::stored && !job.durable.must_save &&
         now >= job.durable.start_from &&
         IsOwner(s.leased.durable.journal, now);
}

void StartDurableJobs(leased_state& l, const entry_options& options) {
  durable_state& d = l.durable;
  d.options = l.options.durable;
  d.generation = 1;
  d.life = ToHex(options.self.value) + ".1";
  d.journal.own = {kOwnersTable, kEntryPrefix + d.life};
}

bool DurableJobsSettled(const entry_state& s, micros now) {
  const durable_state& d = s.leased.durable;
  const leased_options& o = s.leased.options;
  return !d.options.enabled || (!d.journal.open && d.journal.waiting.empty()) ||
         now - s.drain_since >= o.drain_accept + o.drain_close;
}

void TickDurableJobs(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (!d.options.enabled)
    return;
  AnswerOldQuestions(s, now);
  RefuseWhileUnreachable(s, now);
  CheckOwnership(s, now);
  ReleaseJobs(s, now);
  WriteUnsaved(s, now);
  TickAdoption(s, now);
  Sweep(s, now);
  KeepOwnRow(s, now);
  TellFacts(s, now);
  TickJournal(d.journal, now);
  for (auto& [call, transaction] : d.journal.calls)
    s.actions.push_back(store_call{2 * call, std::move(transaction)});
  d.journal.calls.clear();
}

}  // namespace cassiaferry
