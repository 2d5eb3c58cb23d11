// cassiaferry-emulate: plays load on the emulated world and prints what callers
// got, for orders side by side.
//
// Contents
//   [1] Load
//   [2] Result
//   [3] Days of faults
//   [4] Main

#include <gflags/gflags.h>

#include <cmath>
#include <cstdio>

#include "../emulator/leased_world.h"
#include "../emulator/seeded_day.h"
#include "app.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 3, "how many seeds");
DEFINE_double(load, 1.0, "offered load against the room of all workers");
DEFINE_double(seconds, 6, "how long the load lasts");
DEFINE_int32(entries, 4, "entries");
DEFINE_int32(workers, 11, "workers");
DEFINE_int32(domains, 1, "failure domains of entries and workers");
DEFINE_int32(slow, 0, "workers on which all takes 5.6 times as long");
DEFINE_int32(hanging, 0, "workers on which all stands still");
DEFINE_uint64(days, 0, "play so many seeded days of faults instead");
DEFINE_uint64(replay, 0, "play the day of this seed, and print what happens");
DEFINE_double(late_orders, 0, "share of orders to workers that come late");

namespace cassiaferry {
namespace {

using namespace cassiaferry::emulator;

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

void PlayLoad(world& w) {
  const double room_ms = static_cast<double>(kWorkerRoom.cpu) * FLAGS_workers;
  const double jobs_per_ms = FLAGS_load * room_ms / MeanWork();
  std::exponential_distribution<double> gap(jobs_per_ms);
  const micros until =
      w.now + micros{static_cast<int64_t>(FLAGS_seconds * 1e6)};
  int number = 0;
  while (w.now < until) {
    w.Pass(micros{static_cast<int64_t>(gap(w.random) * 1000)});
    w.Submit(DrawJob(w, number++, DrawQueue(w)));
  }
}

// ---- [2] Result -------------------------------------------------------------

struct queue_result {
  int asked = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
};

struct play_result {
  queue_result queues[3];
  double value = 0;  // earned against owed; late counts a fifth
  double used = 0;   // of the room, while the load lasted
  uint64_t starts = 0;
  uint64_t refusals = 0;     // runs that a sidecar refused
  double refused_after = 0;  // mean time to a refusal, against the objective
  int resent = 0;            // jobs that ran in part, and were given up
  size_t broken = 0;
};

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
  owed += value;
  ++q.asked;
  result.resent += job.sends > 1 ? 1 : 0;
  if (job.fate != job_fate::completed) {
    ++q.refused;
    result.refused_after += took / objective;
  } else if (took <= objective) {
    ++q.on_time;
    result.value += value;
  } else if (took <= 3 * objective) {
    ++q.late;
    result.value += value / 5;
  }
}

play_result Play(uint64_t seed, leased_order order) {
  world_options options;
  options.seed = seed;
  options.entries = FLAGS_entries;
  options.workers = FLAGS_workers;
  options.domains = FLAGS_domains;
  options.capacity = kWorkerRoom;
  options.order = order;
  world w(options);
  w.Pass(kWarmUp);
  for (int i = 0; i < FLAGS_hanging; ++i)
    w.workers[static_cast<size_t>(i)].hangs = true;
  for (int i = 0; i < FLAGS_slow; ++i)
    w.workers[w.workers.size() - 1 - static_cast<size_t>(i)].slowness =
        kSlowTimes;
  for (emulated_worker& worker : w.workers)
    worker.late_share = FLAGS_late_orders;
  w.cpu_used_us = 0;
  PlayLoad(w);
  play_result result;
  result.used = w.cpu_used_us / (FLAGS_seconds * 1e6 * FLAGS_workers *
                                 static_cast<double>(kWorkerRoom.cpu));
  w.Pass(kAfter);
  double owed = 0;
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

// ---- [3] Days of faults -----------------------------------------------------

bool PrintDay(const day_report& day) {
  if (day.violations.empty())
    return true;
  std::printf("seed %llu: jobs %zu, completed %zu, faults %zu, BROKEN %zu\n",
              static_cast<unsigned long long>(day.seed), day.jobs,
              day.completed, day.faults, day.violations.size());
  for (const violation& v : day.violations)
    std::printf("  at %lld ms: %s\n", static_cast<long long>(ToMillis(v.at)),
                v.what.c_str());
  return false;
}

int PlayDays() {
  size_t broken = 0;
  size_t jobs = 0;
  for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_days; ++seed) {
    const day_report day = PlaySeededDay(seed);
    jobs += day.jobs;
    broken += PrintDay(day) ? 0 : 1;
  }
  std::printf("%llu days, %zu jobs, %zu days broken\n",
              static_cast<unsigned long long>(FLAGS_days), jobs, broken);
  return broken == 0 ? kExitOk : kExitFailed;
}

int Replay() {
  const day_report day = PlaySeededDay(
      FLAGS_replay,
      [](const std::string& line) { std::printf("%s\n", line.c_str()); });
  return PrintDay(day) ? kExitOk : kExitFailed;
}

// ---- [4] Main ---------------------------------------------------------------

void PrintRow(const char* order, uint64_t seed, const play_result& r) {
  std::printf("%-15s %4llu  %.3f  %.3f %6llu %6llu", order,
              static_cast<unsigned long long>(seed), r.value, r.used,
              static_cast<unsigned long long>(r.starts),
              static_cast<unsigned long long>(r.refusals));
  for (const queue_result& q : r.queues)
    std::printf("  %.3f/%.3f",
                static_cast<double>(q.on_time) / std::max(1, q.asked),
                static_cast<double>(q.late) / std::max(1, q.asked));
  std::printf("  %.2f %d %zu\n", r.refused_after, r.resent, r.broken);
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp(
      "cassiaferry-emulate [--load 1.2] [--seeds 3]\nPlays load on emulated "
      "workers and prints what callers got, by order.\n"
      "cassiaferry-emulate --days 200 [--seed 1]\nPlays days of faults and "
      "prints the seed of each on which a promise is broken; --replay SEED "
      "prints what happens on it.",
      &argc, &argv);
  if (FLAGS_replay != 0)
    return Replay();
  if (FLAGS_days != 0)
    return PlayDays();
  constexpr const char* kNames[] = {"first_come", "earliest_start", "priority",
                                    "fair_share"};
  std::printf(
      "order           seed  value  used  starts refused  on time/late of "
      "quick, long, pings  refused-after resent broken\n");
  size_t broken = 0;
  for (size_t order = 0; order < std::size(kNames); ++order) {
    for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
      const play_result r = Play(seed, static_cast<leased_order>(order));
      PrintRow(kNames[order], seed, r);
      broken += r.broken;
    }
  }
  return broken == 0 ? kExitOk : kExitFailed;
}
