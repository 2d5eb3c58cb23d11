// Leased jobs of an entry: taking, placing, ends, answers.
//
// Contents
//   [1] Tables
//   [2] Answers
//   [3] Taking a job
//   [4] Ends
//   [5] Workers
//   [6] Placing
//   [7] Tick

#include "cassiaferry/leased_jobs.h"

#include <algorithm>

#include "entry_systems.h"
#include "leased_order.h"

namespace cassiaferry {

namespace {

// Done within this many times the on-time bound, a late answer is of some use.
constexpr int64_t kWorthlessTimes = 3;
// Jobs looked at past the first that found no room: smaller ones may fit.
constexpr int kLookAhead = 12;
// Workers compared for a task; more draws all entries to the same one.
constexpr int kChoices = 3;
constexpr double kEstimateKeep = 0.95;
// A worker at less than this share of the others' pace is slow: it gets a probe
// or two at a time, and nothing else, so that a recovery shows.
constexpr double kSlowShare = 0.4;
constexpr size_t kSlowProbes = 2;
// A worker that failed more than this share of its newest runs gets one at a
// time. Failure guarded against: one that fails all at once looks free, and
// would draw, and fail, every task there is.
constexpr double kFailingShare = 0.5;
constexpr size_t kFailingProbes = 1;
constexpr uint32_t kMostMoves = 2;  // of one task off slow workers
// A move gains if the pace is below this share of the others', for the part of
// the work that is left; at a standstill the task is better off waiting.
constexpr double kMoveGain = 0.7;
constexpr double kStandstill = 0.15;
constexpr double kFailingKeep = 0.8;
// A refused run is not offered to the same worker for this long.
constexpr micros kAvoidAfterRefusal = Millis(5);
// The numbers of an earlier entry's runs of the same job are passed in one go.
constexpr uint32_t kRunStep = 16;

// ---- [1] Tables -------------------------------------------------------------

leased_job* Find(leased_state& s, leased_seq seq) {
  const auto it = s.jobs.find(seq);
  return it == s.jobs.end() ? nullptr : &it->second;
}

run_ref RefOf(const leased_task_row& row) {
  return {row.task, row.run};
}

void Log(entry_state& s,
         const char* what,
         const leased_job& job,
         std::string detail) {
  s.actions.push_back(leased_decision{what, job.id, std::move(detail)});
}

void Enqueue(leased_state& s, leased_job& job) {
  if (job.queued || job.waiting.empty())
    return;
  s.waiting.insert(job.seq);
  job.queued = true;
}

void Dequeue(leased_state& s, leased_job& job) {
  if (!job.queued)
    return;
  s.waiting.erase(job.seq);
  job.queued = false;
}

void Wait(leased_state& s, leased_job& job, uint32_t index) {
  job.tasks[index].state = leased_task_state::waiting;
  job.waiting.push_back(index);
  Enqueue(s, job);
}

lease_orders& OrdersFor(entry_state& s, worker_id id) {
  worker_row& w = s.workers[id.value];
  w.must_send = true;
  if (!w.outbox.orders)
    w.outbox.orders.emplace();
  return *w.outbox.orders;
}

// Processor room that each queue's tasks hold, for their fair shares.
void HoldRoom(leased_state& s,
              const leased_job& job,
              const leased_task_row& row,
              int sign) {
  s.cpu_in_use[job.queue.name] += sign * job.steps[row.task.step].need.cpu;
}

// Sends stops for whatever of the job is placed, and forgets it there. A stop
// that is lost with its stream is made up for when the next one begins: the
// run is then not among those this entry names.
void StopRuns(entry_state& s, leased_job& job) {
  for (leased_task_row& row : job.tasks) {
    if (row.state != leased_task_state::placed)
      continue;
    leased_worker& w = s.leased.workers[row.worker.value];
    w.open.erase(RefOf(row));
    if (s.workers[row.worker.value].state != worker_link::down)
      OrdersFor(s, row.worker).stops.push_back(RefOf(row));
    row.state = leased_task_state::blocked;
    HoldRoom(s.leased, job, row, -1);
  }
}

void Erase(entry_state& s, leased_job& job) {
  leased_state& l = s.leased;
  Dequeue(l, job);
  for (ticket_id ticket : job.tickets)
    l.tickets.erase(ticket);
  l.deadlines.erase({job.deadline, job.seq});
  l.ids.erase(job.id);
  l.jobs.erase(job.seq);
}

// ---- [2] Answers ------------------------------------------------------------

void AnswerAll(entry_state& s,
               const leased_job& job,
               leased_outcome outcome,
               const failure& why) {
  for (ticket_id ticket : job.tickets)
    s.actions.push_back(answer_leased_job{ticket, outcome, why});
}

void Conclude(entry_state& s,
              micros now,
              leased_job& job,
              leased_outcome outcome,
              const failure& why) {
  leased_counters& c = s.leased.counters;
  constexpr const char* kWhat[] = {"job completed", "job failed",
                                   "job cancelled", "job refused"};
  uint64_t* const counts[] = {&c.jobs_completed, &c.jobs_failed,
                              &c.jobs_cancelled, &c.jobs_refused};
  ++*counts[static_cast<size_t>(outcome)];
  if (outcome == leased_outcome::completed)
    s.leased.latencies[job.queue.name].response.Add(
        ToMillis(now - job.arrival));
  std::string detail =
      "age_ms " + std::to_string(ToMillis(now - job.arrival)) +
      ", expected_ms " + std::to_string(ToMillis(job.expected)) + ", tasks " +
      std::to_string(job.tasks.size()) + ", done " + std::to_string(job.done);
  if (!why.message.empty())
    detail += ", " + why.message;
  Log(s, kWhat[static_cast<size_t>(outcome)], job, std::move(detail));
  AnswerAll(s, job, outcome, why);
  StopRuns(s, job);
  Erase(s, job);
}

void RefuseTicket(entry_state& s,
                  ticket_id ticket,
                  const std::string& id,
                  failure why) {
  ++s.leased.counters.jobs_refused;
  s.actions.push_back(leased_decision{"job refused", id, why.message});
  s.actions.push_back(
      answer_leased_job{ticket, leased_outcome::refused, std::move(why)});
}

// ---- [3] Taking a job -------------------------------------------------------

// Longest chain of declared work, corrected by what the queue's jobs took.
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

void SetBounds(leased_job& job, micros now, micros wait, double ratio) {
  job.arrival = now;
  job.expected = ExpectedWork(job, ratio);
  const micros on_time{
      static_cast<int64_t>(static_cast<double>(job.expected.value) *
                           job.queue.stretch) +
      Millis(job.queue.allowance_ms).value};
  job.late_from = now + on_time;
  job.worthless_from = now + micros{on_time.value * kWorthlessTimes};
  if (wait.value > 0)
    job.deadline = now + wait;
}

void MakeTasks(leased_job& job) {
  job.least_cpu = INT64_MAX;
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    job.least_cpu = std::min(job.least_cpu, job.steps[step].need.cpu);
    job.step_left.push_back(job.steps[step].count);
    for (uint32_t i = 0; i < job.steps[step].count; ++i) {
      leased_task_row row;
      row.task = {job.id, 0, step, i};
      job.tasks.push_back(row);
    }
  }
}

bool IsReleased(const leased_job& job, uint32_t step) {
  const std::vector<uint32_t>& after = job.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
    return job.step_left[before] == 0;
  });
}

