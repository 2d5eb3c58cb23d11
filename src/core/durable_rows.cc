// JSON form of the rows of durable jobs.
//
// Contents
//   [1] Jobs
//   [2] Progress
//   [3] Ends
//   [4] Owners

#include "durable_rows.h"

#include "cassiaferry/json_fields.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "leased_systems.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

// Of a job; jobs with more are not accepted.
constexpr uint64_t kMaxTasks = 100'000;
constexpr double kMaxStretch = 1e6;

std::string Dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Parse(const std::string& text) {
  json j = ParseRecord(text);
  return j.is_object() ? j : json::object();
}

}  // namespace

const char* ToText(leased_outcome outcome) {
  constexpr const char* kNames[] = {"completed", "failed", "cancelled",
                                    "refused", "accepted"};
  return kNames[static_cast<size_t>(outcome)];
}

const char* ToText(leased_job_state state) {
  constexpr const char* kNames[] = {"unknown",   "queued", "running",
                                    "completed", "failed", "cancelled"};
  return kNames[static_cast<size_t>(state)];
}

// ---- [1] Jobs ---------------------------------------------------------------

namespace {

json StepJson(const leased_step& step) {
  json j = {{"count", step.count},
            {"cpu", step.need.cpu},
            {"memory_mb", step.need.memory_mb},
            {"expected_ms", step.expected_ms}};
  if (step.need.gpus != 0)
    j["gpus"] = step.need.gpus;
  if (!step.after.empty())
    j["after"] = step.after;
  if (!step.label.empty())
    j["label"] = step.label;
  if (!step.preferred_label.empty())
    j["near"] = step.preferred_label;
  if (step.max_per_worker != 0)
    j["most_per_worker"] = step.max_per_worker;
  return j;
}

// Throws if the member is missing or out of range.
template <typename Number>
Number ReadBounded(const json& j, const char* name) {
  const auto number = ReadWholeNumber<Number>(j.at(name));
  if (!number ||
      static_cast<uint64_t>(*number) > static_cast<uint64_t>(kMaxRecordNumber))
    throw std::out_of_range(name);
  return *number;
}

template <typename Number>
Number ReadBounded(const json& j, const char* name, Number fallback) {
  return j.contains(name) ? ReadBounded<Number>(j, name) : fallback;
}

// Throws if a member is missing, of another type or out of range, or if the
// step comes after one that is not before it.
leased_step ReadStep(const json& j, size_t steps_before) {
  leased_step step;
  step.count = ReadBounded<uint32_t>(j, "count");
  step.need = {ReadBounded<int64_t>(j, "cpu"),
               ReadBounded<int64_t>(j, "memory_mb"),
               ReadBounded(j, "gpus", int64_t{0})};
  step.expected_ms = ReadBounded<int64_t>(j, "expected_ms");
  for (const json& before : j.value("after", json::array())) {
    const auto index = ReadWholeNumber<uint32_t>(before);
    if (!index || *index >= steps_before)
      throw std::out_of_range("after");
    step.after.push_back(*index);
  }
  step.label = j.value("label", "");
  step.preferred_label = j.value("near", "");
  step.max_per_worker = ReadBounded(j, "most_per_worker", 0u);
  return step;
}

json QueueJson(const queue_config& q) {
  return {{"name", q.name},         {"upstream", q.upstream},
          {"priority", q.priority}, {"max_attempts", q.max_attempts},
          {"stretch", q.stretch},   {"allowance_ms", q.allowance_ms}};
}

queue_config ReadQueue(const json& j) {
  queue_config q;
  q.name = j.at("name");
  q.upstream = j.at("upstream");
  q.priority = ReadBounded<decltype(q.priority)>(j, "priority");
  q.max_attempts = ReadBounded<decltype(q.max_attempts)>(j, "max_attempts");
  q.stretch = j.at("stretch");
  if (!(q.stretch >= 0 && q.stretch <= kMaxStretch))
    throw std::out_of_range("stretch");
  q.allowance_ms = ReadBounded<decltype(q.allowance_ms)>(j, "allowance_ms");
  return q;
}

}  // namespace

