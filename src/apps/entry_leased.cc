// Leased jobs of cassiaferry-entry: callers of the platform, its store, and the
// log of decisions.
//
// Contents
//   [1] Start
//   [2] Callers
//   [3] Store
//   [4] Answers and log

#include <nlohmann/json.hpp>

#include "../../platform/callers.h"
#include "../../platform/operator_config.h"
#include "../../platform/store.h"
#include "app.h"
#include "cassiaferry/directory.h"
#include "entry_app.h"
#include "event_log.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

constexpr char kPart[] = "entry";
constexpr char kPrefix[] = "entry: ";
// Tickets of callers' requests, apart from those of the product's own server.
constexpr uint64_t kFirstCallerTicket = uint64_t{1} << 40;
constexpr uint64_t kFirstReadyTicket = uint64_t{1} << 41;
// A change must be in force everywhere within 2 s of its writing; a feed that
// was cut is given up after this and half a second more.
constexpr int64_t kConfigFeedWaitMs = 1000;
constexpr int kFirstFailureStatus = 300;
constexpr micros kPublishRetry = Millis(300);
constexpr micros kPublishCheck = Millis(10'000);
constexpr size_t kLeasedBodyBytes = 1 << 20;
constexpr size_t kProbeBodyBytes = 1024;  // nobody reads them
// Between two ticks; an idle process has one each 20 ms.
constexpr micros kStoodStill = Millis(100);
constexpr micros kLookAtCallers = Millis(200);

failure NoRoom() {
  constexpr int64_t kAskAgainMs = 1000;
  return {verdict::not_run, reason::queue_full,
          "too many bytes of requests wait here", kAskAgainMs};
}

}  // namespace

// ---- [1] Start --------------------------------------------------------------

void entry_app::StartLeased() {
  shedding_.options.enabled = settings_.sheds_connections;
  http_server_options options;
  options.address = settings_.callers;
  options.threads = 1;
  options.max_body_bytes = kLeasedBodyBytes;
  options.intake = IntakeFor(settings_.memory_mb, kLeasedBodyBytes,
                             ConnectionsWithin(settings_.max_connections, 2));
  options.no_room = platform::OutcomeResponse(
      {ticket_id{}, leased_outcome::refused, NoRoom()});
  options.read_timeout = std::chrono::seconds(60);  // idle callers stay
  options.keep_headers = platform::CallerHeaders();
  options.first_ticket = kFirstCallerTicket;
  callers_ = std::make_unique<http_server>(
      options, [this](http_request r) { OnCall(std::move(r)); },
      [this](ticket_id ticket) { loop_.Post(caller_gone{ticket}); });
  settings_.callers = StartOrDie(*callers_, kPrefix);
  http_server_options ready;
  ready.address = settings_.ready;
  ready.threads = 1;
  ready.max_body_bytes = kProbeBodyBytes;
  ready.intake.max_connections =
      ConnectionsWithin(ready.intake.max_connections, 8);
  ready.first_ticket = kFirstReadyTicket;
  ready_server_ = std::make_unique<http_server>(
      ready,
      [this](const http_request& r) {
        const bool is_ready = ready_;
        http_response response;
        response.status = is_ready ? 200 : 503;
        ready_server_->Answer(r.ticket, response);
        loop_.Call(
            [this, is_ready] { RecordProbe(shedding_, Now(), is_ready); });
      },
      [](ticket_id) {});
  settings_.ready = StartOrDie(*ready_server_, kPrefix);
  directory_row_.link = settings_.advertise_link;
  directory_row_.failure_domain = settings_.failure_domain;
  store_ = platform::MakeRowStore(http_client_, settings_.store);
  row_watch_options watch;
  watch.table = platform::kOperatorTable;
  watch.feed_wait_ms = kConfigFeedWaitMs;
  config_watch_ = std::make_unique<row_watch>(
      store_, watch,
      [this](std::function<void()> f) { loop_.Call(std::move(f)); },
      [this](const rows_reply& reply, bool whole) {
        TakeOperatorRows(reply, whole);
      });
}

