// The whole system as real processes.

#include "system.h"

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace cassiaferry::testing {

namespace {

constexpr std::chrono::milliseconds kPoll{20};
constexpr int64_t kCallTimeoutMs = 120'000;
constexpr int kExitTimeoutS = 60;

std::string BinFolder() {
  const std::string folder = ProgramFolder();
  return std::filesystem::exists(folder + "/cassiaferry-local")
             ? folder
             : folder + "/../bin";
}

std::string TemporaryFile() {
  std::string name =
      std::filesystem::temp_directory_path() / "cassiaferry-test-XXXXXX";
  const int fd = mkstemp(name.data());
  if (fd >= 0)
    close(fd);
  return name;
}

}  // namespace

bool IsListening(const std::string& address) {
  http_call call;
  call.url = "http://" + address + "/healthz";
  call.timeout_ms = 1000;
  return FetchOnce(std::move(call)).sent;
}

bool Eventually(const std::function<bool()>& condition, int seconds) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < until) {
    if (condition())
      return true;
    std::this_thread::sleep_for(kPoll);
  }
  return condition();
}

reply Send(const std::string& method,
           const std::string& address,
           const std::string& path,
           const std::string& body,
           const std::vector<std::string>& headers) {
  const http_reply r =
      Fetch(method, address, path, body, headers, kCallTimeoutMs);
  json parsed = json::parse(r.body, nullptr, false);
  return {r.status, parsed.is_discarded() ? json() : parsed, r.body};
}

test_system::test_system(const system_options& options) {
  const std::string file = TemporaryFile();
  std::ofstream(file) << options.settings.dump();
  local_ = StartChild(
      {BinFolder() + "/cassiaferry-local",
       "--entries=" + std::to_string(options.entries),
       "--workers=" + std::to_string(options.workers), "--settings=" + file},
      "");
  std::filesystem::remove(file);
  if (!local_.ready.is_object())
    throw std::runtime_error("cassiaferry-local did not start");
  info = local_.ready;
}

test_system::~test_system() {
  for (const child& c : restarted_) {
    SignalChild(c, SIGCONT);
    SignalChild(c, SIGKILL);
    WaitChild(c, kExitTimeoutS);
  }
  SignalChild(local_, SIGTERM);
  WaitChild(local_, kExitTimeoutS);
}

reply test_system::Job(int entry, const json& job) const {
  return Send("POST", Entry(entry), "/v1/jobs", job.dump());
}

std::future<reply> test_system::JobLater(int entry, const json& job) const {
  return std::async(std::launch::async,
                    [address = Entry(entry), text = job.dump()] {
                      return Send("POST", address, "/v1/jobs", text);
                    });
}

json test_system::Status(int entry) const {
  return Send("GET", Entry(entry), "/v1/status").body;
}

void test_system::Signal(const std::string& role, int i, int signal) const {
  kill(info[role][i]["pid"].get<pid_t>(), signal);
}

child test_system::Restart(const std::string& role, int i) {
  // A process that stops closes its port for callers first; the next one needs
  // all of them. (Behind a proxy the address of its streams is the proxy's.)
  for (const char* port : {"http", "link"}) {
    if (!info.contains("proxy") && info[role][i].contains(port) &&
        !Eventually([&] { return !IsListening(info[role][i][port]); }))
      throw std::runtime_error("the process before has not ended");
  }
  std::vector<std::string> command = info[role][i]["command"];
  const std::string http = info[role][i]["http"];
  command.push_back("--http=" + http);
  if (role == "entries" && !info.contains("proxy"))
    command.push_back("--link=" + info[role][i]["link"].get<std::string>());
  child c = StartChild(command, "");
  if (!c.ready.is_object())
    throw std::runtime_error("a process could not be restarted");
  restarted_.push_back(c);
  info[role][i]["pid"] = c.pid;
  return c;
}

void test_system::Knobs(const json& knobs) const {
  Send("POST", Platform(), "/knobs", knobs.dump());
}

void test_system::Behave(int upstream, const json& behaviour) const {
  Send("POST", Upstream(upstream), "/behave", behaviour.dump());
}

void test_system::Proxy(const std::string& listeners,
                        int i,
                        const json& change) const {
  const json& proxy = info["proxy"];
  const std::string path =
      "/listeners/" + std::to_string(proxy[listeners][i]["id"].get<int>());
  Send("POST", proxy["http"], path, change.dump());
}

int test_system::Starts() const {
  int starts = 0;
  for (size_t i = 0; i < info["upstreams"].size(); ++i) {
    const reply r = Send("GET", Upstream(static_cast<int>(i)), "/stats");
    starts += r.body.is_object() ? r.body["starts"].get<int>() : 0;
  }
  return starts;
}

int test_system::DuplicateStarts() const {
  std::map<std::string, int> starts;
  for (size_t i = 0; i < info["upstreams"].size(); ++i) {
    const reply r = Send("GET", Upstream(static_cast<int>(i)), "/starts");
    if (!r.body.is_object())
      continue;
    for (const auto& [task, count] : r.body.items())
      starts[task] += count.get<int>();
  }
  int duplicates = 0;
  for (const auto& [task, count] : starts)
    duplicates += count - 1;
  return duplicates;
}

int test_system::UpLinks(int entry) const {
  const json status = Status(entry);
  int up = 0;
  if (!status.is_object())
    return 0;
  for (const json& w : status["workers"])
    up += w["link"] == "up" && w["upstream_state"] == "ready";
  return up;
}

json test_system::Config() const {
  const std::string token = info["admin_token"];
  return Send("GET", Entry(0), "/v1/config", "",
              {"Authorization: Bearer " + token})
      .body;
}

reply test_system::PutConfig(int entry, const json& config, int version) const {
  const std::string token = info["admin_token"];
  const json body = {{"config", config}, {"author", "test"}};
  return Send("PUT", Entry(entry), "/v1/config", body.dump(),
              {"Authorization: Bearer " + token,
               "If-Match: " + std::to_string(version)});
}

json MakeJob(int tasks, const std::string& payload, int deadline_ms) {
  json job = {{"team", "lime"},
              {"upstream", "slots"},
              {"deadline_ms", deadline_ms},
              {"tasks", json::array()}};
  for (int i = 0; i < tasks; ++i)
    job["tasks"].push_back({{"payload", payload}});
  return job;
}

}  // namespace cassiaferry::testing
