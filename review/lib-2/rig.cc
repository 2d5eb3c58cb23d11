// Rig for the cases of the independent review.
//
// Contents
//   [1] Time and the record
//   [2] HTTP
//   [3] The store
//   [4] Workers
//   [5] Processes
//   [6] The deployment

#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
#include <fstream>
#include <optional>
#include <utility>

namespace rig {

// ---- [1] Time and the record ------------------------------------------------

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point kStart = steady::now();

std::mutex record_mutex;
std::ofstream record_file;

std::mutex runs_mutex;
std::vector<run_record> all_runs;

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool WaitFor(int64_t ms, const std::function<bool()>& condition) {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (condition())
      return true;
    SleepMs(20);
  }
  return condition();
}

void OpenRecord(const std::string& path) {
  const std::lock_guard lock(record_mutex);
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f  ",
                static_cast<double>(NowMs()) / 1000);
  record_file << time << line << std::endl;
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void Finish(deployment& d, int code) {
  d.End();
  Record(code == kBroken ? "the rule was broken"
         : code == kHeld ? "the rule held"
                         : "the case could not run");
  std::_Exit(code);
}

// ---- [2] HTTP ---------------------------------------------------------------

namespace {

constexpr size_t kReadBytes = 65'536;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string DecodeUrl(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Reads one message; returns its first line and headers, and the body.
// `buffer` keeps what was read beyond it.
struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

bool ReadMore(int fd, std::string& buffer, int64_t until) {
  pollfd one{fd, POLLIN, 0};
  const int64_t left = until - NowMs();
  if (left <= 0 || poll(&one, 1, static_cast<int>(left)) <= 0)
    return false;
  std::string chunk(kReadBytes, '\0');
  const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
  if (n <= 0)
    return false;
  buffer.append(chunk, 0, static_cast<size_t>(n));
  return true;
}

std::optional<message> ReadMessage(int fd, std::string& buffer, int64_t until) {
  size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer, until))
      return std::nullopt;
  }
  message m;
  size_t at = buffer.find("\r\n");
  m.first_line = buffer.substr(0, at);
  while (at < end) {
    const size_t from = at + 2;
    at = buffer.find("\r\n", from);
    const std::string line = buffer.substr(from, at - from);
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    m.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const auto length = m.headers.find("content-length");
  const size_t bytes =
      length == m.headers.end() ? 0 : std::stoul(length->second);
  const size_t begin = end + 4;
  while (buffer.size() < begin + bytes) {
    if (!ReadMore(fd, buffer, until))
      return std::nullopt;
  }
  m.body = buffer.substr(begin, bytes);
  buffer.erase(0, begin + bytes);
  return m;
}

std::optional<http_request> ReadRequest(int fd, std::string& buffer) {
  constexpr int64_t kIdleMs = 3'600'000;
  std::optional<message> m = ReadMessage(fd, buffer, NowMs() + kIdleMs);
  if (!m)
    return std::nullopt;
  http_request r;
  const size_t first = m->first_line.find(' ');
  const size_t second = m->first_line.find(' ', first + 1);
  r.method = m->first_line.substr(0, first);
  const std::string target =
      m->first_line.substr(first + 1, second - first - 1);
  const size_t mark = target.find('?');
  r.path = target.substr(0, mark);
  std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!query.empty()) {
    const size_t next = query.find('&');
    const std::string pair = query.substr(0, next);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos)
      r.query[pair.substr(0, equals)] = DecodeUrl(pair.substr(equals + 1));
    query = next == std::string::npos ? "" : query.substr(next + 1);
  }
  r.headers = std::move(m->headers);
  r.body = std::move(m->body);
  return r;
}

}  // namespace

struct http_server::shared_state {
  std::mutex mutex;
  std::set<int> connections;
  std::set<int> silent;
  int listener = -1;
  bool closed = false;
};

http_server::http_server(handler handle) : handle_(std::move(handle)) {
  Open();
}

