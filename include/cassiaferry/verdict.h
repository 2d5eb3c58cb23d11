// Whether a failed request may have run, and the reason of the failure.
//
// Contents
//   [1] Verdict
//   [2] Reasons
//   [3] Failure

#ifndef CASSIAFERRY_VERDICT_H_
#define CASSIAFERRY_VERDICT_H_

#include <cstdint>
#include <string>
#include <system_error>

namespace cassiaferry {

// ---- [1] Verdict ------------------------------------------------------------

// Whether a request may have run. Travels with every error, end to end.
enum class verdict : uint8_t {
  not_run,       // proven: no task of it started, and none will
  may_have_run,  // at least one task started, or can't be proven not to have
  ran,           // an upstream answered
};

const char* ToText(verdict v);
// The weaker of two verdicts: two equal ones stay, two different ones give
// may_have_run.
verdict WeakerVerdict(verdict a, verdict b);

// ---- [2] Reasons ------------------------------------------------------------

// Every refusal and failure has one of these. Each is a counter in /metrics and
// a line in docs/OPERATIONS.md.
enum class reason : uint8_t {
  none,
  bad_request,       // 400  unreadable, unknown member, value out of range
  key_required,      // 400  repeatable is false and no key is given
  not_found,         // 404  no such path
  unknown_team,      // 404
  unknown_upstream,  // 404
  key_conflict,      // 409  same key, another body
  key_in_progress,   // 409  same key, still running
  key_owner_lost,   // 409  same key, its owner is lost with the outcome unknown
  config_conflict,  // 409  the configuration changed since the named version
  too_large,        // 413  body, payload or task count above the limit
  never_runnable,   // 422  a task needs more than any worker ever seen has
  team_quota,       // 429  the team's waiting tasks are at its limit
  queue_full,       // 429  the entry's waiting tasks are at its limit
  deadline_unreachable,  // 429  at the current drain rate the deadline can't be
                         // met
  task_failed,           // 502  an upstream answered a task with a failure
  worker_lost,  // 502  a worker or its sidecar was lost with a task unresolved
  no_worker,    // 503  no worker takes new work for the upstream now
  draining,     // 503  this entry is stopping
  starting,     // 503  this entry has no configuration yet
  platform_unavailable,  // 503  a keyed job needs the platform, which can't be
                         // reached
  deadline,              // 504  the deadline passed
  cancelled,             // 499  the caller closed its connection
  unauthorized,          // 401
  forbidden,             // 403
  not_supported,  // 501  the request needs a feature that this version lacks
  count_,
};

const char* ToText(reason r);
int HttpStatus(reason r);

// `std::error_code` form, for code that reports through the standard's errors.
const std::error_category& ReasonCategory();
std::error_code make_error_code(reason r);

// ---- [3] Failure ------------------------------------------------------------

struct failure {
  verdict run_verdict = verdict::not_run;
  reason cause = reason::none;
  std::string message;         // one sentence for a human reader
  int64_t retry_after_ms = 0;  // 0: a retry makes no sense or needs no wait
};

}  // namespace cassiaferry

template <>
struct std::is_error_code_enum<cassiaferry::reason> : std::true_type {};

#endif  // CASSIAFERRY_VERDICT_H_
