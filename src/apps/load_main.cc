// cassiaferry-load: open-loop load by seed, measured from the caller's side,
// and policies side by side.
//
// Contents
//   [1] The system under load
//   [2] Sending
//   [3] Measuring
//   [4] Report
//   [5] Main

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "../net/control_loop.h"
#include "../net/http_client.h"
#include "app.h"
#include "load_floor.h"
#include "load_shape.h"

DEFINE_string(system, "", "file with the line that cassiaferry-local printed");
DEFINE_string(shape, "", "shape file (JSON); empty: the default shape");
DEFINE_string(set,
              "",
              "members of the shape to change, as JSON: {\"load\":0.95}");
DEFINE_uint64(seed, 1, "of the jobs drawn");
DEFINE_int32(runs, 1, "runs of each policy, with seeds that follow --seed");
DEFINE_string(
    compare,
    "",
    "policies to run one after the other, by comma; empty: as configured");
DEFINE_string(out, "", "file to write the results to, as JSON");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPoll{20};
constexpr int kConfigPolls = 500;
constexpr size_t kSmallJob = 20;
constexpr size_t kLargeJob = 100;

// ---- [1] The system under load ----------------------------------------------

json ReadSystem() {
  std::string error;
  const std::string text = ReadFile(FLAGS_system, error);
  if (!error.empty())
    Die(kExitBadInput,
        "load: " + FLAGS_system + ": " + error + " (--system FILE)");
  json j = json::parse(text.substr(0, text.find('\n')), nullptr, false);
  if (!j.is_object() || !j.contains("entries"))
    Die(kExitBadInput,
        "load: " + FLAGS_system + ": not a line of cassiaferry-local");
  return j;
}

std::string Bearer(const json& system) {
  return "Authorization: Bearer " + system["admin_token"].get<std::string>();
}

// Makes the policy the default everywhere, and waits until it is.
void SwitchPolicy(const json& system, const std::string& policy) {
  const std::string first = system["entries"][0]["http"];
  const json current =
      json::parse(Fetch("GET", first, "/v1/config", "", {Bearer(system)}).body,
                  nullptr, false);
  if (!current.is_object() || !current["config"]["policies"].contains(policy))
    Die(kExitBadInput,
        "load: no policy is named \"" + policy + "\" in the configuration");
  json config = current["config"];
  config["default_policy"] = policy;
  const json body = {{"config", config}, {"author", "cassiaferry-load"}};
  const uint64_t version = current["version"];
  const http_reply reply =
      Fetch("PUT", first, "/v1/config", body.dump(),
            {Bearer(system), "If-Match: " + std::to_string(version)});
  if (reply.status != 200)
    Die(kExitFailed,
        "load: the policy could not be set: " + reply.body + reply.error);
  for (const json& entry : system["entries"]) {
    for (int i = 0; i < kConfigPolls; ++i) {
      const json status = json::parse(
          Fetch("GET", entry["http"], "/v1/status").body, nullptr, false);
      if (status.is_object() && status["config_version"] > version)
        break;
      std::this_thread::sleep_for(kPoll);
    }
  }
}

void Behave(const json& system, int upstream, const json& behaviour) {
  if (upstream >= 0 && upstream < static_cast<int>(system["upstreams"].size()))
    Fetch("POST", system["upstreams"][upstream]["http"], "/behave",
          behaviour.dump());
}

// Counters of all entries and sidecars, summed by name and label.
std::map<std::string, double> ReadCounters(const json& system) {
  std::map<std::string, double> sums;
  for (const char* role : {"entries", "sidecars"}) {
    for (const json& process : system[role]) {
      std::istringstream lines(Fetch("GET", process["http"], "/metrics").body);
      std::string line;
      while (std::getline(lines, line)) {
        const size_t space = line.rfind(' ');
        if (!line.empty() && line[0] != '#' && space != std::string::npos)
          sums[line.substr(0, space)] += std::atof(line.c_str() + space);
      }
    }
  }
  return sums;
}

double DuplicateStarts(const json& system) {
  std::map<std::string, int> starts;
  for (const json& upstream : system["upstreams"]) {
    const json j = json::parse(Fetch("GET", upstream["http"], "/starts").body,
                               nullptr, false);
    if (!j.is_object())
      continue;
    for (const auto& [task, count] : j.items())
      starts[task] += count.get<int>();
  }
  double duplicates = 0;
  for (const auto& [task, count] : starts)
    duplicates += count - 1;
  return duplicates;
}