void entry_app::Reload(const entry_settings& settings) {
  loop_.Call([this, settings] {
    if (!HasLeasedJobs())
      return;
    ApplyLeaseSettings(settings, state_.options);
    state_.leased.options = state_.options.leased;
    shedding_.options.enabled = settings.sheds_connections;
    LogEvent(kPart, "settings reloaded",
             {{"lease_ms", ToMillis(state_.options.leased.bounds.lease)},
              {"vouch_ms", ToMillis(state_.options.leased.bounds.owner_lease)},
              {"stop_grace_ms", settings.stop_grace_ms}});
  });
}

void entry_app::LogStart() {
  LogEvent(kPart, "start",
           {{"entry", settings_.name},
            {"incarnation", ToHex(state_.options.self.value)},
            {"lease_ms", ToMillis(state_.options.leased.bounds.lease)},
            {"vouch_ms", ToMillis(state_.options.leased.bounds.owner_lease)}});
}

// ---- [2] Callers ------------------------------------------------------------

void entry_app::OnCall(http_request r) {
  loop_.Call([this, r = std::move(r)] { TakeCall(r); });
}

void entry_app::TakeCall(const http_request& r) {
  RecordRequest(shedding_, Now(), r.connection, r.ticket);
  if (state_.document.version.value == 0) {
    AnswerCaller(r.ticket, platform::NoConfigResponse());
    return;
  }
  const queue_config* queue = MatchQueue(state_.config, r.host, r.path);
  if (queue == nullptr) {
    AnswerCaller(r.ticket, platform::NoQueueResponse());
    return;
  }
  const platform::caller_request call = platform::ReadCallerRequest(r, *queue);
  switch (call.verb) {
    case platform::caller_verb::submit:
      SubmitCall(r, *queue);
      return;
    case platform::caller_verb::cancel:
      loop_.Post(leased_job_cancelled{r.ticket, call.job_id});
      return;
    case platform::caller_verb::state:
      loop_.Post(leased_job_queried{r.ticket, call.job_id});
      return;
    case platform::caller_verb::count:
      // Until the other entries' rows are read, theirs are not known.
      if (!state_.leased.durable.polled) {
        AnswerCaller(r.ticket, platform::NoConfigResponse());
        return;
      }
      AnswerCaller(r.ticket, platform::CountResponse(LeasedJobsWaiting(
                                 state_.leased, queue->name)));
      return;
    case platform::caller_verb::unknown:
      AnswerCaller(r.ticket, platform::BadRequestResponse("no such call here"));
      return;
  }
}

void entry_app::SubmitCall(const http_request& r, const queue_config& queue) {
  leased_job_submitted event;
  event.ticket = r.ticket;
  event.received = r.received;
  std::string error;
  if (!platform::ReadJob(r, event.request, error)) {
    AnswerCaller(r.ticket, platform::BadRequestResponse(error));
    return;
  }
  // Failure guarded against: many jobs are read before a tick sees the first.
  const size_t bytes = JobBytes(event.request.payload, event.request.steps);
  event.no_room = !HasRoomFor(
      state_.options.leased, state_.leased.job_bytes + submitted_bytes_, bytes);
  if (event.no_room)
    event.request.steps = {};
  else
    submitted_bytes_ += bytes;
  event.request.id = platform::ReadCallerRequest(r, queue).job_id;
  event.request.queue = queue.name;
  // Failure guarded against: this process stood still, or has little processor
  // time, and starts a job whose caller has left and sent it again elsewhere;
  // the end of the connection lies behind the request, still unread.
  if (r.caller_left && !event.request.durable) {
    const micros waited = Now() - r.received;
    RecordRequestWait(state_.leased.late, waited);
    LogEvent(kPart, "job not taken",
             {{"job", event.request.id},
              {"why", "its caller had left when it was read"},
              {"unread_ms", ToMillis(waited)}});
    return;
  }
  loop_.Post(std::move(event));
}

// ---- [3] Store --------------------------------------------------------------

void entry_app::TakeConfigRow(const stored_row& row) {
  if (row.key != platform::kConfigKey || row.deleted)
    return;
  std::string error;
  const std::optional<config_document> document =
      platform::ReadOperatorConfig(row.value, error);
  if (!document) {
    LogEvent(kPart, "configuration unreadable",
             {{"row_version", row.version}, {"error", error}});
    return;
  }
  loop_.Post(config_received{*document});
}

