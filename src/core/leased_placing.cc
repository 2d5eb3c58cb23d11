// Placing of leased runs, what is refused for want of room, and the tick.
//
// Contents
//   [1] Choosing a worker
//   [2] Placing
//   [3] Refusals
//   [4] Stops and pauses
//   [5] Tick

#include <algorithm>

#include "cassiaferry/leased_jobs.h"
#include "cassiaferry/pack.h"
#include "entry_systems.h"
#include "leased_admission.h"
#include "leased_order.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// Jobs looked at past the first that found no room: smaller ones may fit.
constexpr int kLookAhead = 12;
// Workers compared for a task; more draws all entries to the same one.
constexpr size_t kChoices = 6;

// ---- [1] Choosing a worker --------------------------------------------------

uint32_t TasksOfStepOn(const leased_job& job, uint32_t step, worker_id id) {
  return static_cast<uint32_t>(std::count_if(
      job.tasks.begin(), job.tasks.end(), [&](const leased_task_row& row) {
        return row.state == leased_task_state::placed &&
               row.task.step == step && row.worker == id;
      }));
}

// What is asked of a worker: room for tasks alike, the more the better.
struct wanted_room {
  room need;  // of each task
  uint32_t tasks = 1;
};

uint32_t TasksThatFit(const leased_worker& w, const wanted_room& wanted) {
  const int64_t by_cpu = FreeNow(w).cpu / std::max<int64_t>(1, wanted.need.cpu);
  return static_cast<uint32_t>(std::clamp<int64_t>(by_cpu, 1, wanted.tasks));
}

// Less is better. Free room spreads the load; one worker for all of a step's
// tasks spares copies of the payload; a worker that is slow or fails much is
// taken when others are full, and so is one in another failure domain: what
// travels between domains is dear, and slower. What was heard long ago is less
// believed: workers that this entry uses tell it of each end, others only with
// their heartbeats, and meanwhile somebody else has taken the room. With twelve
// entries at 0.8 of the load 20 instead of 45 of 100 starts are refused
// (cassiaferry-emulate).
double Cost(const leased_worker& w,
            const wanted_room& wanted,
            bool is_far,
            double usual_pace,
            micros now) {
  constexpr double kFailingWeight = 4;
  constexpr double kAvoidWeight = 10;
  constexpr double kPartWeight = 1;
  constexpr double kAgeWeight = 1;
  constexpr micros kOldWord = Millis(130);  // about a heartbeat
  constexpr double kFarWeight = 1;
  const room left = FreeNow(w) - wanted.need;
  const double used =
      1 - static_cast<double>(left.cpu) /
              static_cast<double>(std::max<int64_t>(1, w.info.capacity.cpu));
  const double slowness = usual_pace / std::max(0.05, w.pace) - 1;
  const double missing =
      1 - static_cast<double>(TasksThatFit(w, wanted)) / wanted.tasks;
  const double age = std::min(
      1.0, static_cast<double>((now - w.heard).value) / kOldWord.value);
  const double sick =
      std::clamp(slowness, 0.0, 4.0) + w.failing * kFailingWeight;
  // Whether it is well again shows only if it gets something to do.
  const bool probe_due =
      w.probe_pause.value != 0 && w.open.empty() && now >= w.probe_after;
  return used + (probe_due ? 0 : age * kAgeWeight + sick) +
         missing * kPartWeight + (is_far ? kFarWeight : 0) +
         (w.avoid_until > now ? kAvoidWeight : 0);
}

// Away from its data a task takes longer, and may still be sooner done there
// than after a wait: other workers are taken when those near it are full.
void KeepNear(const entry_state& s,
              const leased_step& step,
              std::vector<worker_id>& fitting) {
  const auto is_far = [&](worker_id id) {
    return !HasLabel(s.leased.workers[id.value], step.near);
  };
  if (!std::all_of(fitting.begin(), fitting.end(), is_far))
    std::erase_if(fitting, is_far);
}

bool MayHoldOneMore(const entry_state& s,
                    worker_id id,
                    const leased_job& job,
                    uint32_t step) {
  const leased_step& needs = job.steps[step];
  return MayTake(s, id, job, needs) &&
         s.leased.workers[id.value].avoid_until <= s.leased.last_tick &&
         (needs.most_per_worker == 0 ||
          TasksOfStepOn(job, step, id) < needs.most_per_worker);
}

// In the failure domain of this entry's own. Unknown ones are as good.
bool IsFar(const entry_state& s, worker_id id) {
  const std::string& domain = s.workers[id.value].failure_domain;
  return !domain.empty() && domain != s.options.failure_domain;
}