http_server::~http_server() {
  Close();
}

std::string http_server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void http_server::Open() {
  state_ = std::make_shared<shared_state>();
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port_);
  while (bind(listener, reinterpret_cast<sockaddr*>(&address),
              sizeof address) != 0)
    SleepMs(5);
  listen(listener, 512);
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  state_->listener = listener;
  acceptor_ = std::thread([this, state = state_, listener] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int no_delay = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
      {
        const std::lock_guard lock(state->mutex);
        if (state->closed) {
          close(fd);
          return;
        }
        state->connections.insert(fd);
      }
      std::thread([this, state, fd] {
        std::string buffer;
        const auto is_silent = [&] {
          const std::lock_guard lock(state->mutex);
          return state->silent.count(fd) != 0;
        };
        while (std::optional<http_request> r = ReadRequest(fd, buffer)) {
          if (is_silent()) {
            Record("unanswered on a silent connection: " + r->path);
            continue;
          }
          const http_answer answer = handle_(*r);
          if (is_silent())
            continue;
          if (answer.status == 0)
            break;
          const std::string text =
              "HTTP/1.1 " + std::to_string(answer.status) +
              " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
          if (!SendAll(fd, text))
            break;
        }
        const std::lock_guard lock(state->mutex);
        state->connections.erase(fd);
        state->silent.erase(fd);
        close(fd);
      }).detach();
    }
  });
}

void http_server::Close() {
  if (!state_)
    return;
  {
    const std::lock_guard lock(state_->mutex);
    state_->closed = true;
    shutdown(state_->listener, SHUT_RDWR);
    for (int fd : state_->connections) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RDWR);
    }
  }
  acceptor_.join();
  close(state_->listener);
  state_.reset();
}

void http_server::SilenceConnections() {
  const std::lock_guard lock(state_->mutex);
  state_->silent = state_->connections;
}

size_t http_server::Connections() const {
  const std::lock_guard lock(state_->mutex);
  return state_->connections.size() - state_->silent.size();
}

http_answer Call(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 const std::vector<std::string>& headers,
                 int64_t timeout_ms) {
  const int port = std::stoi(address.substr(address.find(':') + 1));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = Loopback(port);
  http_answer answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string& header : headers)
      text += header + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::optional<message> m;
    if (SendAll(fd, text))
      m = ReadMessage(fd, buffer, NowMs() + timeout_ms);
    if (m) {
      answer.status = std::stoi(m->first_line.substr(9, 3));
      answer.body = std::move(m->body);
    }
  }
  close(fd);
  return answer;
}

// ---- [3] The store ----------------------------------------------------------

namespace {

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Base64(const std::string& data) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (unsigned char c : data) {
    bits = bits << 8 | c;
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kBase64[bits >> count & 63];
    }
  }
  if (count > 0)
    out += kBase64[bits << (6 - count) & 63];
  while (out.size() % 4 != 0)
    out += '=';
  return out;
}

size_t DecodedBytes(const std::string& base64) {
  const size_t padding = base64.size() - base64.find_last_not_of('=') - 1;
  return base64.size() / 4 * 3 - padding;
}

}  // namespace

store::store(store_options options) : options_(options) {}

std::string store::NewAddress() {
  auto added = std::make_unique<front>();
  front* at = added.get();
  added->server = std::make_unique<http_server>(
      [this, at](const http_request& r) { return HandleAt(*at, r); });
  std::string address = added->server->Address();
  fronts_.emplace(address, std::move(added));
  return address;
}

void store::SetMode(const std::string& address, store_mode mode) {
  fronts_.at(address)->mode = mode;
}

void store::SilenceConnections() {
  for (auto& [address, at] : fronts_)
    at->server->SilenceConnections();
}

size_t store::Connections(const std::string& address) {
  return fronts_.at(address)->server->Connections();
}

void store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {Base64(value), ++version_, false};
  changed_.notify_all();
}

