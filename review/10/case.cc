// LOST. One durable job has so many tasks that its progress row outgrows
// rowBytes. The store refuses it, and the entry sends it again for good, before
// all its other writes: no accepted job comes to its end any more, at the next
// owner neither.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr int kOrdinaryJobs = 20;
constexpr int kTasks = 14'000;
constexpr double kFinishSeconds = 14;  // finish_s

int Play() {
  deployment d;
  d.AddEntry();
  d.AddEntry();
  for (int i = 0; i < 8; ++i)
    d.AddSide({});
  d.Start();

  step first;
  first.cpu = 1000;
  first.estimate_ms = 8000;
  step second = first;
  second.after = {0};
  std::vector<std::string> ids;
  for (int i = 0; i < kOrdinaryJobs; ++i) {
    ids.push_back(NewId());
    SubmitUntilAccepted(d.entries[static_cast<size_t>(i) % 2], ids.back(),
                        JobBody("sleep:8000", {first, second}, false));
  }
  if (Trouble()) {
    Record("trouble: a job with %d tasks comes", kTasks);
    step many;
    many.count = kTasks;
    many.cpu = 400;
    many.mem_mb = 16;
    many.estimate_ms = 20;
    SubmitUntilAccepted(d.entries[0], NewId(),
                        JobBody("sleep:20", {many}, false));
  }
  Record("end of the traffic");
  // Twice finish_s: the ordinary jobs take 16 s, as long as nothing is lost.
  Sleep(2 * kFinishSeconds);
  Record("rows refused for their size: %llu",
         static_cast<unsigned long long>(d.platform->too_large));
  return CheckLost(d, ids, {1000, ""});
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
