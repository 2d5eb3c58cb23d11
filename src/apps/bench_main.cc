// cassiaferry-bench: slopes for docs/CAPACITY.md.
//
// Without --system: entry and sidecar tables in this one process, on virtual
// time, for several numbers of workers: processor time, records and bytes for a
// start, memory for a worker and a job. With --system: processor time, memory
// and bytes of the running processes over some seconds.
//
// Contents
//   [1] Tables in one process
//   [2] Slopes
//   [3] Running processes
//   [4] Main

#include <gflags/gflags.h>
#include <malloc.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <queue>
#include <sstream>
#include <thread>

#include "../net/codec.h"
#include "../net/http_client.h"
#include "app.h"
#include "cassiaferry/entry.h"
#include "cassiaferry/sidecar.h"

DEFINE_string(system,
              "",
              "file with the line that cassiaferry-local printed; empty: "
              "tables in this process");
DEFINE_int32(seconds, 10, "time to watch running processes");
DEFINE_string(workers,
              "10,50,100,250,500,750",
              "numbers of workers to measure");
DEFINE_double(load, 0.8, "offered work against the slots");
DEFINE_int32(tasks, 4, "tasks of each job");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr uint32_t kSlots = 8;
constexpr int64_t kRunMs = 250;
constexpr int64_t kStepMs = 1;
constexpr int kIdleSteps = 1000;
constexpr int64_t kWarmMs = 1000;
constexpr int64_t kMeasuredMs = 2000;
constexpr char kEntryAddress[] = "entry";

// ---- [1] Tables in one process ----------------------------------------------

double ThreadSeconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

struct finish {
  micros at{0};
  size_t sidecar = 0;
  task_finished event;
  bool operator<(const finish& other) const { return at > other.at; }
};

struct table_world {
  explicit table_world(size_t workers);
  void Step(double jobs_per_step);

  entry_state entry;
  std::vector<sidecar_state> sidecars;
  std::vector<std::vector<sidecar_event>> to_sidecars;
  std::vector<entry_event> to_entry;
  std::priority_queue<finish> finishes;
  micros now = Millis(1);
  uint64_t next_ticket = 1;
  double jobs_due = 0;
  double entry_seconds = 0;
  double sidecar_seconds = 0;
  uint64_t to_sidecar_bytes = 0;
  uint64_t to_entry_bytes = 0;
  uint64_t starts = 0;
  uint64_t frames = 0;
};

config_document BenchConfig() {
  const std::string text =
      R"({"teams":{"lime":{"max_waiting_tasks":1000000}},"upstreams":{"slots":{}},
    "policies":{"p":{}},"default_policy":"p","limits":{"max_waiting_tasks":1000000}})";
  return {config_version{1}, "bench", "bench", text};
}

table_world::table_world(size_t workers) : to_sidecars(workers) {
  entry_options options;
  options.name = kEntryAddress;
  options.self = incarnation{1};
  options.link_address = kEntryAddress;
  entry = MakeEntry(options);
  to_entry.emplace_back(config_received{BenchConfig()});
  for (size_t i = 0; i < workers; ++i) {
    sidecar_options o;
    o.name = "sidecar-" + std::to_string(i);
    o.self = incarnation{100 + i};
    o.seed = i;
    o.seeds = {kEntryAddress};
    sidecars.push_back(MakeSidecar(o));
  }
}

job_request BenchJob() {
  job_request r;
  r.team = "lime";
  r.upstream = "slots";
  r.deadline_ms = 60'000;
  r.tasks.resize(static_cast<size_t>(FLAGS_tasks));
  for (task_request& task : r.tasks)
    task.payload = "sleep:250";
  return r;
}