size_t store::RowsIn(const std::string& table) {
  const std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& row) {
        return row.first.first == table && !row.second.deleted;
      }));
}

// The caller holds `mutex_`.
http_answer store::Answer(int status, json body) {
  body["ver"] = version_;
  body["nowMs"] = NowMs();
  return {status, body.dump()};
}

json store::RowJson(const row_key& key, const row& found) const {
  json j = {{"table", key.first},
            {"part", ""},
            {"key", key.second},
            {"value", found.value},
            {"ver", found.version}};
  if (found.deleted)
    j["deleted"] = true;
  return j;
}

http_answer store::HandleAt(const front& at, const http_request& r) {
  constexpr int64_t kSlowFactor = 50;
  constexpr int64_t kSilentMs = 10'000;
  constexpr int kLostOneIn = 3;
  static std::atomic<int> writes{0};
  const bool is_write = r.path == "/api/rows-tx";
  switch (at.mode) {
    case store_mode::sound:
      break;
    case store_mode::busy:
      return {503, "{}"};
    case store_mode::silent:
      SleepMs(kSilentMs);
      return {};
    case store_mode::slow:
      SleepMs(kSlowFactor * options_.read_ms);
      break;
    case store_mode::loses:
      if (is_write && ++writes % kLostOneIn == 0) {
        Handle(r);
        return {};
      }
      break;
    case store_mode::loses_late:
      if (is_write && ++writes % kLostOneIn == 0) {
        const int64_t delay = 1000 + writes * 377 % 5000;
        std::thread([this, r, delay] {
          SleepMs(delay);
          Handle(r);
        }).detach();
        SleepMs(kSilentMs);
        return {};
      }
      break;
  }
  return Handle(r);
}

http_answer store::Handle(const http_request& r) {
  if (r.path == "/api/rows-tx")
    return HandleTransaction(r);
  if (r.path == "/api/rows-get")
    return HandleGet(r);
  if (r.path == "/api/rows-feed")
    return HandleFeed(r);
  return {404, "{}"};
}

http_answer store::HandleTransaction(const http_request& r) {
  constexpr size_t kMaxEntries = 100;
  constexpr size_t kMaxBytes = 1'000'000;
  const json body = json::parse(r.body);
  const json none = json::array();
  const json expected = body.value("expectedRev", none);
  const json set = body.value("setKeys", none);
  const json removed = body.value("remove", none);
  const std::lock_guard one_at_a_time(writing_);
  SleepMs(options_.transaction_ms);
  const std::lock_guard lock(mutex_);
  if (expected.size() + set.size() + removed.size() > kMaxEntries ||
      r.body.size() > kMaxBytes)
    return Answer(400, json::object());
  for (const json& put : set) {
    const size_t bytes = DecodedBytes(put.at("value"));
    if (bytes > options_.row_bytes) {
      ++too_large_;
      Record("store: 400, a row of table " +
             put.at("table").get<std::string>() + " has " +
             std::to_string(bytes) + " bytes");
      return Answer(400, json::object());
    }
  }
  json current = json::array();
  bool holds = true;
  for (const json& condition : expected) {
    const auto it = rows_.find({condition.at("table"), condition.at("key")});
    const bool exists = it != rows_.end() && !it->second.deleted;
    holds = holds && condition.at("ver").get<uint64_t>() ==
                         (exists ? it->second.version : 0);
    if (exists)
      current.push_back(RowJson(it->first, it->second));
  }
  if (!holds)
    return Answer(412, {{"rows", current}});
  ++version_;
  for (const json& put : set)
    rows_[{put.at("table"), put.at("key")}] = {put.at("value"), version_,
                                               false};
  for (const json& gone : removed) {
    const auto it = rows_.find({gone.at("table"), gone.at("key")});
    if (it != rows_.end())
      it->second = {"", version_, true};
  }
  changed_.notify_all();
  return Answer(200, json::object());
}

