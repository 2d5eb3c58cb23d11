// Routes of an entry: jobs, views, configuration, other entries.
//
// Contents
//   [1] Replies
//   [2] Reading a job
//   [3] Jobs
//   [4] Views
//   [5] Configuration
//   [6] Other entries

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "app.h"
#include "cassiaferry/json_fields.h"
#include "entry_app.h"
#include "event_log.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

constexpr std::string_view kJobs = "/v1/jobs/";  // and a job's id

// ---- [1] Replies ------------------------------------------------------------

failure NotRun(reason why, std::string message) {
  return {verdict::not_run, why, std::move(message), 0};
}

}  // namespace

void entry_app::ReplyJson(ticket_id ticket, int status, const json& body) {
  http_response response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  http_->Answer(ticket, response);
}

// For requests whose body could not be read, and for those that are no jobs.
void entry_app::Refuse(ticket_id ticket, const failure& f) {
  loop_.Call([this, why = f.cause] { state_.metrics.CountRefusal(why); });
  ReplyJson(ticket, HttpStatus(f.cause),
            {{"state", "failed"},
             {"verdict", ToText(f.run_verdict)},
             {"reason", ToText(f.cause)},
             {"message", f.message},
             {"retry_after_ms", f.retry_after_ms}});
}

namespace {

// ---- [2] Reading a job ------------------------------------------------------

const std::vector<field_rule> kJobRules = {
    {"team", field_kind::text, 1, 64, true},
    {"upstream", field_kind::text, 1, 64, true},
    {"deadline_ms", field_kind::integer, 1, 3'600'000},
    {"repeatable", field_kind::boolean},
    {"key", field_kind::text, 1, 256},
    {"tasks", field_kind::array, 1, 1e6, true},
};

const std::vector<field_rule> kTaskRules = {
    {"payload", field_kind::text, 0, 1 << 20, true},
    {"cores", field_kind::integer, 1, 100'000},
    {"memory_mb", field_kind::integer, 1, 100'000'000},
    {"expected_ms", field_kind::integer, 0, 3'600'000},
};

std::vector<config_error> CheckJob(const json& body) {
  std::vector<config_error> errors;
  CheckObject(body, kJobRules, "", errors);
  if (!errors.empty())
    return errors;
  size_t index = 0;
  for (const json& task : body["tasks"]) {
    CheckObject(task, kTaskRules, "/tasks/" + std::to_string(index++), errors);
    if (!errors.empty())
      return errors;
  }
  return errors;
}

task_request ReadTask(const json& j) {
  task_request t;
  t.payload = j["payload"];
  t.cores = j.value("cores", t.cores);
  t.memory_mb = j.value("memory_mb", t.memory_mb);
  t.expected_ms = j.value("expected_ms", t.expected_ms);
  return t;
}

job_request ReadJob(const json& body) {
  job_request r;
  r.team = body["team"];
  r.upstream = body["upstream"];
  r.deadline_ms = body.value("deadline_ms", r.deadline_ms);
  r.key = body.value("key", "");
  for (const json& task : body["tasks"])
    r.tasks.push_back(ReadTask(task));
  // Two bodies that mean the same have the same digest: members come sorted.
  const std::string canonical = r.key.empty() ? "" : body.dump();
  r.digest = XXH64(canonical.data(), canonical.size(), 0);
  return r;
}

}  // namespace

// ---- [3] Jobs ---------------------------------------------------------------

void entry_app::OnJob(const http_request& r) {
  json body;
  std::string error;
  // A job of many short tasks takes half of this.
  constexpr size_t kTreeBytesPerByte = 24;
  if (!ParseJson(r.body, body, error,
                 kTreeBytesPerByte * settings_.max_body_bytes)) {
    Refuse(r.ticket,
           NotRun(reason::bad_request, "the body is not JSON: " + error));
    return;
  }
  if (body.is_object() && body.value("durable", json(false)) == json(true)) {
    OnDurableJob(r, body);
    return;
  }
  const std::vector<config_error> errors = CheckJob(body);
  if (!errors.empty()) {
    const config_error& e = errors.front();
    loop_.Post(job_invalid{
        r.ticket, NotRun(reason::bad_request,
                         (e.path.empty() ? "/" : e.path) + ": " + e.message)});
    return;
  }
  if (!body.value("repeatable", true) && !body.contains("key")) {
    loop_.Post(
        job_invalid{r.ticket, NotRun(reason::key_required,
                                     "/key: is needed where \"repeatable\" is "
                                     "false, because a balancer or "
                                     "client may send the request twice")});
    return;
  }
  loop_.Post(job_submitted{r.ticket, ReadJob(body), r.received});
}

void entry_app::OnRequest(const http_request& r) {
  if (r.path == "/v1/jobs") {
    if (r.method == "POST")
      OnJob(r);
    else
      Refuse(r.ticket, NotRun(reason::not_found, "jobs are sent with POST"));
    return;
  }
  if (r.method == "DELETE" && r.path.starts_with(kJobs) && HasLeasedJobs()) {
    const std::string id = r.path.substr(kJobs.size());
    if (IsDurableId(id))
      loop_.Post(leased_job_cancelled{r.ticket, id});
    else
      Refuse(r.ticket, NotRun(reason::bad_request, "not a job id"));
    return;
  }
  if (!OnView(r) && !OnConfig(r) && !OnDomains(r) && !OnInternal(r))
    Refuse(r.ticket, NotRun(reason::not_found,
                            "no such path here: " + r.method + " " + r.path));
}

// ---- [4] Views --------------------------------------------------------------

void entry_app::ReplyReady(ticket_id ticket) {
  const bool ready = ready_;
  http_response response;
  response.status = ready ? 200 : 503;
  response.body = json{{"ready", ready}}.dump();
  response.retry_after_s = ready ? 0 : 1;
  http_->Answer(ticket, response);
}

bool entry_app::OnView(const http_request& r) {
  if (r.method != "GET")
    return false;
  if (r.path == "/healthz") {
    ReplyJson(r.ticket, 200, {{"alive", true}});
  } else if (r.path == "/readyz") {
    ReplyReady(r.ticket);
  } else if (r.path == "/v1/status") {
    loop_.Call([this, ticket = r.ticket] {
      json status = StatusOf(state_, Now());
      status["ready"] = ready_.load();
      status["peer_http"] = PeerAddresses();
      ReplyJson(ticket, 200, status);
    });
  } else if (r.path == "/metrics") {
    loop_.Call([this, ticket = r.ticket] {
      state_.metrics.bytes_sent = links_->BytesSent();
      http_response response;
      response.content_type = "text/plain; version=0.0.4";
      response.body = PrometheusText(state_.metrics, state_.policies);
      response.body += ClosedDomainsPrometheusText(state_.closed_domains);
      response.body += IntakePrometheusText("http", http_->Intake());
      response.body +=
          HttpClientPrometheusText("entry", http_client_.Counters());
      if (HasLeasedJobs())
        response.body += LeasedPrometheusText(state_.leased) +
                         SheddingPrometheusText(shedding_) +
                         IntakePrometheusText("callers", callers_->Intake());
      response.body += LogMetricsText();
      http_->Answer(ticket, response);
    });
  } else if (r.path.starts_with(kJobs)) {
    const std::string name = r.path.substr(kJobs.size());
    const std::optional<job_id> id = ParseJobId(name);
    if (!id && HasLeasedJobs() && IsDurableId(name)) {
      OnDurableState(r.ticket, name);
      return true;
    }
    if (!id) {
      Refuse(r.ticket, NotRun(reason::bad_request, "not a job id"));
      return true;
    }
    loop_.Call([this, ticket = r.ticket, id = *id] {
      const json job = ExplainJob(state_, Now(), id);
      ReplyJson(
          ticket, job.is_null() ? 404 : 200,
          job.is_null() ? json{{"message", "not known to this entry"}} : job);
    });
  } else {
    return false;
  }
  return true;
}

// ---- [5] Configuration ------------------------------------------------------

bool entry_app::IsAdmin(const http_request& r) {
  constexpr std::string_view kBearer = "Bearer ";
  if (!r.authorization.starts_with(kBearer)) {
    Refuse(r.ticket,
           NotRun(reason::unauthorized,
                  "needs the header \"Authorization: Bearer TOKEN\""));
    return false;
  }
  if (settings_.admin_token.empty() ||
      r.authorization.substr(kBearer.size()) != settings_.admin_token) {
    Refuse(r.ticket,
           NotRun(reason::forbidden,
                  "the token is not the one in this entry's settings"));
    return false;
  }
  return true;
}

bool entry_app::OnConfig(const http_request& r) {
  if (r.path != "/v1/config" || (r.method != "GET" && r.method != "PUT"))
    return false;
  if (!IsAdmin(r))
    return true;
  if (r.method == "PUT") {
    PutConfig(r);
    return true;
  }
  config_document document;
  {
    const std::lock_guard lock(mutex_);
    document = document_;
  }
  const json config =
      document.json.empty() ? json::object() : json::parse(document.json);
  ReplyJson(r.ticket, 200,
            {{"version", document.version.value},
             {"author", document.author},
             {"change_id", document.change_id},
             {"config", config}});
  return true;
}

// ---- [6] Other entries ------------------------------------------------------

bool entry_app::OnInternal(const http_request& r) {
  constexpr std::string_view kClaims = "/internal/claims/";
  constexpr size_t kHexDigits = 16;
  const bool is_claim = r.method == "GET" && r.path.starts_with(kClaims) &&
                        r.path.size() == kClaims.size() + 2 * kHexDigits + 1;
  const bool is_greeting = r.method == "POST" && r.path == "/internal/peers";
  if (!is_claim && !is_greeting)
    return false;
  if (!IsAdmin(r))
    return true;
  if (is_claim) {
    const std::string life = r.path.substr(kClaims.size(), kHexDigits);
    const uint64_t nonce = std::strtoull(
        r.path.c_str() + kClaims.size() + kHexDigits + 1, nullptr, 16);
    loop_.Call([this, ticket = r.ticket, life, nonce] {
      // A restarted entry at the same address knows nothing of the old one's
      // starts.
      const bool same = life == ToHex(state_.options.self.value);
      const nonce_state state =
          same ? StateOfNonce(state_.claims, nonce) : nonce_state::unknown;
      constexpr const char* kNames[] = {"unknown", "running", "abandoned"};
      http_response response;
      response.content_type = "text/plain";
      response.body = kNames[static_cast<size_t>(state)];
      http_->Answer(ticket, response);
    });
    return true;
  }
  const json greeting = ParseRecord(r.body);
  if (!greeting.is_object()) {
    Refuse(r.ticket, NotRun(reason::bad_request, "not a greeting"));
    return true;
  }
  const config_version known{NumberField(greeting, "version", uint64_t{0})};
  TakePeerAnswer("", http_reply{true, true, 200, false, r.body, ""});
  ReplyJson(r.ticket, 200, Greeting(known));
  return true;
}

}  // namespace cassiaferry
