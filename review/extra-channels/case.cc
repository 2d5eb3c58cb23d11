// Open connections to the store go silent while new ones work: how long do the
// entries stay with an old config?

#include <string>
#include <thread>
#include <vector>

#include "../lib-2/rig.h"

namespace {

constexpr size_t kEntries = 2;
constexpr int kCallers = 40;  // of an entry, that ask at the same time
constexpr int kRounds = 3;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kConfigApplyMs = 2000;
constexpr int64_t kWatchMs = 60'000;

rig::deployment_options Options() {
  rig::deployment_options options;
  options.entries = kEntries;
  options.workers = 2;
  return options;
}

// Many callers ask each entry for the state of a job of the other one.
void AskTogether(rig::deployment& d, const std::vector<std::string>& ids) {
  std::vector<std::thread> callers;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    const std::string& id = ids[(entry + 1) % kEntries];
    for (int i = 0; i < kCallers; ++i)
      callers.emplace_back([&d, &id, entry] { d.Get(entry, id); });
  }
  for (std::thread& caller : callers)
    caller.join();
}

// Asks an entry for the new route until it knows it. Returns when the last
// request was sent that it refused, 0 if it refused none.
int64_t Watch(rig::deployment& d, size_t entry, int64_t until) {
  int64_t refused = 0;
  while (rig::NowMs() < until) {
    const int64_t sent = rig::NowMs();
    const int status = d.CallEntry(entry, "GET", "/lohu931/", "").status;
    if (status != 404)
      break;
    refused = sent;
    rig::SleepMs(100);
  }
  return refused;
}

int Play(rig::deployment& d) {
  if (!d.IsServing())
    return rig::kCouldNotRun;
  std::vector<std::string> ids;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    ids.push_back(d.NextId());
    const rig::http_answer posted =
        d.Post(entry, ids.back(), rig::Job("work:50", 1, 1000, 50));
    rig::Record("job " + ids.back() + " at entry " + std::to_string(entry) +
                ": " + std::to_string(posted.status));
  }
  for (int i = 0; i < kRounds; ++i)
    AskTogether(d, ids);
  rig::SleepMs(kContactMs);
  for (size_t entry = 0; entry < kEntries; ++entry)
    rig::Record("callers that asked entry " + std::to_string(entry) +
                " at the same time: " + std::to_string(kCallers) +
                ", its connections to the store: " +
                std::to_string(d.Store().Connections(d.StoreOfEntry(entry))));
  if (rig::Trouble()) {
    d.Store().SilenceConnections();
    rig::Record("the open connections to the store go silent, new ones work");
  }
  rig::SleepMs(kContactMs + 500);
  d.WriteConfig(4, 2);
  const int64_t confirmed = rig::NowMs();
  rig::Record("config 4 with a second route is confirmed");
  int64_t refused[kEntries] = {};
  std::vector<std::thread> watches;
  for (size_t entry = 0; entry < kEntries; ++entry)
    watches.emplace_back(
        [&, entry] { refused[entry] = Watch(d, entry, confirmed + kWatchMs); });
  for (std::thread& watch : watches)
    watch.join();
  bool broken = false;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    const int64_t after = refused[entry] == 0 ? 0 : refused[entry] - confirmed;
    rig::Record("entry " + std::to_string(entry) +
                ": the last request for the new route that it answered with "
                "404 was sent ms " +
                std::to_string(after) + " after the confirmation; allowed " +
                std::to_string(kConfigApplyMs));
    broken = broken || after > kConfigApplyMs;
  }
  return broken ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  rig::OpenRecord(argc > 1 ? argv[1] : "record.txt");
  rig::deployment& d = *new rig::deployment(Options());
  rig::Finish(d, Play(d));
}