http_answer store::HandleGet(const http_request& r) {
  constexpr size_t kMaxRows = 500;
  constexpr size_t kMaxBytes = 1'000'000;
  SleepMs(options_.read_ms);
  const std::lock_guard lock(mutex_);
  const auto parameter = [&](const char* name) {
    const auto it = r.query.find(name);
    return it == r.query.end() ? std::string() : it->second;
  };
  const std::string table = parameter("table");
  const std::string limit = parameter("limit");
  const size_t most =
      limit.empty() ? kMaxRows : std::min<size_t>(kMaxRows, std::stoul(limit));
  json found = json::array();
  bool more = false;
  size_t bytes = 0;
  for (auto it = rows_.lower_bound({table, parameter("from")});
       it != rows_.end() && it->first.first == table; ++it) {
    if (it->second.deleted)
      continue;
    more = found.size() == most || bytes > kMaxBytes;
    if (more)
      break;
    bytes += it->second.value.size();
    found.push_back(RowJson(it->first, it->second));
  }
  return Answer(200, {{"rows", found}, {"hasMore", more}});
}

http_answer store::HandleFeed(const http_request& r) {
  const std::string table = r.query.at("table");
  const uint64_t after = std::stoull(r.query.at("after"));
  const auto until = steady::now() + std::chrono::milliseconds(
                                         std::stoll(r.query.at("waitMs")));
  std::unique_lock lock(mutex_);
  json changed = json::array();
  const auto has_changes = [&] {
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after)
        changed.push_back(RowJson(key, row));
    }
    return !changed.empty();
  };
  changed_.wait_until(lock, until, has_changes);
  std::stable_sort(
      changed.begin(), changed.end(), [](const json& a, const json& b) {
        return a.at("ver").get<uint64_t>() < b.at("ver").get<uint64_t>();
      });
  return Answer(200, {{"rows", changed}});
}

// ---- [4] Workers ------------------------------------------------------------

namespace {

constexpr int64_t kMaxLeaseMs = 1000;
constexpr int64_t kStopMs = 20;
constexpr int64_t kStepMs = 2;

}  // namespace

std::vector<run_record> AllRuns() {
  const std::lock_guard lock(runs_mutex);
  return all_runs;
}

worker::worker(worker_options options)
    : options_(std::move(options)),
      server_([this](const http_request& r) { return Handle(r); }) {
  BeginLife();
  loop_ = std::thread([this] { RunLoop(); });
}

worker::~worker() {
  stopped_ = true;
  ended_.notify_all();
  loop_.join();
}

void worker::SetSidecar(const std::string& address) {
  const std::lock_guard lock(mutex_);
  sidecar_ = address;
  next_beat_ = 0;
}

void worker::CrashNow() {
  const std::lock_guard lock(mutex_);
  if (up_again_ == 0)
    Crash();
}

void worker::SetDraining(bool draining) {
  const std::lock_guard lock(mutex_);
  draining_ = draining;
  next_beat_ = 0;
}

void worker::SetSilent(int64_t ms) {
  const std::lock_guard lock(mutex_);
  silent_until_ = NowMs() + ms;
}

void worker::LoseCalls(int count) {
  const std::lock_guard lock(mutex_);
  calls_to_lose_ = count;
}

void worker::DelayStarts(int count) {
  const std::lock_guard lock(mutex_);
  starts_to_delay_ = count;
}

bool worker::IsUp() {
  const std::lock_guard lock(mutex_);
  return up_again_ == 0;
}

