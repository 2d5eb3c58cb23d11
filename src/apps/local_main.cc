// cassiaferry-local: the whole system on loopback, for demos and tests.
//
// Starts the stand-in platform, entries, sidecars and stand-in upstreams,
// prints one line of JSON once all serve, and ends all on SIGINT or SIGTERM.
//
// Contents
//   [1] Settings
//   [2] Starting
//   [3] Waiting until all serve
//   [4] Main

#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "../net/http_client.h"
#include "app.h"
#include "child.h"

DEFINE_int32(entries, 3, "entries to start");
DEFINE_int32(workers,
             10,
             "workers to start: a sidecar and a stand-in upstream each");
DEFINE_string(settings,
              "",
              "settings file (JSON): config, slots, failure_domains, "
              "link_proxy, upstream_proxy");
DEFINE_int32(base_port, 0, "first of consecutive ports; 0: free ones");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr char kLoopback[] = "127.0.0.1:";
constexpr int kMaxProcesses = 200;
constexpr int kStopSeconds = 20;
constexpr std::chrono::milliseconds kPoll{50};
constexpr int kReadyPolls = 600;

// ---- [1] Settings -----------------------------------------------------------

const std::vector<field_rule> kRules = {
    {"config", field_kind::object},
    {"slots", field_kind::integer, 1, 1000},
    {"cores", field_kind::integer, 1, 1000},
    {"memory_mb", field_kind::integer, 1, 1e8},
    {"failure_domains", field_kind::array, 1, 64},
    {"link_proxy", field_kind::boolean},
    {"upstream_proxy", field_kind::boolean},
    {"entry", field_kind::object},
    {"sidecar", field_kind::object},
};

json DefaultConfig() {
  return {{"teams", {{"lime", json::object()}}},
          {"upstreams", {{"slots", json::object()}}},
          {"policies", {{"default", {{"kind", "slot_offer"}}}}},
          {"default_policy", "default"}};
}

class local_system {
 public:
  explicit local_system(json settings) : settings_(std::move(settings)) {}

  void Start();
  void End();
  json Describe() const;

 private:
  std::string Address();
  child StartProgram(const std::string& name,
                     const std::string& label,
                     std::vector<std::string> flags);
  std::string WriteSettings(const std::string& label, const json& settings);
  json AddListener();
  void SetTarget(const json& listener, const std::string& target);
  std::string Domain(int index) const;

  void StartPlatform();
  void StartProxy();
  void StartEntry(int index);
  void StartWorker(int index);
  void Configure();
  void WaitUntilServing();

  json settings_;
  int next_port_ = FLAGS_base_port;
  std::string folder_;
  std::string token_ = "local-" + ToHex(RandomSeed());
  child platform_;
  child proxy_;
  std::vector<child> entries_;
  std::vector<child> sidecars_;
  std::vector<child> upstreams_;
  json link_listeners_ = json::array();
  json upstream_listeners_ = json::array();
};

// ---- [2] Starting -----------------------------------------------------------

std::string local_system::Address() {
  return kLoopback + std::to_string(next_port_ == 0 ? 0 : next_port_++);
}

std::string local_system::Domain(int index) const {
  const json domains =
      settings_.value("failure_domains", json{"a", "b", "c", "d"});
  return domains[index % domains.size()];
}

std::string local_system::WriteSettings(const std::string& label,
                                        const json& settings) {
  std::string file = folder_ + "/" + label + ".json";
  std::ofstream(file) << settings.dump(2) << "\n";
  return file;
}

child local_system::StartProgram(const std::string& name,
                                 const std::string& label,
                                 std::vector<std::string> flags) {
  flags.insert(flags.begin(), ProgramFolder() + "/" + name);
  child c = StartChild(std::move(flags), folder_ + "/" + label + ".log");
  if (!c.ready.is_object()) {
    End();
    Die(kExitFailed, "local: " + name + " did not start; see " + folder_ + "/" +
                         label + ".log");
  }
  return c;
}