std::string JobRow(const leased_job& job, const std::string& owner) {
  json steps = json::array();
  for (const leased_step& step : job.steps)
    steps.push_back(StepJson(step));
  return Dump({{"owner", owner},
               {"epoch", job.durable.epoch},
               {"queue", QueueJson(job.queue)},
               {"payload", job.payload},
               {"steps", std::move(steps)}});
}

std::string OwnerOf(const std::string& row) {
  return TextField(Parse(row), "owner");
}

uint32_t EpochOf(const std::string& job_row) {
  return NumberField(Parse(job_row), "epoch", 1u);
}

std::string WithOwner(const std::string& job_row, const std::string& owner) {
  json j = Parse(job_row);
  j["owner"] = owner;
  j["epoch"] = NumberField(j, "epoch", 1u) + 1;
  return Dump(j);
}

std::optional<leased_job> ReadJobRow(const std::string& id,
                                     const std::string& job_row) {
  try {
    const json j = ParseRecord(job_row);
    leased_job job;
    job.id = id;
    job.durable.epoch = ReadBounded<uint32_t>(j, "epoch");
    job.queue = ReadQueue(j.at("queue"));
    job.payload = j.at("payload");
    uint64_t tasks = 0;
    for (const json& step : j.at("steps")) {
      job.steps.push_back(ReadStep(step, job.steps.size()));
      tasks += job.steps.back().count;
    }
    if (tasks == 0 || tasks > kMaxTasks)
      return std::nullopt;
    return job;
  } catch (const std::exception&) {  // from the JSON library or this file
    return std::nullopt;
  }
}

// ---- [2] Progress -----------------------------------------------------------

std::string ProgressRow(const leased_job& job) {
  json done = json::array();
  json failed = json::array();
  json failed_runs = json::array();
  json given_up = json::array();
  for (size_t i = 0; i < job.tasks.size(); ++i) {
    const leased_task_row& row = job.tasks[i];
    if (row.state == leased_task_state::done)
      done.push_back(i);
    if (CountedFailures(row) != 0)
      failed.push_back({i, CountedFailures(row)});
    if (!row.failed_runs.empty())
      failed_runs.push_back({i, row.failed_runs});
    if (row.abandoned_run != 0)
      given_up.push_back({i, row.abandoned_run});
  }
  json j = {{"done", std::move(done)}};
  if (!failed.empty())
    j["failed"] = std::move(failed);
  if (!failed_runs.empty())
    j["failed_runs"] = std::move(failed_runs);
  if (!given_up.empty())
    j["given_up"] = std::move(given_up);
  return Dump(j);
}

namespace {

const json& ListField(const json& j, const char* name, const json& empty_list) {
  const json* field = FindField(j, name);
  return field != nullptr && field->is_array() ? *field : empty_list;
}

size_t ReadIndex(const json& j) {
  return ReadWholeNumber<size_t>(j).value_or(SIZE_MAX);
}

// Returns true for a pair of a task's index and a number.
bool IsIndexedPair(const json& j, size_t tasks) {
  return j.is_array() && j.size() == 2 && ReadIndex(j[0]) < tasks &&
         ReadWholeNumber<uint32_t>(j[1]);
}

// Reads which failed runs were counted: [[task index, [run, ...]], ...].
void ReadFailedRuns(const json& pairs, leased_job& job) {
  for (const json& pair : pairs) {
    const bool valid = pair.is_array() && pair.size() == 2 &&
                       ReadIndex(pair[0]) < job.tasks.size() &&
                       pair[1].is_array();
    if (!valid)
      continue;
    leased_task_row& row = job.tasks[ReadIndex(pair[0])];
    for (const json& run : pair[1]) {
      const auto number = ReadWholeNumber<uint32_t>(run);
      if (number && !IsCountedFailure(row, *number))
        row.failed_runs.push_back(*number);
    }
  }
}

}  // namespace

