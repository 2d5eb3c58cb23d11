// Places the tasks of leased jobs on workers.
//
// Contents
//   [1] One job
//   [2] All waiting jobs
//   [3] Overdue jobs

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/compression.h"
#include "cassiaferry/leased_jobs.h"
#include "entry_systems.h"
#include "leased_admission.h"
#include "leased_capacity.h"
#include "leased_order.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// Number of jobs tried, for each group of workers, that don't fit: smaller ones
// may.
constexpr size_t kMaxUnmetJobs = 13;

// ---- [1] One job ------------------------------------------------------------

void PlaceTask(entry_state& s,
               micros now,
               leased_job& job,
               uint32_t index,
               worker_id id) {
  leased_task_row& row = job.tasks[index];
  leased_worker& w = s.leased.workers[id.value];
  const resources& need = job.steps[row.task.step].need;
  ++row.run;
  row.state = leased_task_state::placed;
  row.worker = id;
  row.moving = false;
  ++job.placed;
  AddCpuInUse(s.leased, job, row, 1);
  job.started = true;
  ++w.starts_sent;
  w.in_flight.push_back({w.starts_sent, need, now});
  w.in_flight_resources = w.in_flight_resources + need;
  w.open_runs.emplace(RefOf(row), job.seq);
  queue_estimate& estimate = s.leased.estimates[job.queue.name];
  RecordFirstStart(estimate, now);
  const auto expected_ms = static_cast<uint32_t>(
      static_cast<double>(job.steps[row.task.step].expected_ms) *
      estimate.ratio);
  OrdersFor(s, id).starts.push_back({RefOf(row), need, expected_ms, job.payload,
                                     job.durable.stage != durable_stage::none,
                                     job.payload_compressed});
  ++s.leased.counters.runs_ordered;
}

// Chooses a worker that has none of the job's tasks yet. It needs a copy of the
// payload, which is charged to the link.
std::optional<worker_id> ChooseForPayload(entry_state& s,
                                          micros now,
                                          const leased_job& job,
                                          uint32_t step,
                                          uint32_t tasks) {
  if (!MaySendPayload(s.leased.link))
    return std::nullopt;
  const auto worker = ChooseWorker(s, now, job, step, tasks);
  if (worker)
    PlanPayload(s.leased.link, job.payload.size() + kPayloadCopyBytes);
  return worker;
}

// Compresses the payload once, for all workers that get a copy. Payloads of
// durable jobs stay as they are, because their rows are stored as text.
void CompressPayload(const leased_state& l, leased_job& job) {
  // Compressing less gains nothing.
  constexpr size_t kMinCompressedBytes = 200;
  const bool stored = job.durable.stage != durable_stage::none;
  if (job.payload_compressed || stored || !CompressesPayloads(l.link) ||
      job.payload.size() < kMinCompressedBytes)
    return;
  job.payload = Compress(job.payload);
  job.payload_compressed = true;
}

void RecordJobStart(entry_state& s, micros now, leased_job& job) {
  job.started_at = now;
  s.leased.latencies[job.queue.name].queued.Add(ToMillis(now - job.arrival));
  constexpr const char* kWhat = "job started";
  if (!WantsRoutine(s, kWhat, job))
    return;
  LogRoutine(s, kWhat, job,
             "queued_ms " + std::to_string(ToMillis(now - job.arrival)) +
                 ", placed " + std::to_string(job.placed) + " of " +
                 std::to_string(job.tasks.size()) + ", callers " +
                 std::to_string(job.tickets.size()));
}

// " WORKER STEP.INDEX run N", for the log.
std::string PlacedText(const entry_state& s, const leased_task_row& row) {
  return " " + s.workers[row.worker.value].name + " " +
         std::to_string(row.task.step) + "." + std::to_string(row.task.index) +
         " run " + std::to_string(row.run);
}

// Names only the first runs of a wide job, to bound the length of the line.
void LogPlaced(entry_state& s,
               const leased_job& job,
               const std::vector<uint32_t>& placed) {
  constexpr size_t kMaxNamed = 16;
  constexpr const char* kWhat = "runs placed";
  if (placed.empty() || !WantsRoutine(s, kWhat, job))
    return;
  std::string text = "runs " + std::to_string(placed.size()) + ":";
  for (size_t i = 0; i < std::min(kMaxNamed, placed.size()); ++i)
    text += PlacedText(s, job.tasks[placed[i]]);
  LogRoutine(s, kWhat, job, std::move(text));
}

