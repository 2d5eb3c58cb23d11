// Operators' configuration: teams, upstreams, policies, comparisons, limits.
//
// Contents
//   [1] Checking JSON
//   [2] The configuration
//   [3] Reading and merging

#ifndef CASSIAFERRY_CONFIG_H_
#define CASSIAFERRY_CONFIG_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/json_fields.h"

namespace cassiaferry {

// ---- [1] Checking JSON ------------------------------------------------------

// An error in a document.
struct config_error {
  std::string path;     // JSON pointer, "/policies/fast/kind"
  std::string message;  // what is wrong and what is expected
};

enum class field_kind : uint8_t {
  integer,
  number,
  boolean,
  text,
  object,
  array
};

// Rule for one member of an object. `low` and `high` bound numbers, and the
// length of texts and arrays.
struct field_rule {
  const char* name;
  field_kind kind;
  double low = 0;
  double high = 1e15;
  bool required = false;
};

// Appends an error for each unknown member, wrong type, value out of range and
// missing required member.
void CheckObject(const nlohmann::json& object,
                 const std::vector<field_rule>& rules,
                 const std::string& path,
                 std::vector<config_error>& errors);

// Parses with a bound on nesting, so that a deep document can't exhaust the
// stack, and on the memory that its values take. False: not JSON, or beyond a
// bound; `error` says where, or beyond which.
bool ParseJson(const std::string& text,
               nlohmann::json& out,
               std::string& error,
               size_t max_tree_bytes = kMaxTreeBytes);

// ---- [2] The configuration --------------------------------------------------

enum class policy_kind : uint8_t {
  random,
  round_robin,
  two_choices,
  batch_sampling,
  slot_offer
};
enum class job_order : uint8_t { first_come, fewest_remaining };

// Members from `fanout` on apply to slot_offer only.
struct policy_config {
  std::string name;
  policy_kind kind = policy_kind::slot_offer;
  job_order order = job_order::fewest_remaining;
  // Each waiting task counts as so much later an arrival.
  int64_t ageing_ms = 500;
  int64_t ageing_cap_ms = 8000;  // ... up to this much for all of them
  uint32_t choices = 2;          // two_choices: workers sampled for each task
  double probe_ratio = 2;        // batch_sampling: probes for each task
  uint32_t fanout = 2;           // sidecars notified of a new backlog
  uint32_t improve_fanout = 1;   // sidecars notified that an earlier job waits
  int64_t improve_ms = 200;      // how much earlier it must be for that
  // How long a job waits before a sidecar is notified.
  int64_t tell_after_ms = 10;
  // With so many waiting tasks, a job's tasks may queue at sidecars.
  uint32_t queue_from = 3;
};

struct team_config {
  std::string name;
  double weight = 1;  // relative share of slots under contention
  // In one entry; above this, jobs are refused as team_quota.
  uint32_t max_waiting_tasks = 5000;
};

struct upstream_config {
  std::string name;
};

// A queue of jobs whose tasks run under leases. A caller's request names it by
// host and path.
struct queue_config {
  std::string name;
  std::string host;
  std::string path_prefix;    // "/bookings/"; the longest match applies
  std::string upstream;       // whose workers run its tasks
  int64_t priority = 0;       // 0 comes first
  uint32_t max_attempts = 3;  // failed runs of a task before its job fails
  // A job is on time if answered within this multiple of its own work.
  double stretch = 2;
  int64_t allowance_ms = 100;  // ... plus this
};

// Splits jobs among policies, so that two can be compared on live traffic.
struct comparison_config {
  std::string name;
  std::string team;                                   // empty: every team
  std::vector<std::pair<std::string, double>> split;  // policy, share of jobs
};

struct limits_config {
  uint32_t max_tasks_per_job = 1000;
  uint32_t max_payload_bytes = 65'536;  // of one task
  uint32_t max_waiting_tasks = 20'000;  // in one entry
  int64_t max_deadline_ms = 120'000;
  int64_t default_deadline_ms = 30'000;  // for jobs that set none
  // How long a keyed job's outcome is kept for repeats.
  int64_t keep_outcome_ms = 600'000;
};

struct configuration {
  std::map<std::string, team_config> teams;
  std::map<std::string, upstream_config> upstreams;
  std::vector<queue_config> queues;     // longest path_prefix first
  std::vector<policy_config> policies;  // in name order
  std::string default_policy;
  std::map<std::string, comparison_config> comparisons;
  limits_config limits;
};

const char* ToText(policy_kind kind);
const char* ToText(job_order order);

// ---- [3] Reading and merging ------------------------------------------------

// Checks members, types and ranges, and in a whole document references too.
enum class check_scope : uint8_t { one_file, whole };
std::vector<config_error> CheckConfig(const nlohmann::json& document,
                                      check_scope scope);

// `document` must have passed CheckConfig as a whole document.
configuration ReadConfig(const nlohmann::json& document);

// The queue that matches a request's host and path; null if none does.
const queue_config* MatchQueue(const configuration& config,
                               std::string_view host,
                               std::string_view path);

// One file of the operators' folder.
struct config_file {
  std::string name;
  std::string text;
};

struct merged_config {
  nlohmann::json document = nlohmann::json::object();
  std::vector<std::string> errors;  // each names file and path
};

// Merges the files in the order of their names (JSON merge patch). Checks each
// file and the result.
merged_config MergeConfig(std::vector<config_file> files);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CONFIG_H_