void ReleaseTasks(leased_state& s, leased_job& job) {
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].state == leased_task_state::blocked &&
        IsReleased(job, job.tasks[i].task.step))
      Wait(s, job, i);
  }
}

const queue_config* QueueNamed(const configuration& config,
                               const std::string& name) {
  for (const queue_config& queue : config.queues) {
    if (queue.name == name)
      return &queue;
  }
  return nullptr;
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

// A job that no worker ever seen could hold is told so at once. Before any
// worker is known it waits: the first announcement may be a second away.
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
      fits = fits || Fits(step.need, w.info.capacity);
    }
    if (any && !fits)
      return false;
  }
  return true;
}

// A stopping entry serves what its callers still send on open connections, as
// long as that can be done in the time that is left.
bool FitsBeforeStop(const entry_state& s, const leased_job& job) {
  if (!s.draining)
    return true;
  // Sidecars have been told goodbye, and the process is about to end.
  if (s.drained_said)
    return false;
  const leased_options& o = s.leased.options;
  const micros closes = s.drain_since + o.drain_accept + o.drain_close;
  return job.worthless_from < closes;
}

}  // namespace

void SubmitLeasedJob(entry_state& s, micros now, leased_job_submitted event) {
  leased_state& l = s.leased;
  ++l.counters.jobs_received;
  leased_job_request& r = event.request;
  const auto same = l.ids.find(r.id);
  if (same != l.ids.end()) {
    leased_job& job = l.jobs[same->second];
    job.tickets.push_back(event.ticket);
    l.tickets.emplace(event.ticket, job.seq);
    return;
  }
  const queue_config* queue = QueueNamed(s.config, r.queue);
  if (queue == nullptr) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::not_found, "no such queue", 0});
    return;
  }
  if (r.durable) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::not_supported,
                  "durable jobs are not taken yet", 0});
    return;
  }
  if (!CheckSteps(r.steps)) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::bad_request,
                  "each step must come after the steps it waits for", 0});
    return;
  }
  if (!CanEverRun(s, *queue, r.steps)) {
    RefuseTicket(s, event.ticket, r.id,
                 {verdict::not_run, reason::never_runnable,
                  "a task needs more than any worker has", 0});
    return;
  }
  leased_job job;
  job.seq = leased_seq{l.next_job++};
  job.id = r.id;
  job.queue = *queue;
  job.payload = std::move(r.payload);
  job.steps = std::move(r.steps);
  job.tickets = {event.ticket};
  MakeTasks(job);
  SetBounds(job, now, Millis(r.wait_ms), l.estimates[job.queue.name].ratio);
  if (!FitsBeforeStop(s, job)) {
    RefuseTicket(
        s, event.ticket, r.id,
        {verdict::not_run, reason::draining, "this entry stops", 1000});
    return;
  }
  l.ids.emplace(job.id, job.seq);
  l.tickets.emplace(event.ticket, job.seq);
  if (job.deadline.value != 0)
    l.deadlines.emplace(job.deadline, job.seq);
  const leased_seq seq = job.seq;
  leased_job& row = l.jobs.emplace(seq, std::move(job)).first->second;
  ReleaseTasks(l, row);
}

