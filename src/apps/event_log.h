// Structured log: one JSON object a line on standard output.
//
// Never blocks. Failure guarded against: nobody reads the output, and a full
// pipe would stop the process. What can't be written, or is above the rate, is
// dropped and counted, and the count is logged. Routine lines are dropped
// first.

#ifndef CASSIAFERRY_SRC_APPS_EVENT_LOG_H_
#define CASSIAFERRY_SRC_APPS_EVENT_LOG_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "cassiaferry/log_budget.h"

namespace cassiaferry {

// The line as it is written, with its end.
std::string EventLine(const char* part,
                      const char* what,
                      const nlohmann::json& fields);

// `part`: "entry" or "sidecar". Members of `fields` follow the time, the part
// and what happened. Any thread.
void LogEvent(const char* part,
              const char* what,
              const nlohmann::json& fields = nlohmann::json::object());

// A line of class `c`; `sampled`: of a job in the sample. `fields` is called
// only if the line is written, and must not log.
void LogEvent(const char* part,
              const char* what,
              log_class c,
              bool sampled,
              const std::function<nlohmann::json()>& fields);

// Whether routine lines of jobs outside the sample are written now.
bool LogsRoutine();
// Counts a routine line that was not made because it would be dropped.
void CountOmittedRoutine(const char* what);

std::string LogMetricsText();

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_EVENT_LOG_H_