void entry_app::TakeOperatorRows(const rows_reply& reply, bool whole) {
  std::vector<domain_status_row> words;
  for (const stored_row& row : reply.rows) {
    TakeConfigRow(row);
    const std::optional<domain_status_row> word = platform::ReadDomainRow(row);
    if (!word)
      continue;
    if (word->status == domain_status::unreadable)
      LogEvent(kPart, "closing unreadable",
               {{"domain", word->domain}, {"row_version", row.version}});
    words.push_back(*word);
  }
  if (!whole && words.empty())
    return;
  closings_read_ = ClosedDomainsFromRows(closings_read_, words, whole,
                                         closed_domains_version{reply.version});
  loop_.Post(closed_domains_read{closings_read_});
}

void entry_app::CallStore(const store_call& call) {
  const auto answer = [this, id = call.call](rows_reply reply) {
    loop_.Post(store_answered{id, std::move(reply)});
  };
  if (const auto* transaction = std::get_if<row_transaction>(&call.what))
    store_.transact(*transaction, answer);
  else
    store_.page(std::get<row_range>(call.what), answer);
}

// Sidecars find entries by these rows. A row that is as it should be is not
// written: each change is read by all sidecars.
void entry_app::CheckDirectoryRow() {
  directory_state_ = directory_state::checking;
  const row_range own{kDirectoryTable, settings_.name, 1, false};
  store_.page(own, [this](const rows_reply& reply) {
    loop_.Call([this, reply] {
      const std::string row = WriteDirectoryRow(directory_row_);
      const bool same = reply.status == store_status::ok &&
                        !reply.rows.empty() &&
                        reply.rows.front().key == settings_.name &&
                        reply.rows.front().value == row;
      if (reply.status != store_status::ok)
        CheckDirectoryRowAfter(kPublishRetry);
      else if (same)
        directory_state_ = directory_state::done;
      else
        WriteDirectory(row);
    });
  });
}

// Failure guarded against: an earlier write without an answer is carried out
// seconds later, over a newer one. So the row is checked once more.
void entry_app::WriteDirectory(const std::string& row) {
  row_transaction put;
  put.sets.push_back({kDirectoryTable, settings_.name, row});
  store_.transact(put, [this, row](const rows_reply& reply) {
    loop_.Call([this, row, ok = reply.status == store_status::ok] {
      const bool newest = row == WriteDirectoryRow(directory_row_);
      CheckDirectoryRowAfter(!ok      ? kPublishRetry
                             : newest ? kPublishCheck
                                      : micros{0});
    });
  });
}

void entry_app::CheckDirectoryRowAfter(micros delay) {
  directory_state_ = directory_state::due;
  next_directory_check_ = Now() + delay;
}

void entry_app::ChangeReach(reach_changed change) {
  directory_row_.reach = change.reach;
  directory_row_.labels = std::move(change.labels);
  // What is under way may write the row as it was.
  if (directory_state_ == directory_state::checking)
    return;
  CheckDirectoryRowAfter(micros{0});
}

// Failure guarded against: this process was frozen, and the time of that counts
// as a delay in reading, so that requests are refused after it.
void entry_app::RecordCallersDelay(micros now) {
  const micros delay = callers_->ReadDelay();
  if (now >= state_.leased.recovery_until)
    RecordReadDelay(state_.leased.late, delay);
}

void entry_app::TickLeased() {
  const micros now = Now();
  RecordLoopWait(state_.leased.late, loop_.Waited());
  RecordCallersDelay(now);
  state_.leased.logs_routine = LogsRoutine();
  config_watch_->Tick(now);
  if (directory_state_ == directory_state::due && now >= next_directory_check_)
    CheckDirectoryRow();
  const bool connected =
      config_watch_->IsLoaded() && config_watch_->IsConnected();
  if (connected != store_connected_)
    LogEvent(kPart, connected ? "store reached" : "store lost", {});
  store_connected_ = connected;
  UpdateReady(now);
}