void DropLeasedCaller(entry_state& s, micros now, ticket_id ticket) {
  leased_state& l = s.leased;
  const auto it = l.tickets.find(ticket);
  if (it == l.tickets.end())
    return;
  leased_job& job = l.jobs[it->second];
  std::erase(job.tickets, ticket);
  l.tickets.erase(it);
  // A caller that has gone sends its job again, to any entry: whatever runs
  // here has to be over by then.
  if (job.tickets.empty())
    Conclude(
        s, now, job, leased_outcome::cancelled,
        {verdict::may_have_run, reason::cancelled, "the caller has gone", 0});
}

bool CancelLeasedJob(entry_state& s, micros now, const std::string& id) {
  const auto it = s.leased.ids.find(id);
  if (it == s.leased.ids.end())
    return false;
  Conclude(s, now, s.leased.jobs[it->second], leased_outcome::cancelled,
           {verdict::may_have_run, reason::cancelled, "cancelled", 0});
  return true;
}

namespace {

// ---- [4] Ends ---------------------------------------------------------------

void LearnFromRun(entry_state& s,
                  leased_worker& w,
                  const leased_job& job,
                  const leased_task_row& row,
                  const run_end& end) {
  const int64_t declared = job.steps[row.task.step].expected_ms;
  w.failing = w.failing * kFailingKeep +
              (end.how == run_end_kind::failed ? 1 - kFailingKeep : 0);
  if (end.how != run_end_kind::done || declared <= 0)
    return;
  queue_estimate& estimate = s.leased.estimates[job.queue.name];
  const double ratio =
      static_cast<double>(end.run_ms) / static_cast<double>(declared);
  estimate.ratio = estimate.ratio * kEstimateKeep + ratio * (1 - kEstimateKeep);
}

// Tasks lie in the order of steps and indices.
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
  --job.step_left[row.task.step];
  if (job.done == job.tasks.size())
    Conclude(s, now, job, leased_outcome::completed, {});
  else if (job.step_left[row.task.step] == 0)
    ReleaseTasks(s.leased, job);
}