void local_system::StartPlatform() {
  platform_ = StartProgram("cassiaferry-platform-standin", "platform",
                           {"--http=" + Address()});
}

void local_system::StartProxy() {
  if (settings_.value("link_proxy", false) ||
      settings_.value("upstream_proxy", false))
    proxy_ = StartProgram("cassiaferry-proxy-standin", "proxy",
                          {"--http=" + Address()});
}

json local_system::AddListener() {
  return json::parse(
      Fetch("POST", proxy_.ready["http"], "/listeners", "{}").body);
}

void local_system::SetTarget(const json& listener, const std::string& target) {
  const std::string path =
      "/listeners/" + std::to_string(listener["id"].get<int>());
  Fetch("POST", proxy_.ready["http"], path, json{{"target", target}}.dump());
}

void local_system::StartEntry(int index) {
  const std::string label = "entry-" + std::to_string(index);
  json s = settings_.value("entry", json::object());
  s["name"] = label;
  s["failure_domain"] = Domain(index);
  s["http"] = Address();
  s["link"] = Address();
  s["platform"] = platform_.ready["http"];
  s["admin_token"] = token_;
  s["peers"] = json::array();
  for (const child& other : entries_)
    s["peers"].push_back(other.ready["http"]);
  json listener;
  if (settings_.value("link_proxy", false)) {
    listener = AddListener();
    s["advertise_link"] = listener["address"];
  }
  entries_.push_back(StartProgram("cassiaferry-entry", label,
                                  {"--settings=" + WriteSettings(label, s)}));
  if (!listener.is_null()) {
    SetTarget(listener, entries_.back().ready["link"]);
    entries_.back().ready["link"] = listener["address"];
    link_listeners_.push_back(listener);
  }
}