void entry_app::UpdateReady(micros now) {
  const shedding_decision decision = TickShedding(
      shedding_,
      {now, state_.leased.late.refuse_share, draining_, IsReady(state_)});
  if (decision.change)
    LogShedding(decision);
  ready_ = decision.ready;
}

// Failure guarded against: a caller has left, and that isn't read: this process
// stood still and has too little processor time to read it before it starts the
// caller's job, or the HTTP server reads no more while several requests of one
// connection are open. So the kernel is asked, soon enough to end all before
// the caller sends again, and before anything starts after a pause.
void entry_app::DropCallersLeft(std::vector<entry_event>& events) {
  const micros now = Now();
  const bool stood_still =
      last_tick_.value != 0 && now - last_tick_ > kStoodStill;
  last_tick_ = now;
  if (!stood_still && now < next_look_at_callers_)
    return;
  next_look_at_callers_ = now + kLookAtCallers;
  const std::vector<ticket_id> left = callers_->CallersLeft();
  for (ticket_id ticket : left)
    events.emplace_back(caller_gone{ticket});
  if (stood_still)
    LogEvent(kPart, "stood still",
             {{"callers", callers_->Pending()}, {"left", left.size()}});
}

// ---- [4] Answers and log ----------------------------------------------------

void entry_app::LogDecision(const leased_decision& d) {
  if (d.omitted) {
    CountOmittedRoutine(d.what);
    return;
  }
  LogEvent(kPart, d.what, d.line_class, d.sampled, [&d] {
    return json::object({{"job", d.job}, {"why", d.detail}});
  });
}

void entry_app::LogShedding(const shedding_decision& d) {
  const double late_ms = state_.leased.late.mean_us / 1000;
  switch (*d.change) {
    case shedding_change::readiness_withdrawn:
      LogEvent(kPart, "readiness is withdrawn to shed connections",
               {{"late_ms", late_ms}});
      return;
    case shedding_change::closing:
      LogEvent(kPart, "connections are shed",
               {{"late_ms", late_ms},
                {"connections", d.active_connections},
                {"to_close", shedding_.to_close}});
      return;
    case shedding_change::ended:
      LogEvent(kPart, "connections were shed", {{"closed", shedding_.closed}});
      return;
  }
}

bool entry_app::ClosesAfterAnswer(ticket_id ticket) {
  if (shedding_.phase != shedding_phase::closing)
    return false;
  const std::optional<connection_id> connection =
      callers_->ConnectionOfOnly(ticket);
  return connection && ClosesAfter(shedding_, *connection, ticket);
}

// A stopping entry ends each connection with its answer. Failure guarded
// against: callers that keep an open connection until the process is gone, and
// lose the request they have just sent.
void entry_app::AnswerCaller(ticket_id ticket, http_response response) {
  RecordAnswer(shedding_, response.status < kFirstFailureStatus);
  response.close = draining_ || ClosesAfterAnswer(ticket);
  callers_->Answer(ticket, response);
}

namespace {

bool IsOfCaller(ticket_id ticket) {
  return ticket.value >= kFirstCallerTicket;
}

}  // namespace

void entry_app::ActLeased(entry_action& action) {
  if (auto* answer = std::get_if<answer_leased_job>(&action)) {
    if (IsOfCaller(answer->ticket))
      AnswerCaller(answer->ticket, platform::OutcomeResponse(*answer));
    else
      AnswerDurable(*answer);
  } else if (auto* cancelled = std::get_if<answer_cancelled>(&action)) {
    if (IsOfCaller(cancelled->ticket))
      AnswerCaller(cancelled->ticket, platform::CancelResponse(*cancelled));
    else
      AnswerDurable(*cancelled);
  } else if (auto* state = std::get_if<answer_leased_state>(&action)) {
    if (IsOfCaller(state->ticket))
      AnswerCaller(state->ticket, platform::StateResponse(*state));
    else
      AnswerDurable(*state);
  } else if (auto* call = std::get_if<store_call>(&action)) {
    CallStore(*call);
  } else if (auto* reach = std::get_if<reach_changed>(&action)) {
    ChangeReach(std::move(*reach));
  } else if (auto* decision = std::get_if<leased_decision>(&action)) {
    LogDecision(*decision);
  }
}

}  // namespace cassiaferry
