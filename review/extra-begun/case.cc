// MIXED. The only worker with a label is lost just before jobs for it come.
// Their starts get no answer. The jobs have not begun, and wait for a worker;
// the count of waiting jobs leaves them out for good.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr int kJobs = 12;

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

  step labelled;
  labelled.cpu = 500;
  labelled.estimate_ms = 200;
  labelled.label = "b";
  std::vector<std::string> ids;
  std::vector<std::thread> clients;
  std::atomic<int> accepted{0};
  if (Trouble()) {
    Record("trouble: the worker with label b is lost for good");
    d.sides[7].its_worker->Crash();
  }
  for (int i = 0; i < kJobs; ++i) {
    ids.push_back(NewId());
    clients.emplace_back([&, id = ids.back()] {
      accepted +=
          Submit(entry, id, JobBody("sleep:200", {labelled}, false)).status ==
          200;
    });
    Sleep(0.02);
  }
  for (std::thread& client : clients)
    client.join();
  if (accepted < kJobs)
    throw cannot_run("a job is not accepted");
  return CheckWaiting(d, {&d.entries[0], &d.entries[1]}, ids, 0, 13);
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
