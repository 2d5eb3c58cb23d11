// Leased jobs of an entry: submission, ends of runs, answers.
//
// Contents
//   [1] Tables
//   [2] Answers
//   [3] Submission
//   [4] Ends of runs
//   [5] Queries

#include "cassiaferry/leased_jobs.h"

#include <algorithm>

#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_admission.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// A late answer is of some use within this many times the on-time bound.
constexpr int64_t kUselessFactor = 3;
// A worker that refused a start gets no other one for this long.
constexpr micros kAvoidAfterRefusal = Millis(5);
// Added to a task's run number when a run is superseded, to skip all run
// numbers that an earlier entry used for the same task.
constexpr uint32_t kRunNumberStep = 16;

}  // namespace

// ---- [1] Tables -------------------------------------------------------------

leased_job* FindLeasedJob(leased_state& s, leased_seq seq) {
  const auto it = s.jobs.find(seq);
  return it == s.jobs.end() ? nullptr : &it->second;
}

leased_job* FindLeasedJob(leased_state& s, const std::string& id) {
  const auto it = s.ids.find(id);
  return it == s.ids.end() ? nullptr : &s.jobs.at(it->second);
}

run_ref RefOf(const leased_task_row& row) {
  return {row.task, row.run};
}

void LogJob(entry_state& s,
            const char* what,
            const leased_job& job,
            std::string detail) {
  s.actions.push_back(leased_decision{what, job.id, std::move(detail)});
}

bool WantsRoutine(entry_state& s, const char* what, const leased_job& job) {
  if (s.leased.logs_routine || IsSampledJob(job.id))
    return true;
  s.actions.push_back(
      leased_decision{what, {}, {}, log_class::routine, false, true});
  return false;
}

void LogRoutine(entry_state& s,
                const char* what,
                const leased_job& job,
                std::string detail) {
  s.actions.push_back(leased_decision{what, job.id, std::move(detail),
                                      log_class::routine,
                                      IsSampledJob(job.id)});
}

void Dequeue(leased_state& s, leased_job& job) {
  if (!job.queued)
    return;
  (job.overdue ? s.overdue : s.waiting).erase(job.seq);
  job.queued = false;
}

void AddCpuInUse(leased_state& s,
                 const leased_job& job,
                 const leased_task_row& row,
                 int sign) {
  s.cpu_in_use[job.queue.name] += sign * job.steps[row.task.step].need.cpu;
}

void StopRuns(entry_state& s, leased_job& job) {
  for (leased_task_row& row : job.tasks) {
    if (row.state != leased_task_state::placed)
      continue;
    leased_worker& w = s.leased.workers[row.worker.value];
    w.open_runs.erase(RefOf(row));
    if (s.workers[row.worker.value].state != worker_link::down)
      OrdersFor(s, row.worker).stops.push_back(RefOf(row));
    row.state = leased_task_state::blocked;
    AddCpuInUse(s.leased, job, row, -1);
  }
}

void EraseLeasedJob(entry_state& s, leased_job& job) {
  leased_state& l = s.leased;
  Dequeue(l, job);
  for (ticket_id ticket : job.tickets)
    l.tickets.erase(ticket);
  l.deadlines.erase({job.deadline, job.seq});
  l.ids.erase(job.id);
  l.job_bytes -= job.bytes;
  l.jobs.erase(job.seq);
}

// ---- [2] Answers ------------------------------------------------------------

void AnswerTickets(entry_state& s,
                   leased_job& job,
                   leased_outcome outcome,
                   const failure& why) {
  for (ticket_id ticket : job.tickets) {
    s.actions.push_back(answer_leased_job{ticket, outcome, why});
    s.leased.tickets.erase(ticket);
  }
  job.tickets.clear();
}