void RetryTask(entry_state& s,
               micros now,
               leased_job& job,
               leased_task_row& row,
               run_end_kind how) {
  if (how == run_end_kind::superseded)
    row.run += kRunStep;
  if (how == run_end_kind::failed && ++row.failed >= job.queue.max_attempts) {
    Conclude(s, now, job, leased_outcome::failed,
             {verdict::ran, reason::task_failed,
              "a task failed " + std::to_string(row.failed) + " times", 0});
    return;
  }
  Wait(s.leased, job, static_cast<uint32_t>(&row - job.tasks.data()));
}

void TakeEnd(entry_state& s, micros now, worker_id id, const run_end& end) {
  leased_worker& w = s.leased.workers[id.value];
  if (end.number != 0) {
    if (end.number <= w.acked_end)
      return;
    w.acked_end = end.number;
  }
  const auto open = w.open.find(end.ref);
  if (open == w.open.end())
    return;
  const leased_seq seq = open->second;
  w.open.erase(open);
  ++s.leased.counters.runs_ended[static_cast<size_t>(end.how)];
  leased_job* job = Find(s.leased, seq);
  leased_task_row* row =
      job == nullptr ? nullptr : FindTask(*job, end.ref.task);
  if (row == nullptr || row->state != leased_task_state::placed ||
      row->run != end.ref.run)
    return;
  --job->placed;
  HoldRoom(s.leased, *job, *row, -1);
  LearnFromRun(s, w, *job, *row, end);
  if (end.how == run_end_kind::never_started)
    w.avoid_until = now + kAvoidAfterRefusal;
  if (end.how != run_end_kind::done)
    Log(s, "run ended", *job,
        std::string(ToText(end.how)) + ", task " +
            std::to_string(end.ref.task.step) + "." +
            std::to_string(end.ref.task.index) + ", run " +
            std::to_string(end.ref.run) + ", worker " +
            s.workers[id.value].name + ", after_ms " +
            std::to_string(end.run_ms));
  if (end.how == run_end_kind::done)
    FinishLeasedTask(s, now, *job, *row);
  else
    RetryTask(s, now, *job, *row, end.how);
}

// ---- [5] Workers ------------------------------------------------------------

room FreeNow(const leased_worker& w) {
  return w.free - w.in_flight_room;
}

bool HasLabel(const leased_worker& w, const std::string& label) {
  return label.empty() || std::find(w.info.labels.begin(), w.info.labels.end(),
                                    label) != w.info.labels.end();
}