// ---- [2] Sending ------------------------------------------------------------

enum class outcome : uint8_t {
  open,
  complete,
  failed,
  refused,
  wrong,
  cancelled
};

struct sent_job {
  outcome what = outcome::open;
  double response_ms = 0;
  uint64_t call = 0;
  std::string reason;
};

class sender {
 public:
  sender(const json& system,
         const load_shape& shape,
         std::vector<planned_job> jobs)
      : shape_(shape), jobs_(std::move(jobs)), sent_(jobs_.size()) {
    for (const json& entry : system["entries"])
      entries_.push_back(entry["http"]);
  }

  void Run();

  const std::vector<planned_job>& Jobs() const { return jobs_; }
  const std::vector<sent_job>& Sent() const { return sent_; }

 private:
  std::string Body(size_t i) const;
  void Start(size_t i);
  void Finish(size_t i, micros started, const http_reply& reply);
  bool IsOwn(size_t i, const json& answer) const;
  void RunOpen();
  void RunClosed();
  void CancelSome();
  void Progress(bool last);

  load_shape shape_;
  std::vector<planned_job> jobs_;
  std::vector<std::string> entries_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<sent_job> sent_;
  size_t started_ = 0;
  size_t ended_ = 0;
  micros last_progress_{0};
  http_client client_;
};

std::string OutputOf(size_t job, size_t task) {
  return "j" + std::to_string(job) + "t" + std::to_string(task);
}

std::string sender::Body(size_t i) const {
  const planned_job& job = jobs_[i];
  json tasks = json::array();
  for (size_t t = 0; t < job.run_ms.size(); ++t) {
    tasks.push_back(
        {{"payload",
          "sleep:" + std::to_string(job.run_ms[t]) + ";" + OutputOf(i, t)},
         {"expected_ms", static_cast<int64_t>(job.declared_ms[t])}});
  }
  return json{{"team", job.team},
              {"upstream", shape_.upstream},
              {"deadline_ms", shape_.deadline_ms},
              {"tasks", std::move(tasks)}}
      .dump();
}

// Whole, in order, and the answer to this very job.
bool sender::IsOwn(size_t i, const json& answer) const {
  if (!answer.is_object() || answer.value("state", "") != "complete")
    return false;
  const json& results = answer["results"];
  if (results.size() != jobs_[i].run_ms.size())
    return false;
  for (size_t t = 0; t < results.size(); ++t) {
    if (results[t]["task"] != t || results[t]["output"] != OutputOf(i, t))
      return false;
  }
  return true;
}

void sender::Finish(size_t i, micros started, const http_reply& reply) {
  const double response_ms =
      static_cast<double>((Now() - started).value) / 1000;
  const json answer = json::parse(reply.body, nullptr, false);
  const std::lock_guard lock(mutex_);
  sent_job& job = sent_[i];
  if (job.what == outcome::cancelled)
    return;
  job.response_ms = response_ms;
  ++ended_;
  if (reply.status == 200) {
    job.what = IsOwn(i, answer) ? outcome::complete : outcome::wrong;
  } else {
    const std::string verdict =
        answer.is_object() ? answer.value("verdict", "") : "";
    job.what = verdict == "not_run" ? outcome::refused : outcome::failed;
    job.reason =
        answer.is_object() ? answer.value("reason", "no_answer") : "no_answer";
  }
  wake_.notify_one();
}

void sender::Start(size_t i) {
  http_call call;
  call.method = "POST";
  call.url = "http://" + entries_[i % entries_.size()] + "/v1/jobs";
  call.body = Body(i);
  call.timeout_ms = shape_.deadline_ms + 10'000;
  call.connect_timeout_ms = 5000;
  const micros started = Now();
  const uint64_t id = client_.Start(
      std::move(call), [this, i, started](const http_reply& reply) {
        Finish(i, started, reply);
      });
  const std::lock_guard lock(mutex_);
  sent_[i].call = id;
  ++started_;
}

