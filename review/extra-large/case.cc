// One large job beside small ones that were accepted before it: do they come to
// an end?

#include <algorithm>
#include <string>
#include <vector>

#include "../lib-2/rig.h"

namespace {

using rig::json;

constexpr int kLargeTasks = 16'000;
constexpr int kSmallJobs = 6;
constexpr int kSmallSteps = 8;
constexpr int kStepMs = 1000;
constexpr int64_t kFinishMs = 14'000;  // finish_s
constexpr int64_t kIdleMs = 3000;  // a job that has nothing running for so long
constexpr int64_t kWatchMs = 45'000;

rig::deployment_options Options() {
  rig::deployment_options options;
  options.entries = 2;
  options.workers = 4;
  return options;
}

// Steps of one task, one after the other.
json SmallJob() {
  json job = rig::Job("work:" + std::to_string(kStepMs), 1, 1000, kStepMs);
  for (int i = 1; i < kSmallSteps; ++i) {
    json step = job["steps"][0];
    step["after"] = {i - 1};
    job["steps"].push_back(step);
  }
  return job;
}

std::string StateAt(rig::deployment& d, size_t entry, const std::string& id) {
  const rig::http_answer got = d.Get(entry, id);
  const json body = json::parse(got.body, nullptr, false);
  return std::to_string(got.status) + " " +
         (body.is_object() ? body.value("state", "") : std::string());
}

bool IsOver(rig::deployment& d, const std::string& id) {
  for (size_t entry : {0, 1}) {
    if (StateAt(d, entry, id) == "200 completed")
      return true;
  }
  return false;
}

// For how long nothing of the job has been running.
int64_t IdleFor(const std::string& id) {
  int64_t last = 0;
  for (const rig::run_record& run : rig::AllRuns()) {
    if (run.task.starts_with(id))
      last = std::max(last, run.ended == 0 ? rig::NowMs() : run.ended);
  }
  return rig::NowMs() - last;
}

void Describe(rig::deployment& d, const std::string& id, const char* what) {
  int done = 0;
  int begun = 0;
  for (const rig::run_record& run : rig::AllRuns()) {
    if (!run.task.starts_with(id))
      continue;
    ++begun;
    done += run.how == "done" ? 1 : 0;
  }
  rig::Record(std::string(what) + " " + id + ": entry 0 says " +
              StateAt(d, 0, id) + ", entry 1 says " + StateAt(d, 1, id) +
              ", runs begun " + std::to_string(begun) + ", done " +
              std::to_string(done) + ", nothing running for ms " +
              std::to_string(IdleFor(id)));
}

// Submits the jobs; returns whether all were accepted.
bool Submit(rig::deployment& d, std::vector<std::string>& ids) {
  for (int i = 0; i < kSmallJobs; ++i) {
    ids.push_back(d.NextId());
    const rig::http_answer posted =
        d.Post(static_cast<size_t>(i % 2), ids.back(), SmallJob());
    rig::Record("small job " + ids.back() + " at entry " +
                std::to_string(i % 2) + ": " + std::to_string(posted.status) +
                " " + posted.body);
    if (posted.status != 200)
      return false;
  }
  if (!rig::Trouble())
    return true;
  ids.push_back(d.NextId());
  const rig::http_answer posted =
      d.Post(0, ids.back(), rig::Job("work:20", kLargeTasks, 100, 20));
  rig::Record("large job " + ids.back() + " at entry 0, tasks " +
              std::to_string(kLargeTasks) + ": " +
              std::to_string(posted.status) + " " + posted.body);
  return posted.status == 200;
}

int Play(rig::deployment& d) {
  if (!d.IsServing())
    return rig::kCouldNotRun;
  std::vector<std::string> ids;
  if (!Submit(d, ids))
    return rig::kCouldNotRun;
  const int64_t began = rig::NowMs();
  rig::WaitFor(kWatchMs, [&] {
    rig::SleepMs(500);
    return std::all_of(ids.begin(), ids.end(),
                       [&](const std::string& id) { return IsOver(d, id); });
  });
  if (rig::NowMs() - began < kFinishMs)
    rig::SleepMs(kFinishMs - (rig::NowMs() - began));
  size_t running = 0;
  for (const auto& worker : d.Workers())
    running += worker->Running();
  rig::Record("runs on all workers: " + std::to_string(running) +
              ", calls with a row that is too large: " +
              std::to_string(d.Store().TooLarge()));
  int stuck = 0;
  for (size_t i = 0; i < ids.size(); ++i) {
    Describe(d, ids[i], i < kSmallJobs ? "small job" : "large job");
    stuck += !IsOver(d, ids[i]) && IdleFor(ids[i]) > kIdleMs ? 1 : 0;
  }
  rig::Record("jobs that have not ended and have nothing running: " +
              std::to_string(stuck));
  return stuck > 0 ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  rig::OpenRecord(argc > 1 ? argv[1] : "record.txt");
  rig::deployment& d = *new rig::deployment(Options());
  rig::Finish(d, Play(d));
}