size_t worker::Running() {
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

int64_t worker::ClockMs() const {
  return NowMs() - life_began_;
}

void worker::BeginLife() {
  ++lives_;
  life_ = "i-" + options_.name + "-" + std::to_string(lives_);
  life_began_ = NowMs();
  up_again_ = 0;
  next_beat_ = 0;
  beats_ = 0;
  fence_ = 0;
  lease_until_ = 0;
  lapsed_at_ = NowMs();
  draining_ = false;
  next_end_ = 1;
  runs_.clear();
  last_ended_.clear();
  ends_.clear();
}

http_answer worker::Answer(int status, json body) {
  body["clockMs"] = ClockMs();
  return {status, body.dump()};
}

bool worker::TakeFence(const json& body) {
  const auto token = body.value("fencingToken", uint64_t{0});
  if (token < fence_)
    return false;
  fence_ = token;
  return true;
}

void worker::ExtendLease(const json& body) {
  if (ClockMs() >= lease_until_)
    lapsed_at_ = NowMs();
  lease_until_ = std::max(
      lease_until_,
      std::min(body.value("deadlineMs", int64_t{0}), ClockMs() + kMaxLeaseMs));
}

// The caller of all that follows holds `mutex_`.
void worker::EndRun(const active_run& run, const std::string& how) {
  {
    const std::lock_guard lock(runs_mutex);
    all_runs[run.record].ended = NowMs();
    all_runs[run.record].how = how;
  }
  if (how != "crashed") {
    last_ended_[run.task] = std::max(last_ended_[run.task], run.run);
    ends_.push_back({next_end_++, run.task, run.run, how, run.record, NowMs()});
  }
  ended_.notify_all();
}

void worker::EndDueRuns() {
  std::vector<std::pair<std::string, std::string>> due;
  bool crashes = false;
  for (const auto& [task, run] : runs_) {
    if (run.stops != 0 && NowMs() >= run.stops)
      due.emplace_back(task, "stopped");
    else if (ClockMs() >= lease_until_)
      due.emplace_back(task, "lapsed");
    else if (NowMs() >= run.ends && !run.crashes)
      due.emplace_back(task, run.fails ? "failed" : "done");
    else if (NowMs() >= run.ends)
      crashes = true;
  }
  for (const auto& [task, how] : due) {
    EndRun(runs_.at(task), how);
    runs_.erase(task);
  }
  if (crashes)
    Crash();
}

void worker::Crash() {
  Record("worker " + options_.name + ": crashes, " +
         std::to_string(runs_.size()) + " runs");
  for (const auto& [task, run] : runs_)
    EndRun(run, "crashed");
  runs_.clear();
  up_again_ = NowMs() + options_.down_ms;
}

http_answer worker::HandleStart(const json& body) {
  if (!TakeFence(body))
    return Answer(409, {{"reason", "fence"}});
  if (body.at("deadlineMs").get<int64_t>() <= ClockMs())
    return Answer(409, {{"reason", "late"}});
  ExtendLease(body);
  const std::string task = body.at("task");
  const std::string spec = body.at("spec");
  active_run run;
  run.task = task;
  run.run = body.at("run");
  const auto present = runs_.find(task);
  if (present != runs_.end())
    return present->second.run == run.run ? Answer(200, json::object())
                                          : Answer(409, {{"reason", "old"}});
  const auto last = last_ended_.find(task);
  if (last != last_ended_.end() && run.run <= last->second)
    return Answer(409, {{"reason", "old"}});
  run.began = NowMs();
  run.crashes = spec.starts_with("crash:");
  run.fails = spec.starts_with("fail:") ||
              (spec.starts_with("mixed:") && std::rand() % 4 == 0);
  const size_t colon = spec.find(':');
  run.ends = run.began + std::stoll(spec.substr(colon + 1));
  {
    const std::lock_guard lock(runs_mutex);
    run.record = all_runs.size();
    all_runs.push_back({options_.name, life_, task, run.run, run.began, 0, ""});
  }
  runs_[task] = run;
  return Answer(200, json::object());
}

http_answer worker::HandleStop(const json& body) {
  if (!TakeFence(body))
    return Answer(409, {{"reason", "fence"}});
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.run == run) {
    if (it->second.stops == 0)
      it->second.stops = NowMs() + kStopMs;
  } else {
    last_ended_[task] = std::max(last_ended_[task], run);
  }
  return Answer(200, json::object());
}

