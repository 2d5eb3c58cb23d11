// REFUSED. The store goes down while it carries out a transaction that stores a
// job: the transaction is done, its channel ends without an answer, and from
// then on the store answers 503. No job that was refused may run.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr double kDown = 4.5;  // platform_down, for_s
constexpr double kTraffic = 16;
constexpr double kDownAfter = 5;
constexpr double kJobsPerSecond = 20;
constexpr double kResend = 1.3;
constexpr int kTries = 8;
constexpr double kFinish = 14;
constexpr int kUnavailable = 503;

// Stands before the store for the entries.
class gate {
 public:
  gate(int port, int store_port)
      : store_port_(store_port),
        server_(port, [this](const request& r) { return Handle(r); }) {}
  void GoDown() { armed_ = true; }
  bool WentDown() const { return down_until_ > 0; }

 private:
  response Forward(const request& r) const {
    const std::string target = r.path + (r.query.empty() ? "" : "?" + r.query);
    const reply answer =
        Http(store_port_, r.method, target, r.body, "Host: store\r\n", 40);
    response out;
    out.lost = answer.status == 0;
    out.status = answer.status;
    if (!out.lost)
      out.body = json::parse(answer.body);
    return out;
  }
  static std::string JobIn(const request& r) {
    if (r.path != "/api/rows-tx")
      return "";
    const json body = json::parse(r.body);
    for (const json& set : body.value("setKeys", json::array())) {
      if (set.at("table") == "jobs")
        return set.at("key");
    }
    return "";
  }
  response Handle(const request& r) {
    response unavailable;
    unavailable.status = kUnavailable;
    if (Now() < down_until_)
      return unavailable;
    if (!armed_ || JobIn(r).empty())
      return Forward(r);
    armed_ = false;
    down_until_ = Now() + kDown;
    response out = Forward(r);
    Record("trouble: the store goes down; the transaction with job %s is %s",
           JobIn(r).c_str(), out.status == 200 ? "done" : "not done");
    out.lost = true;
    return out;
  }

  const int store_port_;
  std::atomic<bool> armed_{false};
  std::atomic<double> down_until_{-1};
  server server_;  // last: its threads use the rest
};

struct handed_in {
  std::mutex mutex;
  std::map<std::string, std::vector<int>> answers;  // by job; 0: none
};

// As a client does: again after no answer, 502 or 504, at any entry; a 429 or
// 503 is final.
void HandIn(deployment& d, size_t n, handed_in& all) {
  step s;
  s.count = 2;
  s.cpu = 1600;
  s.estimate_ms = 200;
  const json body = JobBody("sleep:200", {s}, false);
  const std::string id = NewId();
  for (size_t i = 0; i < kTries; ++i, Sleep(kResend)) {
    const int status =
        Submit(d.entries[(n + i) % d.entries.size()], id, body, 5).status;
    const std::lock_guard lock(all.mutex);
    all.answers[id].push_back(status);
    if (status != 0 && status != 502 && status != 504)
      return;
  }
}

int Check(deployment& d, const handed_in& all) {
  int refused = 0;
  int broken = 0;
  for (const auto& [id, answers] : all.answers) {
    if (!std::all_of(answers.begin(), answers.end(), [](int status) {
          return status == 429 || status == kUnavailable;
        }))
      continue;
    ++refused;
    const std::vector<run_record> runs = d.history.Of(id);
    if (runs.empty())
      continue;
    ++broken;
    Record("check: %s was refused with %d, and %s began at %.3f", id.c_str(),
           answers.back(), runs.front().task.c_str(), runs.front().began);
  }
  Record("check: %zu jobs, %d refused, %d of these were started",
         all.answers.size(), refused, broken);
  std::printf("%zu jobs, %d refused, %d of these were started\n",
              all.answers.size(), refused, broken);
  return broken > 0 ? kBroken : kHeld;
}

// The entries with the gate in the place of the store.
void StartEntries(deployment& d, int gate_port) {
  for (entry_machine& e : d.entries) {
    const std::string file = d.folder_ + "/" + e.name + ".json";
    std::ofstream(file) << FillIn(
        ReadText("deploy/entry.json.tmpl"),
        {{"node", e.name},
         {"zone", "zone-a"},
         {"ip", "127.0.0.1"},
         {"platform.addr", Loopback(gate_port)},
         {"bounds.holdMaxMs", "1000"},
         {"bounds.resendMs", "1300"},
         {"bounds.graceS", "6"},
         {"limits.linkMbps", "1000.0"},
         {"listen.front", Loopback(e.front)},
         {"listen.readyAddr", Loopback(e.ready)},
         {"internalPorts.0", std::to_string(e.link)},
         {"internalPorts.1", std::to_string(e.http)}});
    e.running = std::make_unique<process>(
        std::vector<std::string>{"target/bin/cassiaferry-entry", "--settings",
                                 file},
        d.folder_ + "/" + e.name + ".log");
  }
}

int Play() {
  deployment d;
  for (int i = 0; i < 3; ++i)
    d.AddEntry();
  const int store_port = FreePort();
  d.platform->AddFront("operator", store_port);
  const int gate_port = FreePort();
  gate before_store(gate_port, store_port);
  StartEntries(d, gate_port);
  for (int i = 0; i < 2; ++i) {
    worker_options o;
    d.AddSide(o);
    d.StartSide(d.sides.back());
    d.StartWorker(d.sides.back(), "i-" + std::to_string(i + 1));
  }
  for (entry_machine& e : d.entries)
    WaitFor("an entry does not get ready", 20, [&] {
      return Http(e.ready, "GET", "/api/ready", "", "Host: x\r\n", 1).status ==
             200;
    });
  Sleep(4);
  handed_in all;
  std::vector<std::thread> threads;
  const double began = Now();
  bool down = !Trouble();
  for (size_t n = 0; Now() < began + kTraffic; ++n) {
    if (!down && Now() > began + kDownAfter) {
      down = true;
      before_store.GoDown();
    }
    threads.emplace_back([&, n] { HandIn(d, n, all); });
    Sleep(std::max(
        0.0, began + static_cast<double>(n + 1) / kJobsPerSecond - Now()));
  }
  for (std::thread& t : threads)
    t.join();
  if (Trouble() && !before_store.WentDown())
    throw cannot_run("the store didn't go down");
  Sleep(kFinish);
  const int code = Check(d, all);
  // Before the gate, which they use.
  for (entry_machine& e : d.entries)
    e.running.reset();
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
