// Load played on the emulated world.
//
// Contents
//   [1] Load
//   [2] Result

#include "load_play.h"

#include <algorithm>
#include <cmath>

namespace cassiaferry::emulator {

namespace {

// ---- [1] Load ---------------------------------------------------------------

// Jobs of one queue. The mix is that of the two users: many pings, quick
// look-ups of many tasks, and few long confirmations.
struct queue_load {
  const char* name;
  double share;  // of the jobs
  uint32_t tasks;
  double run_ms;
  double value;  // of a job that is on time, relative
};

constexpr queue_load kLoads[] = {
    {"quick", 0.245, 8, 60, 2.91},
    {"long", 0.044, 4, 900, 16},
    {"pings", 0.711, 2, 200, 1},
};
constexpr int64_t kCpu = 3100;  // thousandths of a core, of each task
constexpr room kWorkerRoom{36'000, 131'072, 0};
constexpr double kSlowTimes = 5.6;
constexpr micros kWarmUp = Millis(2000);
constexpr micros kAfter = Millis(8000);

double MeanWork() {  // of a job: thousandths of a core times milliseconds
  double work = 0;
  for (const queue_load& q : kLoads)
    work += q.share * q.tasks * q.run_ms * kCpu;
  return work;
}

double Spread(world& w, double mean, double spread) {
  std::lognormal_distribution<double> d(-spread * spread / 2, spread);
  return mean * d(w.random);
}

emulated_job DrawJob(world& w, int number, const queue_load& q) {
  const auto tasks =
      static_cast<uint32_t>(std::max(1.0, Spread(w, q.tasks, 0.4)));
  const double base = Spread(w, q.run_ms, 0.4);
  const auto cpu = static_cast<int64_t>(Spread(w, kCpu, 0.2));
  emulated_job job = MakeJob("job-" + std::to_string(number), tasks, cpu, 1);
  job.queue = q.name;
  job.wait_ms = 1900 + 2 * static_cast<int64_t>(base);
  job.run_ms.clear();
  for (uint32_t i = 0; i < tasks; ++i)
    job.run_ms.push_back(
        std::max<int64_t>(1, static_cast<int64_t>(Spread(w, base, 0.15))));
  job.steps[0].expected_ms =
      std::max<int64_t>(1, static_cast<int64_t>(Spread(w, base, 0.3)));
  return job;
}

const queue_load& DrawQueue(world& w) {
  double draw = std::uniform_real_distribution<double>(0, 1)(w.random);
  for (const queue_load& q : kLoads) {
    draw -= q.share;
    if (draw < 0)
      return q;
  }
  return kLoads[2];
}

// An entry of the domain. Entries are dealt to domains in turn.
int EntryIn(world& w, int domain) {
  const int domains = w.options.domains;
  const int entries = (w.options.entries - domain + domains - 1) / domains;
  const auto pick =
      static_cast<int>(w.random() % static_cast<uint64_t>(entries));
  return domain + pick * domains;
}

void SubmitLoad(world& w, const load_options& o) {
  const double room_ms = static_cast<double>(kWorkerRoom.cpu) * o.world.workers;
  const double jobs_per_ms = o.load * room_ms / MeanWork();
  std::exponential_distribution<double> gap(jobs_per_ms);
  const micros until = w.now + micros{static_cast<int64_t>(o.seconds * 1e6)};
  int number = 0;
  while (w.now < until) {
    w.Pass(micros{static_cast<int64_t>(gap(w.random) * 1000)});
    emulated_job job = DrawJob(w, number++, DrawQueue(w));
    if (o.callers_stay_near)
      w.SubmitTo(EntryIn(w, number % o.world.domains), std::move(job));
    else
      w.Submit(std::move(job));
  }
}

// ---- [2] Result -------------------------------------------------------------

double LongestMs(const emulated_job& job) {
  int64_t longest = 0;
  for (int64_t ms : job.run_ms)
    longest = std::max(longest, ms);
  return static_cast<double>(longest);
}

void Judge(const emulated_job& job, play_result& result, double& owed) {
  size_t queue = 0;
  while (job.queue != kLoads[queue].name)
    ++queue;
  queue_result& q = result.queues[queue];
  const double objective = 1.6 * LongestMs(job) + 60;
  const double took =
      static_cast<double>((job.answered - job.first_sent).value) / 1000;
  const double value = kLoads[queue].value;
  domain_result& domain =
      result.domains[static_cast<size_t>(job.entry) % result.domains.size()];
  owed += value;
  domain.owed += value;
  ++q.asked;
  result.resent += job.sends > 1 ? 1 : 0;
  if (job.fate != job_fate::completed) {
    ++q.refused;
    result.refused_after += took / objective;
  } else if (took <= objective) {
    ++q.on_time;
    result.value += value;
    domain.earned += value;
  } else if (took <= 3 * objective) {
    ++q.late;
    result.value += value / 5;
    domain.earned += value / 5;
  }
}

uint64_t Frames(const world& w) {
  uint64_t frames = 0;
  for (const emulated_entry& entry : w.entries)
    frames +=
        entry.core->metrics.frames_taken + entry.core->metrics.frames_sent;
  return frames;
}

}  // namespace

play_result PlayLoad(const load_options& o) {
  world_options options = o.world;
  options.capacity = kWorkerRoom;
  world w(options);
  w.Pass(kWarmUp);
  for (int i = 0; i < o.hanging; ++i)
    w.workers[static_cast<size_t>(i)].hangs = true;
  for (int i = 0; i < o.slow; ++i)
    w.workers[w.workers.size() - 1 - static_cast<size_t>(i)].slowness =
        kSlowTimes;
  for (emulated_worker& worker : w.workers)
    worker.late_share = o.late_orders;
  w.cpu_used_us = 0;
  const uint64_t frames_before = Frames(w);
  SubmitLoad(w, o);
  play_result result;
  result.frames_per_job =
      static_cast<double>(Frames(w) - frames_before) /
      static_cast<double>(std::max<size_t>(1, w.jobs.size()));
  result.used = w.cpu_used_us / (o.seconds * 1e6 * o.world.workers *
                                 static_cast<double>(kWorkerRoom.cpu));
  w.Pass(kAfter);
  double owed = 0;
  result.domains.resize(static_cast<size_t>(options.domains));
  for (const auto& [id, job] : w.jobs)
    Judge(job, result, owed);
  result.value /= owed;
  int refused = 0;
  for (const queue_result& q : result.queues)
    refused += q.refused;
  result.refused_after /= std::max(1, refused);
  for (const emulated_worker& worker : w.workers)
    result.starts += worker.starts;
  for (const emulated_entry& entry : w.entries)
    result.refusals +=
        entry.core->leased.counters
            .runs_ended[static_cast<size_t>(run_end_kind::never_started)];
  result.broken = w.violations.size();
  return result;
}

const char* QueueName(size_t queue) {
  return kLoads[queue].name;
}

}  // namespace cassiaferry::emulator