void CountOutcome(entry_state& s,
                  micros now,
                  const leased_job& job,
                  leased_outcome outcome,
                  const failure& why) {
  leased_counters& c = s.leased.counters;
  constexpr const char* kWhat[] = {"job completed", "job failed",
                                   "job cancelled", "job refused",
                                   "job accepted"};
  uint64_t* const counts[] = {&c.jobs_completed, &c.jobs_failed,
                              &c.jobs_cancelled, &c.jobs_refused,
                              &c.jobs_accepted};
  ++*counts[static_cast<size_t>(outcome)];
  if (outcome == leased_outcome::completed)
    UpdateDurationMargin(s.leased, job, now - job.started_at);
  if (outcome == leased_outcome::completed)
    s.leased.latencies[job.queue.name].response.Add(
        ToMillis(now - job.arrival));
  const char* what = kWhat[static_cast<size_t>(outcome)];
  const bool routine = outcome == leased_outcome::completed ||
                       outcome == leased_outcome::accepted;
  if (routine && !WantsRoutine(s, what, job))
    return;
  std::string detail =
      "age_ms " + std::to_string(ToMillis(now - job.arrival)) +
      ", expected_ms " + std::to_string(ToMillis(job.expected)) + ", tasks " +
      std::to_string(job.tasks.size()) + ", done " + std::to_string(job.done);
  if (!why.message.empty())
    detail += ", " + why.message;
  (routine ? LogRoutine : LogJob)(s, what, job, std::move(detail));
}

void Conclude(entry_state& s,
              micros now,
              leased_job& job,
              leased_outcome outcome,
              const failure& why) {
  CountOutcome(s, now, job, outcome, why);
  AnswerTickets(s, job, outcome, why);
  StopRuns(s, job);
  EraseLeasedJob(s, job);
}

void EndJob(entry_state& s,
            micros now,
            leased_job& job,
            leased_outcome outcome,
            const failure& why) {
  if (job.durable.stage == durable_stage::none)
    Conclude(s, now, job, outcome, why);
  else
    EndDurableJob(s, job, outcome);
}

void RefuseTicket(entry_state& s,
                  ticket_id ticket,
                  const std::string& id,
                  failure why,
                  const std::string& inputs) {
  ++s.leased.counters.jobs_refused;
  std::string logged = why.message;
  if (!inputs.empty())
    logged += ", " + inputs;
  s.actions.push_back(leased_decision{"job refused", id, std::move(logged)});
  s.actions.push_back(
      answer_leased_job{ticket, leased_outcome::refused, std::move(why)});
}

// ---- [3] Submission ---------------------------------------------------------

namespace {

void Enqueue(leased_state& s, leased_job& job) {
  if (job.queued || job.waiting.empty())
    return;
  (job.overdue ? s.overdue : s.waiting).insert(job.seq);
  job.queued = true;
}

void AddWaitingTask(leased_state& s, leased_job& job, uint32_t index) {
  job.tasks[index].state = leased_task_state::waiting;
  job.waiting.push_back(index);
  Enqueue(s, job);
}

// The longest chain of declared work, times the queue's measured ratio of run
// time to declared time.
micros ExpectedWork(const leased_job& job, double ratio) {
  std::vector<int64_t> finish(job.steps.size(), 0);
  int64_t longest = 0;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    int64_t start = 0;
    for (uint32_t before : job.steps[i].after)
      start = std::max(start, finish[before]);
    finish[i] = start + std::max<int64_t>(1, job.steps[i].expected_ms);
    longest = std::max(longest, finish[i]);
  }
  return micros{
      static_cast<int64_t>(static_cast<double>(longest) * 1000 * ratio)};
}

}  // namespace

void SetBounds(leased_job& job, micros now, double ratio) {
  job.arrival = now;
  job.expected = ExpectedWork(job, ratio);
  const micros on_time{
      static_cast<int64_t>(static_cast<double>(job.expected.value) *
                           job.queue.stretch) +
      Millis(job.queue.allowance_ms).value};
  job.late_after = now + on_time;
  job.useless_after = now + micros{on_time.value * kUselessFactor};
}

