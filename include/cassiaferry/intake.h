// What the callers of an HTTP server may make it hold: connections, requests
// that arrive, and requests that nobody has read yet.
//
// Callers are not trusted. Each limit is one for all connections together:
// a limit for each of them is multiplied by their number. When room is short,
// a connection is closed that loses the least by it, so that others are served:
// of the limits on bytes, one with the most; of the one on connections, one
// that holds its place without a request.
//
// Pure functions: no thread, clock or socket.
//
// Contents
//   [1] State
//   [2] Connections
//   [3] Requests

#ifndef CASSIAFERRY_INTAKE_H_
#define CASSIAFERRY_INTAKE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] State --------------------------------------------------------------

struct intake_options {
  size_t max_connections = 512;
  size_t max_receiving_bytes = 10 << 20;  // of requests that are not yet whole
  size_t max_unread_bytes = 10 << 20;     // of whole requests, until released
  // A connection that has stood still for less is closed for its place only if
  // all others are as young.
  micros grace = Millis(2000);
};

struct caller_connection {
  size_t receiving_bytes = 0;  // held for the request that it is sending
  size_t open_requests = 0;    // whole ones without an answer
  bool sending = false;        // it has begun a request
  bool answered = false;       // it has had an answer
  micros since{0};  // when it was accepted, began its request, or was answered
};

struct closed_connection {
  connection_id id;
  // It may be sent a refusal: it was sending its first request.
  bool hears_why = false;
};

struct intake_counters {
  uint64_t closed_for_place = 0;   // connections
  uint64_t closed_for_bytes = 0;   // connections
  uint64_t refused_unread = 0;     // requests
  uint64_t refused_too_large = 0;  // requests
};

struct intake {
  intake_options options;
  std::unordered_map<connection_id, caller_connection> connections;
  size_t receiving_bytes = 0;
  size_t unread_bytes = 0;
  intake_counters counters;
};

// `server`: its name in the metrics' labels.
std::string IntakePrometheusText(const std::string& server,
                                 const intake_counters& counters);

// ---- [2] Connections --------------------------------------------------------

// Adds a connection. Returns one that is to be closed for its place and is no
// longer counted, maybe the new one.
std::optional<closed_connection> AddConnection(intake& in,
                                               micros now,
                                               connection_id id);

// No effect if the connection is not known, as for all functions below.
void RemoveConnection(intake& in, connection_id id);

// ---- [3] Requests -----------------------------------------------------------

// The first byte of a request has arrived.
void RecordBegin(intake& in, micros now, connection_id id);

// `bytes`: held for the request so far. Returns connections that are to be
// closed for their bytes and are no longer counted, maybe this one.
std::vector<closed_connection> RecordReceiving(intake& in,
                                               connection_id id,
                                               size_t bytes);

// The request is whole. False: there is no room for it, and it is refused.
// Otherwise `bytes` are held until `ReleaseRequest`.
bool TakeRequest(intake& in, connection_id id, size_t bytes);

// `TakeRequest` has returned true, once.
void ReleaseRequest(intake& in, size_t bytes);

// A request that was taken has got its answer.
void RecordAnswered(intake& in, micros now, connection_id id);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_INTAKE_H_