void table_world::Step(double jobs_per_step) {
  now = now + Millis(kStepMs);
  for (jobs_due += jobs_per_step; jobs_due >= 1; jobs_due -= 1)
    to_entry.emplace_back(job_submitted{ticket_id{next_ticket++}, BenchJob()});
  while (!finishes.empty() && finishes.top().at <= now) {
    to_sidecars[finishes.top().sidecar].emplace_back(finishes.top().event);
    finishes.pop();
  }
  for (size_t i = 0; i < sidecars.size(); ++i) {
    std::vector<sidecar_event> events;
    events.swap(to_sidecars[i]);
    if (now.value % 1'000'000 < kStepMs * 1000 ||
        sidecars[i].upstream.slots == 0)
      events.emplace_back(upstream_announced{
          {"slots", "127.0.0.1:1", kSlots, 60, 30, 130'000}});
    if (events.empty() && now.value % 50'000 != 0)
      continue;
    const double before = ThreadSeconds();
    std::vector<sidecar_action> actions =
        Tick(sidecars[i], now, std::move(events));
    sidecar_seconds += ThreadSeconds() - before;
    for (sidecar_action& action : actions) {
      if (auto* send = std::get_if<send_to_entry>(&action)) {
        to_entry_bytes += ToWire(send->frame).ByteSizeLong();
        to_entry.emplace_back(
            sidecar_frame_received{link_id{i + 1}, std::move(send->frame)});
      } else if (auto* run = std::get_if<run_task>(&action)) {
        ++starts;
        finishes.push({now + Millis(kRunMs),
                       i,
                       {run->entry, run->task, verdict::ran, true, "done"}});
      }
    }
  }
  std::vector<entry_event> events;
  events.swap(to_entry);
  const double before = ThreadSeconds();
  std::vector<entry_action> actions = Tick(entry, now, std::move(events));
  entry_seconds += ThreadSeconds() - before;
  for (entry_action& action : actions) {
    if (auto* send = std::get_if<send_to_sidecar>(&action)) {
      ++frames;
      to_sidecar_bytes += ToWire(send->frame).ByteSizeLong();
      to_sidecars[send->link.value - 1].emplace_back(
          link_frame_received{entry_id{0}, std::move(send->frame)});
    }
  }
}

// ---- [2] Slopes -------------------------------------------------------------

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

void MeasureWorkers(size_t workers) {
  const size_t heap_before = HeapBytes();
  table_world world(workers);
  for (int i = 0; i < 200; ++i)
    world.Step(0);
  const double entry_heap = static_cast<double>(HeapBytes() - heap_before) /
                            static_cast<double>(workers);
  const double idle_before = world.entry_seconds;
  for (int step = 0; step < kIdleSteps; ++step)
    world.Step(0);
  const double idle_us = (world.entry_seconds - idle_before) * 1e6 / kIdleSteps;
  const double rate =
      FLAGS_load * static_cast<double>(workers) * kSlots * 1000 / kRunMs;
  const double jobs_per_step = rate / FLAGS_tasks / (1000.0 / kStepMs);
  for (int64_t t = 0; t < kWarmMs; t += kStepMs)
    world.Step(jobs_per_step);
  world.entry_seconds = world.sidecar_seconds = 0;
  world.to_entry_bytes = world.to_sidecar_bytes = world.starts = world.frames =
      0;
  for (int64_t t = 0; t < kMeasuredMs; t += kStepMs)
    world.Step(jobs_per_step);
  const auto starts = static_cast<double>(std::max<uint64_t>(1, world.starts));
  std::printf("%8zu %10.0f %12.2f %14.2f %12.1f %12.1f %12.1f %12.2f\n",
              workers, starts * 1000 / kMeasuredMs,
              world.entry_seconds * 1e6 / starts,
              world.sidecar_seconds * 1e6 / starts,
              static_cast<double>(world.to_sidecar_bytes) / starts,
              static_cast<double>(world.to_entry_bytes) / starts,
              entry_heap / 1024, idle_us);
  std::fflush(stdout);
}

void MeasureJobMemory() {
  table_world world(1);
  for (int i = 0; i < 200; ++i)
    world.Step(0);
  constexpr int kJobs = 10'000;
  const size_t before = HeapBytes();
  for (int i = 0; i < kJobs; ++i)
    world.to_entry.emplace_back(
        job_submitted{ticket_id{world.next_ticket++}, BenchJob()});
  world.Step(0);
  std::printf("memory of a waiting job of %d tasks: %.0f bytes (%zu waiting)\n",
              FLAGS_tasks, static_cast<double>(HeapBytes() - before) / kJobs,
              world.entry.jobs.size());
}

void MeasureTables() {
  std::printf("%8s %10s %12s %14s %12s %12s %12s %12s\n", "workers", "starts/s",
              "entry us/st", "sidecar us/st", "B to side", "B to entry",
              "KB/worker", "idle us/tick");
  std::istringstream list(FLAGS_workers);
  std::string number;
  while (std::getline(list, number, ','))
    MeasureWorkers(std::stoul(number));
  MeasureJobMemory();
}

// ---- [3] Running processes --------------------------------------------------

struct usage {
  double cpu_s = 0;
  double rss_mb = 0;
  double bytes = 0;
};

// From /proc of a process that cassiaferry-local started, and its own metrics.
usage ReadUsage(const json& process) {
  usage u;
  const std::string folder =
      "/proc/" + std::to_string(process["pid"].get<int>());
  std::ifstream stat(folder + "/stat");
  std::string word;
  for (int i = 1; i <= 24 && stat >> word; ++i) {
    if (i == 14 || i == 15)
      u.cpu_s += std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    if (i == 24)
      u.rss_mb = std::stod(word) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
                 (1 << 20);
  }
  http_call call;
  call.url = "http://" + process["http"].get<std::string>() + "/metrics";
  std::istringstream lines(FetchOnce(std::move(call)).body);
  const std::string name = "cassiaferry_bytes_sent_total ";
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name))
      u.bytes = std::stod(line.substr(name.size()));
  }
  return u;
}

void MeasureProcesses() {
  std::string error;
  const std::string text = ReadFile(FLAGS_system, error);
  const json system =
      json::parse(text.substr(0, text.find('\n')), nullptr, false);
  if (!system.is_object())
    Die(kExitBadInput,
        "bench: " + FLAGS_system + ": not a line of cassiaferry-local");
  for (const char* role : {"entries", "sidecars"}) {
    std::vector<usage> before;
    for (const json& process : system[role])
      before.push_back(ReadUsage(process));
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    usage sum;
    const size_t count = system[role].size();
    for (size_t i = 0; i < count; ++i) {
      const usage after = ReadUsage(system[role][i]);
      sum.cpu_s += after.cpu_s - before[i].cpu_s;
      sum.bytes += after.bytes - before[i].bytes;
      sum.rss_mb += after.rss_mb;
    }
    const double n = static_cast<double>(count) * FLAGS_seconds;
    std::printf(
        "%s: %zu processes, each %.2f%% of a core, %.1f MB resident, %.0f "
        "bytes/s sent on streams\n",
        role, count, 100 * sum.cpu_s / n,
        sum.rss_mb / static_cast<double>(count), sum.bytes / n);
  }
}

}  // namespace
}  // namespace cassiaferry

// ---- [4] Main ---------------------------------------------------------------

int main(int argc, char** argv) {
  using namespace cassiaferry;  // NOLINT(google-build-using-namespace)
  InitApp("cassiaferry-bench [--system FILE]\nSlopes for docs/CAPACITY.md.",
          &argc, &argv);
  if (FLAGS_system.empty())
    MeasureTables();
  else
    MeasureProcesses();
  return kExitOk;
}
