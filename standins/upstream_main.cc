// Stand-in for an upstream: runs tasks, records every start, and can misbehave.
//
// POST /tasks: payload "sleep:MS" (or "sleep:MS;TEXT"), "fail" or
// "echo:TEXT".
// GET /starts: {"task id": count}. GET /stats: most tasks at once, and totals.
// POST /behave: {"mode": "normal|fail|hang|refuse", "slow": FACTOR, "announce":
// BOOL}.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "../src/apps/app.h"
#include "../src/net/control_loop.h"
#include "../src/net/http_client.h"
#include "../src/net/http_server.h"

DEFINE_string(http, "127.0.0.1:0", "ip:port to listen on");
DEFINE_string(
    sidecar,
    "",
    "ip:port of the sidecar to announce to; empty: none yet, see POST /behave");
DEFINE_string(name, "slots", "upstream name to announce");
DEFINE_string(advertise, "", "address to announce; empty: as listened on");
DEFINE_int32(slots, 8, "slots to announce");
DEFINE_int32(connections, 60, "connections to announce");
DEFINE_int32(cores, 30, "cores to announce");
DEFINE_int32(memory_mb, 130000, "memory to announce");

namespace cassiaferry {
namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kAnnouncePeriod{1000};

enum class behaviour { normal, fail, hang, refuse };

struct timer {
  clock::time_point due;
  ticket_id ticket;
  bool operator<(const timer& other) const { return due > other.due; }
};

class upstream {
 public:
  void Start();
  void Run();
  void Leave();

 private:
  void OnRequest(const http_request& r);
  void OnTask(const http_request& r);
  void OnBehave(const http_request& r);
  void Begin(const http_request& r, const std::string& task);
  void Reply(ticket_id ticket, int status, const std::string& body);
  void Finish(ticket_id ticket);
  void Announce();
  void Timers();

