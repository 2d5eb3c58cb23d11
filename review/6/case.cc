// LOST. One of twenty jobs can never be done: each of its tasks fails. From
// then on its entry starts one task at a time on each worker, whatever room
// there is, until several tasks have ended well on that worker.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr int kMessages = 40;   // of the class, in ...
constexpr double kSeconds = 3;  // ... so long
constexpr int kPoison = 2;      // of these: a share of 0.05
constexpr int kWidth = 32;      // the class's largest
constexpr int kLongJobs = 60;
constexpr double kFinishSeconds = 14;  // finish_s

int Play() {
  deployment d;
  d.AddEntry();
  d.AddEntry();
  for (int i = 0; i < 8; ++i)
    d.AddSide({});
  d.Start();
  const entry_machine& entry = d.entries[0];

  step brief;
  brief.cpu = 1600;
  brief.estimate_ms = 60;
  brief.count = 8;
  for (int i = 0; i < kMessages - kPoison; ++i) {
    SubmitUntilAccepted(entry, NewId(), JobBody("sleep:60", {brief}, false));
    Sleep(kSeconds / kMessages);
  }
  brief.count = kWidth;
  const std::string spec = Trouble() ? "sleep:60 fail" : "sleep:60";
  if (Trouble())
    Record("trouble: %d jobs come that can never be done", kPoison);
  for (int i = 0; i < kPoison; ++i) {
    const std::string id = NewId();
    SubmitUntilAccepted(entry, id, JobBody(spec, {brief}, false));
    WaitFor("a job does not end", 20, [&] {
      const std::string state = StateOf(d, id);
      return state == "failed" || state == "completed";
    });
    Record("%s is %s", id.c_str(), StateOf(d, id).c_str());
  }

  step lasting;
  lasting.cpu = 1000;
  lasting.estimate_ms = 10'000;
  std::vector<std::string> ids;
  for (int i = 0; i < kLongJobs; ++i) {
    ids.push_back(NewId());
    SubmitUntilAccepted(entry, ids.back(),
                        JobBody("sleep:10000", {lasting}, false));
  }
  Record("end of the traffic");
  Sleep(kFinishSeconds);
  return CheckLost(d, ids, {1000, ""});
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
