// LOST. A burst makes some durable jobs late. Their only worker is a little
// over half full for long, with room for two of them: they never begin there.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr double kPerSecond = 7;
constexpr double kBurst = 1.8;  // times the traffic ...
constexpr double kBurstSeconds = 4;
constexpr double kFinishSeconds = 14;  // finish_s

int Play() {
  deployment d;
  d.AddEntry();
  d.AddEntry();
  for (int i = 0; i < 8; ++i) {
    worker_options o;
    o.labels = {i == 7 ? "b" : "a"};
    d.AddSide(o);
  }
  d.Start();
  const entry_machine& entry = d.entries[0];

  step lasting;  // three of them: 9,000 of 16,000
  lasting.cpu = 3000;
  lasting.estimate_ms = 100'000;
  lasting.label = "b";
  for (int i = 0; i < 3; ++i)
    SubmitUntilAccepted(entry, NewId(),
                        JobBody("sleep:100000", {lasting}, false));
  WaitFor("the lasting jobs do not start", 10,
          [&] { return d.sides[7].its_worker->Running() == 3; });
  Sleep(1);

  step brief = lasting;
  brief.estimate_ms = 200;
  std::mutex mutex;
  std::vector<std::string> ids;
  std::vector<std::thread> clients;
  const double begin = Now();
  for (double next = begin; next < begin + 12;) {
    const bool in_burst =
        Trouble() && next >= begin + 4 && next < begin + 4 + kBurstSeconds;
    if (in_burst && next - 1 / kPerSecond < begin + 4)
      Record("trouble: a burst, %.1f times the traffic for %.0f s", kBurst,
             kBurstSeconds);
    next += 1 / (in_burst ? kPerSecond * kBurst : kPerSecond);
    const std::string id = NewId();
    clients.emplace_back([&, id] {
      if (Submit(entry, id, JobBody("sleep:200", {brief}, false)).status != 200)
        return;
      const std::lock_guard lock(mutex);
      ids.push_back(id);
    });
    if (next > Now())
      Sleep(next - Now());
  }
  for (std::thread& client : clients)
    client.join();
  Record("end of the traffic");
  Sleep(kFinishSeconds);
  return CheckLost(d, ids, {3000, "b"});
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