namespace {

size_t TaskCount(const std::vector<leased_step>& steps) {
  size_t count = 0;
  for (const leased_step& step : steps)
    count += step.count;
  return count;
}

}  // namespace

size_t JobBytes(const std::string& payload,
                const std::vector<leased_step>& steps) {
  // A task's copy of its job's id, and its place in the job's queue.
  constexpr size_t kTaskBytes = sizeof(leased_task_row) + 32 + 8;
  size_t bytes = sizeof(leased_job) + payload.size();
  for (const leased_step& step : steps)
    bytes += sizeof(leased_step) + step.after.size() * sizeof(uint32_t) +
             step.label.size() + step.preferred_label.size();
  return bytes + TaskCount(steps) * kTaskBytes;
}

// Failure guarded against: callers send little and have this process keep much.
bool HasRoomFor(const leased_options& options, size_t held, size_t job_bytes) {
  const size_t most = options.max_job_bytes;
  return most == 0 || held == 0 || held + job_bytes <= most;
}

void MakeTasks(leased_job& job, uint32_t first_run) {
  job.min_cpu = INT64_MAX;
  job.tasks.reserve(TaskCount(job.steps));
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    job.min_cpu = std::min(job.min_cpu, job.steps[step].need.cpu);
    job.step_tasks_left.push_back(job.steps[step].count);
    for (uint32_t i = 0; i < job.steps[step].count; ++i) {
      leased_task_row row;
      row.task = {job.id, 0, step, i};
      row.run = first_run;
      job.tasks.push_back(row);
    }
  }
}

namespace {

bool IsReleased(const leased_job& job, uint32_t step) {
  const std::vector<uint32_t>& after = job.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
    return job.step_tasks_left[before] == 0;
  });
}

}  // namespace

// Failure guarded against: each of many tasks asks for a long list of steps
// whether they are done, and the loop stands still. So each step asks once.
void ReleaseTasks(leased_state& s, leased_job& job) {
  uint32_t first = 0;
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    const uint32_t end = first + job.steps[step].count;
    const bool released = IsReleased(job, step);
    for (uint32_t i = first; released && i < end; ++i) {
      if (job.tasks[i].state == leased_task_state::blocked)
        AddWaitingTask(s, job, i);
    }
    first = end;
  }
}

leased_job& AddLeasedJob(leased_state& s, leased_job job) {
  job.bytes = JobBytes(job.payload, job.steps);
  s.job_bytes += job.bytes;
  s.ids.emplace(job.id, job.seq);
  for (ticket_id ticket : job.tickets)
    s.tickets.emplace(ticket, job.seq);
  if (job.deadline.value != 0)
    s.deadlines.emplace(job.deadline, job.seq);
  const leased_seq seq = job.seq;
  return s.jobs.emplace(seq, std::move(job)).first->second;
}

namespace {

const queue_config* QueueNamed(const configuration& config,
                               const std::string& name) {
  for (const queue_config& queue : config.queues) {
    if (queue.name == name)
      return &queue;
  }
  return nullptr;
}

bool IsStored(const leased_job& job) {
  return job.durable.stage == durable_stage::stored ||
         job.durable.stage == durable_stage::ending;
}

bool CheckSteps(const std::vector<leased_step>& steps) {
  for (size_t i = 0; i < steps.size(); ++i) {
    for (uint32_t before : steps[i].after) {
      if (before >= i)
        return false;
    }
  }
  return !steps.empty();
}

}  // namespace

// Whether some known worker of the upstream could hold a task of each step; if
// not, the job is refused at once. While no worker is known the job waits,
// because the first announcement may be a second away.
// Failure guarded against: the capacity of workers is small for a while, and a
// job that fits at other times is refused for good. So the largest capacity
// that each worker has had counts.
bool CanEverRun(const entry_state& s,
                const queue_config& queue,
                const std::vector<leased_step>& steps) {
  bool any = false;
  for (const leased_step& step : steps) {
    bool fits = false;
    for (const leased_worker& w : s.leased.workers) {
      if (!w.known || w.info.upstream != queue.upstream)
        continue;
      any = true;
      fits = fits || Fits(step.need, w.max_capacity);
    }
    if (any && !fits)
      return false;
  }
  return true;
}

