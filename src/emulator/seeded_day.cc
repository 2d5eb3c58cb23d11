// Seeded days.
//
// Contents
//   [1] Faults
//   [2] Jobs
//   [3] The day

#include "seeded_day.h"

namespace cassiaferry::emulator {

namespace {

constexpr int kSteps = 200;
constexpr int kClosingDomains = 2;
constexpr uint32_t kSwitchOneIn = 20;       // steps
constexpr uint32_t kStopOneIn = 12;         // steps
constexpr uint32_t kSwitchStopsOneIn = 15;  // steps
constexpr micros kRecovery = Millis(30'000);

// ---- [1] Faults -------------------------------------------------------------

void AddStoreFault(world& w, micros time) {
  switch (w.random() % 5) {
    case 0:
      w.StoreFault(time, "store down",
                   [](emulated_store& s) { s.down = true; });
      return;
    case 1:
      w.StoreFault(time, "store silent",
                   [](emulated_store& s) { s.silent = true; });
      return;
    case 2:
      w.StoreFault(time, "store's replies lost",
                   [](emulated_store& s) { s.lost_share = 0.4; });
      return;
    case 3:
      w.StoreFault(time, "store's writes late",
                   [](emulated_store& s) { s.late_share = 0.3; });
      return;
    default:
      w.StoreFault(time, "store slow",
                   [](emulated_store& s) { s.answer_ms = 250; });
      return;
  }
}

void AddFault(world& w) {
  const micros time = Millis(300 + static_cast<int64_t>(w.random() % 7000));
  const int entry = static_cast<int>(w.random() % w.entries.size());
  switch (w.random() % 11) {
    case 0:
      w.CutFromStore(entry, time);
      return;
    case 1:
      for (int i = 0; i < w.options.entries; ++i)
        w.KillEntry(i);
      return;
    case 2:
      for (int i = 0; i < w.options.workers; ++i)
        w.Cut(entry, i, time);
      return;
    case 3:
      AddStoreFault(w, time);
      return;
    default:
      AddProcessFault(w, time);
      return;
  }
}

// Nothing more is drawn, so that other days stay as they are.
cut_ways WaysOf(const world& w, micros time) {
  if (!w.options.one_way_cuts)
    return cut_ways::both;
  const bool out = ToMillis(time) % 2 == 0;
  return out ? cut_ways::to_sidecar : cut_ways::to_entry;
}

// Nothing more is drawn, as above. Where workers keep their ids some are back
// before anybody misses them.
void EndWorker(world& w, int worker, micros time) {
  constexpr int64_t kShortestMs = 100;
  const int64_t ms = ToMillis(time);
  if (w.options.workers_keep_ids && ms % 3 == 0)
    w.RollWorker(worker, Millis(ms % kShortestMs));
  else if (w.options.workers_keep_ids && ms % 3 == 1)
    w.CrashWorker(worker, Millis(ms % kShortestMs));
  else if (w.options.late_words && ms % 2 == 0)
    w.RollWorker(worker, Millis(ms % kShortestMs));
  else
    w.CrashWorker(worker, time);
}

// One of the domains is closed, or opened; drawn apart, so that other days stay
// as they are.
void SwitchDomain(world& w, std::minstd_rand& draw) {
  const auto domain =
      static_cast<int>(draw() % static_cast<uint32_t>(w.options.domains));
  if (w.closed_at.count(std::to_string(domain)) != 0)
    w.OpenDomain(domain);
  else
    w.CloseDomain(domain);
}

// Drawn apart, as above.
void StopProcess(world& w, std::minstd_rand& draw) {
  const bool is_entry = draw() % 2 == 0;
  const size_t count = is_entry ? w.entries.size() : w.sidecars.size();
  const auto target = static_cast<int>(draw() % count);
  if (is_entry)
    w.StopEntry(target);
  else
    w.StopSidecar(target);
}

// ---- [2] Jobs ---------------------------------------------------------------

emulated_job DrawJob(world& w, int number) {
  const auto tasks = static_cast<uint32_t>(1 + w.random() % 6);
  const auto cpu = static_cast<int64_t>(500 + w.random() % 3000);
  const auto run_ms = static_cast<int64_t>(20 + w.random() % 900);
  emulated_job job =
      MakeJob("job-" + std::to_string(number), tasks, cpu, run_ms);
  job.hopeless = w.random() % 25 == 0;
  job.durable = w.random() % 5 != 0;
  return job;
}

constexpr char kRareLabel[] = "rare";

// Changes a job that DrawJob has made; drawn apart, as above.
void MixWork(emulated_job& job, std::minstd_rand& draw) {
  constexpr uint32_t kFailsOneIn = 25;
  constexpr uint32_t kRareOneIn = 40;
  constexpr uint32_t kMaxMs = 1200;
  for (size_t i = 1; i < job.run_ms.size(); ++i)
    job.run_ms[i] = 20 + static_cast<int64_t>(draw() % kMaxMs);
  if (draw() % kFailsOneIn == 0)
    job.failing_runs = 1 + draw() % 2;
  if (draw() % kRareOneIn == 0)
    job.steps.front().label = kRareLabel;
}

// Many short jobs, and a long one whose caller's time ends while it runs: that
// caller sends it again.
void AddCallersInTime(world& w, int step) {
  constexpr int kShortJobs = 3;
  constexpr int kLongOneIn = 8;  // steps
  constexpr int64_t kCpu = 500;
  constexpr int64_t kShortMs = 60;
  constexpr int64_t kLongMs = 3600;
  constexpr int64_t kCallersTimeMs = 1500;
  const auto submit = [&](const std::string& id, uint32_t tasks, int64_t ms) {
    emulated_job job = MakeJob(id, tasks, kCpu, ms);
    job.wait_ms = kCallersTimeMs;
    w.Submit(std::move(job));
  };
  const std::string number = std::to_string(step);
  for (int i = 0; i < kShortJobs; ++i)
    submit("short-" + number + "-" + std::to_string(i), 4, kShortMs);
  if (step % kLongOneIn == 0)
    submit("long-" + number, 1, kLongMs);
}

// Workers begin to leave stops unanswered, or answer them all again; drawn
// apart, as above.
void SwitchStops(world& w, std::minstd_rand& draw) {
  constexpr double kUnanswered = 1;  // of the stops: few among all orders
  const bool begins = draw() % 2 == 0;
  for (emulated_worker& worker : w.workers)
    worker.late_stop_share = begins ? kUnanswered : 0;
}

}  // namespace

void AddProcessFault(world& w, micros time) {
  const int entry = static_cast<int>(w.random() % w.entries.size());
  const int worker = static_cast<int>(w.random() % w.workers.size());
  emulated_worker& at = w.workers[static_cast<size_t>(worker)];
  switch (w.random() % 9) {
    case 0:
      w.KillEntry(entry);
      return;
    case 1:
      w.KillSidecar(worker);
      return;
    case 2:
      w.FreezeEntry(entry, time);
      return;
    case 3:
      w.FreezeSidecar(worker, time);
      return;
    case 4:
      EndWorker(w, worker, time);
      return;
    case 5:
      w.Cut(entry, worker, time, WaysOf(w, time));
      return;
    case 6:
      w.SilenceWorker(worker, time);
      return;
    case 7:
      w.Reset(entry, worker);
      return;
    default:
      at.late_share = at.late_share > 0 ? 0 : 0.1;
      return;
  }
}

// ---- [3] The day ------------------------------------------------------------

namespace {

void ChooseFewEntries(world_options& options) {
  options.entries = 5;
  options.workers = 6;
  options.domains = kClosingDomains;
  options.neighbours.all_up_to = 1;
  options.neighbours.near = 1;
  options.neighbours.far = 1;
  options.neighbours.release_after = Millis(400);
  options.reach.few_workers = 1;
}

}  // namespace

day_report PlaySeededDay(const day_options& day,
                         const std::function<void(const std::string&)>& log) {
  world_options options;
  options.seed = day.seed;
  options.has_store = true;
  options.one_way_cuts = day.one_way_cuts;
  options.workers_keep_ids = day.workers_keep_ids;
  options.late_words = day.late_words;
  options.keeps_worker_records = day.keeps_worker_records;
  options.domains = day.closes_domains ? kClosingDomains : options.domains;
  if (day.chooses_entries)
    ChooseFewEntries(options);
  world w(options);
  w.log = log;
  std::minstd_rand draw(static_cast<uint32_t>(day.seed) + 1);
  day_report report;
  report.seed = day.seed;
  if (day.mixes_work)
    w.workers.back().labels = {kRareLabel};
  w.Pass(Millis(1500));
  for (int step = 0; step < kSteps; ++step) {
    emulated_job job = DrawJob(w, step);
    if (day.mixes_work)
      MixWork(job, draw);
    w.Submit(std::move(job));
    if (w.random() % 12 == 0)
      w.Cancel("job-" + std::to_string(w.random() % (step + 1)));
    if (w.random() % 12 == 0) {
      AddFault(w);
      ++report.faults;
    }
    if (day.closes_domains && draw() % kSwitchOneIn == 0)
      SwitchDomain(w, draw);
    if (day.stops_processes && draw() % kStopOneIn == 0)
      StopProcess(w, draw);
    if (day.ends_callers_time) {
      AddCallersInTime(w, step);
      if (draw() % kSwitchStopsOneIn == 0)
        SwitchStops(w, draw);
    }
    w.Pass(Millis(static_cast<int64_t>(w.random() % 150)));
  }
  for (emulated_worker& worker : w.workers) {
    worker.late_share = 0;
    worker.late_stop_share = 0;
  }
  for (int domain = 0; domain < options.domains; ++domain)
    w.OpenDomain(domain);
  if (day.mixes_work)
    w.CrashWorker(options.workers - 1, kRecovery + kRecovery);
  w.Pass(kRecovery);
  w.CheckHistories();
  report.jobs = w.jobs.size();
  report.completed = w.Count(job_fate::completed);
  report.violations = w.violations;
  return report;
}

}  // namespace cassiaferry::emulator