// Median of what the workers of the same upstream do, so that estimates which
// are off for all make none look slow.
double UsualPace(const leased_state& l, const std::string& upstream) {
  std::vector<double> paces;
  for (const leased_worker& w : l.workers) {
    if (w.known && w.takes_work && w.info.upstream == upstream)
      paces.push_back(w.pace);
  }
  if (paces.empty())
    return 1;
  const auto middle = paces.begin() + static_cast<ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

void MeasureUsualPace(leased_state& l) {
  l.usual_pace.clear();
  for (const leased_worker& w : l.workers) {
    if (w.known && l.usual_pace.count(w.info.upstream) == 0)
      l.usual_pace[w.info.upstream] = UsualPace(l, w.info.upstream);
  }
}

// Runs of this entry that the worker may have at once.
size_t OpenLimit(const entry_state& s, const leased_worker& w) {
  if (w.failing > kFailingShare)
    return kFailingProbes;
  const auto usual = s.leased.usual_pace.find(w.info.upstream);
  if (usual != s.leased.usual_pace.end() && w.pace < kSlowShare * usual->second)
    return kSlowProbes;
  return SIZE_MAX;
}

bool MayTake(const entry_state& s,
             worker_id id,
             const leased_job& job,
             const leased_step& step) {
  const leased_worker& w = s.leased.workers[id.value];
  return s.workers[id.value].state == worker_link::up && w.takes_work &&
         w.info.upstream == job.queue.upstream && Fits(step.need, FreeNow(w)) &&
         HasLabel(w, step.label) && w.open.size() < OpenLimit(s, w);
}

leased_worker& WorkerOf(entry_state& s, worker_id id) {
  if (s.leased.workers.size() <= id.value)
    s.leased.workers.resize(id.value + 1);
  return s.leased.workers[id.value];
}

void TakeSeenStarts(leased_worker& w, uint64_t seen) {
  while (!w.in_flight.empty() && w.in_flight.front().first <= seen) {
    w.in_flight_room = w.in_flight_room - w.in_flight.front().second;
    w.in_flight.pop_front();
  }
}

// Failure guarded against: a sidecar is gone, or out of reach, with runs of
// this entry. They are over, by the bounds of leases, some time after its last
// word.
void EndOrphans(entry_state& s, micros now, worker_id id) {
  leased_worker& w = s.leased.workers[id.value];
  std::vector<run_ref> over;
  std::erase_if(w.orphaned, [&](const auto& batch) {
    if (batch.first > now)
      return false;
    over.insert(over.end(), batch.second.begin(), batch.second.end());
    return true;
  });
  for (const run_ref& ref : over)
    TakeEnd(s, now, id, {0, ref, run_end_kind::lost, 0});
}

void Orphan(entry_state& s, leased_worker& w) {
  if (w.open.empty())
    return;
  std::vector<run_ref> refs;
  for (const auto& [ref, seq] : w.open)
    refs.push_back(ref);
  w.orphaned.emplace_back(w.heard + OverAfter(s.leased.options.bounds),
                          std::move(refs));
}

}  // namespace

void GreetLeases(entry_state& s,
                 worker_id id,
                 bool same_life,
                 entry_frame& frame) {
  leased_worker& w = WorkerOf(s, id);
  w.starts_sent = 0;
  w.in_flight.clear();
  w.in_flight_room = {};
  w.takes_work = false;
  if (!same_life) {
    Orphan(s, w);
    w.acked_end = 0;
  }
  lease_orders first;
  first.is_first = true;
  first.acked_end = w.acked_end;
  // Runs of an earlier life of the sidecar are not its to explain.
  std::set<run_ref> earlier;
  for (const auto& [over_at, refs] : w.orphaned)
    earlier.insert(refs.begin(), refs.end());
  for (const auto& [ref, seq] : w.open) {
    if (earlier.count(ref) == 0)
      first.known.push_back(ref);
  }
  frame.orders = std::move(first);
}

void LoseLeaseLink(entry_state& s, worker_id id) {
  leased_worker& w = WorkerOf(s, id);
  w.takes_work = false;
}

namespace {

bool AnotherHasRoom(const entry_state& s,
                    worker_id not_this,
                    const leased_job& job,
                    const leased_step& step) {
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (worker_id{i} != not_this && MayTake(s, worker_id{i}, job, step))
      return true;
  }
  return false;
}

bool IsSlow(const entry_state& s, const leased_worker& w, double share) {
  const auto usual = s.leased.usual_pace.find(w.info.upstream);
  return usual != s.leased.usual_pace.end() && w.pace < share * usual->second;
}