namespace {

// Whether a stopping entry still accepts a job from an open connection: a job
// that is done in time must be done before the entry closes.
bool FitsBeforeStop(const entry_state& s, const leased_job& job) {
  if (!s.draining)
    return true;
  // Sidecars have got the shutdown notice, and the process is about to end.
  if (s.drain_announced)
    return false;
  const leased_options& o = s.leased.options;
  const micros closes = s.drain_since + o.drain_accept + o.drain_close;
  return job.late_after < closes;
}

leased_job BuildJob(leased_state& l,
                    micros now,
                    leased_job_submitted& event,
                    const queue_config& queue) {
  leased_job_request& r = event.request;
  leased_job job;
  job.seq = leased_seq{l.next_job++};
  job.id = r.id;
  job.queue = queue;
  job.payload = std::move(r.payload);
  job.steps = std::move(r.steps);
  job.tickets = {event.ticket};
  if (r.durable)
    job.durable.stage = durable_stage::accepting;
  MakeTasks(job, r.durable ? FirstRun(job.durable.epoch) : 0);
  SetBounds(job, now, l.estimates[queue.name].ratio);
  if (r.wait_ms > 0)
    job.deadline = ArrivalOf(event.received, now) + Millis(r.wait_ms);
  return job;
}

void RecordUnread(leased_state& l, const leased_job& job, micros waited) {
  RecordRequestWait(l.late, waited);
  l.latencies[job.queue.name].unread.Add(ToMillis(waited));
}

}  // namespace

failure NeverRunnable() {
  return {verdict::not_run, reason::never_runnable,
          "a task needs more than any worker has", 0};
}

namespace {

// Handles a job that no worker known here can hold. While more workers can be
// reached the job waits for them, unless it is durable: that one would be
// accepted before it is known whether it can ever run.
bool RefusesUnfit(entry_state& s,
                  micros now,
                  ticket_id ticket,
                  const leased_job_request& r) {
  constexpr int64_t kAskAgainMs = 2000;
  if (!MayReachMore(s, now)) {
    RefuseTicket(s, ticket, r.id, NeverRunnable());
    return true;
  }
  s.reach.unfit_at = now;
  if (r.durable)
    RefuseTicket(s, ticket, r.id,
                 {verdict::not_run, reason::queue_full,
                  "no worker known yet has what a task needs", kAskAgainMs});
  return r.durable;
}

}  // namespace

void SubmitLeasedJob(entry_state& s, micros now, leased_job_submitted event) {
  constexpr int64_t kAskAgainMs = 1000;
  leased_state& l = s.leased;
  ++l.counters.jobs_received;
  leased_job_request& r = event.request;
  leased_job* same = FindLeasedJob(l, r.id);
  if (same != nullptr && !IsStored(*same)) {
    same->tickets.push_back(event.ticket);
    l.tickets.emplace(event.ticket, same->seq);
    return;
  }
  if (same != nullptr || l.durable.ended.count(r.id) != 0) {
    s.actions.push_back(
        answer_leased_job{event.ticket, leased_outcome::accepted, {}});
    return;
  }
  const queue_config* queue = QueueNamed(s.config, r.queue);
  if (queue == nullptr) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::not_found, "no such queue", 0});
    return;
  }
  if (r.durable && !l.durable.options.enabled) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::not_supported,
                  "this entry has no store for durable jobs", 0});
    return;
  }
  if (event.no_room ||
      !HasRoomFor(l.options, l.job_bytes, JobBytes(r.payload, r.steps))) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::queue_full,
                  "this entry holds as much as its memory takes", kAskAgainMs},
                 "job_bytes " + std::to_string(l.job_bytes));
    return;
  }
  if (!CheckSteps(r.steps)) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::bad_request,
                  "each step must come after the steps it waits for", 0});
    return;
  }
  if (!CanEverRun(s, *queue, r.steps) && RefusesUnfit(s, now, event.ticket, r))
    return;
  leased_job job = BuildJob(l, now, event, *queue);
  RecordUnread(l, job, now - ArrivalOf(event.received, now));
  if (RefusesNewWork(s, job)) {
    RefuseTicket(s, event.ticket, job.id,
                 {verdict::not_run, reason::queue_full, "this entry acts late",
                  RetryAfterMs(s)},
                 LatenessText(l.late));
    return;
  }
  if (r.durable) {
    SubmitDurableJob(s, now, std::move(job));
    return;
  }
  if (NeedsClosedDomain(s, job)) {
    RefuseTicket(s, event.ticket, job.id, ClosedDomainFailure(s));
    return;
  }
  if (!FitsBeforeStop(s, job)) {
    RefuseTicket(
        s, event.ticket, job.id,
        {verdict::not_run, reason::draining, "this entry stops", 1000});
    return;
  }
  leased_job& added = AddLeasedJob(l, std::move(job));
  ReleaseTasks(l, added);
  RecordArrival(l, added);
}

