// Stand-in for a platform's worker, after platform/standins/worker_main.cc:
// executes starts and stops, and answers status polls, which also extend the
// lease. What differs: the tasks of one job take unequal times, a task may fail
// after a while, and an answer lists 500 ends at most.
//
// The payload of a task is "sleep:MS" (its runs take 0.85 to 1.15 times that,
// drawn from the task's name, and end `done`), "exactly:MS" (its runs take just
// that) or "fail:MS" (its runs fail after that).
//
// GET /starts: {"starts": {TASK: count}}.
// GET /stats: {"most_running", "running", "lapses"}: the highest and the
// current number of active runs, and the number of runs ended by lease expiry.
// GET /runs: {"runs": [{"task", "run", "life", "began", "ended", "how",
// "acknowledged", "lapsed"}]}, the newest ones. Times are microseconds of the
// machine's clock (Now()), 0 if the event has not happened. "life" is the id of
// the worker's session, "acknowledged" the time of the first poll that
// acknowledged the end, "lapsed" the time at which the lease expired before any
// such poll.
//
// POST /behave sets its behaviour; all members are optional:
//   "sidecar": ADDRESS             where heartbeats go
//   "state": "ready" | "draining"  state in the heartbeats
//   "fail": BOOL                   new runs fail
//   "hang": BOOL                   runs do not finish by themselves
//   "silent": BOOL                 no answers, no heartbeats
//   "lose_starts": N               execute the next N starts without an answer
//   "delay_starts": N              execute the next N starts 2 s later, without
//                                  an answer
//   "life": TEXT                   crash and begin a new session with this id,
//                                  which may be the present one
//   "crash": BOOL                  crash and begin a new session, same id
//
// Contents
//   [1] State
//   [2] Request handlers
//   [3] Heartbeats and timers
//   [4] Main

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "../../src/apps/app.h"
#include "../../src/net/control_loop.h"
#include "../../src/net/http_client.h"
#include "../../src/net/http_server.h"

DEFINE_string(http, "127.0.0.1:0", "ip:port to listen on");
DEFINE_string(service, "slots", "service to announce");
DEFINE_int32(cpu, 8000, "capacity, thousandths of a core");
DEFINE_string(label, "a", "the worker's kind, its only label");
DEFINE_int32(announce_ms, 300, "interval between heartbeats");
DEFINE_int32(stop_ms, 50, "longest duration of a stop");
DEFINE_int32(clock_slow_percent, 0, "the lease clock runs slower by this much");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStep{2};
constexpr micros kStartDelay = Millis(2000);
constexpr int64_t kMaxLeaseMs = 1000;
constexpr size_t kMaxHistory = 20'000;
constexpr micros kNever{std::numeric_limits<int64_t>::max()};

// ---- [1] State --------------------------------------------------------------

struct run_key {
  std::string task;
  uint32_t run = 0;
  auto operator<=>(const run_key&) const = default;
};

struct active_run {
  micros started_at{0};
  micros ends_at{0};
  micros stops_at{kNever};  // when a requested stop takes effect
  bool fails = false;
};

struct run_record {
  run_key key;
  std::string session_id;
  int64_t session_started_ms = 0;  // tells sessions with the same id apart
  micros began{0};
  micros ended{0};
  const char* outcome = "";
  uint64_t end_number = 0;  // of the end, counted per session
  micros acknowledged_at{0};
  micros lease_expired_at{0};
};

struct open_poll {
  ticket_id ticket;
  micros deadline{0};
};

struct delayed_start {
  micros start_at{0};
  std::string session_id;  // named by the request; empty: any
  json body;
};

struct worker {
  void Start();
  void Run();
  void OnRequest(const http_request& r);
  void HandleStart(const http_request& r);
  void HandleStop(const http_request& r, const json& body);
  void HandlePoll(const http_request& r, const json& body);
  void ApplyBehaviour(const json& body);
  void KillRuns();
  void Reply(ticket_id ticket, int status, json body);
  std::string RejectionReason(const json& body);  // empty: accepted
  void StartRun(const json& body);
  void EndRun(const run_key& key, const char* how, micros at);
  void EndDueRuns(micros now);  // by completion, stop or expiry
  void ExtendLease(const json& body);
  micros LeaseExpiry() const;
  run_record* FindRecord(const run_key& key);  // null: dropped
  json HistoryJson() const;
  void Tick();
  void SendHeartbeat();
  json PollAnswer();
  // Milliseconds since the session began, on the worker's own clock.
  int64_t ClockMs() const {
    return (Now() - session_started).value * (100 - FLAGS_clock_slow_percent) /
           100'000;
  }

