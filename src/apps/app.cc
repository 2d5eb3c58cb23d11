// What every binary shares.

#include "app.h"

#include <absl/synchronization/mutex.h>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace cassiaferry {

void InitApp(const char* usage, int* argc, char*** argv) {
  FLAGS_logtostderr = true;
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(kVersion);
  gflags::ParseCommandLineFlags(argc, argv, true);
  google::InitGoogleLogging((*argv)[0]);
  signal(SIGPIPE, SIG_IGN);
  // The library's search for lock cycles is on in the distribution's build, and
  // takes a tenth of an idle entry's processor (sampled with 61 sidecars).
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

void Die(exit_code code, const std::string& sentence) {
  std::cerr << sentence << std::endl;
  _exit(code);
}

std::string ReadFile(const std::string& path, std::string& error) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    error = "can't be read; does it exist?";
    return "";
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

nlohmann::json ReReadSettings(const std::string& file,
                              const std::vector<field_rule>& rules,
                              std::string& error) {
  nlohmann::json settings;
  const std::string text = ReadFile(file, error);
  if (!error.empty()) {
    error = file + ": " + error;
    return nullptr;
  }
  if (!ParseJson(text, settings, error)) {
    error = file + ": not JSON: " + error;
    return nullptr;
  }
  std::vector<config_error> errors;
  CheckObject(settings, rules, "", errors);
  for (const config_error& e : errors)
    error +=
        (error.empty() ? "" : "\n") + file + ": " + e.path + ": " + e.message;
  return errors.empty() ? settings : nlohmann::json();
}

nlohmann::json ReadSettings(const std::string& file,
                            const std::vector<field_rule>& rules) {
  if (file.empty())
    Die(kExitBadInput, "--settings FILE is needed; see --help");
  std::string error;
  nlohmann::json settings = ReReadSettings(file, rules, error);
  if (!error.empty())
    Die(kExitBadInput, error);
  return settings;
}

namespace {

constexpr timespec kSettingsLook{2, 0};

// Content of the settings file when it was last read.
struct watched_file {
  std::string name;
  std::string content;
};

// The first signal may come before the process knows how to drain.
struct stop_state {
  std::mutex mutex;
  bool signalled = false;
  std::function<void()> stop;
  std::function<void()> reload;
  watched_file settings;
};

stop_state& StopState() {
  static stop_state state;
  return state;
}

void Signalled() {
  const std::lock_guard lock(StopState().mutex);
  StopState().signalled = true;
  if (StopState().stop)
    StopState().stop();
}

// Under the lock, so that what it calls lives until OnReload replaces it.
void Reload() {
  const std::lock_guard lock(StopState().mutex);
  if (StopState().reload)
    StopState().reload();
}

// False also where the file can't be read.
bool SettingsChanged() {
  const std::lock_guard lock(StopState().mutex);
  watched_file& settings = StopState().settings;
  if (settings.name.empty())
    return false;
  std::string error;
  std::string content = ReadFile(settings.name, error);
  if (!error.empty() || content == settings.content)
    return false;
  settings.content = std::move(content);
  return true;
}

// The next signal that asks for the end; others are dealt with on the way.
int WaitForStop(const sigset_t& set) {
  for (;;) {
    const int number = sigtimedwait(&set, nullptr, &kSettingsLook);
    if (number == SIGTERM || number == SIGINT)
      return number;
    if (number == SIGHUP || SettingsChanged())
      Reload();
  }
}

}  // namespace

void HandleSignals(const char* prefix) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::thread([set, prefix] {
    LOG(INFO) << prefix << "stopping, on signal " << WaitForStop(set);
    Signalled();
    WaitForStop(set);
    Die(kExitForced,
        std::string(prefix) + "stopped at once, on a second signal");
  }).detach();
}

void OnReload(std::string file, std::function<void()> reload) {
  std::string error;
  std::string content = ReadFile(file, error);
  const std::lock_guard lock(StopState().mutex);
  StopState().reload = std::move(reload);
  StopState().settings = {std::move(file), std::move(content)};
}

void OnStop(std::function<void()> stop) {
  const std::lock_guard lock(StopState().mutex);
  StopState().stop = std::move(stop);
  if (StopState().signalled)
    StopState().stop();
}

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

intake_options IntakeFor(size_t memory_mb,
                         size_t max_body_bytes,
                         size_t max_connections) {
  // Each of the two kinds of bytes has this part of the memory.
  constexpr size_t kParts = 12;
  intake_options o;
  o.max_connections = max_connections;
  o.max_receiving_bytes =
      std::max((memory_mb << 20) / kParts, 2 * max_body_bytes);
  o.max_unread_bytes = o.max_receiving_bytes;
  return o;
}

size_t ConnectionsWithin(size_t wanted, size_t parts) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return wanted;
  // Connections that are accepted before those in their place have closed.
  constexpr size_t kAccepting = 128;
  const size_t left =
      limit.rlim_cur - std::min<rlim_t>(limit.rlim_cur, kAccepting);
  const size_t most = std::max<size_t>(1, left / parts);
  if (most < wanted)
    LOG(WARNING) << "at most " << most << " connections instead of " << wanted
                 << ", as " << limit.rlim_cur << " descriptors may be open";
  return std::min(wanted, most);
}

std::string StartOrDie(http_server& server, const char* prefix) {
  std::string error;
  std::string address = server.Start(error);
  if (address.empty())
    Die(kExitCantListen, prefix + error);
  return address;
}

void PrintReady(const nlohmann::json& line) {
  std::cout << line.dump() << std::endl;
}

}  // namespace cassiaferry
