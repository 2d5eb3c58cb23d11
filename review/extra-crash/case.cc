// A task that crashes each worker that starts it: how often is it started after
// three workers have crashed under it?

#include <csignal>
#include <cstdlib>
#include <string>

#include "../lib-2/rig.h"

namespace {

using rig::json;

constexpr int kCrashesKnown = 3;  // after that many crashes the rule counts
constexpr int kStartsBroken = 3;  // that many further starts break the rule
constexpr int64_t kWatchMs = 60'000;

int StartsOf(const std::string& id) {
  int starts = 0;
  for (const rig::run_record& run : rig::AllRuns())
    starts += run.task.starts_with(id) ? 1 : 0;
  return starts;
}

// Starts of the job's tasks that began after three workers had crashed under
// one.
int StartsAfterThirdCrash(const std::string& id) {
  int crashes = 0;
  int64_t third = 0;
  int after = 0;
  for (const rig::run_record& run : rig::AllRuns()) {
    if (!run.task.starts_with(id))
      continue;
    after += third != 0 && run.began > third ? 1 : 0;
    if (run.how != "crashed")
      continue;
    ++crashes;
    if (crashes == kCrashesKnown)
      third = run.ended;
  }
  return after;
}

void RecordRuns(const std::string& id) {
  for (const rig::run_record& run : rig::AllRuns()) {
    if (run.task.starts_with(id))
      rig::Record("run of the job: worker " + run.life + ", run " +
                  std::to_string(run.run) + ", began ms " +
                  std::to_string(run.began) + ", ended ms " +
                  std::to_string(run.ended) + " " + run.how);
  }
}

rig::deployment_options Options() {
  rig::deployment_options options;
  options.entries = 2;
  options.workers = 6;
  options.worker.down_ms = 4000;
  return options;
}

int Play(rig::deployment& d) {
  if (!d.IsServing())
    return rig::kCouldNotRun;
  rig::SleepMs(3500);  // all processes are in touch
  const std::string id = d.NextId();
  const std::string spec = rig::Trouble() ? "crash:200" : "work:200";
  const rig::http_answer posted = d.Post(0, id, rig::Job(spec, 1, 1000, 200));
  rig::Record("job " + id + ", spec " + spec + ": " +
              std::to_string(posted.status) + " " + posted.body);
  if (posted.status != 200)
    return rig::kCouldNotRun;
  const int64_t until = rig::NowMs() + kWatchMs;
  std::string state;
  while (rig::NowMs() < until) {
    rig::SleepMs(500);
    const rig::http_answer got = d.Get(1, id);
    const std::string now = std::to_string(got.status) + " " + got.body;
    if (now != state)
      rig::Record("GET: " + now + ", starts so far " +
                  std::to_string(StartsOf(id)));
    state = now;
    const json body = json::parse(got.body, nullptr, false);
    const std::string shown =
        body.is_object() ? body.value("state", "") : std::string();
    if (shown == "completed" || shown == "failed")
      break;
    if (StartsAfterThirdCrash(id) > 2 * kStartsBroken)
      break;
  }
  RecordRuns(id);
  const int after = StartsAfterThirdCrash(id);
  rig::Record("starts " + std::to_string(StartsOf(id)) +
              ", of these after the third crash " + std::to_string(after));
  return after >= kStartsBroken ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  rig::OpenRecord(argc > 1 ? argv[1] : "record.txt");
  rig::deployment& d = *new rig::deployment(Options());
  rig::Finish(d, Play(d));
}