void sender::CancelSome() {
  std::mt19937_64 random(FLAGS_seed);
  const std::lock_guard lock(mutex_);
  for (sent_job& job : sent_) {
    const bool drawn = std::uniform_real_distribution<double>(0, 1)(random) <
                       shape_.cancel_share;
    if (job.call == 0 || job.what != outcome::open || !drawn)
      continue;
    client_.Cancel(job.call);
    job.what = outcome::cancelled;
    ++ended_;
  }
}

void sender::Progress(bool last) {
  if (isatty(STDERR_FILENO) == 0 ||
      (!last && Now() - last_progress_ < Millis(500)))
    return;
  last_progress_ = Now();
  std::fprintf(stderr, "\rload: %zu of %zu jobs sent, %zu ended ", started_,
               jobs_.size(), ended_);
  if (last)
    std::fprintf(stderr, "\n");
}

void sender::RunOpen() {
  const micros start = Now();
  bool cancelled = shape_.cancel_at_s <= 0;
  const micros cancel_at{static_cast<int64_t>(shape_.cancel_at_s * 1e6)};
  for (size_t i = 0; i < jobs_.size(); ++i) {
    for (micros left = start + jobs_[i].at - Now(); left.value > 0;
         left = start + jobs_[i].at - Now())
      std::this_thread::sleep_for(
          std::chrono::microseconds(std::min<int64_t>(left.value, 100'000)));
    if (!cancelled && jobs_[i].at > cancel_at) {
      CancelSome();
      cancelled = true;
    }
    Start(i);
    Progress(false);
  }
}

void sender::RunClosed() {
  for (size_t i = 0; i < jobs_.size(); ++i) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [&] { return started_ - ended_ < shape_.callers; });
    }
    Start(i);
    Progress(false);
  }
}

void sender::Run() {
  if (shape_.callers > 0)
    RunClosed();
  else
    RunOpen();
  std::unique_lock lock(mutex_);
  while (ended_ < jobs_.size()) {
    wake_.wait_for(lock, kPoll);
    Progress(false);
  }
  Progress(true);
}

// ---- [3] Measuring ----------------------------------------------------------

double Quantile(std::vector<double>& sorted, double q) {
  if (sorted.empty())
    return 0;
  return sorted[std::min(
      sorted.size() - 1,
      static_cast<size_t>(q * static_cast<double>(sorted.size())))];
}

json Distribution(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  double sum = 0;
  for (double v : values)
    sum += v;
  return {
      {"n", values.size()},
      {"mean", values.empty() ? 0 : sum / static_cast<double>(values.size())},
      {"p50", Quantile(values, 0.5)},
      {"p95", Quantile(values, 0.95)},
      {"p99", Quantile(values, 0.99)}};
}

// Time of a request that does no work: the caller's round trip.
double RoundTripMs(const json& system) {
  constexpr int kSamples = 21;
  std::vector<double> times;
  http_client client;
  for (int i = 0; i < kSamples; ++i) {
    std::mutex mutex;
    std::condition_variable wake;
    bool done = false;
    http_call call;
    call.url = "http://" + system["entries"][0]["http"].get<std::string>() +
               "/healthz";
    const micros start = Now();
    client.Start(std::move(call), [&](const http_reply&) {
      const std::lock_guard lock(mutex);
      done = true;
      wake.notify_one();
    });
    std::unique_lock lock(mutex);
    wake.wait(lock, [&] { return done; });
    times.push_back(static_cast<double>((Now() - start).value) / 1000);
  }
  std::sort(times.begin(), times.end());
  return times[kSamples / 2];
}

// `response_ms` is negative for a job without a whole answer.
json MeasureRatios(const std::vector<planned_job>& jobs,
                   const std::vector<double>& response_ms,
                   double round_trip_ms) {
  std::vector<double> all;
  std::vector<double> small;
  std::vector<double> large;
  std::map<std::string, std::vector<double>> teams;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (response_ms[i] < 0)
      continue;
    const double ratio = response_ms[i] / (jobs[i].longest_ms + round_trip_ms);
    all.push_back(ratio);
    teams[jobs[i].team].push_back(ratio);
    if (jobs[i].run_ms.size() <= kSmallJob)
      small.push_back(ratio);
    if (jobs[i].run_ms.size() > kLargeJob)
      large.push_back(ratio);
  }
  json j = {{"all", Distribution(all)},
            {"small", Distribution(small)},
            {"large", Distribution(large)}};
  for (const auto& [team, ratios] : teams)
    j["teams"][team] = Distribution(ratios);
  return j;
}

