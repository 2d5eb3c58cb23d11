// Load played on the emulated world.
//
// Contents
//   [1] Load
//   [2] Result
//   [3] Bound

#include "load_play.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "value_bound.h"

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
constexpr resources kWorkerRoom{36'000, 131'072, 0};
constexpr double kSlowTimes = 5.6;
constexpr micros kAfter = Millis(8000);
constexpr uint64_t kLoadSeed = 1'000'003;  // beside the world's
constexpr micros kNoDelay{1};
constexpr double kUsefulTimes = 3;  // a job late by more is of no use
constexpr double kLateShare = 0.2;  // of its value, if it is of use

double MeanWork() {  // of a job: thousandths of a core times milliseconds
  double work = 0;
  for (const queue_load& q : kLoads)
    work += q.share * q.tasks * q.run_ms * kCpu;
  return work;
}

// Draws the load, apart from what the world draws: the same jobs come at the
// same times, whatever is done with them.
using load_random = std::mt19937_64;

double Spread(load_random& random, double mean, double spread) {
  std::lognormal_distribution<double> d(-spread * spread / 2, spread);
  return mean * d(random);
}

double MeanMs(const emulated_job& job) {
  double sum = 0;
  for (int64_t ms : job.run_ms)
    sum += static_cast<double>(ms);
  return sum / static_cast<double>(job.run_ms.size());
}

// Run times of a job's tasks. Without a tail nothing more is drawn for it.
std::vector<int64_t> DrawRunTimes(load_random& random,
                                  const load_options& o,
                                  uint32_t tasks,
                                  double base_ms) {
  std::uniform_real_distribution<double> chance(0, 1);
  std::vector<int64_t> times;
  for (uint32_t i = 0; i < tasks; ++i) {
    double ms = Spread(random, base_ms, 0.15);
    if (o.tail_share > 0 && chance(random) < o.tail_share)
      ms *= o.tail_times;
    times.push_back(std::max<int64_t>(1, static_cast<int64_t>(ms)));
  }
  return times;
}

emulated_job DrawJob(load_random& random,
                     const load_options& o,
                     int number,
                     const queue_load& q) {
  const auto tasks =
      static_cast<uint32_t>(std::max(1.0, Spread(random, q.tasks, 0.4)));
  const double base = Spread(random, q.run_ms, 0.4);
  const auto cpu = static_cast<int64_t>(Spread(random, kCpu, 0.2));
  emulated_job job = MakeJob("job-" + std::to_string(number), tasks, cpu, 1);
  job.queue = q.name;
  job.wait_ms = 1900 + 2 * static_cast<int64_t>(base);
  job.run_ms = DrawRunTimes(random, o, tasks, base);
  if (o.tail_share > 0)
    job.wait_ms =
        1900 + 2 * *std::max_element(job.run_ms.begin(), job.run_ms.end());
  job.steps[0].expected_ms =
      std::max<int64_t>(1, static_cast<int64_t>(Spread(random, base, 0.3)));
  return job;
}

// Shares of the queues at this time; their sum is how often a job comes,
// against the load without bursts.
struct queue_shares {
  double share[kLoadQueues] = {};
  double sum = 1;
};

queue_shares SharesAt(const load_options& o, double seconds) {
  queue_shares shares;
  for (size_t queue = 0; queue < kLoadQueues; ++queue)
    shares.share[queue] = kLoads[queue].share;
  for (const load_burst& burst : o.bursts) {
    if (seconds < burst.from_s || seconds >= burst.from_s + burst.for_s)
      continue;
    const double more = shares.share[burst.queue] * (burst.times - 1);
    shares.share[burst.queue] += more;
    shares.sum += more;
  }
  return shares;
}

const queue_load& DrawQueue(load_random& random, const queue_shares& shares) {
  double draw =
      std::uniform_real_distribution<double>(0, 1)(random) * shares.sum;
  for (size_t queue = 0; queue < kLoadQueues; ++queue) {
    draw -= shares.share[queue];
    if (draw < 0)
      return kLoads[queue];
  }
  return kLoads[kLoadQueues - 1];
}

// An entry of the domain. Entries are dealt to domains in turn.
int EntryIn(const world_options& o, load_random& random, int domain) {
  const int domains = o.domains;
  const int entries = (o.entries - domain + domains - 1) / domains;
  const auto pick = static_cast<int>(random() % static_cast<uint64_t>(entries));
  return domain + pick * domains;
}

int DrawDomain(const load_options& o, load_random& random, int number) {
  if (o.domain_shares.empty())
    return number % o.world.domains;
  std::discrete_distribution<int> domain(o.domain_shares.begin(),
                                         o.domain_shares.end());
  return domain(random);
}

int DrawCaller(const load_options& o, load_random& random) {
  return static_cast<int>(random() %
                          static_cast<uint64_t>(o.world.callers_per_domain));
}

// Of all workers, by what they get done.
double RoomOf(const world& w) {
  double cpu = 0;
  for (int i = 0; i < w.options.workers; ++i)
    cpu +=
        static_cast<double>(w.CapacityOf(i).cpu) * DealtTo(i, w.options.speeds);
  return cpu;
}

