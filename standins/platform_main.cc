// Stand-in for the platform: a transactional table and an object store in
// memory, with knobs for outages.
//
// POST /table/transaction, /table/read, /table/list; PUT and GET /objects/NAME.
// POST /knobs: {"down": BOOL, "silent": BOOL, "slow_ms": N, "lose_replies": N,
// "writes_per_s": N}. GET /stats. Objects and rows live as long as the process.

#include <gflags/gflags.h>

#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "../src/apps/app.h"
#include "../src/net/control_loop.h"
#include "../src/net/http_server.h"

DEFINE_string(http, "127.0.0.1:0", "ip:port to listen on");

namespace cassiaferry {
namespace {

using nlohmann::json;

struct row {
  uint64_t version = 0;
  std::string value;
};

struct knobs {
  bool down = false;         // answers 503
  bool silent = false;       // answers nothing
  int64_t slow_ms = 0;       // before each answer
  int lose_replies = 0;      // transactions that take effect without an answer
  int64_t writes_per_s = 0;  // 0: no limit; more are answered with 429
};

struct answer {
  int status = 200;
  std::string body;
  bool lost = false;
};

class platform {
 public:
  void Start();
  void Run();
  void Stop() { loop_.Stop(); }

 private:
  void OnRequest(const http_request& r);
  answer Serve(const http_request& r);
  answer Write(const http_request& r);
  json Apply(const json& op);
  json Row(const std::string& key) const;
  bool TakeWrite();
  void SetKnobs(const http_request& r);

  std::unique_ptr<http_server> server_;
  control_loop<int> loop_;
  std::mutex mutex_;
  std::map<std::string, row> rows_;
  std::map<std::string, std::string> objects_;
  uint64_t next_version_ = 1;
  knobs knobs_;
  uint64_t writes_ = 0;
  uint64_t reads_ = 0;
  int64_t second_ = 0;
  int64_t writes_this_second_ = 0;
};

json platform::Row(const std::string& key) const {
  const auto it = rows_.find(key);
  if (it == rows_.end())
    return nullptr;
  return {{"key", key},
          {"version", it->second.version},
          {"value", it->second.value}};
}

// One operation of a transaction: applies whole or not at all.
json platform::Apply(const json& op) {
  const std::string key = op.at("key");
  const std::string kind = op.at("op");
  const auto it = rows_.find(key);
  const bool absent = it == rows_.end();
  const bool same_version =
      !absent && it->second.version == op.value("version", uint64_t{0});
  bool applied = false;
  if (kind == "insert_if_absent")
    applied = absent;
  else if (kind == "replace_if_version" || kind == "delete_if_version")
    applied = same_version;
  if (applied && kind == "delete_if_version")
    rows_.erase(it);
  else if (applied)
    rows_[key] = {next_version_++, op.at("value")};
  return {{"applied", applied}, {"row", Row(key)}};
}

bool platform::TakeWrite() {
  ++writes_;
  if (knobs_.writes_per_s == 0)
    return true;
  const int64_t second = Now().value / 1'000'000;
  if (second != second_) {
    second_ = second;
    writes_this_second_ = 0;
  }
  return ++writes_this_second_ <= knobs_.writes_per_s;
}

answer platform::Write(const http_request& r) {
  if (!TakeWrite())
    return {429, "{}", false};
  answer a;
  if (r.path.starts_with("/objects/")) {
    objects_[r.path.substr(9)] = r.body;
    a.body = "{}";
  } else {
    json results = json::array();
    const json body = json::parse(r.body);
    for (const json& op : body.at("ops"))
      results.push_back(Apply(op));
    a.body = json{{"results", std::move(results)}}.dump();
  }
  if (knobs_.lose_replies > 0 && r.path == "/table/transaction") {
    --knobs_.lose_replies;
    a.lost = true;
  }
  return a;
}

answer platform::Serve(const http_request& r) {
  const std::lock_guard lock(mutex_);
  if (r.path == "/stats")
    return {200,
            json{{"writes", writes_}, {"reads", reads_}, {"rows", rows_.size()}}
                .dump(),
            false};
  if (knobs_.down)
    return {503, "{}", false};
  if (knobs_.silent)
    return {200, "", true};
  if (r.path == "/table/transaction" || r.method == "PUT")
    return Write(r);
  ++reads_;
  if (r.path.starts_with("/objects/")) {
    const auto it = objects_.find(r.path.substr(9));
    return it == objects_.end() ? answer{404, "", false}
                                : answer{200, it->second, false};
  }
  const json body = json::parse(r.body);
  json rows = json::array();
  if (r.path == "/table/read") {
    for (const json& key : body.at("keys"))
      rows.push_back(Row(key));
  } else if (r.path == "/table/list") {
    const std::string prefix = body.at("prefix");
    for (auto it = rows_.lower_bound(prefix);
         it != rows_.end() && it->first.starts_with(prefix); ++it)
      rows.push_back(Row(it->first));
  } else {
    return {404, "{}", false};
  }
  return {200, json{{"rows", std::move(rows)}}.dump(), false};
}

void platform::SetKnobs(const http_request& r) {
  const json j = json::parse(r.body);
  const std::lock_guard lock(mutex_);
  knobs_.down = j.value("down", knobs_.down);
  knobs_.silent = j.value("silent", knobs_.silent);
  knobs_.slow_ms = j.value("slow_ms", knobs_.slow_ms);
  knobs_.lose_replies = j.value("lose_replies", knobs_.lose_replies);
  knobs_.writes_per_s = j.value("writes_per_s", knobs_.writes_per_s);
}

void platform::OnRequest(const http_request& r) {
  answer a;
  int64_t slow_ms = 0;
  try {
    if (r.method == "POST" && r.path == "/knobs") {
      SetKnobs(r);
      a.body = "{}";
    } else {
      a = Serve(r);
      const std::lock_guard lock(mutex_);
      slow_ms = knobs_.slow_ms;
    }
  } catch (const std::exception& e) {
    a = {400, json{{"message", e.what()}}.dump(), false};
  }
  if (a.lost)
    return;
  http_response response;
  response.status = a.status;
  response.body = a.body;
  if (slow_ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms));
  server_->Answer(r.ticket, response);
}

void platform::Start() {
  http_server_options options;
  options.address = FLAGS_http;
  options.threads = 8;
  options.max_body_bytes = 64 << 20;
  options.intake.max_receiving_bytes = 256 << 20;
  options.intake.max_unread_bytes = 256 << 20;
  server_ = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [](ticket_id) {});
  const std::string address = StartOrDie(*server_, "platform: ");
  PrintReady({{"http", address}, {"pid", getpid()}});
}

void platform::Run() {
  loop_.Run(std::chrono::milliseconds(1000), [](const std::vector<int>&) {});
  server_->Stop();
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp("Stand-in platform, for tests and demos only.", &argc, &argv);
  HandleSignals("platform: ");
  platform p;
  p.Start();
  OnStop([&p] { p.Stop(); });
  p.Run();
  return kExitOk;
}