  std::unique_ptr<http_server> server;
  http_client client;
  control_loop<int> loop;
  std::string address;
  std::mutex mutex;
  micros session_started = Now();
  int64_t session_started_ms = WallMillis();
  std::string session_id = "life-1";
  std::string sidecar;
  std::string state = "ready";
  uint64_t heartbeats_sent = 0;
  micros next_heartbeat_at{0};
  bool fail = false;
  bool hang = false;
  bool silent = false;
  int start_replies_to_drop = 0;
  int starts_to_delay = 0;
  uint64_t fence = 0;
  int64_t lease_until = 0;
  uint64_t next_end_number = 1;
  std::map<run_key, active_run> runs;
  std::deque<run_record> history;
  std::minstd_rand random{static_cast<unsigned>(getpid())};
  std::map<std::string, uint32_t> last_ended_run;
  std::vector<json> unacknowledged_ends;
  std::vector<open_poll> open_polls;
  std::vector<delayed_start> delayed_starts;
  std::map<std::string, int> starts_by_task;
  size_t most_running = 0;
  int expired_runs = 0;
};

void worker::Reply(ticket_id ticket, int status, json body) {
  body["clockMs"] = ClockMs();
  http_response response;
  response.status = status;
  response.body = body.dump();
  server->Answer(ticket, response);
}

// ---- [2] Request handlers ---------------------------------------------------

run_record* worker::FindRecord(const run_key& key) {
  for (auto it = history.rbegin(); it != history.rend(); ++it) {
    if (it->key == key && it->session_started_ms == session_started_ms)
      return &*it;
  }
  return nullptr;
}

void worker::EndRun(const run_key& key, const char* how, micros at) {
  last_ended_run[key.task] = std::max(last_ended_run[key.task], key.run);
  if (run_record* record = FindRecord(key)) {
    record->ended = at;
    record->outcome = how;
    record->end_number = next_end_number;
  }
  unacknowledged_ends.push_back(
      {next_end_number++, key.task, key.run, how, ""});
  runs.erase(key);
}