void HandleLeasedCallerGone(entry_state& s, micros now, ticket_id ticket) {
  leased_state& l = s.leased;
  const auto it = l.tickets.find(ticket);
  if (it == l.tickets.end()) {
    ++l.counters.callers_gone_unknown;
    s.actions.push_back(
        leased_decision{"caller gone, of no open job", "",
                        "ticket " + std::to_string(ticket.value)});
    return;
  }
  leased_job& job = l.jobs[it->second];
  std::erase(job.tickets, ticket);
  l.tickets.erase(it);
  // A caller that has gone may send its job again, to any entry, so the job's
  // runs here must be over by then. A durable job continues, because it may
  // already be stored.
  if (job.tickets.empty() && job.durable.stage == durable_stage::none)
    Conclude(
        s, now, job, leased_outcome::cancelled,
        {verdict::may_have_run, reason::cancelled, "the caller has gone", 0});
}

// ---- [4] Ends of runs -------------------------------------------------------

namespace {

void UpdateEstimates(entry_state& s,
                     micros now,
                     worker_id id,
                     const leased_job& job,
                     const leased_task_row& row,
                     const run_end& end) {
  const int64_t declared = job.steps[row.task.step].expected_ms;
  RecordHealth(s, now, id, job, end.kind);
  if (end.kind != run_end_kind::done || declared <= 0)
    return;
  const estimate_method method = s.leased.options.adapts_to_uneven_workers
                                     ? estimate_method::unbiased_median
                                     : estimate_method::decaying_mean;
  RecordRunTime(s.leased.estimates[job.queue.name], {declared, end.run_ms},
                method, now);
  RecordDone(s.leased.budget_of_moves,
             static_cast<double>(job.steps[row.task.step].need.cpu) *
                 static_cast<double>(end.run_ms),
             now);
}

}  // namespace

// Tasks are stored in the order of their steps and indices.
leased_task_row* FindTask(leased_job& job, const leased_task& task) {
  size_t at = task.index;
  for (size_t step = 0; step < task.step && step < job.steps.size(); ++step)
    at += job.steps[step].count;
  if (at >= job.tasks.size() || job.tasks[at].task != task)
    return nullptr;
  return &job.tasks[at];
}

void FinishLeasedTask(entry_state& s,
                      micros now,
                      leased_job& job,
                      leased_task_row& row) {
  row.state = leased_task_state::done;
  ++job.done;
  --job.step_tasks_left[row.task.step];
  MarkUnsaved(s, job);
  if (job.done == job.tasks.size())
    EndJob(s, now, job, leased_outcome::completed, {});
  else if (job.step_tasks_left[row.task.step] == 0)
    ReleaseTasks(s.leased, job);
}

uint32_t CountedFailures(const leased_task_row& row) {
  return row.unnamed_failures + static_cast<uint32_t>(row.failed_runs.size());
}