std::vector<double> Responses(const sender& s) {
  std::vector<double> response_ms;
  response_ms.reserve(s.Sent().size());
  for (const sent_job& job : s.Sent())
    response_ms.push_back(job.what == outcome::complete ? job.response_ms : -1);
  return response_ms;
}

json CountOutcomes(const sender& s) {
  constexpr std::array<const char*, 6> kNames = {
      "open", "complete", "failed", "refused", "wrong", "cancelled"};
  json j = json::object();
  for (const char* name : kNames)
    j[name] = 0;
  j["reasons"] = json::object();
  for (const sent_job& job : s.Sent()) {
    const char* name = kNames[static_cast<size_t>(job.what)];
    j[name] = j[name].get<int>() + 1;
    if (!job.reason.empty())
      j["reasons"][job.reason] = j["reasons"].value(job.reason, 0) + 1;
  }
  return j;
}

// Records on the wire beyond one start and one result, for each task started.
// Heartbeats depend on time and not on tasks; they are given on their own.
json CountRecords(const std::map<std::string, double>& before,
                  const std::map<std::string, double>& after) {
  const std::string prefix = "cassiaferry_records_sent_total{kind=\"";
  json kinds = json::object();
  double wasted = 0;
  for (const auto& [name, value] : after) {
    if (!name.starts_with(prefix))
      continue;
    const std::string kind =
        name.substr(prefix.size(), name.size() - prefix.size() - 2);
    const auto earlier = before.find(name);
    kinds[kind] = value - (earlier == before.end() ? 0 : earlier->second);
    if (kind != "start" && kind != "result" && kind != "heartbeat")
      wasted += kinds[kind].get<double>();
  }
  const double results = std::max(1.0, kinds.value("result", 0.0));
  // A start beyond the first of a task, after a reject, is wasted too.
  wasted += std::max(0.0, kinds.value("start", 0.0) - results);
  return {{"kinds", kinds},
          {"wasted_per_task", wasted / results},
          {"heartbeats_per_task", kinds.value("heartbeat", 0.0) / results}};
}

json RunOnce(const json& system,
             const load_shape& shape,
             const std::string& policy,
             uint64_t seed) {
  if (!policy.empty())
    SwitchPolicy(system, policy);
  Behave(system, shape.slow_upstream, {{"slow", shape.slow_factor}});
  Behave(system, shape.failing_upstream, {{"mode", "fail"}});
  const double round_trip_ms = RoundTripMs(system);
  const auto before = ReadCounters(system);
  sender s(system, shape, PlanJobs(shape, seed));
  s.Run();
  const auto after = ReadCounters(system);
  Behave(system, shape.slow_upstream, {{"slow", 1}});
  Behave(system, shape.failing_upstream, {{"mode", "normal"}});
  return {{"policy", policy.empty() ? "as configured" : policy},
          {"shape", shape.name},
          {"load", shape.load},
          {"seed", seed},
          {"round_trip_ms", round_trip_ms},
          {"jobs", CountOutcomes(s)},
          {"ratio", MeasureRatios(s.Jobs(), Responses(s), round_trip_ms)},
          {"records", CountRecords(before, after)},
          {"duplicate_starts", DuplicateStarts(system)}};
}

// ---- [4] Report -------------------------------------------------------------

void PrintHead() {
  std::printf(
      "%-16s %5s %6s %5s %5s %5s | %6s %6s %6s %6s | %6s %6s %6s | %6s %4s\n",
      "policy", "seed", "done", "fail", "refus", "wrong", "mean", "p50", "p95",
      "p99", "<=20", "p99", ">100", "wasted", "dup");
  std::printf("%-16s %5s %6s %5s %5s %5s | %27s | %6s %6s %6s | %6s %4s\n", "",
              "", "", "", "", "", "response/ideal", "mean", "", "p99", "/task",
              "");
}