// A run on a slow worker is stopped if the task is sooner done elsewhere; its
// end, once it is told, makes the task wait again. Never two runs at a time. On
// a worker as fast as others a long run is just a long task, and stays.
void MoveStraggler(entry_state& s, worker_id id, const straggler& slow) {
  const leased_worker& w = s.leased.workers[id.value];
  const auto open = w.open.find(slow.ref);
  if (open == w.open.end())
    return;
  leased_job* job = Find(s.leased, open->second);
  leased_task_row* row =
      job == nullptr ? nullptr : FindTask(*job, slow.ref.task);
  if (row == nullptr || row->moving || row->moved >= kMostMoves)
    return;
  const double left = (100.0 - slow.percent) / 100;
  const bool gains = IsSlow(s, w, left * kMoveGain) &&
                     AnotherHasRoom(s, id, *job, job->steps[row->task.step]);
  if (!gains && !IsSlow(s, w, left * kStandstill))
    return;
  row->moving = true;
  ++row->moved;
  OrdersFor(s, id).stops.push_back(slow.ref);
  Log(s, "run stopped to move it", *job,
      "ran_ms " + std::to_string(slow.run_ms) + ", percent " +
          std::to_string(slow.percent) + ", worker " +
          s.workers[id.value].name + ", pace " +
          std::to_string(s.leased.workers[id.value].pace));
}

}  // namespace

void TakeReports(entry_state& s,
                 micros now,
                 worker_id id,
                 const lease_reports& reports) {
  leased_worker& w = WorkerOf(s, id);
  w.stamp = reports.stamp;
  w.heard = now;
  w.takes_work = reports.takes_work;
  w.free = reports.free;
  w.pace = reports.pace / 1000.0;
  if (reports.worker) {
    if (w.info.life != reports.worker->life) {
      w.failing = 0;
    }
    w.info = *reports.worker;
    w.known = true;
  }
  TakeSeenStarts(w, reports.starts_seen);
  for (const run_end& end : reports.ends)
    TakeEnd(s, now, id, end);
  for (const straggler& slow : reports.stragglers)
    MoveStraggler(s, id, slow);
  if (!reports.ends.empty())
    s.workers[id.value].must_send |= s.leased.workers[id.value].open.empty();
}

void CarryOrders(entry_state& s, worker_id id, entry_frame& frame) {
  const leased_worker& w = WorkerOf(s, id);
  if (!frame.orders)
    frame.orders.emplace();
  frame.orders->echo = w.stamp;
  frame.orders->acked_end = w.acked_end;
  frame.orders->wants_room = !s.leased.waiting.empty();
}

