// Configuration: checks, reading, merging.
//
// Contents
//   [1] Checking JSON
//   [2] Rules of the configuration
//   [3] References
//   [4] Reading
//   [5] Merging

#include "cassiaferry/config.h"

#include <algorithm>
#include <array>
#include <optional>

namespace cassiaferry {

using nlohmann::json;

namespace {

// ---- [1] Checking JSON ------------------------------------------------------

const char* KindName(field_kind kind) {
  constexpr const char* kNames[] = {"a whole number", "a number",
                                    "true or false",  "a text",
                                    "an object",      "an array"};
  return kNames[static_cast<size_t>(kind)];
}

bool HasKind(const json& value, field_kind kind) {
  switch (kind) {
    case field_kind::integer:
      return value.is_number_integer();
    case field_kind::number:
      return value.is_number();
    case field_kind::boolean:
      return value.is_boolean();
    case field_kind::text:
      return value.is_string();
    case field_kind::object:
      return value.is_object();
    case field_kind::array:
      return value.is_array();
  }
  return false;
}

std::string NumberText(double value) {
  return json(static_cast<int64_t>(value)).dump();
}

void CheckRange(const json& value,
                const field_rule& rule,
                const std::string& path,
                std::vector<config_error>& errors) {
  double measure = 0;
  std::string subject = "value";
  if (rule.kind == field_kind::integer || rule.kind == field_kind::number) {
    measure = value.get<double>();
  } else if (rule.kind == field_kind::text) {
    measure = static_cast<double>(value.get_ref<const std::string&>().size());
    subject = "length";
  } else if (rule.kind == field_kind::array) {
    measure = static_cast<double>(value.size());
    subject = "length";
  } else {
    return;
  }
  if (measure < rule.low || measure > rule.high)
    errors.push_back({path, subject + " must be from " + NumberText(rule.low) +
                                " to " + NumberText(rule.high)});
}

const field_rule* FindRule(const std::vector<field_rule>& rules,
                           const std::string& name) {
  const auto it =
      std::find_if(rules.begin(), rules.end(),
                   [&](const field_rule& r) { return name == r.name; });
  return it == rules.end() ? nullptr : &*it;
}

std::string KnownNames(const std::vector<field_rule>& rules) {
  std::string names;
  for (const field_rule& rule : rules)
    names.append(names.empty() ? "" : ", ").append(rule.name);
  return names;
}

}  // namespace

void CheckObject(const json& object,
                 const std::vector<field_rule>& rules,
                 const std::string& path,
                 std::vector<config_error>& errors) {
  if (!object.is_object()) {
    errors.push_back({path, "must be an object"});
    return;
  }
  for (const auto& [name, value] : object.items()) {
    const std::string member = path + "/" + name;
    const field_rule* rule = FindRule(rules, name);
    if (rule == nullptr)
      errors.push_back(
          {member, "unknown member; known are " + KnownNames(rules)});
    else if (!HasKind(value, rule->kind))
      errors.push_back(
          {member, std::string("must be ") + KindName(rule->kind)});
    else
      CheckRange(value, *rule, member, errors);
  }
  for (const field_rule& rule : rules) {
    if (rule.required && !object.contains(rule.name))
      errors.push_back({path + "/" + rule.name, "is missing"});
  }
}

bool ParseJson(const std::string& text,
               json& out,
               std::string& error,
               size_t max_tree_bytes) {
  const json_extent extent = MeasureJson(text);
  if (extent.depth > kMaxRecordDepth) {
    error = "nested deeper than " + std::to_string(kMaxRecordDepth) + " levels";
    return false;
  }
  if (extent.tree_bytes > max_tree_bytes) {
    error = "holds too many values";
    return false;
  }
  try {
    out = json::parse(text);
  } catch (const json::exception& e) {
    error = e.what();
    return false;
  }
  return true;
}

namespace {

// ---- [2] Rules of the configuration -----------------------------------------

const std::vector<field_rule> kTopRules = {
    {"teams", field_kind::object},
    {"upstreams", field_kind::object},
    {"queues", field_kind::object},
    {"policies", field_kind::object},
    {"comparisons", field_kind::object},
    {"limits", field_kind::object},
    {"default_policy", field_kind::text, 1, 64},
};

const std::vector<field_rule> kTeamRules = {
    {"weight", field_kind::number, 0.001, 1000},
    {"max_waiting_tasks", field_kind::integer, 1, 1e6},
};

const std::vector<field_rule> kUpstreamRules = {};

const std::vector<field_rule> kQueueRules = {
    {"host", field_kind::text, 1, 256, true},
    {"path_prefix", field_kind::text, 1, 1024, true},
    {"upstream", field_kind::text, 1, 64, true},
    {"priority", field_kind::integer, 0, 1000},
    {"max_attempts", field_kind::integer, 1, 1000},
    {"stretch", field_kind::number, 1, 1000},
    {"allowance_ms", field_kind::integer, 0, 3'600'000},
};

const std::vector<field_rule> kPolicyRules = {
    {"kind", field_kind::text, 1, 64},
    {"order", field_kind::text, 1, 64},
    {"ageing_ms", field_kind::integer, 0, 60'000},
    {"choices", field_kind::integer, 1, 64},
    {"probe_ratio", field_kind::number, 1, 16},
    {"fanout", field_kind::integer, 1, 1000},
    {"improve_fanout", field_kind::integer, 0, 1000},
    {"improve_ms", field_kind::integer, 0, 60'000},
    {"queue_from", field_kind::integer, 1, 1e6},
    {"ageing_cap_ms", field_kind::integer, 0, 3'600'000},
    {"tell_after_ms", field_kind::integer, 0, 10'000},
};

const std::vector<field_rule> kComparisonRules = {
    {"team", field_kind::text, 1, 64},
    {"split", field_kind::object},
};

const std::vector<field_rule> kLimitRules = {
    {"max_tasks_per_job", field_kind::integer, 1, 100'000},
    {"max_payload_bytes", field_kind::integer, 1, 1 << 20},
    {"max_waiting_tasks", field_kind::integer, 1, 1e6},
    {"max_deadline_ms", field_kind::integer, 1, 3'600'000},
    {"default_deadline_ms", field_kind::integer, 1, 3'600'000},
    {"keep_outcome_ms", field_kind::integer, 1000, 86'400'000},
};

constexpr std::array<policy_kind, 5> kPolicyKinds = {
    policy_kind::random, policy_kind::round_robin, policy_kind::two_choices,
    policy_kind::batch_sampling, policy_kind::slot_offer};
constexpr std::array<job_order, 2> kOrders = {job_order::first_come,
                                              job_order::fewest_remaining};

template <typename Enum, size_t N>
std::optional<Enum> FromText(const std::array<Enum, N>& values,
                             const std::string& text) {
  for (Enum value : values) {
    if (text == ToText(value))
      return value;
  }
  return std::nullopt;
}

template <typename Enum, size_t N>
void CheckChoice(const json& object,
                 const char* member,
                 const std::array<Enum, N>& values,
                 const std::string& path,
                 std::vector<config_error>& errors) {
  if (!object.is_object() || !object.contains(member) ||
      !object[member].is_string())
    return;
  if (FromText(values, object[member].get<std::string>()))
    return;
  std::string known;
  for (Enum value : values)
    known.append(known.empty() ? "" : ", ").append(ToText(value));
  errors.push_back({path + "/" + member, "must be one of " + known});
}

// Calls check(value, path) on each member of the named section. In one file a
// member may be null: the merge patch then removes it.
template <typename Check>
void ForEachMember(const json& document,
                   const char* section,
                   check_scope scope,
                   Check check) {
  if (!document.is_object() || !document.contains(section) ||
      !document[section].is_object())
    return;
  for (const auto& [name, value] : document[section].items()) {
    if (value.is_null() && scope == check_scope::one_file)
      continue;
    check(value, std::string("/") + section + "/" + name);
  }
}

void CheckSplit(const json& comparison,
                const std::string& path,
                std::vector<config_error>& errors) {
  if (!comparison.is_object() || !comparison.contains("split") ||
      !comparison["split"].is_object())
    return;
  for (const auto& [policy, share] : comparison["split"].items()) {
    if (!share.is_number() || share.get<double>() <= 0)
      errors.push_back({path + "/split/" + policy, "must be a number above 0"});
  }
}

// ---- [3] References ---------------------------------------------------------

bool HasMember(const json& document,
               const char* section,
               const std::string& name) {
  return document.contains(section) && document[section].contains(name);
}

void CheckReferences(const json& document, std::vector<config_error>& errors) {
  for (const char* section : {"teams", "upstreams", "policies"}) {
    if (!document.contains(section) || document[section].empty())
      errors.push_back(
          {std::string("/") + section, "must have at least one member"});
  }
  if (!document.contains("default_policy"))
    errors.push_back({"/default_policy", "is missing"});
  else if (!HasMember(document, "policies", document["default_policy"]))
    errors.push_back({"/default_policy", "names no policy"});
  ForEachMember(document, "queues", check_scope::whole,
                [&](const json& queue, const std::string& path) {
                  if (!HasMember(document, "upstreams", queue["upstream"]))
                    errors.push_back({path + "/upstream", "names no upstream"});
                });
  ForEachMember(
      document, "comparisons", check_scope::whole,
      [&](const json& comparison, const std::string& path) {
        if (!comparison.contains("split") || comparison["split"].empty())
          errors.push_back({path + "/split", "must name at least one policy"});
        else
          for (const auto& [policy, share] : comparison["split"].items())
            if (!HasMember(document, "policies", policy))
              errors.push_back({path + "/split/" + policy, "names no policy"});
        if (comparison.contains("team") &&
            !HasMember(document, "teams", comparison["team"]))
          errors.push_back({path + "/team", "names no team"});
      });
}

// ---- [4] Reading ------------------------------------------------------------

policy_config ReadPolicy(const std::string& name, const json& j) {
  policy_config p;
  p.name = name;
  p.kind =
      FromText(kPolicyKinds, j.value("kind", ToText(p.kind))).value_or(p.kind);
  p.order =
      FromText(kOrders, j.value("order", ToText(p.order))).value_or(p.order);
  p.ageing_ms = j.value("ageing_ms", p.ageing_ms);
  p.choices = j.value("choices", p.choices);
  p.probe_ratio = j.value("probe_ratio", p.probe_ratio);
  p.fanout = j.value("fanout", p.fanout);
  p.improve_fanout = j.value("improve_fanout", p.improve_fanout);
  p.improve_ms = j.value("improve_ms", p.improve_ms);
  p.queue_from = j.value("queue_from", p.queue_from);
  p.ageing_cap_ms = j.value("ageing_cap_ms", p.ageing_cap_ms);
  p.tell_after_ms = j.value("tell_after_ms", p.tell_after_ms);
  return p;
}

team_config ReadTeam(const std::string& name, const json& j) {
  team_config t;
  t.name = name;
  t.weight = j.value("weight", t.weight);
  t.max_waiting_tasks = j.value("max_waiting_tasks", t.max_waiting_tasks);
  return t;
}

comparison_config ReadComparison(const std::string& name, const json& j) {
  comparison_config c;
  c.name = name;
  c.team = j.value("team", c.team);
  for (const auto& [policy, share] : j["split"].items())
    c.split.emplace_back(policy, share.get<double>());
  return c;
}

queue_config ReadQueue(const std::string& name, const json& j) {
  queue_config q;
  q.name = name;
  q.host = j["host"];
  q.path_prefix = j["path_prefix"];
  q.upstream = j["upstream"];
  q.priority = j.value("priority", q.priority);
  q.max_attempts = j.value("max_attempts", q.max_attempts);
  q.stretch = j.value("stretch", q.stretch);
  q.allowance_ms = j.value("allowance_ms", q.allowance_ms);
  return q;
}

// Longest prefix first, so that the first match is the longest.
std::vector<queue_config> ReadQueues(const json& document) {
  std::vector<queue_config> queues;
  if (!document.contains("queues"))
    return queues;
  for (const auto& [name, j] : document["queues"].items())
    queues.push_back(ReadQueue(name, j));
  std::stable_sort(queues.begin(), queues.end(),
                   [](const queue_config& a, const queue_config& b) {
                     return a.path_prefix.size() > b.path_prefix.size();
                   });
  return queues;
}

limits_config ReadLimits(const json& j) {
  limits_config l;
  l.max_tasks_per_job = j.value("max_tasks_per_job", l.max_tasks_per_job);
  l.max_payload_bytes = j.value("max_payload_bytes", l.max_payload_bytes);
  l.max_waiting_tasks = j.value("max_waiting_tasks", l.max_waiting_tasks);
  l.max_deadline_ms = j.value("max_deadline_ms", l.max_deadline_ms);
  l.default_deadline_ms = j.value("default_deadline_ms", l.default_deadline_ms);
  l.keep_outcome_ms = j.value("keep_outcome_ms", l.keep_outcome_ms);
  return l;
}

}  // namespace

const char* ToText(policy_kind kind) {
  constexpr const char* kNames[] = {"random", "round_robin", "two_choices",
                                    "batch_sampling", "slot_offer"};
  return kNames[static_cast<size_t>(kind)];
}

const char* ToText(job_order order) {
  return order == job_order::first_come ? "first_come" : "fewest_remaining";
}

std::vector<config_error> CheckConfig(const json& document, check_scope scope) {
  std::vector<config_error> errors;
  CheckObject(document, kTopRules, "", errors);
  ForEachMember(document, "teams", scope,
                [&](const json& j, const std::string& path) {
                  CheckObject(j, kTeamRules, path, errors);
                });
  ForEachMember(document, "upstreams", scope,
                [&](const json& j, const std::string& path) {
                  CheckObject(j, kUpstreamRules, path, errors);
                });
  ForEachMember(document, "queues", scope,
                [&](const json& j, const std::string& path) {
                  CheckObject(j, kQueueRules, path, errors);
                });
  ForEachMember(document, "policies", scope,
                [&](const json& j, const std::string& path) {
                  CheckObject(j, kPolicyRules, path, errors);
                  CheckChoice(j, "kind", kPolicyKinds, path, errors);
                  CheckChoice(j, "order", kOrders, path, errors);
                });
  ForEachMember(document, "comparisons", scope,
                [&](const json& j, const std::string& path) {
                  CheckObject(j, kComparisonRules, path, errors);
                  CheckSplit(j, path, errors);
                });
  if (document.is_object() && document.contains("limits"))
    CheckObject(document["limits"], kLimitRules, "/limits", errors);
  if (scope == check_scope::whole && errors.empty())
    CheckReferences(document, errors);
  return errors;
}

configuration ReadConfig(const json& document) {
  configuration c;
  for (const auto& [name, j] : document["teams"].items())
    c.teams.emplace(name, ReadTeam(name, j));
  for (const auto& [name, j] : document["upstreams"].items())
    c.upstreams.emplace(name, upstream_config{name});
  for (const auto& [name, j] : document["policies"].items())
    c.policies.push_back(ReadPolicy(name, j));
  c.queues = ReadQueues(document);
  c.default_policy = document["default_policy"];
  if (document.contains("comparisons")) {
    for (const auto& [name, j] : document["comparisons"].items())
      c.comparisons.emplace(name, ReadComparison(name, j));
  }
  if (document.contains("limits"))
    c.limits = ReadLimits(document["limits"]);
  return c;
}

const queue_config* MatchQueue(const configuration& config,
                               std::string_view host,
                               std::string_view path) {
  for (const queue_config& queue : config.queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix))
      return &queue;
  }
  return nullptr;
}

// ---- [5] Merging ------------------------------------------------------------

namespace {

// Last file that sets the path or a parent of it, for the error message.
std::string FindSourceFile(
    const std::vector<std::pair<std::string, json>>& files,
    std::string path) {
  for (; !path.empty(); path.resize(path.rfind('/'))) {
    for (auto it = files.rbegin(); it != files.rend(); ++it) {
      if (it->second.contains(json::json_pointer(path)))
        return it->first;
    }
  }
  return "the folder";
}

}  // namespace

merged_config MergeConfig(std::vector<config_file> files) {
  merged_config merged;
  std::vector<std::pair<std::string, json>> parsed;
  std::sort(files.begin(), files.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  for (const config_file& file : files) {
    json patch;
    std::string error;
    if (!ParseJson(file.text, patch, error)) {
      merged.errors.push_back(file.name + ": not JSON: " + error);
      continue;
    }
    for (const config_error& e : CheckConfig(patch, check_scope::one_file))
      merged.errors.push_back(file.name + ": " + e.path + ": " + e.message);
    parsed.emplace_back(file.name, patch);
  }
  if (!merged.errors.empty())
    return merged;
  for (const auto& [name, patch] : parsed)
    merged.document.merge_patch(patch);
  for (const config_error& e : CheckConfig(merged.document, check_scope::whole))
    merged.errors.push_back(FindSourceFile(parsed, e.path) + ": " + e.path +
                            ": " + e.message);
  return merged;
}

}  // namespace cassiaferry