// Time on the machine's clock at which the lease expires and all active runs
// are killed.
micros worker::LeaseExpiry() const {
  const int64_t rate = 100 - FLAGS_clock_slow_percent;
  return session_started + micros{lease_until * 100'000 / rate};
}

// Ends each run whose end is due, with the time at which it was due, even if
// this is called later. A poll that arrives after the lease has expired
// therefore saves no run.
void worker::EndDueRuns(micros now) {
  const micros expiry = LeaseExpiry();
  std::vector<run_key> due_runs;
  for (const auto& [key, run] : runs) {
    if (std::min({hang ? kNever : run.ends_at, run.stops_at, expiry}) <= now)
      due_runs.push_back(key);
  }
  for (const run_key& key : due_runs) {
    const active_run run = runs.at(key);
    const micros ends = hang ? kNever : run.ends_at;
    if (expiry <= std::min(ends, run.stops_at)) {
      ++expired_runs;
      EndRun(key, "lapsed", expiry);
    } else if (run.stops_at < ends) {
      EndRun(key, "stopped", run.stops_at);
    } else {
      EndRun(key, run.fails ? "failed" : "done", ends);
    }
  }
  if (now < expiry)
    return;
  for (run_record& record : history) {
    if (record.session_started_ms == session_started_ms &&
        record.ended != micros{0} && record.acknowledged_at == micros{0} &&
        record.lease_expired_at == micros{0})
      record.lease_expired_at = std::max(record.ended, expiry);
  }
}

// Never shortens the lease.
void worker::ExtendLease(const json& body) {
  lease_until = std::max(
      lease_until,
      std::min(body.value("deadlineMs", int64_t{0}), ClockMs() + kMaxLeaseMs));
}

std::string worker::RejectionReason(const json& body) {
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  if (body.value("fencingToken", uint64_t{0}) < fence)
    return "fence";
  fence = body.value("fencingToken", uint64_t{0});
  if (body.at("deadlineMs").get<int64_t>() <= ClockMs())
    return "late";
  if (last_ended_run.count(task) != 0 && last_ended_run[task] >= run) {
    ExtendLease(body);
    return "old";
  }
  return "";
}

// Durations of a job's tasks differ by up to 15% from the given one.
micros DurationOf(const std::string& spec, const std::string& task) {
  constexpr int64_t kLeastPercent = 85;
  constexpr uint64_t kPercentRange = 31;
  const int64_t ms = std::stoll(spec.substr(spec.find(':') + 1));
  if (!spec.starts_with("sleep:"))
    return Millis(ms);
  const auto extra =
      static_cast<int64_t>(std::hash<std::string>()(task) % kPercentRange);
  return Millis(ms * (kLeastPercent + extra) / 100);
}

void worker::StartRun(const json& body) {
  const std::string task = body.at("task");
  const std::string spec = body.at("spec");
  const run_key key{task, body.at("run")};
  if (runs.count(key) != 0)
    return;
  ExtendLease(body);
  active_run run;
  run.fails = fail || spec.starts_with("fail:");
  run.started_at = Now();
  run.ends_at = run.started_at + DurationOf(spec, task);
  runs[key] = run;
  history.push_back({key, session_id, session_started_ms, run.started_at});
  if (history.size() > kMaxHistory)
    history.pop_front();
  ++starts_by_task[task];
  most_running = std::max(most_running, runs.size());
}

void worker::HandleStart(const http_request& r) {
  const json body = json::parse(r.body);
  if (starts_to_delay > 0) {
    --starts_to_delay;
    delayed_starts.push_back(
        {Now() + kStartDelay, r.kept.empty() ? "" : r.kept[0], body});
    return;
  }
  const std::string reason = RejectionReason(body);
  if (!reason.empty()) {
    Reply(r.ticket, 409, {{"reason", reason}});
    return;
  }
  StartRun(body);
  if (start_replies_to_drop > 0) {
    --start_replies_to_drop;
    return;
  }
  Reply(r.ticket, 200, json::object());
}

void worker::HandleStop(const http_request& r, const json& body) {
  const std::string task = body.at("task");
  const uint32_t run = body.at("run");
  last_ended_run[task] = std::max(last_ended_run[task], run);
  const auto it = runs.find({task, run});
  if (it != runs.end() && it->second.stops_at == kNever)
    it->second.stops_at = Now() + Millis(std::uniform_int_distribution<int64_t>(
                                      0, FLAGS_stop_ms)(random));
  Reply(r.ticket, 200, json::object());
}

int64_t ProgressPercent(const active_run& run, micros now) {
  const int64_t total =
      std::max<int64_t>(1, (run.ends_at - run.started_at).value);
  return std::clamp<int64_t>((now - run.started_at).value * 100 / total, 0,
                             100);
}

json worker::PollAnswer() {
  constexpr size_t kMostEnds = 500;
  json answer = {{"running", json::array()},
                 {"finished", json::array()},
                 {"born", session_started_ms}};
  for (const json& end : unacknowledged_ends) {
    if (answer["finished"].size() < kMostEnds)
      answer["finished"].push_back(end);
  }
  for (const auto& [key, run] : runs)
    answer["running"].push_back(
        {key.task, key.run, "", hang ? 50 : ProgressPercent(run, Now())});
  return answer;
}

void worker::HandlePoll(const http_request& r, const json& body) {
  const auto token = body.value("fencingToken", uint64_t{0});
  if (token < fence) {
    Reply(r.ticket, 409, {{"reason", "fence"}});
    return;
  }
  fence = token;
  ExtendLease(body);
  const auto acknowledged = body.value("lastSeen", uint64_t{0});
  for (run_record& record : history) {
    if (record.session_started_ms == session_started_ms &&
        record.end_number != 0 && record.end_number <= acknowledged &&
        record.acknowledged_at == micros{0})
      record.acknowledged_at = Now();
  }
  std::erase_if(unacknowledged_ends,
                [&](const json& e) { return e[0] <= acknowledged; });
  const int64_t wait = body.value("waitMs", int64_t{0});
  if (wait > 0 && unacknowledged_ends.empty())
    open_polls.push_back({r.ticket, Now() + Millis(wait)});
  else
    Reply(r.ticket, 200, PollAnswer());
}

// The active runs end with the session and are not reported.
void worker::KillRuns() {
  for (const auto& [key, run] : runs) {
    if (run_record* record = FindRecord(key)) {
      record->ended = Now();
      record->outcome = "crashed";
    }
  }
  runs.clear();
}

json worker::HistoryJson() const {
  json all = json::array();
  for (const run_record& record : history) {
    all.push_back({{"task", record.key.task},
                   {"run", record.key.run},
                   {"life", record.session_id},
                   {"began", record.began.value},
                   {"ended", record.ended.value},
                   {"how", record.outcome},
                   {"acknowledged", record.acknowledged_at.value},
                   {"lapsed", record.lease_expired_at.value}});
  }
  return all;
}

void worker::ApplyBehaviour(const json& body) {
  sidecar = body.value("sidecar", sidecar);
  state = body.value("state", state);
  fail = body.value("fail", fail);
  hang = body.value("hang", hang);
  silent = body.value("silent", silent);
  start_replies_to_drop = body.value("lose_starts", start_replies_to_drop);
  starts_to_delay = body.value("delay_starts", starts_to_delay);
  next_heartbeat_at = micros{0};
  if (!body.contains("life") && !body.value("crash", false))
    return;
  KillRuns();
  session_id = body.value("life", session_id);
  session_started = Now();
  session_started_ms = std::max(session_started_ms + 1, WallMillis());
  heartbeats_sent = 0;
  fence = 0;
  lease_until = 0;
  next_end_number = 1;
  last_ended_run.clear();
  unacknowledged_ends.clear();
  open_polls.clear();
}

void worker::OnRequest(const http_request& r) {
  const std::lock_guard lock(mutex);
  EndDueRuns(Now());
  try {
    if (r.path == "/behave") {
      ApplyBehaviour(json::parse(r.body));
      Reply(r.ticket, 200, json::object());
    } else if (r.path == "/starts") {
      Reply(r.ticket, 200, {{"starts", starts_by_task}});
    } else if (r.path == "/runs") {
      Reply(r.ticket, 200, {{"runs", HistoryJson()}});
    } else if (r.path == "/stats") {
      Reply(r.ticket, 200,
            {{"most_running", most_running},
             {"running", runs.size()},
             {"lapses", expired_runs}});
    } else if (silent) {
      return;
    } else if (!r.kept.empty() && !r.kept[0].empty() &&
               r.kept[0] != session_id) {
      Reply(r.ticket, 421, json::object());
    } else if (r.path == "/api/run-start") {
      HandleStart(r);
    } else if (r.path == "/api/run-stop") {
      HandleStop(r, json::parse(r.body));
    } else if (r.path == "/api/hold") {
      HandlePoll(r, json::parse(r.body));
    } else {
      Reply(r.ticket, 404, json::object());
    }
  } catch (const std::exception& e) {
    Reply(r.ticket, 400, {{"error", e.what()}});
  }
}

// ---- [3] Heartbeats and timers ----------------------------------------------

void worker::SendHeartbeat() {
  if (sidecar.empty() || silent || Now() < next_heartbeat_at)
    return;
  next_heartbeat_at = Now() + Millis(FLAGS_announce_ms);
  http_call call;
  call.method = "POST";
  call.url =
      "http://" + sidecar + "/api/instances/" + session_id + "/heartbeat";
  call.timeout_ms = 1000;
  call.body =
      json{{"service", FLAGS_service},
           {"addr", address},
           {"zone", "a"},
           {"version", "v1"},
           {"slots", 8},
           {"state", state},
           {"coldLeftMs", 0},
           {"capacity", {{"cpu", FLAGS_cpu}, {"memMb", 65536}, {"gpu", 0}}},
           {"labels", {FLAGS_label}},
           {"clockMs", ClockMs()},
           {"born", session_started_ms},
           {"callSeq", ++heartbeats_sent}}
          .dump();
  client.Start(std::move(call), [](const http_reply&) {});
}

void worker::Tick() {
  const std::lock_guard lock(mutex);
  const micros now = Now();
  EndDueRuns(now);
  std::erase_if(delayed_starts, [&](const delayed_start& d) {
    if (d.start_at > now)
      return false;
    const bool session_matches =
        d.session_id.empty() || d.session_id == session_id;
    if (session_matches && RejectionReason(d.body).empty())
      StartRun(d.body);
    return true;
  });
  std::erase_if(open_polls, [&](const open_poll& poll) {
    if (unacknowledged_ends.empty() && now < poll.deadline)
      return false;
    Reply(poll.ticket, 200, PollAnswer());
    return true;
  });
  SendHeartbeat();
}

// ---- [4] Main ---------------------------------------------------------------

void worker::Start() {
  http_server_options options;
  options.address = FLAGS_http;
  options.threads = 1;
  options.keep_headers = {"X-Cassiaferry-Expect-Instance"};
  server = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [](ticket_id) {});
  address = StartOrDie(*server, "worker: ");
  PrintReady({{"http", address}, {"pid", getpid()}});
}

void worker::Run() {
  std::thread clock(
      [this] { loop.Run(kStep, [this](const std::vector<int>&) { Tick(); }); });
  clock.join();
  server->Stop();
  client.Stop();
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp("Stand-in for a platform's worker, for the review only.", &argc,
          &argv);
  HandleSignals("worker: ");
  worker w;
  w.Start();
  OnStop([&w] { w.loop.Stop(); });
  w.Run();
  return kExitOk;
}