void local_system::StartWorker(int index) {
  const std::string number = std::to_string(index);
  json s = settings_.value("sidecar", json::object());
  s["name"] = "sidecar-" + number;
  s["failure_domain"] = Domain(index);
  s["http"] = Address();
  s["seeds"] = json::array();
  for (const child& entry : entries_)
    s["seeds"].push_back(entry.ready["link"]);
  const std::string label = "sidecar-" + number;
  sidecars_.push_back(StartProgram("cassiaferry-sidecar", label,
                                   {"--settings=" + WriteSettings(label, s)}));
  std::vector<std::string> flags = {
      "--http=" + Address(),
      "--sidecar=" + sidecars_.back().ready["http"].get<std::string>(),
      "--slots=" + std::to_string(settings_.value("slots", 8)),
      "--cores=" + std::to_string(settings_.value("cores", 30)),
      "--memory_mb=" + std::to_string(settings_.value("memory_mb", 130'000))};
  json listener;
  if (settings_.value("upstream_proxy", false)) {
    listener = AddListener();
    flags.push_back("--advertise=" + listener["address"].get<std::string>());
  }
  upstreams_.push_back(StartProgram("cassiaferry-upstream-standin",
                                    "upstream-" + number, std::move(flags)));
  if (!listener.is_null()) {
    SetTarget(listener, upstreams_.back().ready["http"]);
    upstream_listeners_.push_back(listener);
  }
}

void local_system::Configure() {
  http_call call;
  call.method = "PUT";
  call.url =
      "http://" + entries_[0].ready["http"].get<std::string>() + "/v1/config";
  call.headers = {"Authorization: Bearer " + token_, "If-Match: 0"};
  call.body = json{{"config", settings_.value("config", DefaultConfig())},
                   {"author", "cassiaferry-local"}}
                  .dump();
  const http_reply reply = FetchOnce(call);
  if (reply.status != 200) {
    End();
    Die(kExitBadInput,
        "local: the configuration was refused: " + reply.body + reply.error);
  }
}

void local_system::Start() {
  std::string name =
      std::filesystem::temp_directory_path() / "cassiaferry-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    Die(kExitFailed, "local: can't make a folder for settings and logs");
  folder_ = name;
  StartPlatform();
  StartProxy();
  for (int i = 0; i < FLAGS_entries; ++i)
    StartEntry(i);
  Configure();
  for (int i = 0; i < FLAGS_workers; ++i)
    StartWorker(i);
  WaitUntilServing();
}

// ---- [3] Waiting until all serve --------------------------------------------

bool IsServing(const std::string& http, int workers) {
  const json status =
      json::parse(Fetch("GET", http, "/v1/status").body, nullptr, false);
  if (!status.is_object() || !status.value("ready", false))
    return false;
  int ready = 0;
  for (const json& w : status["workers"])
    ready += w["link"] == "up" && w["upstream_state"] == "ready";
  return ready >= workers;
}

void local_system::WaitUntilServing() {
  for (const child& entry : entries_) {
    int polls = 0;
    while (!IsServing(entry.ready["http"], FLAGS_workers)) {
      if (++polls > kReadyPolls) {
        End();
        Die(kExitFailed, "local: not all was serving in time; see " + folder_);
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
}

json Row(const child& c) {
  return {{"http", c.ready["http"]}, {"pid", c.pid}, {"command", c.command}};
}

json local_system::Describe() const {
  json j = {{"entries", json::array()},
            {"sidecars", json::array()},
            {"upstreams", json::array()}};
  for (const child& c : entries_) {
    j["entries"].push_back(Row(c));
    j["entries"].back()["link"] = c.ready["link"];
  }
  for (const child& c : sidecars_)
    j["sidecars"].push_back(Row(c));
  for (const child& c : upstreams_)
    j["upstreams"].push_back(Row(c));
  j["platform"] = Row(platform_);
  j["admin_token"] = token_;
  j["folder"] = folder_;
  if (proxy_.pid > 0) {
    j["proxy"] = Row(proxy_);
    j["proxy"]["link_listeners"] = link_listeners_;
    j["proxy"]["upstream_listeners"] = upstream_listeners_;
  }
  return j;
}

void EndAll(const std::vector<child>& children) {
  for (const child& c : children) {
    SignalChild(c, SIGCONT);
    SignalChild(c, SIGTERM);
  }
  for (const child& c : children)
    WaitChild(c, kStopSeconds);
}

// Callers first, so that nothing is cut on the way down.
void local_system::End() {
  EndAll(entries_);
  EndAll(sidecars_);
  EndAll(upstreams_);
  EndAll({proxy_, platform_});
  std::error_code ignored;
  if (getenv("CASSIAFERRY_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder_, ignored);
}

// ---- [4] Main ---------------------------------------------------------------

json ReadLocalSettings() {
  if (FLAGS_entries < 1 || FLAGS_workers < 0)
    Die(kExitBadInput,
        "local: --entries must be at least 1, --workers at least 0");
  if (FLAGS_entries + 2 * FLAGS_workers > kMaxProcesses)
    Die(kExitBadInput,
        "local: at most " + std::to_string(kMaxProcesses) + " processes");
  return FLAGS_settings.empty() ? json::object()
                                : ReadSettings(FLAGS_settings, kRules);
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp(
      "cassiaferry-local --entries 3 --workers 10\nThe whole system on "
      "loopback, for demos and tests.",
      &argc, &argv);
  local_system system(ReadLocalSettings());
  HandleSignals("local: ");
  std::mutex mutex;
  std::condition_variable wake;
  bool stop = false;
  OnStop([&] {
    const std::lock_guard lock(mutex);
    stop = true;
    wake.notify_one();
  });
  system.Start();
  PrintReady(system.Describe());
  std::unique_lock lock(mutex);
  wake.wait(lock, [&] { return stop; });
  system.End();
  return kExitOk;
}