// Records that no worker was found for the step. If it may have only so many
// tasks on a worker, others like it may still find one.
void HandleNoWorker(entry_state& s,
                    micros now,
                    leased_job& job,
                    uint32_t step,
                    placing_pass& pass) {
  constexpr micros kTryAgainAfter = Millis(20);
  if (!MaySendPayload(s.leased.link))
    return;
  ++pass.tries;
  const bool is_limited = job.steps[step].max_per_worker != 0;
  if (is_limited && HasCapacityFor(s, job, step)) {
    job.next_try = now + kTryAgainAfter;
    return;
  }
  RecordUnmet(pass, job, step);
  CountUnmetJob(pass, job, step);
}

std::optional<worker_id> FindWorker(entry_state& s,
                                    micros now,
                                    leased_job& job,
                                    uint32_t step,
                                    uint32_t tasks,
                                    placing_pass& pass) {
  if (IsUnmet(pass, job, step)) {
    CountUnmetJob(pass, job, step);
    return std::nullopt;
  }
  const auto worker = ChooseForPayload(s, now, job, step, tasks);
  if (!worker)
    HandleNoWorker(s, now, job, step, pass);
  return worker;
}

// Places as many of the job's waiting tasks as possible, on few workers: each
// worker gets one copy of the payload, and an unhealthy worker affects fewer
// jobs. On links of 250 kB/s, at a load that fits, 0.95 instead of 0.24 of the
// jobs are in time (emulator).
void PlaceJob(entry_state& s, micros now, leased_job& job, placing_pass& pass) {
  const bool first = !job.started;
  CompressPayload(s.leased, job);
  std::vector<uint32_t> left;
  std::vector<uint32_t> placed;
  std::optional<worker_id> worker;
  std::optional<uint32_t> full_step;  // no worker takes one more task of it
  auto unplaced = static_cast<uint32_t>(job.waiting.size());
  for (uint32_t index : job.waiting) {
    const uint32_t step = job.tasks[index].task.step;
    const bool may_fit = step != full_step;
    if (may_fit && (!worker || !MayPlaceOneMore(s, *worker, job, step))) {
      worker = FindWorker(s, now, job, step, unplaced, pass);
      if (!worker)
        full_step = step;
    }
    --unplaced;
    const bool fits = may_fit && worker;
    if (fits)
      PlaceTask(s, now, job, index, *worker);
    (fits ? placed : left).push_back(index);
  }
  if (first && job.started)
    RecordJobStart(s, now, job);
  LogPlaced(s, job, placed);
  job.waiting = std::move(left);
  if (job.waiting.empty())
    Dequeue(s.leased, job);
}

}  // namespace

// ---- [2] All waiting jobs ---------------------------------------------------

namespace {

// Whether no worker has capacity for even the smallest waiting task. This is
// cheap to check, and true for most ticks under overload. Ranking 200 waiting
// jobs takes 0.1 ms, a tenth of an entry's processor at a thousand ticks a
// second.
bool NoWorkerHasCapacity(const entry_state& s) {
  int64_t max_free = 0;
  for (const leased_worker& w : s.leased.workers) {
    if (w.takes_work)
      max_free = std::max(max_free, AvailableResources(w).cpu);
  }
  return std::all_of(
      s.leased.waiting.begin(), s.leased.waiting.end(),
      [&](leased_seq seq) { return s.leased.jobs.at(seq).min_cpu > max_free; });
}

}  // namespace

void PlaceWaiting(entry_state& s, micros now) {
  if (now < s.leased.recovery_until)
    return;
  if (s.leased.waiting.empty() || NoWorkerHasCapacity(s))
    return;
  MeasureUsualPace(s.leased);
  placing_pass pass;
  pass.max_jobs = kMaxUnmetJobs;
  for (leased_seq seq : ServeOrder(s.leased, now)) {
    if (!MaySendPayload(s.leased.link))
      return;
    leased_job& job = s.leased.jobs[seq];
    if (MayStart(s, now, job) && now >= job.next_try && !IsClosedFor(pass, job))
      PlaceJob(s, now, job, pass);
  }
}

