// Moves callers off an entry that is short of processor time.
//
// Callers keep their connections open, so an entry that is late keeps its
// callers although its peers are in time. It reports not ready for a short
// period, so that the balancer assigns new connections to other entries, and
// then closes some of its callers' connections, each after a complete answer.
// Where the balancer's probes are regular, the entry follows them: it stops
// being ready just before one, and closes connections between the second that
// it fails and the next.
//
// Pure functions: no thread, clock or socket.
//
// Contents
//   [1] State
//   [2] Period
//   [3] Probes
//   [4] Connections

#ifndef CASSIAFERRY_SHEDDING_H_
#define CASSIAFERRY_SHEDDING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] State --------------------------------------------------------------

struct shedding_options {
  bool enabled = false;
  // A period begins after work has been refused for lateness for this long.
  micros late_for = Millis(500);
  // Time in which nothing is refused takes its share of this from the time in
  // which something is: an entry at its limit is late again and again, never
  // for long.
  int64_t in_time_parts = 3;
  // Readiness is probed once a second, and two failures take the entry out.
  int missed_probes = 2;
  // If probes are unknown.
  micros notice_time = Millis(2000);
  micros close_time = Millis(1000);  // after that; connections are closed
  micros min_gap = Millis(10'000);   // from one period to the next
  // Bounds the time that the entry is not ready, for whatever reason, since it
  // was first ready. At an eighth it would fail its availability obligation.
  int64_t ready_parts = 10;  // at most one part in so many is not ready
  // A connection is active if it has sent a request within this time.
  micros active_within = Millis(1000);
  size_t closed_parts = 3;  // one active connection in so many is closed ...
  // ... or more, so that those that stay ask for this share of what is done
  // now, up to `max_closed_share`.
  double kept_load = 0.8;
  double max_closed_share = 0.8;
  micros averaging_time = Millis(1000);  // of what is asked and done
};

enum class shedding_phase : uint8_t {
  none,     // ready, unless another reason prevents it
  notice,   // not ready; the balancer has yet to notice
  closing,  // not ready; connections are closed
};

struct recent_connection {
  micros last_request{0};
  ticket_id newest;  // its last request
};

// Requests and complete answers, decayed.
struct recent_load {
  double asked = 0;
  double done = 0;
};

struct shedding {
  shedding_options options;
  shedding_phase phase = shedding_phase::none;
  std::optional<micros> first_ready;  // before it, no callers come
  micros late_time{0};                // see `late_for`
  bool was_late = false;              // at the last tick
  std::optional<micros> last_probe;
  micros probe_interval{0};  // 0: not known
  int missed = 0;            // probes in this period
  recent_load load;
  std::optional<micros> last_end;  // of the last period
  micros period_start{0};
  micros period_length{0};
  micros last_tick{0};
  micros last_prune{0};
  micros unready_time{0};  // since `first_ready`
  bool was_ready = true;   // from the last tick on
  size_t to_close = 0;     // in this period
  size_t closed = 0;       // in this period
  uint64_t closed_total = 0;
  std::unordered_map<connection_id, recent_connection> connections;
};

// ---- [2] Period -------------------------------------------------------------

struct shedding_inputs {
  micros now{0};
  double refuse_share = 0;  // `lateness::refuse_share`
  bool draining = false;
  bool ready = false;  // apart from shedding
};

enum class shedding_change : uint8_t { readiness_withdrawn, closing, ended };

struct shedding_decision {
  bool ready = false;  // to be reported
  std::optional<shedding_change> change;
  size_t active_connections = 0;  // with `closing`
};

// Call each tick.
shedding_decision TickShedding(shedding& s, const shedding_inputs& in);
// Empty unless enabled.
std::string SheddingPrometheusText(const shedding& s);

// ---- [3] Probes -------------------------------------------------------------

// Call with each probe that was answered.
void RecordProbe(shedding& s, micros now, bool answered_ready);

// ---- [4] Connections --------------------------------------------------------

void RecordRequest(shedding& s,
                   micros now,
                   connection_id connection,
                   ticket_id ticket);
// Number of connections that have sent a request within `active_within`.
size_t CountActive(const shedding& s, micros now);
// At least one of several, never all: a third, or what the load asks for.
size_t ConnectionsToClose(const shedding_options& options,
                          size_t active,
                          const recent_load& load = {});
// Call with each answer to a caller; `done`: its job has completed.
void RecordAnswer(shedding& s, bool done);
// Whether the answer to `ticket`, the only open request of its connection, is
// to close it. Counts the connection as closed.
bool ClosesAfter(shedding& s, connection_id connection, ticket_id ticket);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SHEDDING_H_
