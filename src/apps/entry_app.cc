// Start, actions and end of an entry.
//
// Contents
//   [1] Start
//   [2] Actions
//   [3] Run

#include "entry_app.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>

#include "../../platform/callers.h"
#include "app.h"

namespace cassiaferry {

namespace {

constexpr char kPrefix[] = "entry: ";
constexpr std::chrono::milliseconds kIdleTick{20};
constexpr std::chrono::milliseconds kBackgroundPeriod{1000};
constexpr std::chrono::milliseconds kStopPoll{20};
constexpr micros kLingerAfterDrain = Millis(300);

entry_options OptionsOf(const entry_settings& settings) {
  entry_options o;
  o.name = settings.name;
  o.failure_domain = settings.failure_domain;
  o.self = incarnation{RandomSeed()};
  o.seed = RandomSeed();
  ApplyLeaseSettings(settings, o);
  return o;
}

}  // namespace

void ApplyLeaseSettings(const entry_settings& settings, entry_options& o) {
  if (settings.callers.empty())
    return;
  o.leased.enabled = true;
  o.leased.durable.enabled = !settings.store.empty();
  o.leased.order = settings.order;
  o.leased.admission = settings.admission;
  o.leased.shares_across_entries = settings.shares_across_entries;
  o.leased.adapts_to_uneven_workers = settings.adapts_to_uneven_workers;
  o.leased.bounds = BoundsFor(Millis(settings.lease_max_ms),
                              Millis(settings.resend_after_ms));
  constexpr double kBytesPerMegabit = 1e6 / 8;
  o.leased.link.configured_rate = settings.link_mbps * kBytesPerMegabit;
  o.timing = TimingFor(o.leased.bounds);
  constexpr size_t kJobsPart = 4;  // of the memory is for jobs
  o.leased.max_job_bytes = (settings.memory_mb << 20) / kJobsPart;
  // Two fifths of the time to stop are for callers to move on; at four fifths
  // what still runs is broken off, and the rest is for streams to finish.
  o.leased.drain_accept = Millis(settings.stop_grace_ms * 2 / 5);
  o.leased.drain_close = Millis(settings.stop_grace_ms * 2 / 5);
}

// ---- [1] Start --------------------------------------------------------------

entry_app::entry_app(entry_settings settings)
    : settings_(std::move(settings)),
      state_(MakeEntry(OptionsOf(settings_))),
      platform_(http_client_, settings_.platform) {
  links_ = std::make_unique<link_server>(
      [this](link_id link, sidecar_frame frame) {
        loop_.Post(sidecar_frame_received{link, std::move(frame)});
      },
      [this](link_id link) { loop_.Post(sidecar_link_lost{link}); });
  loop_.WaitIn({[this](std::chrono::milliseconds most) { links_->Wait(most); },
                [this] { links_->Wake(); }});
  http_server_options options;
  options.address = settings_.http;
  options.threads = settings_.traffic_threads;
  options.max_body_bytes = settings_.max_body_bytes;
  // Where callers have a listener of their own, most descriptors are for it.
  const size_t parts = HasLeasedJobs() ? 8 : 2;
  options.intake =
      IntakeFor(settings_.memory_mb, settings_.max_body_bytes,
                ConnectionsWithin(settings_.max_connections, parts));
  options.holds_until_answer = true;
  http_ = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [this](ticket_id ticket) { loop_.Post(caller_gone{ticket}); });
}

entry_app::~entry_app() = default;

void entry_app::Drain() {
  draining_ = true;
  ready_ = false;
  loop_.Post(entry_drain_requested{});
}

void entry_app::Start() {
  const std::string link = links_->Start(settings_.link);
  if (link.empty())
    Die(kExitCantListen, kPrefix + std::string("can't listen on ") +
                             settings_.link + " for sidecars");
  const std::string http = StartOrDie(*http_, kPrefix);
  if (settings_.advertise_link.empty())
    settings_.advertise_link = link;
  if (settings_.advertise_http.empty())
    settings_.advertise_http = http;
  state_.options.link_address = settings_.advertise_link;
  state_.options.http_address = settings_.advertise_http;
  state_.claims.self_address = settings_.advertise_http;
  if (HasLeasedJobs())
    StartLeased();
  LOG(INFO) << kPrefix << "serving callers on " << http << ", sidecars on "
            << link << ", as " << settings_.name;
  background_ = std::thread([this] {
    while (!stopped_ && !HasLeasedJobs()) {
      Background();
      for (auto waited = kStopPoll; waited < kBackgroundPeriod && !stopped_;
           waited += kStopPoll)
        std::this_thread::sleep_for(kStopPoll);
    }
  });
  nlohmann::json ready = {{"http", http}, {"link", link}, {"pid", getpid()}};
  if (HasLeasedJobs()) {
    ready["callers"] = settings_.callers;
    ready["ready"] = settings_.ready;
  }
  PrintReady(ready);
  if (HasLeasedJobs())
    LogStart();
}

// ---- [2] Actions ------------------------------------------------------------