// ---- [3] Overdue jobs -------------------------------------------------------

namespace {

void FindOverdue(leased_state& l, micros now) {
  std::vector<leased_seq> overdue;
  for (leased_seq seq : l.waiting) {
    const leased_job& job = l.jobs.at(seq);
    if (job.durable.stage == durable_stage::stored &&
        now + job.expected > job.useless_after)
      overdue.push_back(seq);
  }
  for (leased_seq seq : overdue) {
    l.waiting.erase(seq);
    l.overdue.insert(seq);
    l.jobs.at(seq).overdue = true;
  }
}

// Spare processors that this entry's overdue jobs may use now. All entries that
// own jobs see the same free processors and would together use far more than
// are spare, so each uses an equal part. While no new jobs arrive, an entry may
// use all of them. Failure guarded against: after the traffic has ended, jobs
// left on one entry wait for half a minute although workers are idle.
int64_t SpareCpu(const leased_state& l, bool traffic_is_over) {
  int64_t spare = 0;
  for (const leased_worker& w : l.workers) {
    const auto kept = static_cast<int64_t>(
        kSpareShare * static_cast<double>(w.info.capacity.cpu));
    if (w.takes_work)
      spare += std::max<int64_t>(0, AvailableResources(w).cpu - kept);
  }
  const size_t parts = traffic_is_over ? 1 : l.durable.journal.writers;
  return spare / static_cast<int64_t>(parts);
}

// The job with this number, or the first one after it; after the last one, the
// oldest.
leased_seq NextOverdue(const leased_state& l, leased_seq seq) {
  const auto it = l.overdue.lower_bound(seq);
  return it == l.overdue.end() ? *l.overdue.begin() : *it;
}

}  // namespace

// Failure guarded against: after a burst, accepted jobs whose result is of no
// use any more take all capacity as it gets free, and every new job is late
// long after the burst. With twice the load for 3 s and then four fifths of it,
// 0.53 of the new jobs are in time without this rule and 0.79 with it
// (emulator, means of eight seeds). Accepted jobs can't be refused, so they
// wait for spare capacity, which is checked less often than each tick.
//
// A pass has bounds, as thousands of jobs may be overdue. The next one goes on
// where it stopped; otherwise the oldest job is always the first.
void PlaceOverdue(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(50);
  // A tenth of a short task's run time.
  constexpr micros kOftenEvery = Millis(10);
  constexpr micros kOverAfter = Millis(1000);  // without a new durable job
  constexpr size_t kMaxVisits = 1000;          // 0.2 ms
  constexpr size_t kMaxTries = 50;
  leased_state& l = s.leased;
  const bool traffic_is_over = now - l.last_durable > kOverAfter;
  if (l.durable.jobs == 0 || now < l.recovery_until ||
      now - l.last_overdue < (traffic_is_over ? kOftenEvery : kEvery))
    return;
  l.last_overdue = now;
  FindOverdue(l, now);
  if (l.overdue.empty())
    return;
  int64_t spare = SpareCpu(l, traffic_is_over);
  placing_pass pass;
  leased_seq next = l.next_overdue;
  l.next_overdue = {};
  const size_t visits = std::min(l.overdue.size(), kMaxVisits);
  const bool visits_all = visits == l.overdue.size();
  for (size_t i = 0; i < visits && pass.tries < kMaxTries; ++i) {
    if (spare <= 0 || !MaySendPayload(l.link) || l.overdue.empty())
      return;
    leased_job& job = l.jobs.at(NextOverdue(l, next));
    next = leased_seq{job.seq.value + 1};
    if (!MayStart(s, now, job) || now < job.next_try)
      continue;
    const uint32_t before = job.placed;
    PlaceJob(s, now, job, pass);
    spare -= static_cast<int64_t>(job.placed - before) * job.min_cpu;
  }
  if (!visits_all || pass.tries >= kMaxTries)
    l.next_overdue = next;
}

}  // namespace cassiaferry