// Up to `kChoices` of the workers, drawn at random, those of this entry's own
// failure domain first.
std::vector<worker_id> DrawChoices(entry_state& s,
                                   std::vector<worker_id> fitting) {
  const auto far = std::partition(fitting.begin(), fitting.end(),
                                  [&](worker_id id) { return !IsFar(s, id); });
  auto near_left = static_cast<size_t>(far - fitting.begin());
  std::vector<worker_id> choices;
  while (choices.size() < kChoices && !fitting.empty()) {
    const size_t among = near_left > 0 ? near_left : fitting.size();
    const size_t pick = s.random() % among;
    choices.push_back(fitting[pick]);
    fitting.erase(fitting.begin() + static_cast<ptrdiff_t>(pick));
    near_left -= near_left > 0 ? 1 : 0;
  }
  return choices;
}

std::optional<worker_id> ChooseWorker(entry_state& s,
                                      micros now,
                                      const leased_job& job,
                                      uint32_t step,
                                      uint32_t tasks) {
  const leased_step& needs = job.steps[step];
  std::vector<worker_id> fitting;
  for (uint32_t i = 0; i < s.leased.workers.size(); ++i) {
    if (MayHoldOneMore(s, worker_id{i}, job, step))
      fitting.push_back(worker_id{i});
  }
  KeepNear(s, needs, fitting);
  std::optional<worker_id> best;
  double best_cost = 0;
  for (worker_id id : DrawChoices(s, std::move(fitting))) {
    const double cost =
        Cost(s.leased.workers[id.value], {needs.need, tasks}, IsFar(s, id),
             s.leased.usual_pace[job.queue.upstream], now);
    if (!best || cost < best_cost) {
      best = id;
      best_cost = cost;
    }
  }
  return best;
}

// ---- [2] Placing ------------------------------------------------------------

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
  OrdersFor(s, id).starts.push_back({RefOf(row), need, expected_ms, job.payload,
                                     job.durable.stage != durable_stage::none,
                                     job.payload_packed});
  ++s.leased.counters.runs_ordered;
}

// A worker that has none of the job's tasks yet needs its payload, which takes
// its part of the link.
std::optional<worker_id> ChooseForPayload(entry_state& s,
                                          micros now,
                                          const leased_job& job,
                                          uint32_t step,
                                          uint32_t tasks) {
  if (!TakesPayload(s.leased.link))
    return std::nullopt;
  const auto worker = ChooseWorker(s, now, job, step, tasks);
  if (worker)
    PlanPayload(s.leased.link, job.payload.size() + kPayloadCopyBytes);
  return worker;
}

// Once, however many workers get a copy. Durable jobs are kept as they came:
// their rows are text.
void PackPayload(const leased_state& l, leased_job& job) {
  constexpr size_t kLeastPacked = 200;  // bytes; less gains nothing
  const bool stored = job.durable.stage != durable_stage::none;
  if (job.payload_packed || stored || !PacksPayloads(l.link) ||
      job.payload.size() < kLeastPacked)
    return;
  job.payload = Pack(job.payload);
  job.payload_packed = true;
}