bool IsCountedFailure(const leased_task_row& row, uint32_t run) {
  return std::find(row.failed_runs.begin(), row.failed_runs.end(), run) !=
         row.failed_runs.end();
}

bool CountFailedRun(entry_state& s,
                    micros now,
                    leased_job& job,
                    leased_task_row& row,
                    uint32_t run) {
  if (IsCountedFailure(row, run))
    return false;
  row.failed_runs.push_back(run);
  MarkUnsaved(s, job);
  const uint32_t failures = CountedFailures(row);
  if (failures < job.queue.max_attempts)
    return false;
  EndJob(s, now, job, leased_outcome::failed,
         {verdict::ran, reason::task_failed,
          "a task failed " + std::to_string(failures) + " times", 0});
  return true;
}

namespace {

void RetryTask(entry_state& s,
               micros now,
               leased_job& job,
               leased_task_row& row,
               const run_end& end) {
  if (end.kind == run_end_kind::superseded)
    row.run += kRunNumberStep;
  const bool failed = end.kind == run_end_kind::failed &&
                      CountFailedRun(s, now, job, row, end.ref.run);
  if (!failed)
    AddWaitingTask(s.leased, job,
                   static_cast<uint32_t>(&row - job.tasks.data()));
}

// Names the source of an end, for the log. An end without a number was
// concluded by this entry because the sidecar was silent.
std::string EndSourceText(const entry_state& s,
                          micros now,
                          worker_id id,
                          const run_end& end) {
  if (end.number != 0)
    return ", reported by its sidecar";
  const leased_worker& w = s.leased.workers[id.value];
  return ", its sidecar is silent, last report_ms " +
         std::to_string(ToMillis(now - w.report_received_at));
}

void LogRunEnd(entry_state& s,
               micros now,
               worker_id id,
               const leased_job& job,
               const run_end& end) {
  // Hundreds of starts are refused under load; LogRefusedStarts logs them.
  if (end.kind == run_end_kind::done || end.kind == run_end_kind::never_started)
    return;
  LogJob(s, "run ended", job,
         std::string(ToText(end.kind)) + ", task " +
             std::to_string(end.ref.task.step) + "." +
             std::to_string(end.ref.task.index) + ", run " +
             std::to_string(end.ref.run) + ", worker " +
             s.workers[id.value].name + ", after_ms " +
             std::to_string(end.run_ms) + EndSourceText(s, now, id, end));
}

}  // namespace

// Logs the refused starts of a report in one line, with their jobs.
void LogRefusedStarts(entry_state& s,
                      worker_id id,
                      const std::vector<run_end>& ends) {
  std::string jobs;
  const std::string* newest = nullptr;
  int refused = 0;
  for (const run_end& end : ends) {
    if (end.kind != run_end_kind::never_started)
      continue;
    ++refused;
    if (newest == nullptr || *newest != end.ref.task.job)
      jobs += (jobs.empty() ? "" : " ") + end.ref.task.job;
    newest = &end.ref.task.job;
  }
  if (refused == 0)
    return;
  const leased_worker& w = s.leased.workers[id.value];
  s.actions.push_back(
      leased_decision{"starts refused", jobs,
                      "runs " + std::to_string(refused) + ", worker " +
                          s.workers[id.value].name + ", its free cpu " +
                          std::to_string(w.free.cpu)});
}

namespace {

// Failure guarded against: all starts of a job are refused, but it still counts
// as started. It would be kept until its caller gives up, though none of its
// runs has begun.
void UpdateMayHaveRun(leased_job& job, run_end_kind how) {
  job.may_have_run = job.may_have_run || how != run_end_kind::never_started;
  job.started = job.may_have_run || job.placed > 0;
}

}  // namespace