namespace {

// ---- [6] Placing ------------------------------------------------------------

uint32_t TasksOfStepOn(const leased_job& job, uint32_t step, worker_id id) {
  return static_cast<uint32_t>(std::count_if(
      job.tasks.begin(), job.tasks.end(), [&](const leased_task_row& row) {
        return row.state == leased_task_state::placed &&
               row.task.step == step && row.worker == id;
      }));
}

// Less is better. Free room spreads the load; a worker that is slow or fails
// much is taken when others are full.
double Cost(const leased_worker& w,
            const room& need,
            double usual_pace,
            micros now) {
  constexpr double kFailingWeight = 4;
  constexpr double kAvoidWeight = 10;
  const room left = FreeNow(w) - need;
  const double used =
      1 - static_cast<double>(left.cpu) /
              static_cast<double>(std::max<int64_t>(1, w.info.capacity.cpu));
  const double slowness = usual_pace / std::max(0.05, w.pace) - 1;
  return used + std::clamp(slowness, 0.0, 4.0) + w.failing * kFailingWeight +
         (w.avoid_until > now ? kAvoidWeight : 0);
}

std::optional<worker_id> ChooseWorker(entry_state& s,
                                      micros now,
                                      const leased_job& job,
                                      uint32_t step) {
  const leased_step& needs = job.steps[step];
  std::vector<worker_id> fitting;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    const worker_id id{i};
    if (!MayTake(s, id, job, needs))
      continue;
    if (needs.most_per_worker != 0 &&
        TasksOfStepOn(job, step, id) >= needs.most_per_worker)
      continue;
    fitting.push_back(id);
  }
  std::optional<worker_id> best;
  double best_cost = 0;
  for (int i = 0; i < kChoices && !fitting.empty(); ++i) {
    const size_t pick = s.random() % fitting.size();
    const worker_id id = fitting[pick];
    fitting.erase(fitting.begin() + static_cast<ptrdiff_t>(pick));
    const double cost = Cost(s.leased.workers[id.value], needs.need,
                             s.leased.usual_pace[job.queue.upstream], now);
    if (!best || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  return best;
}

void PlaceTask(entry_state& s, leased_job& job, uint32_t index, worker_id id) {
  leased_task_row& row = job.tasks[index];
  leased_worker& w = s.leased.workers[id.value];
  const room& need = job.steps[row.task.step].need;
  ++row.run;
  row.state = leased_task_state::placed;
  row.worker = id;
  row.moving = false;
  ++job.placed;
  HoldRoom(s.leased, job, row, 1);
  job.started = true;
  ++w.starts_sent;
  w.in_flight.emplace_back(w.starts_sent, need);
  w.in_flight_room = w.in_flight_room + need;
  w.open.emplace(RefOf(row), job.seq);
  const double ratio = s.leased.estimates[job.queue.name].ratio;
  const auto expected_ms = static_cast<uint32_t>(
      static_cast<double>(job.steps[row.task.step].expected_ms) * ratio);
  OrdersFor(s, id).starts.push_back(
      {RefOf(row), need, expected_ms, job.payload});
  ++s.leased.counters.runs_ordered;
}

// Places what it can of the job's waiting tasks. False: one found no room.
bool PlaceJob(entry_state& s, micros now, leased_job& job) {
  const bool first = !job.started;
  std::vector<uint32_t> left;
  for (uint32_t index : job.waiting) {
    const auto worker = ChooseWorker(s, now, job, job.tasks[index].task.step);
    if (worker)
      PlaceTask(s, job, index, *worker);
    else
      left.push_back(index);
  }
  if (first && job.started) {
    s.leased.latencies[job.queue.name].queued.Add(ToMillis(now - job.arrival));
    Log(s, "job started", job,
        "queued_ms " + std::to_string(ToMillis(now - job.arrival)) +
            ", placed " + std::to_string(job.placed) + " of " +
            std::to_string(job.tasks.size()));
  }
  job.waiting = std::move(left);
  if (job.waiting.empty())
    Dequeue(s.leased, job);
  return job.waiting.empty();
}

int64_t RetryAfterMs(const entry_state& s) {
  // Long enough for the backlog to shrink: about a second per two jobs waiting
  // for each worker.
  const size_t workers = std::max<size_t>(1, s.leased.workers.size());
  return 500 + static_cast<int64_t>(500 * s.leased.waiting.size() / workers);
}

// Cheap, and true for most ticks under overload: no worker has room for even
// the smallest task that waits. Ranking 200 waiting jobs takes 0.1 ms, a tenth
// of an entry's processor at a thousand ticks a second.
bool NobodyHasRoom(const entry_state& s) {
  int64_t most = 0;
  for (const leased_worker& w : s.leased.workers) {
    if (w.takes_work)
      most = std::max(most, FreeNow(w).cpu);
  }
  return std::all_of(
      s.leased.waiting.begin(), s.leased.waiting.end(),
      [&](leased_seq seq) { return s.leased.jobs.at(seq).least_cpu > most; });
}

void PlaceWaiting(entry_state& s, micros now) {
  if (now < s.leased.settle_until)
    return;
  if (s.leased.waiting.empty() || NobodyHasRoom(s))
    return;
  MeasureUsualPace(s.leased);
  int without_room = 0;
  for (leased_seq seq : ServeOrder(s.leased, now)) {
    leased_job& job = s.leased.jobs[seq];
    if (!PlaceJob(s, now, job) && ++without_room > kLookAhead)
      return;
  }
}

// ---- [7] Tick ---------------------------------------------------------------

// Failure guarded against: after an outage workers come back one by one, and by
// the few that are there first all jobs would look hopeless. While their room
// grows, and this long after, nothing is refused by how fast work is done.
constexpr micros kSettledAfterGrowth = Millis(1000);
constexpr int64_t kUnknownRate = int64_t{1} << 50;

void NoteGrowth(entry_state& s, micros now) {
  int64_t cpu = 0;
  for (const leased_worker& w : s.leased.workers)
    cpu += w.takes_work ? w.info.capacity.cpu : 0;
  if (cpu > s.leased.cpu_taking)
    s.leased.grown_at = now;
  s.leased.cpu_taking = cpu;
}

int64_t FreeCpu(const entry_state& s) {
  int64_t free = 0;
  for (const leased_worker& w : s.leased.workers) {
    if (w.takes_work)
      free += std::max<int64_t>(0, FreeNow(w).cpu);
  }
  return free;
}

// What can't be of use any more, and has not run, is refused at once: the
// caller learns that nothing ran, and when to come back. By the work that
// stands before a job most such refusals come long before its time is over.
void RefuseHopeless(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(10);  // ranking takes 0.1 ms for 200 jobs
  if (s.leased.waiting.empty() || now - s.leased.last_refusal < kEvery)
    return;
  s.leased.last_refusal = now;
  const std::vector<leased_seq> order = ServeOrder(s.leased, now);
  const bool settled = now - s.leased.grown_at > kSettledAfterGrowth;
  // Without a rate, only what no room could save is hopeless.
  const int64_t free = settled ? FreeCpu(s) : kUnknownRate;
  for (leased_seq seq : Hopeless(s.leased, order, free, now))
    Conclude(s, now, s.leased.jobs[seq], leased_outcome::refused,
             {verdict::not_run, reason::deadline_unreachable, "no room in time",
              RetryAfterMs(s)});
}

void CheckLeasedDeadlines(entry_state& s, micros now) {
  while (!s.leased.deadlines.empty() &&
         s.leased.deadlines.begin()->first <= now) {
    leased_job& job = s.leased.jobs[s.leased.deadlines.begin()->second];
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::deadline, "the caller's deadline passed",
              job.started ? 0 : RetryAfterMs(s)});
  }
}

