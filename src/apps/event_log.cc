// Structured log on standard output.

#include "event_log.h"

#include <poll.h>
#include <unistd.h>

#include <mutex>

#include "../net/control_loop.h"

namespace cassiaferry {

namespace {

// Lines a second; a busy process makes about 100, and a flood is of no more
// use.
constexpr double kRate = 400;
constexpr double kBurst = 800;

struct log_state {
  std::mutex mutex;
  double tokens = kBurst;
  micros filled{0};
  uint64_t dropped = 0;
};

log_state& State() {
  static log_state state;
  return state;
}

bool TakeToken(log_state& s, micros now) {
  const double passed = static_cast<double>((now - s.filled).value) / 1e6;
  s.tokens = std::min(kBurst, s.tokens + passed * kRate);
  s.filled = now;
  if (s.tokens < 1)
    return false;
  s.tokens -= 1;
  return true;
}

// A line up to PIPE_BUF is written whole or not at all.
bool WriteLine(const std::string& line) {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return false;
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
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
  log_state& s = State();
  const std::lock_guard lock(s.mutex);
  if (!TakeToken(s, Now())) {
    ++s.dropped;
    return;
  }
  if (s.dropped > 0 &&
      WriteLine(EventLine(part, "log lines dropped", {{"count", s.dropped}})))
    s.dropped = 0;
  if (!WriteLine(EventLine(part, what, fields)))
    ++s.dropped;
}

}  // namespace cassiaferry
