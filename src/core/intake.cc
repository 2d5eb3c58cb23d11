// What the callers of an HTTP server may make it hold.
//
// Contents
//   [1] Which connection is closed
//   [2] Connections
//   [3] Requests

#include "cassiaferry/intake.h"

#include <tuple>
#include <utility>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

namespace {

// ---- [1] Which connection is closed -----------------------------------------

// In the order in which they are closed for their place.
enum class place_use : uint8_t {
  unfinished,  // sends a request for a while, and might never end it
  unused,      // has sent nothing since it was accepted
  kept,        // waits for its caller's next request
  young,       // any of these, but not for long
};

place_use PlaceUse(const intake_options& options,
                   micros now,
                   const caller_connection& c) {
  if (now - c.since < options.grace)
    return place_use::young;
  if (c.sending)
    return place_use::unfinished;
  return c.answered ? place_use::kept : place_use::unused;
}

using connection_map = std::unordered_map<connection_id, caller_connection>;

// The connection with the smallest key, of those that `key` gives one for.
template <typename Key>
std::optional<connection_id> FindFirst(const connection_map& connections,
                                       Key key) {
  std::optional<std::pair<decltype(key(caller_connection())), connection_id>>
      first;
  for (const auto& [id, c] : connections) {
    const auto k = key(c);
    if (k && (!first || k < first->first))
      first.emplace(k, id);
  }
  return first ? std::optional(first->second) : std::nullopt;
}

// Failure guarded against: a job whose caller waits for its answer is ended for
// the sake of a new connection.
std::optional<connection_id> FindForPlace(const intake& in, micros now) {
  using order = std::pair<place_use, micros>;
  return FindFirst(in.connections, [&](const caller_connection& c) {
    return c.open_requests > 0 ? std::optional<order>()
                               : order(PlaceUse(in.options, now, c), c.since);
  });
}

// Failure guarded against: a caller escapes by a request that it leaves open,
// so those with one come last, but they come.
std::optional<connection_id> FindForBytes(const intake& in) {
  using order = std::pair<bool, int64_t>;
  return FindFirst(in.connections, [](const caller_connection& c) {
    return c.receiving_bytes == 0
               ? std::optional<order>()
               : order(c.open_requests > 0,
                       -static_cast<int64_t>(c.receiving_bytes));
  });
}

caller_connection* FindConnection(intake& in, connection_id id) {
  const auto it = in.connections.find(id);
  return it == in.connections.end() ? nullptr : &it->second;
}

closed_connection Close(intake& in, connection_id id) {
  const caller_connection* c = FindConnection(in, id);
  const bool sends_first =
      c != nullptr && c->sending && c->open_requests == 0 && !c->answered;
  RemoveConnection(in, id);
  return {id, sends_first};
}

void SetReceiving(intake& in, caller_connection& c, size_t bytes) {
  in.receiving_bytes += bytes;
  in.receiving_bytes -= c.receiving_bytes;
  c.receiving_bytes = bytes;
}

}  // namespace

std::string IntakePrometheusText(const std::string& server,
                                 const intake_counters& counters) {
  std::string out;
  const std::string labels = "server=\"" + server + "\"";
  const auto append = [&](const char* name, uint64_t value) {
    AppendMetric(out, name, labels, static_cast<double>(value));
  };
  append("cassiaferry_connections_closed_for_place_total",
         counters.closed_for_place);
  append("cassiaferry_connections_closed_for_bytes_total",
         counters.closed_for_bytes);
  append("cassiaferry_requests_refused_unread_total", counters.refused_unread);
  append("cassiaferry_requests_refused_too_large_total",
         counters.refused_too_large);
  return out;
}

// ---- [2] Connections --------------------------------------------------------

std::optional<closed_connection> AddConnection(intake& in,
                                               micros now,
                                               connection_id id) {
  in.connections[id].since = now;
  if (in.connections.size() <= in.options.max_connections)
    return std::nullopt;
  ++in.counters.closed_for_place;
  return Close(in, FindForPlace(in, now).value_or(id));
}

void RemoveConnection(intake& in, connection_id id) {
  caller_connection* c = FindConnection(in, id);
  if (c == nullptr)
    return;
  SetReceiving(in, *c, 0);
  in.connections.erase(id);
}

// ---- [3] Requests -----------------------------------------------------------

void RecordBegin(intake& in, micros now, connection_id id) {
  caller_connection* c = FindConnection(in, id);
  if (c == nullptr)
    return;
  c->sending = true;
  c->since = now;
}

std::vector<closed_connection> RecordReceiving(intake& in,
                                               connection_id id,
                                               size_t bytes) {
  std::vector<closed_connection> closed;
  caller_connection* c = FindConnection(in, id);
  if (c == nullptr)
    return closed;
  SetReceiving(in, *c, bytes);
  while (in.receiving_bytes > in.options.max_receiving_bytes) {
    ++in.counters.closed_for_bytes;
    closed.push_back(Close(in, FindForBytes(in).value_or(id)));
  }
  return closed;
}

bool TakeRequest(intake& in, connection_id id, size_t bytes) {
  caller_connection* c = FindConnection(in, id);
  if (c != nullptr) {
    SetReceiving(in, *c, 0);
    c->sending = false;
  }
  const bool fits = in.unread_bytes == 0 ||
                    in.unread_bytes + bytes <= in.options.max_unread_bytes;
  if (!fits) {
    ++in.counters.refused_unread;
    return false;
  }
  in.unread_bytes += bytes;
  if (c != nullptr)
    ++c->open_requests;
  return true;
}

void ReleaseRequest(intake& in, size_t bytes) {
  in.unread_bytes -= bytes;
}

void RecordAnswered(intake& in, micros now, connection_id id) {
  caller_connection* c = FindConnection(in, id);
  if (c == nullptr || c->open_requests == 0)
    return;
  --c->open_requests;
  c->answered = true;
  if (!c->sending)
    c->since = now;
}

}  // namespace cassiaferry
