// MIXED. One of eight entries is lost for good and replaced. The others, which
// nothing disturbs, are asked how many jobs wait.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr double kVisible = 3;  // visible_ms
constexpr double kReplacedAfter = 2;
constexpr double kAsked = 12;
constexpr int kAtLost = 40;
constexpr int kAtOthers = 1;
constexpr int kEntries = 8;

int Play() {
  deployment d;
  for (int i = 0; i < kEntries; ++i)
    d.AddEntry();
  for (int i = 0; i < 2; ++i) {
    worker_options o;
    o.cpu = 4000;
    d.AddSide(o);
  }
  d.Start();
  step s;
  s.cpu = 2000;
  s.estimate_ms = 4000;
  const json body = JobBody("sleep:4000", {s}, false);
  std::vector<std::string> ids;
  for (int i = 0; i < kEntries; ++i) {
    for (int k = 0; k < (i == 0 ? kAtLost : kAtOthers); ++k) {
      ids.push_back(NewId());
      SubmitUntilAccepted(d.entries[static_cast<size_t>(i)], ids.back(), body);
    }
  }
  const double accepted = Now();
  Sleep(kVisible + 2 + 2);
  std::vector<const entry_machine*> others;
  for (const entry_machine& e : d.entries) {
    if (&e != &d.entries[0])
      others.push_back(&e);
  }
  if (Trouble()) {
    Record("trouble: edge-1 is lost for good");
    d.entries[0].running->End(SIGKILL);
  }
  int code = kHeld;
  std::thread asks(
      [&] { code = CheckWaiting(d, others, ids, Now() - accepted, kAsked); });
  Sleep(kReplacedAfter);
  if (Trouble()) {
    d.AddEntry();
    d.StartEntry(d.entries.back());
    Record("edge-9 starts in its place");
  }
  asks.join();
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