void HandleRunEnd(entry_state& s,
                  micros now,
                  worker_id id,
                  const run_end& end) {
  leased_worker& w = s.leased.workers[id.value];
  if (end.number != 0) {
    if (end.number <= w.received_end)
      return;
    w.received_end = end.number;
    // Failure guarded against: a case that no code below thinks of is
    // acknowledged, and the task runs again. Only a resolution acknowledges.
    if (IsHeldUntilResolved(end))
      w.unresolved_ends.insert(end.number);
  }
  const auto open = w.open_runs.find(end.ref);
  if (open == w.open_runs.end()) {
    HandleOrphanedEnd(s, now, id, end);
    return;
  }
  const leased_seq seq = open->second;
  w.open_runs.erase(open);
  ++s.leased.counters.runs_ended[static_cast<size_t>(end.kind)];
  leased_job* job = FindLeasedJob(s.leased, seq);
  leased_task_row* row =
      job == nullptr ? nullptr : FindTask(*job, end.ref.task);
  if (row == nullptr || row->state != leased_task_state::placed ||
      row->run != end.ref.run) {
    HandleOrphanedEnd(s, now, id, end);
    return;
  }
  --job->placed;
  AddCpuInUse(s.leased, *job, *row, -1);
  UpdateMayHaveRun(*job, end.kind);
  if (end.kind == run_end_kind::failed)
    job->failed_on.insert(id);
  UpdateEstimates(s, now, id, *job, *row, end);
  if (end.kind == run_end_kind::never_started)
    w.avoid_until = now + kAvoidAfterRefusal;
  LogRunEnd(s, now, id, *job, end);
  // Must be stored before the sidecar, and so its worker, may forget the end.
  if (end.kind == run_end_kind::done || end.kind == run_end_kind::failed)
    AddUnsavedEnd(s, *job, id, end);
  if (end.kind == run_end_kind::lost)
    AbandonRun(s, now, *job, end.ref);
  if (end.kind == run_end_kind::done)
    FinishLeasedTask(s, now, *job, *row);
  else
    RetryTask(s, now, *job, *row, end);
}

// ---- [5] Queries ------------------------------------------------------------

nlohmann::json ExplainLeasedJob(const entry_state& s,
                                micros now,
                                const std::string& id) {
  const auto it = s.leased.ids.find(id);
  if (it == s.leased.ids.end())
    return nullptr;
  const leased_job& job = s.leased.jobs.at(it->second);
  constexpr const char* kStages[] = {"not durable", "accepting", "stored",
                                     "ending"};
  nlohmann::json workers = nlohmann::json::array();
  uint32_t failed = 0;
  for (const leased_task_row& row : job.tasks) {
    failed += CountedFailures(row);
    if (row.state == leased_task_state::placed)
      workers.push_back(s.workers[row.worker.value].name);
  }
  return {{"id", id},
          {"state", job.started ? "running" : "queued"},
          {"queue", job.queue.name},
          {"owner", s.options.name},
          {"stage", kStages[static_cast<size_t>(job.durable.stage)]},
          {"epoch", job.durable.epoch},
          {"tasks", job.tasks.size()},
          {"done", job.done},
          {"waiting", job.waiting.size()},
          {"failed_runs", failed},
          {"running_on", std::move(workers)},
          {"age_ms", ToMillis(now - job.arrival)}};
}

size_t LeasedJobsWaiting(const leased_state& s, const std::string& queue) {
  const auto counts = [&](leased_seq seq) {
    const leased_job& job = s.jobs.at(seq);
    return job.queue.name == queue && !job.started;
  };
  auto waiting = static_cast<size_t>(
      std::count_if(s.waiting.begin(), s.waiting.end(), counts) +
      std::count_if(s.overdue.begin(), s.overdue.end(), counts));
  const auto add = [&](const std::map<std::string, size_t>& by_queue) {
    const auto count = by_queue.find(queue);
    waiting += count == by_queue.end() ? 0 : count->second;
  };
  add(s.durable.left_waiting);
  for (const auto& [key, peer] : s.durable.peers) {
    if (key != s.durable.journal.own_row.key)
      add(peer.waiting);
  }
  return waiting;
}

}  // namespace cassiaferry