  std::unique_ptr<http_server> server_;
  http_client client_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<timer> timers_;  // heap
  std::map<std::string, int> starts_;
  std::map<ticket_id, std::string> running_;  // ticket -> answer to give
  std::string sidecar_;
  size_t most_running_ = 0;
  uint64_t cancelled_ = 0;
  behaviour mode_ = behaviour::normal;
  double slow_ = 1;
  bool announce_ = true;
  bool stopped_ = false;
};

void upstream::Reply(ticket_id ticket, int status, const std::string& body) {
  http_response response;
  response.status = status;
  response.body = body;
  response.content_type = "text/plain";
  server_->Answer(ticket, response);
}

void upstream::Begin(const http_request& r, const std::string& task) {
  double ms = 0;
  std::string answer = "done";
  const size_t text = r.body.find(';');
  if (r.body.starts_with("sleep:"))
    ms = std::atof(r.body.c_str() + 6);
  if (r.body.starts_with("sleep:") && text != std::string::npos)
    answer = r.body.substr(text + 1);
  if (r.body.starts_with("echo:"))
    answer = r.body.substr(5);
  const std::lock_guard lock(mutex_);
  ++starts_[task];
  running_[r.ticket] =
      r.body == "fail" || mode_ == behaviour::fail ? "" : answer;
  most_running_ = std::max(most_running_, running_.size());
  if (mode_ == behaviour::hang)
    return;
  const bool at_once = mode_ == behaviour::fail;
  const auto wait = std::chrono::microseconds(
      at_once ? 0 : static_cast<int64_t>(ms * slow_ * 1000));
  timers_.push_back({clock::now() + wait, r.ticket});
  std::push_heap(timers_.begin(), timers_.end());
  wake_.notify_all();  // two threads wait: the timers and the announcer
}

void upstream::OnTask(const http_request& r) {
  bool refuse = false;
  {
    const std::lock_guard lock(mutex_);
    refuse = mode_ == behaviour::refuse;
  }
  if (refuse) {
    http_response response;
    response.status = 503;
    response.not_run = true;
    server_->Answer(r.ticket, response);
    return;
  }
  Begin(r, r.task.empty() ? "unnamed" : r.task);
}

void upstream::Finish(ticket_id ticket) {
  std::string answer;
  {
    const std::lock_guard lock(mutex_);
    const auto it = running_.find(ticket);
    if (it == running_.end())
      return;
    answer = it->second;
    running_.erase(it);
  }
  Reply(ticket, answer.empty() ? 500 : 200,
        answer.empty() ? "told to fail" : answer);
}

void upstream::OnBehave(const http_request& r) {
  const json j = json::parse(r.body, nullptr, false);
  if (!j.is_object()) {
    Reply(r.ticket, 400, "not JSON");
    return;
  }
  const std::map<std::string, behaviour> modes = {
      {"normal", behaviour::normal},
      {"fail", behaviour::fail},
      {"hang", behaviour::hang},
      {"refuse", behaviour::refuse}};
  {
    const std::lock_guard lock(mutex_);
    if (j.contains("mode"))
      mode_ = modes.at(j["mode"]);
    slow_ = j.value("slow", slow_);
    announce_ = j.value("announce", announce_);
    sidecar_ = j.value("sidecar", sidecar_);
  }
  Announce();
  Reply(r.ticket, 200, "{}");
}

void upstream::OnRequest(const http_request& r) {
  if (r.method == "POST" && r.path == "/tasks") {
    OnTask(r);
  } else if (r.method == "POST" && r.path == "/behave") {
    OnBehave(r);
  } else if (r.method == "GET" && r.path == "/starts") {
    const std::lock_guard lock(mutex_);
    Reply(r.ticket, 200, json(starts_).dump());
  } else if (r.method == "GET" && r.path == "/stats") {
    const std::lock_guard lock(mutex_);
    uint64_t total = 0;
    uint64_t duplicates = 0;
    for (const auto& [task, count] : starts_) {
      total += count;
      duplicates += count - 1;
    }
    const json stats = {{"starts", total},
                        {"duplicates", duplicates},
                        {"most_running", most_running_},
                        {"running", running_.size()},
                        {"cancelled", cancelled_}};
    Reply(r.ticket, 200, stats.dump());
  } else {
    Reply(r.ticket, 404, "no such path");
  }
}

void upstream::Announce() {
  http_call call;
  {
    const std::lock_guard lock(mutex_);
    if (sidecar_.empty() || !announce_)
      return;
    call.url = "http://" + sidecar_ + "/v1/upstreams/" + FLAGS_name;
  }
  call.method = "PUT";
  call.timeout_ms = 1000;
  call.body = json{{"address", address_},
                   {"slots", FLAGS_slots},
                   {"connections", FLAGS_connections},
                   {"cores", FLAGS_cores},
                   {"memory_mb", FLAGS_memory_mb}}
                  .dump();
  client_.Start(std::move(call), [](const http_reply&) {});
}

void upstream::Start() {
  http_server_options options;
  options.address = FLAGS_http;
  server_ = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [this](ticket_id ticket) {
        const std::lock_guard lock(mutex_);
        cancelled_ += running_.erase(ticket);
      });
  address_ = StartOrDie(*server_, "upstream: ");
  sidecar_ = FLAGS_sidecar;
  PrintReady({{"http", address_}, {"pid", getpid()}});
  if (!FLAGS_advertise.empty())
    address_ = FLAGS_advertise;
}

void upstream::Timers() {
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    if (timers_.empty()) {
      wake_.wait_for(lock, kAnnouncePeriod);
      continue;
    }
    const clock::time_point due = timers_.front().due;
    if (clock::now() < due) {
      wake_.wait_until(lock, due);
      continue;
    }
    const ticket_id ticket = timers_.front().ticket;
    std::pop_heap(timers_.begin(), timers_.end());
    timers_.pop_back();
    lock.unlock();
    Finish(ticket);
    lock.lock();
  }
}

void upstream::Run() {
  std::thread timers([this] { Timers(); });
  for (;;) {
    Announce();
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, kAnnouncePeriod, [this] { return stopped_; });
    if (stopped_)
      break;
  }
  timers.join();
  client_.Stop();
  server_->Stop();
}

// Says goodbye and stops once nothing runs.
void upstream::Leave() {
  http_call call;
  {
    const std::lock_guard lock(mutex_);
    announce_ = false;
    call.url = "http://" + sidecar_ + "/v1/upstreams/" + FLAGS_name;
  }
  call.method = "DELETE";
  call.timeout_ms = 1000;
  client_.Start(std::move(call), [](const http_reply&) {});
  constexpr int kMaxPolls = 600;
  for (int i = 0; i < kMaxPolls; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::lock_guard lock(mutex_);
    if (running_.empty() && i > 1)
      break;
  }
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp("Stand-in upstream, for tests and demos only.", &argc, &argv);
  HandleSignals("upstream: ");
  upstream u;
  u.Start();
  OnStop([&u] { u.Leave(); });
  u.Run();
  return kExitOk;
}
