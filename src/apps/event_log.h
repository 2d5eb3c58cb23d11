// Structured log: one JSON object a line on standard output.
//
// Never blocks. Failure guarded against: nobody reads the output, and a full
// pipe would stop the process. What can't be written, or is above the rate, is
// dropped and counted, and the count is logged.

#ifndef CASSIAFERRY_SRC_APPS_EVENT_LOG_H_
#define CASSIAFERRY_SRC_APPS_EVENT_LOG_H_

#include <nlohmann/json.hpp>
#include <string>

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

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_EVENT_LOG_H_
