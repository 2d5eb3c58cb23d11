// Structured log on standard output.

#include "event_log.h"

#include <poll.h>
#include <unistd.h>

#include <mutex>

#include "../net/control_loop.h"

namespace cassiaferry {

namespace {

struct log_state {
  std::mutex mutex;
  log_budget budget;
};

log_state& State() {
  static log_state state;
  return state;
}

// A line up to PIPE_BUF is written whole or not at all.
bool WriteLine(const std::string& line) {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return false;
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

void ReportDropped(log_budget& b, const char* part, micros now) {
  if (!MustReportDropped(b, now))
    return;
  nlohmann::json fields = {{"count", b.dropped[0] + b.dropped[1]}};
  for (const log_class c : {log_class::decision, log_class::routine})
    fields[ToText(c)] = b.dropped[static_cast<size_t>(c)];
  fields["by_what"] = b.dropped_what;
  if (WriteLine(EventLine(part, "log lines dropped", fields)))
    RecordDroppedReported(b, now);
}

}  // namespace

std::string EventLine(const char* part,
                      const char* what,
                      const nlohmann::json& fields) {
  std::string line = R"({"at_ms":)" + std::to_string(WallMillis()) +
                     R"(,"part":")" + part + R"(","what":")" + what + "\"";
  const std::string rest =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // No fields at all are null, not an empty object.
  if (fields.is_object() && !fields.empty())
    line += "," + rest.substr(1, rest.size() - 2);
  return line + "}\n";
}

void LogEvent(const char* part,
              const char* what,
              const nlohmann::json& fields) {
  LogEvent(part, what, log_class::decision, false,
           [&fields] { return fields; });
}

void LogEvent(const char* part,
              const char* what,
              log_class c,
              bool sampled,
              const std::function<nlohmann::json()>& fields) {
  log_state& s = State();
  const std::lock_guard lock(s.mutex);
  const micros now = Now();
  if (!TakeLine(s.budget, now, c, sampled)) {
    CountDroppedLine(s.budget, c, what);
    return;
  }
  ReportDropped(s.budget, part, now);
  if (!WriteLine(EventLine(part, what, fields())))
    CountDroppedLine(s.budget, c, what);
}

bool LogsRoutine() {
  log_state& s = State();
  const std::lock_guard lock(s.mutex);
  return MayLogRoutine(s.budget, Now());
}

void CountOmittedRoutine(const char* what) {
  log_state& s = State();
  const std::lock_guard lock(s.mutex);
  CountDroppedLine(s.budget, log_class::routine, what);
}

std::string LogMetricsText() {
  log_state& s = State();
  const std::lock_guard lock(s.mutex);
  return LogPrometheusText(s.budget);
}

}  // namespace cassiaferry
