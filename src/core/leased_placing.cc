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
#include "leased_order.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// Number of jobs tried after the first one that didn't fit: smaller ones may.
constexpr int kLookAhead = 12;

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

// Places as many of the job's waiting tasks as possible, on few workers: each
// worker gets one copy of the payload, and an unhealthy worker affects fewer
// jobs. On links of 250 kB/s, at a load that fits, 0.95 instead of 0.24 of the
// jobs are in time (emulator). Returns whether all tasks were placed.
bool PlaceJob(entry_state& s, micros now, leased_job& job) {
  const bool first = !job.started;
  CompressPayload(s.leased, job);
  std::vector<uint32_t> left;
  std::vector<uint32_t> placed;
  std::optional<worker_id> worker;
  auto unplaced = static_cast<uint32_t>(job.waiting.size());
  for (uint32_t index : job.waiting) {
    const uint32_t step = job.tasks[index].task.step;
    if (!worker || !MayPlaceOneMore(s, *worker, job, step))
      worker = ChooseForPayload(s, now, job, step, unplaced);
    --unplaced;
    if (worker)
      PlaceTask(s, now, job, index, *worker);
    (worker ? placed : left).push_back(index);
  }
  if (first && job.started)
    RecordJobStart(s, now, job);
  LogPlaced(s, job, placed);
  job.waiting = std::move(left);
  if (job.waiting.empty())
    Dequeue(s.leased, job);
  return job.waiting.empty();
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
  int jobs_without_capacity = 0;
  for (leased_seq seq : ServeOrder(s.leased, now)) {
    if (!MaySendPayload(s.leased.link))
      return;
    leased_job& job = s.leased.jobs[seq];
    if (!MayStart(s, now, job))
      continue;
    if (!PlaceJob(s, now, job) && ++jobs_without_capacity > kLookAhead)
      return;
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

}  // namespace

// Failure guarded against: after a burst, accepted jobs whose result is of no
// use any more take all capacity as it gets free, and every new job is late
// long after the burst. With twice the load for 3 s and then four fifths of it,
// 0.53 of the new jobs are in time without this rule and 0.79 with it
// (emulator, means of eight seeds). Accepted jobs can't be refused, so they
// wait for spare capacity, which is checked less often than each tick.
void PlaceOverdue(entry_state& s, micros now) {
  constexpr micros kEvery = Millis(50);
  // A tenth of a short task's run time.
  constexpr micros kOftenEvery = Millis(10);
  constexpr micros kOverAfter = Millis(1000);  // without a new durable job
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
  const std::vector<leased_seq> order(l.overdue.begin(), l.overdue.end());
  for (leased_seq seq : order) {
    leased_job& job = l.jobs.at(seq);
    if (spare <= 0)
      return;
    if (!MayStart(s, now, job))
      continue;
    const uint32_t before = job.placed;
    const bool placed = PlaceJob(s, now, job);
    spare -= static_cast<int64_t>(job.placed - before) * job.min_cpu;
    if (!placed)
      return;
  }
}

}  // namespace cassiaferry