void ReadProgressRow(const std::string& progress_row, leased_job& job) {
  const json j = Parse(progress_row);
  const json empty_list = json::array();
  for (const json& index : ListField(j, "done", empty_list)) {
    const size_t i = ReadIndex(index);
    if (i >= job.tasks.size() || job.tasks[i].state == leased_task_state::done)
      continue;
    job.tasks[i].state = leased_task_state::done;
    ++job.done;
    --job.step_tasks_left[job.tasks[i].task.step];
  }
  ReadFailedRuns(ListField(j, "failed_runs", empty_list), job);
  // A row of an earlier version has the counts alone.
  for (const json& pair : ListField(j, "failed", empty_list)) {
    if (!IsIndexedPair(pair, job.tasks.size()))
      continue;
    leased_task_row& row = job.tasks[ReadIndex(pair[0])];
    const auto counted = pair[1].get<uint32_t>();
    const uint32_t named = CountedFailures(row);
    row.unnamed_failures = counted > named ? counted - named : 0;
  }
  for (const json& pair : ListField(j, "given_up", empty_list)) {
    if (IsIndexedPair(pair, job.tasks.size()))
      job.tasks[ReadIndex(pair[0])].abandoned_run = pair[1].get<uint32_t>();
  }
}

// ---- [3] Ends ---------------------------------------------------------------

std::string EndedRow(const ended_job& ended,
                     const std::string& sweeper,
                     const std::string& owner) {
  return Dump({{"state", ToText(ended.outcome)},
               {"epoch", ended.epoch},
               {"sweeper", sweeper},
               {"owner", owner}});
}

std::string SweeperOf(const std::string& ended_row) {
  return TextField(Parse(ended_row), "sweeper");
}

std::optional<ended_job> ReadEndedRow(const std::string& ended_row) {
  const json j = Parse(ended_row);
  const std::string state = TextField(j, "state");
  for (leased_outcome outcome :
       {leased_outcome::completed, leased_outcome::failed,
        leased_outcome::cancelled}) {
    if (state == ToText(outcome))
      return ended_job{outcome, NumberField(j, "epoch", 1u)};
  }
  return std::nullopt;
}

// ---- [4] Owners -------------------------------------------------------------

std::map<std::string, size_t> WaitingByQueue(const leased_state& l) {
  std::map<std::string, size_t> waiting;
  const auto count = [&](leased_seq seq) {
    const leased_job& job = l.jobs.at(seq);
    if (!job.started && job.durable.stage == durable_stage::stored)
      ++waiting[job.queue.name];
  };
  std::for_each(l.waiting.begin(), l.waiting.end(), count);
  std::for_each(l.overdue.begin(), l.overdue.end(), count);
  return waiting;
}

std::string OwnRowFields(const entry_state& s) {
  const durable_state& d = s.leased.durable;
  json j = {
      {"name", s.options.name},
      {"life", d.owner_incarnation},
      {"waiting", d.left_jobs ? d.left_waiting : WaitingByQueue(s.leased)}};
  if (d.left_jobs)
    j["released"] = true;
  const std::string text = Dump(j);
  return text.substr(1, text.size() - 2);
}

std::string ClaimedRow(const peer_owner& peer, const std::string& by) {
  return Dump({{"life", peer.owner_incarnation},
               {"name", ""},
               {"taken_by", by},
               {"waiting", peer.waiting}});
}

std::optional<peer_owner> ReadOwnerRow(const stored_row& row) {
  if (!row.key.starts_with(kEntryPrefix))
    return std::nullopt;
  const json j = Parse(row.value);
  peer_owner peer;
  peer.key = row.key;
  peer.version = row.version;
  peer.name = TextField(j, "name");
  peer.owner_incarnation = TextField(j, "life");
  peer.released = FlagField(j, "released");
  const json* waiting = FindField(j, "waiting");
  if (waiting == nullptr || !waiting->is_object())
    return peer;
  for (const auto& [queue, count] : waiting->items()) {
    const auto number = ReadWholeNumber<uint32_t>(count);
    if (number)
      peer.waiting[queue] = *number;
  }
  return peer;
}

}  // namespace cassiaferry