void SubmitLoad(world& w, const load_options& o) {
  const double room_ms = RoomOf(w);
  const double jobs_per_ms = o.load * room_ms / MeanWork();
  std::exponential_distribution<double> gap(jobs_per_ms);
  const micros began = w.now;
  const micros until = w.now + micros{static_cast<int64_t>(o.seconds * 1e6)};
  load_random random(o.world.seed + kLoadSeed);
  int number = 0;
  while (w.now < until) {
    constexpr double kTurn = 6.283185307179586;
    const double seconds = static_cast<double>((w.now - began).value) / 1e6;
    const double wave =
        1 + o.wave_swing * std::sin(kTurn * seconds / o.wave_period_s);
    const queue_shares shares = SharesAt(o, seconds);
    w.Pass(
        micros{static_cast<int64_t>(gap(random) * 1000 / wave / shares.sum)});
    const queue_load& queue = DrawQueue(random, shares);
    emulated_job job = DrawJob(random, o, number++, queue);
    if (o.exact_estimates)
      job.steps[0].expected_ms =
          std::max<int64_t>(1, static_cast<int64_t>(MeanMs(job)));
    if (o.world.callers_per_domain > 0)
      w.SubmitFrom(DrawDomain(o, random, number), DrawCaller(o, random),
                   std::move(job));
    else if (o.callers_stay_near)
      w.SubmitTo(EntryIn(o.world, random, DrawDomain(o, random, number)),
                 std::move(job));
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

double ObjectiveMs(const emulated_job& job) {
  return 1.6 * LongestMs(job) + 60;
}

size_t QueueOf(const emulated_job& job) {
  size_t queue = 0;
  while (job.queue != kLoads[queue].name)
    ++queue;
  return queue;
}

// Share of its value that the caller got.
double EarnedShare(const emulated_job& job) {
  const double took =
      static_cast<double>((job.answered - job.first_sent).value) / 1000;
  if (job.fate != job_fate::completed || took > kUsefulTimes * ObjectiveMs(job))
    return 0;
  return took <= ObjectiveMs(job) ? 1 : kLateShare;
}

void Judge(const emulated_job& job, play_result& result, double& owed) {
  const size_t queue = QueueOf(job);
  queue_result& q = result.queues[queue];
  const double objective = ObjectiveMs(job);
  const double took =
      static_cast<double>((job.answered - job.first_sent).value) / 1000;
  const double value = kLoads[queue].value;
  const int of = job.domain >= 0 ? job.domain : job.entry;
  domain_result& domain =
      result.domains[static_cast<size_t>(of) % result.domains.size()];
  owed += value;
  domain.owed += value;
  ++q.asked;
  result.resent += job.sends > 1 ? 1 : 0;
  const double earned = value * EarnedShare(job);
  result.value += earned;
  domain.earned += earned;
  if (job.fate != job_fate::completed) {
    ++q.refused;
    result.refused_after += took / objective;
  } else if (took <= objective) {
    ++q.on_time;
  } else if (earned > 0) {
    ++q.late;
  }
}

uint64_t Frames(const world& w) {
  uint64_t frames = 0;
  for (const emulated_entry& entry : w.entries)
    frames +=
        entry.core->metrics.frames_received + entry.core->metrics.frames_sent;
  return frames;
}

// ---- [3] Bound --------------------------------------------------------------

bound_job BoundJob(const emulated_job& job) {
  const auto cpu = static_cast<double>(job.steps[0].need.cpu);
  const auto tasks = static_cast<double>(job.run_ms.size());
  bound_job b;
  b.arrival = job.first_sent;
  b.objective = micros{static_cast<int64_t>(ObjectiveMs(job) * 1000)};
  b.value = kLoads[QueueOf(job)].value;
  b.work = tasks * MeanMs(job) * 1000 * cpu;
  b.most_cpu = tasks * cpu;
  return b;
}

// Least share of the value owed, over groups of jobs.
class least_share {
 public:
  void Add(size_t group, double owed, double earned) {
    groups_[group].owed += owed;
    groups_[group].earned += earned;
  }
  double Least() const {
    double least = 1;
    for (const auto& [group, sum] : groups_)
      least = std::min(least, sum.earned / sum.owed);
    return least;
  }

 private:
  std::map<size_t, domain_result> groups_;
};

void CompareWithBound(const world& w, play_result& result) {
  std::vector<bound_job> jobs;
  for (const auto& [id, job] : w.jobs)
    jobs.push_back(BoundJob(job));
  const bound_room room{micros{0}, kRoomSlot, w.room_us};
  const value_bound bound = BoundValue(jobs, room, kUsefulTimes, kLateShare);
  result.bound = bound.most / bound.owed;
  least_share seconds;
  least_share queues;
  least_share bound_seconds;
  least_share bound_queues;
  size_t i = 0;
  for (const auto& [id, job] : w.jobs) {
    const double owed = jobs[i].value;
    const double earned = owed * EarnedShare(job);
    const double most = owed * bound.share_in_time[i++];
    const auto second = static_cast<size_t>(job.first_sent.value / 1'000'000);
    seconds.Add(second, owed, earned);
    bound_seconds.Add(second, owed, most);
    queues.Add(QueueOf(job), owed, earned);
    bound_queues.Add(QueueOf(job), owed, most);
  }
  result.worst_second = seconds.Least();
  result.worst_queue = queues.Least();
  result.bound_worst_second = bound_seconds.Least();
  result.bound_worst_queue = bound_queues.Least();
}

}  // namespace

play_result PlayLoad(const load_options& o) {
  world_options options = o.world;
  options.capacity = kWorkerRoom;
  if (o.no_delay) {
    options.link_delay = kNoDelay;
    options.worker_delay = kNoDelay;
    options.caller_delay = kNoDelay;
  }
  if (o.no_delay)
    options.far_delay = {};
  world w(options);
  w.log = o.log;
  w.Pass(o.warm_up);
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
  if (o.with_bound)
    CompareWithBound(w, result);
  return result;
}

const char* QueueName(size_t queue) {
  return kLoads[queue].name;
}

size_t QueueNumber(const std::string& name) {
  size_t queue = 0;
  while (queue < kLoadQueues && name != kLoads[queue].name)
    ++queue;
  return queue;
}

}  // namespace cassiaferry::emulator