http_answer worker::HandleHold(const json& body,
                               std::unique_lock<std::mutex>& lock) {
  constexpr size_t kMaxEnds = 500;
  if (!TakeFence(body))
    return Answer(409, {{"reason", "fence"}});
  if (ClockMs() >= lease_until_)
    lapsed_at_ = NowMs();
  const auto seen = body.value("lastSeen", uint64_t{0});
  for (const listed_end& e : ends_) {
    if (e.number > seen)
      continue;
    const std::lock_guard runs_lock(runs_mutex);
    all_runs[e.record].noted = NowMs();
    all_runs[e.record].lapsed = lapsed_at_ > e.at || ClockMs() >= lease_until_;
  }
  std::erase_if(ends_, [&](const listed_end& e) { return e.number <= seen; });
  ExtendLease(body);
  const auto until = steady::now() + std::chrono::milliseconds(
                                         body.value("waitMs", int64_t{0}));
  const std::string life = life_;
  ended_.wait_until(lock, until, [&] {
    return !ends_.empty() || stopped_ || life_ != life || up_again_ != 0;
  });
  if (life_ != life || up_again_ != 0)
    return {};
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    const int64_t length = std::max<int64_t>(1, run.ends - run.began);
    running.push_back(
        {task, run.run, "",
         std::min<int64_t>(99, (NowMs() - run.began) * 100 / length)});
  }
  json finished = json::array();
  for (const listed_end& e : ends_) {
    if (finished.size() == kMaxEnds)
      break;
    finished.push_back({e.number, e.task, e.run, e.how, ""});
  }
  return Answer(200, {{"running", running}, {"finished", finished}});
}

http_answer worker::Handle(const http_request& r) {
  constexpr int64_t kDelayMs = 3000;
  std::unique_lock lock(mutex_);
  if (up_again_ != 0)
    return {};
  if (NowMs() < silent_until_) {
    const int64_t left = silent_until_ - NowMs();
    lock.unlock();
    SleepMs(left);
    return {};
  }
  if (starts_to_delay_ > 0 && r.path == "/api/run-start") {
    --starts_to_delay_;
    lock.unlock();
    std::thread([this, r] {
      SleepMs(kDelayMs);
      std::unique_lock late(mutex_);
      HandleCall(r, late);
    }).detach();
    SleepMs(kDelayMs);
    return {};
  }
  const bool loses = calls_to_lose_ > 0;
  calls_to_lose_ -= loses ? 1 : 0;
  const http_answer answer = HandleCall(r, lock);
  lock.unlock();
  if (loses)
    SleepMs(kDelayMs);
  return loses ? http_answer{} : answer;
}

http_answer worker::HandleCall(const http_request& r,
                               std::unique_lock<std::mutex>& lock) {
  if (up_again_ != 0)
    return {};
  const auto named = r.headers.find("x-cassiaferry-expect-instance");
  if (named != r.headers.end() && named->second != life_)
    return Answer(421, json::object());
  EndDueRuns();
  if (up_again_ != 0)
    return {};
  const json body = json::parse(r.body, nullptr, false);
  if (!body.is_object())
    return Answer(400, json::object());
  if (r.path == "/api/run-start")
    return HandleStart(body);
  if (r.path == "/api/run-stop")
    return HandleStop(body);
  if (r.path == "/api/hold")
    return HandleHold(body, lock);
  return Answer(404, json::object());
}

void worker::Beat() {
  json body;
  std::string target;
  std::string path;
  {
    const std::lock_guard lock(mutex_);
    if (sidecar_.empty() || up_again_ != 0 || NowMs() < next_beat_ ||
        NowMs() < silent_until_)
      return;
    next_beat_ = NowMs() + options_.heartbeat_ms;
    target = sidecar_;
    path = "/api/instances/" + life_ + "/heartbeat";
    body = {
        {"service", options_.service},
        {"addr", server_.Address()},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", draining_ ? "draining" : "ready"},
        {"coldLeftMs", 0},
        {"capacity",
         {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}}},
        {"labels", options_.labels},
        {"clockMs", ClockMs()},
        {"callSeq", ++beats_}};
  }
  std::thread([target, path, text = body.dump()] {
    Call(target, "POST", path, text, {"Host: " + target}, 1000);
  }).detach();
}

