// A small deployment for the cases of the review.
//
// Contents
//   [1] Helpers
//   [2] Processes
//   [3] Start
//   [4] Calls

#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "../../src/net/control_loop.h"

namespace cassiaferry::review {

namespace {

// ---- [1] Helpers ------------------------------------------------------------

constexpr int64_t kReadyTimeoutMs = 20'000;
constexpr int64_t kPollMs = 10;
constexpr int64_t kClientWaitMs = 5000;
// Of the site kalkcels-sched.
constexpr const char* kHoldMaxMs = "1000";
constexpr const char* kResendMs = "1300";
constexpr const char* kGraceS = "6";
constexpr const char* kLinkMbps = "1000.0";
constexpr int64_t kStoreAnswerMs = 4;

std::string ReadText(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw std::runtime_error("can't read " + file);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

bool IsFree(int port) {
  const int s = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free =
      bind(s, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(s);
  return is_free;
}

// A free port below the ephemeral range, so that a process finds it free again
// when it is restarted.
std::string FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  constexpr int kPortsPerCase = 101;
  static int next = getpid() * kPortsPerCase % kCount;
  for (;;) {
    const int port = kFirst + next++ % kCount;
    if (IsFree(port))
      return std::to_string(port);
  }
}

std::string Base64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    const size_t bytes = std::min<size_t>(3, text.size() - i);
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 | (k < bytes ? static_cast<uint8_t>(text[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out += k <= bytes ? kDigits[group >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

}  // namespace

record::record(const std::string& file) : out_(file), began_(Now()) {}

void record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << ToMillis(Now() - began_) << " ms  " << line << std::endl;
}

json Job(int tasks, int cpu, int64_t run_ms) {
  return {{"spec", "sleep:" + std::to_string(run_ms)},
          {"steps",
           {{{"count", tasks},
             {"cpu", cpu},
             {"memMb", 64},
             {"estimateMs", run_ms}}}}};
}

std::string JobId(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

void Sleep(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int64_t NowMs() {
  return ToMillis(Now());
}

// ---- [2] Processes ----------------------------------------------------------

namespace {

// Standard output and error go to the log. The child ends with this process.
pid_t Spawn(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0)
    return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

json FindReadyLine(const std::string& log, pid_t pid) {
  std::ifstream in(log);
  for (std::string line; std::getline(in, line);) {
    json parsed = json::parse(line, nullptr, false);
    if (parsed.is_object() && parsed.value("pid", pid_t{0}) == pid)
      return parsed;
  }
  return nullptr;
}

}  // namespace

void deployment::Start(process& p) {
  p.log = folder_ + "/" + p.name + ".log";
  p.pid = Spawn(p.command, p.log);
  const int64_t until = NowMs() + kReadyTimeoutMs;
  do {
    Sleep(kPollMs);
    p.ready = FindReadyLine(p.log, p.pid);
  } while (p.ready.is_null() && NowMs() < until);
  if (p.ready.is_null())
    throw std::runtime_error(p.name + " did not start");
  record_.Add("started " + p.name);
}

void deployment::Signal(const process& p, int signal) {
  if (p.pid > 0)
    kill(p.pid, signal);
}

bool deployment::WaitForEnd(process& p, int64_t grace_ms) {
  const int64_t until = NowMs() + grace_ms;
  while (NowMs() < until) {
    if (waitpid(p.pid, nullptr, WNOHANG) == p.pid) {
      p.pid = 0;
      return true;
    }
    Sleep(kPollMs);
  }
  Signal(p, SIGCONT);
  Signal(p, SIGKILL);
  waitpid(p.pid, nullptr, 0);
  p.pid = 0;
  return false;
}

void deployment::Restart(process& p) {
  Start(p);
}

// ---- [3] Start --------------------------------------------------------------

std::string deployment::Render(
    const std::string& file,
    const std::map<std::string, std::string>& values) {
  std::string text = ReadText(file);
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder))
      text.replace(at, placeholder.size(), value);
  }
  if (text.find("{{") != std::string::npos)
    throw std::runtime_error(file + ": a placeholder is left");
  return text;
}

std::string deployment::WriteSettings(const std::string& name,
                                      const std::string& text) {
  std::string file = folder_ + "/" + name + ".json";
  std::ofstream(file) << text;
  return file;
}

void deployment::StartWorker(size_t i, const std::string& label) {
  const std::string number = std::to_string(i);
  process worker;
  worker.name = "worker-" + number;
  worker.command = {"target/review/bin/cassiaferry-review-worker",
                    "--http=127.0.0.1:" + FreePort(),
                    "--cpu=" + std::to_string(kWorkerCpu), "--label=" + label};
  Start(worker);
  process sidecar;
  sidecar.name = "side-" + number;
  const std::string text =
      Render("deploy/sidecar.json.tmpl",
             {{"node", sidecar.name},
              {"zone", "a"},
              {"listen.control", "127.0.0.1:" + FreePort()},
              {"app", worker.ready["http"]},
              {"platform.addr", store.ready["http"]},
              {"bounds.holdMaxMs", kHoldMaxMs},
              {"bounds.resendMs", kResendMs},
              {"bounds.graceS", kGraceS}});
  sidecar.command = {"target/bin/cassiaferry-sidecar", "--settings",
                     WriteSettings(sidecar.name, text)};
  Start(sidecar);
  workers.push_back(std::move(worker));
  sidecars.push_back(std::move(sidecar));
  newest_runs_.push_back(json::object());
  SetWorker(i, {{"sidecar", sidecars.back().ready["http"]}});
}

void deployment::StartEntry(size_t i) {
  process entry;
  entry.name = "edge-" + std::to_string(i);
  const std::string text =
      Render("deploy/entry.json.tmpl",
             {{"node", entry.name},
              {"zone", "a"},
              {"ip", "127.0.0.1"},
              {"internalPorts.0", FreePort()},
              {"internalPorts.1", FreePort()},
              {"listen.front", "127.0.0.1:" + FreePort()},
              {"listen.readyAddr", "127.0.0.1:" + FreePort()},
              {"platform.addr", store.ready["http"]},
              {"bounds.holdMaxMs", kHoldMaxMs},
              {"bounds.resendMs", kResendMs},
              {"bounds.graceS", kGraceS},
              {"limits.linkMbps", kLinkMbps}});
  entry.command = {"target/bin/cassiaferry-entry", "--settings",
                   WriteSettings(entry.name, text)};
  Start(entry);
  entries.push_back(std::move(entry));
}

void deployment::Configure(int max_attempts) {
  const json config = {{"version", 1},
                       {"routes",
                        {{{"name", "bookings"},
                          {"host", "bookings.example"},
                          {"pathPrefix", "/b/"},
                          {"service", "slots"},
                          {"priority", 0},
                          {"maxAttempts", max_attempts},
                          {"stretch", 1.6},
                          {"targetLatencyMs", 60}}}},
                       {"services", {{{"name", "slots"}}}}};
  const json put = {{"setKeys",
                     {{{"table", "op"},
                       {"part", ""},
                       {"key", "config"},
                       {"value", Base64(config.dump())}}}}};
  if (Fetch("POST", store.ready["http"], "/api/rows-tx", put.dump()).status !=
      200)
    throw std::runtime_error("the store took no configuration");
}

deployment::deployment(const deployment_options& options, record& log)
    : record_(log) {
  std::string folder =
      std::filesystem::temp_directory_path() / "cassiaferry-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  folder_ = folder;
  store.name = "store";
  store.command = {"target/review/bin/cassiaferry-platform-store-standin",
                   "--http=127.0.0.1:" + FreePort()};
  Start(store);
  Configure(options.max_attempts);
  SetStore({{"slow_ms", kStoreAnswerMs}});
  for (int i = 0; i < options.workers; ++i)
    StartWorker(static_cast<size_t>(i),
                i == 0 && options.first_worker_is_other ? "b" : "a");
  for (int i = 0; i < options.entries; ++i)
    StartEntry(static_cast<size_t>(i));
  constexpr int64_t kStreamsMs = 3000;  // sidecars dial the entries
  for (const process& entry : entries) {
    while (!IsReady(entry))
      Sleep(kPollMs);
  }
  Sleep(kStreamsMs);
}

deployment::~deployment() {
  client_.Stop();
  std::vector<process*> all = {&store};
  for (std::vector<process>* group : {&workers, &sidecars, &entries}) {
    for (process& p : *group)
      all.push_back(&p);
  }
  for (process* p : all) {
    Signal(*p, SIGCONT);
    Signal(*p, SIGKILL);
  }
  for (process* p : all) {
    if (p->pid > 0)
      waitpid(p->pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// ---- [4] Calls --------------------------------------------------------------

bool deployment::IsReady(const process& entry) {
  constexpr int64_t kProbeTimeoutMs = 1000;
  return Fetch("GET", entry.ready["ready"], "/api/ready", "", {},
               kProbeTimeoutMs)
             .status == 200;
}

void deployment::Send(size_t entry,
                      const std::string& method,
                      const std::string& id,
                      const json& body,
                      const answer_callback& on_answer) {
  http_call call;
  call.method = method;
  call.url = "http://" + entries[entry].ready["callers"].get<std::string>() +
             "/b/" + id;
  call.headers = {
      "Host: bookings.example", "Content-Type: application/json",
      "X-Cassiaferry-Deadline-Ms: " + std::to_string(kClientWaitMs)};
  call.body = body.is_null() ? "" : body.dump();
  call.timeout_ms = kClientWaitMs;
  const std::string what = method + " " + id + " at " + entries[entry].name;
  record_.Add("send " + what +
              (body.is_null() ? "" : " " + body["spec"].get<std::string>()));
  client_.Start(std::move(call), [this, what, on_answer](const http_reply& r) {
    record_.Add("answer " + what + ": " +
                (r.answered ? std::to_string(r.status) + " " + r.body
                            : "none, " + r.error));
    json parsed = json::parse(r.body, nullptr, false);
    on_answer(r.answered ? r.status : 0, parsed.is_object() ? parsed : json());
  });
}

int deployment::Call(size_t entry,
                     const std::string& method,
                     const std::string& id,
                     json& body) {
  const http_reply r =
      Fetch(method, entries[entry].ready["callers"], "/b/" + id, "",
            {"Host: bookings.example"}, kClientWaitMs);
  json parsed = json::parse(r.body, nullptr, false);
  body = parsed.is_object() ? parsed : json::object();
  return r.answered ? r.status : 0;
}

void deployment::SetStore(const json& knobs) {
  record_.Add("store: " + knobs.dump());
  Fetch("POST", store.ready["http"], "/knobs", knobs.dump());
}

void deployment::SetWorker(size_t worker, const json& behaviour) {
  record_.Add(workers[worker].name + ": " + behaviour.dump());
  Fetch("POST", workers[worker].ready["http"], "/behave", behaviour.dump());
}

std::vector<worker_run> deployment::Runs() {
  std::vector<worker_run> runs;
  for (size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].pid > 0) {
      json body = json::parse(
          Fetch("GET", workers[i].ready["http"], "/runs").body, nullptr, false);
      if (body.is_object())
        newest_runs_[i] = std::move(body);
    }
    for (const json& r : newest_runs_[i].value("runs", json::array())) {
      runs.push_back({r["task"], r["run"], i, r["began"], r["ended"], r["how"],
                      r["acknowledged"], r["lapsed"]});
    }
  }
  return runs;
}

void deployment::CopyLogLines(const std::string& text, size_t most) {
  for (const std::vector<process>* group : {&entries, &sidecars}) {
    for (const process& p : *group) {
      std::ifstream in(p.log);
      for (std::string line; most > 0 && std::getline(in, line);) {
        if (line.find(text) == std::string::npos)
          continue;
        record_.Add("log of " + p.name + ": " + line);
        --most;
      }
    }
  }
}

}  // namespace cassiaferry::review
