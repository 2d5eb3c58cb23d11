// What every binary shares.

#include "app.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

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

nlohmann::json ReadSettings(const std::string& file,
                            const std::vector<field_rule>& rules) {
  if (file.empty())
    Die(kExitBadInput, "--settings FILE is needed; see --help");
  std::string error;
  const std::string text = ReadFile(file, error);
  if (!error.empty())
    Die(kExitBadInput, file + ": " + error);
  nlohmann::json settings;
  if (!ParseJson(text, settings, error))
    Die(kExitBadInput, file + ": not JSON: " + error);
  std::vector<config_error> errors;
  CheckObject(settings, rules, "", errors);
  std::string sentences;
  for (const config_error& e : errors)
    sentences += (sentences.empty() ? "" : "\n") + file + ": " + e.path + ": " +
                 e.message;
  if (!errors.empty())
    Die(kExitBadInput, sentences);
  return settings;
}

namespace {

// The first signal may come before the process knows how to drain.
struct stop_state {
  std::mutex mutex;
  bool signalled = false;
  std::function<void()> stop;
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

}  // namespace

void HandleSignals(const char* prefix) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::thread([set, prefix] {
    int number = 0;
    sigwait(&set, &number);
    LOG(INFO) << prefix << "stopping, on signal " << number;
    Signalled();
    sigwait(&set, &number);
    Die(kExitForced,
        std::string(prefix) + "stopped at once, on a second signal");
  }).detach();
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