// Workers that are full tell of freed room only to those that wait for some.
void AskForRoom(entry_state& s) {
  const bool waits = !s.leased.waiting.empty();
  if (waits && !s.leased.asked_for_room) {
    for (worker_row& w : s.workers)
      w.must_send = w.must_send || w.state == worker_link::up;
  }
  s.leased.asked_for_room = waits;
}

// A stop has an end: what still runs then is broken off, and its callers hear
// so before the process goes.
void CloseJobs(entry_state& s, micros now) {
  const leased_options& o = s.leased.options;
  if (!s.draining || now - s.drain_since < o.drain_accept + o.drain_close)
    return;
  while (!s.leased.jobs.empty()) {
    leased_job& job = s.leased.jobs.begin()->second;
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::draining, "this entry stops", 1000});
  }
}

// Failure guarded against: this process was frozen, and wakes with jobs whose
// callers have gone elsewhere meanwhile. Nothing starts until what lies in its
// sockets, among it the ends of those connections, has been read.
void NotePause(leased_state& s, micros now) {
  if (s.last_tick.value != 0 && now - s.last_tick > s.options.pause)
    s.settle_until = now + s.options.settle;
  s.last_tick = now;
}

}  // namespace

void TickLeasedJobs(entry_state& s, micros now) {
  if (!s.leased.options.enabled)
    return;
  NotePause(s.leased, now);
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    leased_worker& w = s.leased.workers[i];
    const bool down = s.workers[i].state == worker_link::down;
    if (down && w.orphaned.empty() &&
        now > w.heard + OverAfter(s.leased.options.bounds))
      Orphan(s, w);
    EndOrphans(s, now, worker_id{i});
  }
  NoteGrowth(s, now);
  CheckLeasedDeadlines(s, now);
  CloseJobs(s, now);
  PlaceWaiting(s, now);
  RefuseHopeless(s, now);
  AskForRoom(s);
}

std::optional<const char*> LeasedJobState(const leased_state& s,
                                          const std::string& id) {
  const auto it = s.ids.find(id);
  if (it == s.ids.end())
    return std::nullopt;
  return s.jobs.at(it->second).started ? "running" : "queued";
}

size_t LeasedJobsWaiting(const leased_state& s, const std::string& queue) {
  return static_cast<size_t>(
      std::count_if(s.waiting.begin(), s.waiting.end(), [&](leased_seq seq) {
        const leased_job& job = s.jobs.at(seq);
        return job.queue.name == queue && !job.started;
      }));
}

}  // namespace cassiaferry