void worker::RunLoop() {
  bool closed = false;
  while (!stopped_) {
    SleepMs(kStepMs);
    bool down = false;
    bool again = false;
    {
      const std::lock_guard lock(mutex_);
      if (up_again_ == 0)
        EndDueRuns();
      down = up_again_ != 0;
      again = down && NowMs() >= up_again_;
    }
    if (down && !closed) {
      ended_.notify_all();
      server_.Close();
      closed = true;
    }
    if (again) {
      const std::lock_guard lock(mutex_);
      BeginLife();
      server_.Open();
      closed = false;
      Record("worker " + options_.name + ": is back as " + life_);
    }
    Beat();
  }
}

// ---- [5] Processes ----------------------------------------------------------

process::process(std::vector<std::string> command, std::string log)
    : command_(std::move(command)), log_(std::move(log)) {
  Start();
}

process::~process() {
  Kill();
}

void process::Start() {
  std::vector<char*> arguments;
  for (std::string& word : command_)
    arguments.push_back(word.data());
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0)
    return;
  // It ends with this process. Applies to the thread that starts it, which is
  // the main one.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void process::Signal(int number) const {
  if (pid_ > 0)
    kill(pid_, number);
}

bool process::IsRunning() {
  if (pid_ <= 0)
    return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0)
    return true;
  pid_ = -1;
  return false;
}

bool process::WaitForEnd(int64_t ms) {
  return WaitFor(ms, [this] { return !IsRunning(); });
}

void process::Kill() {
  if (!IsRunning())
    return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  WaitForEnd(5000);
}

// ---- [6] The deployment -----------------------------------------------------

namespace {

// Outside of the range of ephemeral ports, so that a process can be started
// again at its address.
int FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  constexpr int kPortsOfOne = 61;
  static std::atomic<int> next{getpid() * kPortsOfOne % kCount};
  for (;;) {
    const int port = kFirst + next++ % kCount;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free)
      return port;
  }
}

std::string FreeAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

std::string TemporaryFolder() {
  std::string name =
      std::filesystem::temp_directory_path() / "cassiaferry-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    std::_Exit(kCouldNotRun);
  return name;
}

constexpr char kHost[] = "Host: nony24.example";
constexpr char kPrefix[] = "/lohu930/";

}  // namespace

json Job(const std::string& spec, int tasks, int64_t cpu, int64_t estimate_ms) {
  return {{"spec", spec},
          {"steps",
           {{{"count", tasks},
             {"cpu", cpu},
             {"memMb", 1},
             {"estimateMs", estimate_ms}}}}};
}

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      folder_(TemporaryFolder()),
      store_(options_.storage) {
  WriteConfig(3, 1);
  for (int i = 0; i < options_.workers; ++i)
    AddWorker(i);
  for (int i = 0; i < options_.entries; ++i)
    AddEntry(i);
}

void deployment::WriteConfig(int version, int routes) {
  json config = {{"version", version},
                 {"routes", json::array()},
                 {"services", {{{"name", "slots"}}}}};
  for (int i = 0; i < routes; ++i)
    config["routes"].push_back(
        {{"name", "hive" + std::to_string(i)},
         {"host", "nony24.example"},
         {"pathPrefix", "/lohu93" + std::to_string(i) + "/"},
         {"service", "slots"},
         {"maxAttempts", options_.max_attempts},
         {"stretch", 1.6},
         {"targetLatencyMs", 60}});
  store_.Put("op", "config", config.dump());
}

void deployment::End() {
  entries_.clear();
  sidecars_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder_);
}

std::string deployment::WriteSettings(const json& settings) {
  std::string file =
      folder_ + "/" + settings.at("name").get<std::string>() + ".json";
  std::ofstream(file) << settings.dump(1);
  return file;
}

