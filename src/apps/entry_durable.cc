// Durable jobs on the product's own interface.
//
//   POST   /v1/jobs     {"id":ID,"durable":true,"queue":NAME,"payload":TEXT,
//                        "steps":[{"tasks":4,"millicores":1000,"memory_mb":64,
//                                  "expected_ms":200,"after":[0]}]}
//                       200 {"id":ID,"state":"accepted"}: it is stored. The
//                       same id again is the same job.
//   GET    /v1/jobs/ID  its state; at its owner, how far it has come
//   DELETE /v1/jobs/ID  cancels it
//
// Contents
//   [1] Reading a job
//   [2] Requests
//   [3] Answers

#include <nlohmann/json.hpp>

#include "app.h"
#include "entry_app.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

// ---- [1] Reading a job ------------------------------------------------------

const std::vector<field_rule> kDurableRules = {
    {"id", field_kind::text, 1, 64, true},
    {"durable", field_kind::boolean, 0, 1, true},
    {"queue", field_kind::text, 1, 64, true},
    {"payload", field_kind::text, 0, 1 << 14, true},
    {"deadline_ms", field_kind::integer, 1, 3'600'000},
    {"steps", field_kind::array, 1, 100, true},
};

const std::vector<field_rule> kStepRules = {
    {"tasks", field_kind::integer, 1, 10'000, true},
    {"millicores", field_kind::integer, 0, 1'000'000},
    {"memory_mb", field_kind::integer, 0, 100'000'000},
    {"gpus", field_kind::integer, 0, 1000},
    {"expected_ms", field_kind::integer, 0, 3'600'000},
    {"after", field_kind::array, 0, 100},
    {"label", field_kind::text, 0, 64},
    {"near", field_kind::text, 0, 64},
    {"most_per_worker", field_kind::integer, 0, 10'000},
};

std::vector<config_error> Check(const json& body) {
  std::vector<config_error> errors;
  CheckObject(body, kDurableRules, "", errors);
  if (!errors.empty())
    return errors;
  size_t index = 0;
  for (const json& step : body["steps"]) {
    const std::string path = "/steps/" + std::to_string(index++);
    CheckObject(step, kStepRules, path, errors);
    for (const json& before : step.value("after", json::array())) {
      if (!before.is_number_unsigned())
        errors.push_back({path + "/after", "must be numbers of steps"});
    }
    if (!errors.empty())
      return errors;
  }
  const std::string id = body["id"];
  if (!IsDurableId(id))
    errors.push_back({"/id", "must be of letters, digits, '_' and '.'"});
  return errors;
}

leased_step ReadStep(const json& j) {
  leased_step step;
  step.count = j["tasks"];
  step.need = {j.value("millicores", int64_t{1000}),
               j.value("memory_mb", int64_t{1}), j.value("gpus", int64_t{0})};
  step.expected_ms = j.value("expected_ms", int64_t{0});
  step.after = j.value("after", std::vector<uint32_t>());
  step.label = j.value("label", "");
  step.preferred_label = j.value("near", "");
  step.max_per_worker = j.value("most_per_worker", 0u);
  return step;
}

leased_job_request ReadJob(const json& body) {
  leased_job_request r;
  r.id = body["id"];
  r.queue = body["queue"];
  r.payload = body["payload"];
  r.wait_ms = body.value("deadline_ms", int64_t{0});
  r.durable = true;
  for (const json& step : body["steps"])
    r.steps.push_back(ReadStep(step));
  return r;
}

json FailureJson(const failure& f) {
  return {{"state", "failed"},
          {"verdict", ToText(f.run_verdict)},
          {"reason", ToText(f.cause)},
          {"message", f.message},
          {"retry_after_ms", f.retry_after_ms}};
}

failure StoreAway() {
  return {verdict::may_have_run, reason::platform_unavailable,
          "the store doesn't answer; ask again", 1000};
}

}  // namespace

bool IsDurableId(const std::string& id) {
  return !id.empty() &&
         id.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.") == std::string::npos;
}

// ---- [2] Requests -----------------------------------------------------------

void entry_app::OnDurableJob(const http_request& r, const json& body) {
  const ticket_id ticket = r.ticket;
  if (!HasLeasedJobs()) {
    Refuse(ticket, {verdict::not_run, reason::not_supported,
                    "this entry has no store for durable jobs", 0});
    return;
  }
  const std::vector<config_error> errors = Check(body);
  if (!errors.empty()) {
    Refuse(ticket, {verdict::not_run, reason::bad_request,
                    errors.front().path + ": " + errors.front().message, 0});
    return;
  }
  loop_.Post(leased_job_submitted{ticket, ReadJob(body), r.received});
}

void entry_app::OnDurableState(ticket_id ticket, const std::string& id) {
  loop_.Call([this, ticket, id] {
    const json known = ExplainLeasedJob(state_, Now(), id);
    if (known.is_null())
      loop_.Post(leased_job_queried{ticket, id});
    else
      ReplyJson(ticket, 200, known);
  });
}

// ---- [3] Answers ------------------------------------------------------------

void entry_app::AnswerDurable(const answer_leased_job& answer) {
  const failure& f = answer.error;
  if (answer.outcome != leased_outcome::refused) {
    ReplyJson(answer.ticket, 200, {{"state", ToText(answer.outcome)}});
    return;
  }
  http_response response;
  response.status = HttpStatus(f.cause);
  response.retry_after_s = (f.retry_after_ms + 999) / 1000;
  response.body =
      FailureJson(f).dump(-1, ' ', false, json::error_handler_t::replace);
  http_->Answer(answer.ticket, response);
}

void entry_app::AnswerDurable(const answer_leased_state& answer) {
  if (answer.unavailable)
    Refuse(answer.ticket, StoreAway());
  else if (answer.state == leased_job_state::unknown)
    ReplyJson(answer.ticket, 404, {{"message", "no such job"}});
  else
    ReplyJson(answer.ticket, 200, {{"state", ToText(answer.state)}});
}

void entry_app::AnswerDurable(const answer_cancelled& answer) {
  if (answer.unavailable)
    Refuse(answer.ticket, StoreAway());
  else
    ReplyJson(answer.ticket, answer.known ? 200 : 404,
              {{"state", answer.known ? "cancelled" : "unknown"}});
}

}  // namespace cassiaferry