// Places what it can of the job's waiting tasks, on few workers: the payload
// travels once to each, and a sick worker meets fewer jobs. On links of 250
// kB/s, at a load that fits, 0.95 instead of 0.24 of the jobs are in time
// (emulated world). False: one found no room.
bool PlaceJob(entry_state& s, micros now, leased_job& job) {
  const bool first = !job.started;
  PackPayload(s.leased, job);
  std::vector<uint32_t> left;
  std::optional<worker_id> worker;
  auto unplaced = static_cast<uint32_t>(job.waiting.size());
  for (uint32_t index : job.waiting) {
    const uint32_t step = job.tasks[index].task.step;
    if (!worker || !MayHoldOneMore(s, *worker, job, step))
      worker = ChooseForPayload(s, now, job, step, unplaced);
    --unplaced;
    if (worker)
      PlaceTask(s, job, index, *worker);
    else
      left.push_back(index);
  }
  if (first && job.started) {
    job.started_at = now;
    s.leased.latencies[job.queue.name].queued.Add(ToMillis(now - job.arrival));
    LogJob(s, "job started", job,
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
    if (!TakesPayload(s.leased.link))
      return;
    leased_job& job = s.leased.jobs[seq];
    if (!MayStart(s, now, job))
      continue;
    if (!PlaceJob(s, now, job) && ++without_room > kLookAhead)
      return;
  }
}

void FindOverdue(leased_state& l, micros now) {
  std::vector<leased_seq> overdue;
  for (leased_seq seq : l.waiting) {
    const leased_job& job = l.jobs.at(seq);
    if (job.durable.stage == durable_stage::stored &&
        now + job.expected > job.worthless_from)
      overdue.push_back(seq);
  }
  for (leased_seq seq : overdue) {
    l.waiting.erase(seq);
    l.overdue.insert(seq);
    l.jobs.at(seq).overdue = true;
  }
}

// Room that this entry's overdue jobs may use now. All entries that own jobs
// see the same room free, and would together take far more than is spare: each
// takes its part. Once no new jobs come it takes all. Failure guarded against:
// after the traffic, jobs left on one entry wait for half a minute beside idle
// workers.
int64_t SpareCpu(const leased_state& l, bool traffic_is_over) {
  int64_t spare = 0;
  for (const leased_worker& w : l.workers) {
    const auto kept = static_cast<int64_t>(
        kSpareShare * static_cast<double>(w.info.capacity.cpu));
    if (w.takes_work)
      spare += std::max<int64_t>(0, FreeNow(w).cpu - kept);
  }
  const size_t parts = traffic_is_over ? 1 : l.durable.journal.writers;
  return spare / static_cast<int64_t>(parts);
}

// Failure guarded against: after a burst, jobs that were accepted and are of no
// use any more take all the room there is, whenever it gets free, and every new
// job is late because of them, long after the burst (in the emulated world,
// with twice the load for 3 s and then four fifths of it: 0.53 of the new jobs
// in time; 0.79 with this, means of eight seeds). They can't be refused: they
// wait for spare room, which is looked for less often than each tick.
void PlaceOverdue(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(50);
  constexpr micros kOftenEvery = Millis(10);   // a tenth of a short task
  constexpr micros kOverAfter = Millis(1000);  // without a new job
  leased_state& l = s.leased;
  const bool traffic_is_over = now - l.last_durable > kOverAfter;
  if (l.durable.jobs == 0 || now < l.settle_until ||
      now - l.last_overdue < (traffic_is_over ? kOftenEvery : kEvery))
    return;
  l.last_overdue = now;
  FindOverdue(l, now);
  if (l.overdue.empty())
    return;
  int64_t spare = SpareCpu(l, traffic_is_over);
  const std::vector<leased_seq> order(l.overdue.begin(), l.overdue.end());
  for (leased_seq seq : order) {
    leased_job& job = l.jobs.at(seq);
    if (spare <= 0)
      return;
    if (!MayStart(s, now, job))
      continue;
    const uint32_t before = job.placed;
    const bool placed = PlaceJob(s, now, job);
    spare -= static_cast<int64_t>(job.placed - before) * job.least_cpu;
    if (!placed)
      return;
  }
}

// ---- [3] Refusals -----------------------------------------------------------

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
    if (job.durable.stage != durable_stage::none) {
      MissDurableDeadline(s, now, job);
      continue;
    }
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::deadline, "the caller's deadline passed",
              job.started ? 0 : RetryAfterMs(s)});
  }
}

// ---- [4] Stops and pauses ---------------------------------------------------

// Workers that are full tell of freed room only to those that wait for some.
void AskForRoom(entry_state& s) {
  int64_t wanted = 0;
  for (leased_seq seq : s.leased.waiting) {
    const int64_t least = s.leased.jobs.at(seq).least_cpu;
    wanted = wanted == 0 ? least : std::min(wanted, least);
  }
  if (wanted > 0 && s.leased.wanted_cpu == 0) {
    for (worker_row& w : s.workers)
      w.must_send = w.must_send || w.state == worker_link::up;
  }
  s.leased.wanted_cpu = wanted;
}

// A stop has an end: what still runs then is broken off, and its callers hear
// so before the process goes.
void CloseJobs(entry_state& s, micros now) {
  const leased_options& o = s.leased.options;
  if (!s.draining || now - s.drain_since < o.drain_accept + o.drain_close)
    return;
  std::vector<leased_seq> open;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (job.durable.stage == durable_stage::none)
      open.push_back(seq);
  }
  for (leased_seq seq : open) {
    leased_job& job = s.leased.jobs.at(seq);
    const verdict what = job.started ? verdict::may_have_run : verdict::not_run;
    Conclude(s, now, job, leased_outcome::refused,
             {what, reason::draining, "this entry stops", 1000});
  }
}

// Failure guarded against: this process was frozen, and wakes with jobs whose
// callers have gone elsewhere meanwhile. Nothing starts until what lies in its
// sockets, among it the ends of those connections, has been read.
void NotePause(leased_state& s, micros now) {
  if (s.last_tick.value != 0 && now - s.last_tick > s.options.pause) {
    ForgetInterval(s.link, now);
    s.settle_until = now + s.options.settle;
  }
  s.last_tick = now;
}

}  // namespace

// ---- [5] Tick ---------------------------------------------------------------

void TickLeasedJobs(entry_state& s, micros now) {
  if (!s.leased.options.enabled)
    return;
  NotePause(s.leased, now);
  TickUplink(s.leased.link, now);
  EndLostRuns(s, now);
  NoteGrowth(s, now);
  MeasureArrivals(s.leased, now);
  CheckLeasedDeadlines(s, now);
  CloseJobs(s, now);
  PlaceWaiting(s, now);
  PlaceOverdue(s, now);
  RefuseHopeless(s, now);
  AskForRoom(s);
  TickDurableJobs(s, now);
}

}  // namespace cassiaferry