void deployment::AddWorker(int i) {
  worker_options w = options_.worker;
  w.name = "w" + std::to_string(i);
  workers_.push_back(std::make_unique<worker>(w));
  const std::string name = "side-" + std::to_string(i);
  const std::string http = FreeAddress();
  store_of_sidecar_.push_back(store_.NewAddress());
  const json settings = {{"name", name},
                         {"failure_domain", "a"},
                         {"http", http},
                         {"seeds", json::array()},
                         {"worker", workers_.back()->Address()},
                         {"store", store_of_sidecar_.back()},
                         {"lease_max_ms", 1000},
                         {"resend_after_ms", 1300},
                         {"stop_grace_s", options_.stop_grace_s},
                         {"worker_record", "store"}};
  sidecars_.push_back(std::make_unique<process>(
      std::vector<std::string>{"target/bin/cassiaferry-sidecar", "--settings",
                               WriteSettings(settings)},
      folder_ + "/" + name + ".log"));
  workers_.back()->SetSidecar(http);
}

void deployment::AddEntry(int i) {
  const std::string name = "edge-" + std::to_string(i);
  callers_.push_back(FreeAddress());
  ready_.push_back(FreeAddress());
  store_of_entry_.push_back(store_.NewAddress());
  const json settings = {{"name", name},
                         {"failure_domain", "a"},
                         {"http", FreeAddress()},
                         {"link", FreeAddress()},
                         {"callers", callers_.back()},
                         {"ready", ready_.back()},
                         {"store", store_of_entry_.back()},
                         {"lease_max_ms", 1000},
                         {"resend_after_ms", 1300},
                         {"stop_grace_s", options_.stop_grace_s},
                         {"link_mbps", 1000.0},
                         {"shares", "all_entries"},
                         {"uneven_workers", "auto"},
                         {"shed_connections", "auto"},
                         {"max_connections", 2000},
                         {"traffic_threads", 1}};
  entries_.push_back(std::make_unique<process>(
      std::vector<std::string>{"target/bin/cassiaferry-entry", "--settings",
                               WriteSettings(settings)},
      folder_ + "/" + name + ".log"));
}

bool deployment::IsServing() {
  for (const std::string& address : ready_) {
    if (!WaitFor(20'000, [&] {
          return Call(address, "GET", "/api/ready", "", {kHost}, 1000).status ==
                 200;
        }))
      return false;
  }
  json job = Job("work:1", options_.workers, 100, 1);
  job["bestEffort"] = true;
  for (size_t i = 0; i < callers_.size(); ++i) {
    if (!WaitFor(20'000, [&] { return Post(i, NextId(), job).status == 200; }))
      return false;
  }
  return true;
}

http_answer deployment::CallEntry(size_t entry,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body) {
  constexpr int64_t kDeadlineMs = 8000;
  return Call(
      callers_[entry], method, path, body,
      {kHost, "X-Cassiaferry-Deadline-Ms: " + std::to_string(kDeadlineMs)},
      kDeadlineMs);
}

http_answer deployment::Post(size_t entry,
                             const std::string& id,
                             const json& job) {
  return CallEntry(entry, "POST", kPrefix + id, job.dump());
}

http_answer deployment::Get(size_t entry, const std::string& id) {
  return CallEntry(entry, "GET", kPrefix + id, "");
}

http_answer deployment::Cancel(size_t entry, const std::string& id) {
  return CallEntry(entry, "DELETE", kPrefix + id, "");
}

int deployment::Waiting(size_t entry) {
  const http_answer answer = CallEntry(entry, "GET", kPrefix, "");
  const json body = json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !body.is_object())
    return -1;
  return body.value("waiting", -1);
}

std::string deployment::NextId() {
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x",
                static_cast<unsigned>(getpid()) * 2654435761U,
                static_cast<unsigned>(++next_id_));
  return text;
}

}  // namespace rig
