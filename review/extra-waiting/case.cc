// An entry that owns waiting jobs is stopped: what number of waiting jobs do
// the other entries give meanwhile?

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "../lib-2/rig.h"

namespace {

constexpr int kJobs = 600;
constexpr int kCallers = 8;
constexpr int64_t kKnownMs = 5000;  // visible_ms + 2 s
constexpr int64_t kEvery = 20;      // between two questions
constexpr int64_t kWatchMs = 9000;

struct seen_answers {
  int asked = 0;
  int below_half = 0;
  int lowest = kJobs;
  int64_t first_ms = 0;
  int64_t last_ms = 0;
};

// Asks one entry for the number of waiting jobs until the end.
seen_answers Watch(rig::deployment& d,
                   size_t entry,
                   int accepted,
                   int64_t until) {
  seen_answers seen;
  int before = -2;
  while (rig::NowMs() < until) {
    const int waiting = d.Waiting(entry);
    if (waiting != before)
      rig::Record("entry " + std::to_string(entry) + ": waiting " +
                  std::to_string(waiting));
    before = waiting;
    if (waiting >= 0) {
      ++seen.asked;
      seen.lowest = std::min(seen.lowest, waiting);
    }
    if (waiting >= 0 && 2 * waiting < accepted) {
      ++seen.below_half;
      seen.first_ms = seen.first_ms == 0 ? rig::NowMs() : seen.first_ms;
      seen.last_ms = rig::NowMs();
    }
    rig::SleepMs(kEvery);
  }
  return seen;
}

// Submits jobs that wait for a worker with a label that none has now.
int Submit(rig::deployment& d) {
  std::vector<std::string> ids;
  ids.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i)
    ids.push_back(d.NextId());
  std::atomic<int> next{0};
  std::atomic<int> accepted{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int c = 0; c < kCallers; ++c)
    callers.emplace_back([&] {
      for (int i = next++; i < kJobs; i = next++) {
        rig::json job = rig::Job("work:100", 1, 1000, 100);
        job["steps"][0]["requires"] = "big";
        accepted += d.Post(0, ids[static_cast<size_t>(i)], job).status == 200;
      }
    });
  for (std::thread& caller : callers)
    caller.join();
  return accepted;
}

rig::deployment_options Options() {
  rig::deployment_options options;
  return options;
}

int Play(rig::deployment& d) {
  if (!d.IsServing())
    return rig::kCouldNotRun;
  const int accepted = Submit(d);
  rig::Record("accepted by entry 0: " + std::to_string(accepted));
  if (accepted < kJobs / 2)
    return rig::kCouldNotRun;
  rig::SleepMs(kKnownMs + 500);
  for (size_t entry : {1, 2}) {
    if (d.Waiting(entry) < accepted / 2)
      return rig::kCouldNotRun;
  }
  const int64_t until = rig::NowMs() + kWatchMs;
  if (rig::Trouble()) {
    rig::Record("SIGTERM of entry 0");
    d.Entry(0).Signal(SIGTERM);
  }
  seen_answers seen[2];
  std::thread other([&] { seen[1] = Watch(d, 2, accepted, until); });
  seen[0] = Watch(d, 1, accepted, until);
  other.join();
  int below = 0;
  for (int i = 0; i < 2; ++i) {
    const seen_answers& s = seen[i];
    below += s.below_half;
    rig::Record("entry " + std::to_string(i + 1) + ": answers " +
                std::to_string(s.asked) + ", below half " +
                std::to_string(s.below_half) + ", lowest " +
                std::to_string(s.lowest) + ", from ms " +
                std::to_string(s.first_ms) + " to " +
                std::to_string(s.last_ms));
    if (s.asked == 0)
      return rig::kCouldNotRun;
  }
  rig::Record("entry 0 has ended: " +
              std::string(d.Entry(0).IsRunning() ? "no" : "yes"));
  return below > 0 ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  rig::OpenRecord(argc > 1 ? argv[1] : "record.txt");
  rig::deployment& d = *new rig::deployment(Options());
  rig::Finish(d, Play(d));
}