namespace {

std::string Dump(const nlohmann::json& j) {
  return j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int64_t CeilSeconds(int64_t ms) {
  return (ms + 999) / 1000;
}

int StatusOfOutcome(const nlohmann::json& outcome) {
  if (outcome.value("state", "") == "complete")
    return 200;
  const std::string name = outcome.value("reason", "");
  for (size_t i = 0; i < static_cast<size_t>(reason::count_); ++i) {
    if (name == ToText(static_cast<reason>(i)))
      return HttpStatus(static_cast<reason>(i));
  }
  return 502;
}

}  // namespace

void entry_app::Answer(const answer_complete& answer) {
  nlohmann::json results = nlohmann::json::array();
  for (size_t i = 0; i < answer.outputs.size(); ++i)
    results.push_back({{"task", i}, {"output", answer.outputs[i]}});
  const nlohmann::json body = {{"job", ToText(answer.job)},
                               {"state", "complete"},
                               {"results", std::move(results)}};
  ReplyJson(answer.ticket, 200, body);
}

http_response entry_app::FailureResponse(const answer_failed& answer) {
  const failure& f = answer.error;
  http_response response;
  response.status = HttpStatus(f.cause);
  response.retry_after_s = CeilSeconds(f.retry_after_ms);
  response.body = Dump({{"job", ToText(answer.job)},
                        {"state", "failed"},
                        {"verdict", ToText(f.run_verdict)},
                        {"reason", ToText(f.cause)},
                        {"message", f.message},
                        {"retry_after_ms", f.retry_after_ms}});
  return response;
}

void entry_app::Answer(const answer_failed& answer) {
  http_->Answer(answer.ticket, FailureResponse(answer));
}

void entry_app::Ask(const owner_query& ask) {
  http_call call;
  call.url = "http://" + ask.owner + "/internal/claims/" +
             ToHex(ask.owner_incarnation.value) + "/" + ToHex(ask.nonce);
  call.headers = {"Authorization: Bearer " + settings_.admin_token};
  call.timeout_ms = 1000;
  http_client_.Start(std::move(call),
                     [this, id = ask.call](const http_reply& reply) {
                       owner_reply event;
                       event.call = id;
                       event.answered = reply.answered && reply.status == 200;
                       if (reply.body == "running")
                         event.state = nonce_state::running;
                       else if (reply.body == "abandoned")
                         event.state = nonce_state::abandoned;
                       loop_.Post(event);
                     });
}

void entry_app::ActClaim(claim_action& action) {
  if (auto* transaction = std::get_if<table_transaction>(&action)) {
    platform_.Transact(
        transaction->ops, [this, id = transaction->call](
                              bool ok, std::vector<table_result> results) {
          loop_.Post(transaction_reply{id, ok, std::move(results)});
        });
  } else if (auto* read = std::get_if<table_read>(&action)) {
    platform_.Read(read->keys,
                   [this, id = read->call](
                       bool ok, std::vector<std::optional<table_row>> rows) {
                     loop_.Post(read_reply{id, ok, std::move(rows)});
                   });
  } else if (auto* ask = std::get_if<owner_query>(&action)) {
    Ask(*ask);
  }
}

void entry_app::Act(entry_action& action) {
  if (auto* complete = std::get_if<answer_complete>(&action)) {
    Answer(*complete);
  } else if (auto* failed = std::get_if<answer_failed>(&action)) {
    Answer(*failed);
  } else if (auto* repeated = std::get_if<answer_repeated>(&action)) {
    const nlohmann::json outcome =
        nlohmann::json::parse(repeated->outcome, nullptr, false);
    http_response response;
    response.status = StatusOfOutcome(outcome);
    response.body = repeated->outcome;
    http_->Answer(repeated->ticket, response);
  } else if (auto* send = std::get_if<send_to_sidecar>(&action)) {
    links_->Send(send->link, send->frame);
  } else if (auto* close = std::get_if<close_link>(&action)) {
    links_->Close(close->link);
  } else if (auto* adopted = std::get_if<config_adopted>(&action)) {
    AdoptDocument(adopted->document);
  } else if (auto* closings = std::get_if<closed_domains_adopted>(&action)) {
    AdoptClosings(*closings);
  } else if (auto* claim = std::get_if<claim_action>(&action)) {
    ActClaim(*claim);
  } else {
    ActLeased(action);
  }
}

// ---- [3] Run ----------------------------------------------------------------

// When every job is answered, and for a while longer, so that a balancer which
// has not yet seen the refusing /readyz gets a refusal and not a closed
// connection.
bool entry_app::MayStop() {
  if (!drained_)
    return false;
  if (drained_at_.value == 0)
    drained_at_ = Now();
  if (Now() - drained_at_ <= kLingerAfterDrain)
    return false;
  RefuseCallers();
  const size_t pending =
      http_->Pending() + (callers_ ? callers_->Pending() : 0);
  return pending == 0;
}

// Failure guarded against: a request is read after the last look at what is
// pending, and its connection is closed without an answer.
void entry_app::RefuseCallers() {
  if (refuses_callers_)
    return;
  refuses_callers_ = true;
  constexpr int64_t kAskAgainMs = 1000;
  const failure why{verdict::not_run, reason::draining, "this entry stops",
                    kAskAgainMs};
  http_->RefuseFromNowOn(FailureResponse({{}, {}, why}));
  if (callers_)
    callers_->RefuseFromNowOn(
        platform::OutcomeResponse({ticket_id{}, leased_outcome::refused, why}));
}

void entry_app::Run() {
  loop_.Run(kIdleTick, [this](std::vector<entry_event> events) {
    submitted_bytes_ = 0;
    events.push_back(wall_clock{WallMillis()});
    if (HasLeasedJobs()) {
      TickLeased();
      DropCallersLeft(events);
    }
    std::vector<entry_action> actions = Tick(state_, Now(), std::move(events));
    for (entry_action& action : actions) {
      drained_ = drained_ || std::holds_alternative<entry_drained>(action);
      Act(action);
    }
    if (MayStop())
      loop_.Stop();
  });
  stopped_ = true;
  // Callers' connections go first. Failure guarded against: a request that is
  // read while the streams below are finished, which takes a while, and that
  // nobody answers any more.
  if (callers_)
    callers_->Stop();
  http_->Stop();
  if (ready_server_)
    ready_server_->Stop();
  background_.join();
  links_->Finish();
  http_client_.Stop();
  LOG(INFO) << kPrefix << "stopped, with nothing left";
}

}  // namespace cassiaferry