void PrintRun(const json& r) {
  const json& jobs = r["jobs"];
  const json& all = r["ratio"]["all"];
  const json& small = r["ratio"]["small"];
  std::printf(
      "%-16s %5lu %6d %5d %5d %5d | %6.3f %6.3f %6.3f %6.3f | %6.3f %6.3f "
      "%6.3f | %6.3f %4.0f\n",
      r["policy"].get<std::string>().c_str(), r["seed"].get<uint64_t>(),
      jobs["complete"].get<int>(), jobs["failed"].get<int>(),
      jobs["refused"].get<int>(), jobs["wrong"].get<int>(),
      all["mean"].get<double>(), all["p50"].get<double>(),
      all["p95"].get<double>(), all["p99"].get<double>(),
      small["mean"].get<double>(), small["p99"].get<double>(),
      r["ratio"]["large"]["p99"].get<double>(),
      r["records"]["wasted_per_task"].get<double>(),
      r["duplicate_starts"].get<double>());
  std::fflush(stdout);
}

void PrintFloor(const load_shape& shape, uint64_t seed, floor_order order) {
  const std::vector<planned_job> jobs = PlanJobs(shape, seed);
  const json ratio =
      MeasureRatios(jobs, CentralQueue(jobs, shape.slots, order), 0);
  const json& all = ratio["all"];
  const json& small = ratio["small"];
  std::printf(
      "%-16s %5lu %6zu %5s %5s %5s | %6.3f %6.3f %6.3f %6.3f | %6.3f %6.3f "
      "%6.3f |\n",
      order == floor_order::first_come ? "floor: first" : "floor: fewest", seed,
      jobs.size(), "", "", "", all["mean"].get<double>(),
      all["p50"].get<double>(), all["p95"].get<double>(),
      all["p99"].get<double>(), small["mean"].get<double>(),
      small["p99"].get<double>(), ratio["large"]["p99"].get<double>());
}

// ---- [5] Main ---------------------------------------------------------------

load_shape ReadShapeFlags() {
  json j = json::object();
  std::string error;
  if (!FLAGS_shape.empty()) {
    const std::string text = ReadFile(FLAGS_shape, error);
    if (!error.empty() || !ParseJson(text, j, error))
      Die(kExitBadInput, "load: " + FLAGS_shape + ": " + error);
  }
  if (!FLAGS_set.empty()) {
    json changes;
    if (!ParseJson(FLAGS_set, changes, error))
      Die(kExitBadInput, "load: --set: " + error);
    j.merge_patch(changes);
  }
  load_shape shape = ReadShape(j, error);
  if (!error.empty())
    Die(kExitBadInput,
        "load: " + (FLAGS_shape.empty() ? "--set" : FLAGS_shape) + ": " +
            error);
  return shape;
}

std::vector<std::string> Policies() {
  std::vector<std::string> names;
  std::istringstream list(FLAGS_compare);
  std::string name;
  while (std::getline(list, name, ','))
    names.push_back(name);
  return names.empty() ? std::vector<std::string>{""} : names;
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;  // NOLINT(google-build-using-namespace)
  InitApp(
      "cassiaferry-load --system FILE [--shape FILE] [--compare a,b]\nLoad by "
      "seed, measured from the caller's side.",
      &argc, &argv);
  const json system = ReadSystem();
  const load_shape shape = ReadShapeFlags();
  std::printf("shape %s: load %.2f of %u slots\n", shape.name.c_str(),
              shape.load, shape.slots);
  PrintHead();
  for (int run = 0; run < FLAGS_runs; ++run) {
    PrintFloor(shape, FLAGS_seed + static_cast<uint64_t>(run),
               floor_order::first_come);
    PrintFloor(shape, FLAGS_seed + static_cast<uint64_t>(run),
               floor_order::fewest_remaining);
  }
  json results = json::array();
  bool all_right = true;
  for (const std::string& policy : Policies()) {
    for (int run = 0; run < FLAGS_runs; ++run) {
      json r = RunOnce(system, shape, policy,
                       FLAGS_seed + static_cast<uint64_t>(run));
      PrintRun(r);
      all_right =
          all_right && r["jobs"]["wrong"] == 0 && r["duplicate_starts"] == 0;
      results.push_back(std::move(r));
    }
  }
  if (!FLAGS_out.empty())
    std::ofstream(FLAGS_out) << results.dump(1) << "\n";
  return all_right ? kExitOk : kExitFailed;
}
