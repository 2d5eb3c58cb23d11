// cassiaferry-sidecar: stands beside one upstream instance and is the only one
// that starts tasks there.
//
// Contents
//   [1] Settings
//   [2] HTTP
//   [3] Actions
//   [4] Main

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <map>
#include <nlohmann/json.hpp>

#include "../../platform/store.h"
#include "../../platform/worker.h"
#include "../net/control_loop.h"
#include "../net/http_client.h"
#include "../net/http_server.h"
#include "../net/link_client.h"
#include "../net/row_watch.h"
#include "app.h"
#include "cassiaferry/directory.h"
#include "cassiaferry/sidecar.h"
#include "event_log.h"

DEFINE_string(settings, "", "settings file (JSON); see docs/OPERATIONS.md");
DEFINE_string(http,
              "",
              "ip:port to listen on, instead of the settings' \"http\"");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr char kPrefix[] = "sidecar: ";
constexpr std::chrono::milliseconds kIdleTick{50};
// While starts wait for room: a quarter of the time that they may.
constexpr std::chrono::milliseconds kWaitingTick{5};

// ---- [1] Settings -----------------------------------------------------------

const std::vector<field_rule> kRules = {
    {"name", field_kind::text, 1, 128, true},
    {"failure_domain", field_kind::text, 1, 128, true},
    {"http", field_kind::text, 3, 64, true},
    {"seeds", field_kind::array, 0, 1000, true},
    {"keep_slot_margin_ms", field_kind::integer, 0, 600'000},
    {"worker", field_kind::text, 3, 64},
    {"store", field_kind::text, 3, 64},
    {"lease_max_ms", field_kind::integer, 100, 600'000},
    {"resend_after_ms", field_kind::integer, 300, 600'000},
    {"stop_grace_s", field_kind::number, 0.1, 600},
    {"worker_record", field_kind::text, 1, 64},
    {"memory_mb", field_kind::integer, 64, 1 << 20},
};

const std::vector<field_rule> kAnnouncementRules = {
    {"address", field_kind::text, 3, 64, true},
    {"slots", field_kind::integer, 1, 10'000, true},
    {"connections", field_kind::integer, 1, 100'000},
    {"cores", field_kind::integer, 1, 100'000},
    {"memory_mb", field_kind::integer, 1, 100'000'000},
};

constexpr size_t kMemoryMb = 128;  // of the machine, where settings don't say
// To the one worker, on kept connections: a look, and orders beside it.
constexpr long kWorkerConnections = 6;
constexpr int64_t kDirectoryFeedWaitMs = 10'000;
constexpr micros kDirectoryGather = Millis(200);
constexpr micros kDirectoryRereadPerRow = Millis(1000);

void ReadLeaseOptions(const json& settings, sidecar_options& o) {
  if (!settings.contains("worker"))
    return;
  o.manages_leases = true;
  o.lease_manager.bounds =
      BoundsFor(Millis(settings.value("lease_max_ms", int64_t{1000})),
                Millis(settings.value("resend_after_ms", int64_t{1300})));
  // A later process has a later base. Should the clock have gone back, the
  // worker's refusals raise the fence.
  o.lease_manager.first_fence = static_cast<uint64_t>(WallMillis());
  o.lease_manager.holds_unknown_ends = settings.contains("store");
  const std::string record = settings.value("worker_record", "off");
  if (record != "off" && record != "store")
    Die(kExitBadInput,
        FLAGS_settings + ": /worker_record: must be one of off, store");
  o.keeps_worker_record = record == "store" && settings.contains("store");
  o.timing = TimingFor(o.lease_manager.bounds);
  o.redial = Millis(100);
  o.drain_grace =
      Millis(static_cast<int64_t>(settings.value("stop_grace_s", 6.0) * 600));
}

sidecar_options ReadOptions(const json& settings) {
  sidecar_options o;
  ReadLeaseOptions(settings, o);
  o.name = settings["name"];
  o.failure_domain = settings["failure_domain"];
  o.self = incarnation{RandomSeed()};
  o.seed = RandomSeed();
  o.keep_slot_margin = Millis(
      settings.value("keep_slot_margin_ms", ToMillis(o.keep_slot_margin)));
  for (const json& seed : settings["seeds"]) {
    std::string ip;
    uint16_t port = 0;
    if (!seed.is_string() || !SplitAddress(seed, ip, port))
      Die(kExitBadInput,
          FLAGS_settings + ": /seeds: each must be a text of the form ip:port");
    o.seeds.push_back(seed);
  }
  return o;
}

class sidecar_app {
 public:
  explicit sidecar_app(const json& settings);

  void Start(const json& settings);
  void Run();
  void Drain() { loop_.Post(drain_requested{}); }
  void Reload();  // any thread

 private:
  void OnRequest(const http_request& request);
  void Announce(const http_request& request, const std::string& name);
  void Reply(ticket_id ticket,
             int status,
             const std::string& body,
             const char* type = "application/json");
  void TellStatus(ticket_id ticket);
  void TellMetrics(ticket_id ticket);

  void Act(sidecar_action& action);
  void RunTask(const run_task& run);
  void StopTask(const stop_task& stop);
  bool TakeAnnouncement(const http_request& request);
  void LogNote(const lease_manager_log& note);
  void CallWorker(const lease_manager_action& action);
  void CallRecordStore(const row_call& call);
  void WatchDirectory(const std::string& store);
  void TakeDirectoryRows(const rows_reply& reply);

  sidecar_state state_;
  control_loop<sidecar_event> loop_;
  http_client http_;
  http_client worker_http_{kWorkerConnections};
  std::string worker_address_;
  link_client links_;
  std::unique_ptr<row_watch> directory_;  // control thread only
  row_store record_store_;                // set if the worker record is kept
  std::unique_ptr<http_server> server_;
  std::map<task_key, uint64_t> calls_;  // control thread only
  bool drained_ = false;
};

sidecar_app::sidecar_app(const json& settings)
    : state_(MakeSidecar(ReadOptions(settings))),
      links_(
          [this](entry_id link, entry_frame frame) {
            loop_.Post(link_frame_received{link, std::move(frame)});
          },
          [this](entry_id link, link_epoch epoch) {
            loop_.Post(link_lost{link, epoch});
          }) {
  loop_.WaitIn({[this](std::chrono::milliseconds most) { links_.Wait(most); },
                [this] { links_.Wake(); }});
}

void sidecar_app::Start(const json& settings) {
  worker_address_ = settings.value("worker", "");
  if (state_.options.keeps_worker_record) {
    record_store_ = platform::MakeRowStore(http_, settings["store"]);
    // The record is read in the first tick, which otherwise comes after
    // kIdleTick, half of the time in which the worker is to take work.
    loop_.TickWithin(std::chrono::milliseconds{0});
  }
  if (settings.contains("store"))
    WatchDirectory(settings["store"]);
  http_server_options options;
  options.address =
      FLAGS_http.empty() ? settings["http"].get<std::string>() : FLAGS_http;
  options.threads = 1;
  options.intake =
      IntakeFor(settings.value("memory_mb", kMemoryMb), options.max_body_bytes,
                ConnectionsWithin(options.intake.max_connections, 2));
  server_ = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [](ticket_id) {});
  const std::string address = StartOrDie(*server_, kPrefix);
  LOG(INFO) << kPrefix << "serving on " << address << " as "
            << state_.options.name;
  PrintReady({{"http", address}, {"pid", getpid()}});
  LogEvent("sidecar", "start",
           {{"sidecar", state_.options.name},
            {"incarnation", ToHex(state_.options.self.value)}});
}

// Bounds and times may change while the process runs; addresses and names need
// a restart. A file that can't be used changes nothing.
void sidecar_app::Reload() {
  std::string error;
  const json settings = ReReadSettings(FLAGS_settings, kRules, error);
  if (!error.empty()) {
    LogEvent("sidecar", "settings not reloaded", {{"why", error}});
    return;
  }
  loop_.Call([this, settings] {
    const uint64_t fence = state_.lease_manager.options.first_fence;
    const bool keeps_record = state_.options.keeps_worker_record;
    ReadLeaseOptions(settings, state_.options);
    state_.options.keeps_worker_record = keeps_record;
    state_.options.lease_manager.first_fence = fence;
    state_.lease_manager.options = state_.options.lease_manager;
    LogEvent(
        "sidecar", "settings reloaded",
        {{"lease_ms", ToMillis(state_.lease_manager.options.bounds.lease)}});
  });
}

// ---- [2] HTTP ---------------------------------------------------------------

void sidecar_app::Reply(ticket_id ticket,
                        int status,
                        const std::string& body,
                        const char* type) {
  http_response response;
  response.status = status;
  response.body = body;
  response.content_type = type;
  server_->Answer(ticket, response);
}

std::string ErrorBody(const std::string& message) {
  return json{{"message", message}}.dump();
}

void sidecar_app::Announce(const http_request& request,
                           const std::string& name) {
  json body;
  std::string error;
  if (!ParseJson(request.body, body, error)) {
    Reply(request.ticket, 400, ErrorBody("not JSON: " + error));
    return;
  }
  std::vector<config_error> errors;
  CheckObject(body, kAnnouncementRules, "", errors);
  if (!errors.empty()) {
    Reply(request.ticket, 400,
          ErrorBody(errors.front().path + ": " + errors.front().message));
    return;
  }
  upstream_info info;
  info.name = name;
  info.address = body["address"];
  info.slots = body["slots"];
  info.connections = body.value("connections", 60u);
  info.cores = body.value("cores", 1u);
  info.memory_mb = body.value("memory_mb", 1024u);
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(info.address, ip, port)) {
    Reply(request.ticket, 400,
          ErrorBody("/address: must be of the form ip:port"));
    return;
  }
  loop_.Post(upstream_announced{std::move(info)});
  Reply(request.ticket, 200, "{}");
}

void sidecar_app::TellStatus(ticket_id ticket) {
  loop_.Call([this, ticket] {
    json entries = json::array();
    for (const entry_link& link : state_.links)
      entries.push_back({{"address", link.address},
                         {"up", link.state == link_state::up},
                         {"neighbour", link.is_neighbour},
                         {"failure_domain", link.row.failure_domain},
                         {"reach", link.row.reach},
                         {"epoch", link.epoch.value}});
    const json status = {
        {"name", state_.options.name},
        {"incarnation", ToHex(state_.options.self.value)},
        {"upstream", state_.upstream.name},
        {"upstream_ready", state_.state == upstream_state::ready},
        {"draining", state_.draining},
        {"slots", state_.upstream.slots},
        {"running", state_.running.size()},
        {"free_slots", FreeSlots(state_)},
        {"queued", state_.queue.size()},
        {"config_version", state_.config.version.value},
        {"closed_domains", state_.closed_domains.known.domains},
        {"closed_domains_version", state_.closed_domains.known.version.value},
        {"entries", std::move(entries)}};
    Reply(ticket, 200, status.dump());
  });
}

void sidecar_app::TellMetrics(ticket_id ticket) {
  loop_.Call([this, ticket] {
    state_.metrics.bytes_sent = links_.BytesSent();
    std::string text = PrometheusText(state_.metrics, {});
    text += ClosedDomainsPrometheusText(state_.closed_domains);
    text += NeighboursPrometheusText(state_);
    if (state_.options.manages_leases)
      text += LeaseManagerPrometheusText(state_.lease_manager, Now());
    text += WorkerRecordPrometheusText(state_);
    text += HttpClientPrometheusText("sidecar", http_.Counters());
    text += HttpClientPrometheusText("worker", worker_http_.Counters());
    text += LogMetricsText();
    Reply(ticket, 200, text, "text/plain; version=0.0.4");
  });
}

bool sidecar_app::TakeAnnouncement(const http_request& r) {
  std::string error;
  const auto event = platform::ReadAnnouncement(r, error);
  if (!event && error.empty())
    return false;
  if (event)
    loop_.Post(*event);
  else
    LogEvent("sidecar", "announcement unreadable", {{"why", error}});
  Reply(r.ticket, event ? 200 : 400,
        event ? std::string("{}") : ErrorBody(error));
  return true;
}

void sidecar_app::OnRequest(const http_request& r) {
  if (state_.options.manages_leases && TakeAnnouncement(r))
    return;
  constexpr std::string_view kUpstreams = "/v1/upstreams/";
  const bool is_upstream =
      r.path.starts_with(kUpstreams) && r.path.size() > kUpstreams.size();
  if (is_upstream && r.method == "PUT") {
    Announce(r, r.path.substr(kUpstreams.size()));
  } else if (is_upstream && r.method == "DELETE") {
    loop_.Post(upstream_left{});
    Reply(r.ticket, 200, "{}");
  } else if (r.method == "GET" &&
             (r.path == "/healthz" || r.path == "/readyz")) {
    Reply(r.ticket, 200, "{}");
  } else if (r.method == "GET" && r.path == "/v1/status") {
    TellStatus(r.ticket);
  } else if (r.method == "GET" && r.path == "/metrics") {
    TellMetrics(r.ticket);
  } else {
    Reply(r.ticket, 404, ErrorBody("no such path here"));
  }
}

// ---- [3] Actions ------------------------------------------------------------

// What an exchange with the upstream proves of its task.
task_finished ReadOutcome(const run_task& run, http_reply reply) {
  task_finished f{run.entry, run.task, verdict::ran, false,
                  std::move(reply.body)};
  if (!reply.sent) {
    f.run_verdict = verdict::not_run;
    f.output = reply.error;
  } else if (!reply.answered) {
    f.run_verdict = verdict::may_have_run;
    f.output = "the exchange with the upstream broke: " + reply.error;
  } else if (reply.status == 503 && reply.not_run) {
    f.run_verdict = verdict::not_run;
  } else {
    f.ok = reply.status == 200;
  }
  return f;
}

void sidecar_app::RunTask(const run_task& run) {
  const job_id job{run.entry, run.task.job};
  http_call call;
  call.method = "POST";
  call.url = "http://" + run.address + "/tasks";
  call.headers = {
      "Cassiaferry-Task: " + ToText(job) + "/" + std::to_string(run.task.index),
      "Content-Type: application/octet-stream"};
  call.body = run.payload;
  call.fresh_connection = true;
  const task_key key{run.entry, run.task};
  calls_[key] = http_.Start(std::move(call), [this, run](http_reply reply) {
    loop_.Post(ReadOutcome(run, std::move(reply)));
  });
}

void sidecar_app::StopTask(const stop_task& stop) {
  const auto it = calls_.find({stop.entry, stop.task});
  if (it == calls_.end())
    return;
  http_.Cancel(it->second);
  calls_.erase(it);
}

void sidecar_app::LogNote(const lease_manager_log& note) {
  if (note.omitted) {
    CountOmittedRoutine(note.what);
    return;
  }
  LogEvent("sidecar", note.what, note.line_class, note.sampled, [&note] {
    return json::object({{"why", note.detail}});
  });
}

void sidecar_app::CallWorker(const lease_manager_action& action) {
  if (const auto* note = std::get_if<lease_manager_log>(&action)) {
    LogNote(*note);
    return;
  }
  platform::CallWorker(
      worker_http_, worker_address_, action,
      [this](lease_manager_event e) { loop_.Post(std::move(e)); });
}

void sidecar_app::CallRecordStore(const row_call& call) {
  const auto answered = [this](rows_reply reply) {
    loop_.Post(worker_record_answered{std::move(reply)});
  };
  if (const auto* range = std::get_if<row_range>(&call))
    record_store_.page(*range, answered);
  else
    record_store_.transact(std::get<row_transaction>(call), answered);
}

void sidecar_app::TakeDirectoryRows(const rows_reply& reply) {
  entries_found found;
  for (const stored_row& row : reply.rows) {
    if (row.deleted)
      continue;
    std::optional<directory_row> entry = ReadDirectoryRow(row.value);
    if (entry)
      found.rows.push_back(std::move(*entry));
    else
      LogEvent("sidecar", "entry's row unreadable",
               {{"key", row.key}, {"version", row.version}});
  }
  if (!found.rows.empty())
    loop_.Post(std::move(found));
}

void sidecar_app::WatchDirectory(const std::string& store) {
  row_watch_options options;
  options.table = kDirectoryTable;
  options.feed_wait_ms = kDirectoryFeedWaitMs;
  options.gather = kDirectoryGather;
  options.reread_per_row = kDirectoryRereadPerRow;
  directory_ = std::make_unique<row_watch>(
      platform::MakeRowStore(http_, store), options,
      [this](std::function<void()> f) { loop_.Call(std::move(f)); },
      [this](const rows_reply& reply, bool) { TakeDirectoryRows(reply); });
}

void sidecar_app::Act(sidecar_action& action) {
  if (auto* send = std::get_if<send_to_entry>(&action))
    links_.Send(send->link, send->frame);
  else if (auto* run = std::get_if<run_task>(&action))
    RunTask(*run);
  else if (auto* stop = std::get_if<stop_task>(&action))
    StopTask(*stop);
  else if (auto* dial = std::get_if<dial_entry>(&action))
    links_.Dial(dial->link, dial->address, dial->epoch);
  else if (auto* hang = std::get_if<hang_up>(&action))
    links_.HangUp(hang->link, hang->epoch);
  else if (auto* call = std::get_if<lease_manager_action>(&action))
    CallWorker(*call);
  else if (auto* record = std::get_if<call_record_store>(&action))
    CallRecordStore(record->what);
  else
    drained_ = true;
}

// ---- [4] Main ---------------------------------------------------------------

void sidecar_app::Run() {
  loop_.Run(kIdleTick, [this](std::vector<sidecar_event> events) {
    for (const sidecar_event& event : events) {
      if (const auto* done = std::get_if<task_finished>(&event))
        calls_.erase({done->entry, done->task});
    }
    if (directory_)
      directory_->Tick(Now());
    state_.lease_manager.logs_routine = LogsRoutine();
    for (sidecar_action& action : Tick(state_, Now(), std::move(events)))
      Act(action);
    if (!state_.lease_manager.waiting_starts.empty())
      loop_.TickWithin(kWaitingTick);
    if (drained_)
      loop_.Stop();
  });
  links_.Finish();
  http_.Stop();
  worker_http_.Stop();
  server_->Stop();
  LOG(INFO) << kPrefix << "stopped, with nothing left";
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp(
      "cassiaferry-sidecar --settings FILE\nStarts tasks on the one upstream "
      "beside it.",
      &argc, &argv);
  const nlohmann::json settings = ReadSettings(FLAGS_settings, kRules);
  HandleSignals(kPrefix);
  sidecar_app app(settings);
  app.Start(settings);
  OnStop([&app] { app.Drain(); });
  const auto reload = [&app] { app.Reload(); };
  OnReload(FLAGS_settings, reload);
  app.Run();
  OnReload({}, {});
  return kExitOk;
}
