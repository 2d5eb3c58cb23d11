// Moves callers off an entry that is short of processor time.
//
// Contents
//   [1] Period
//   [2] Connections

#include "cassiaferry/shedding.h"

#include <algorithm>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

// ---- [1] Period -------------------------------------------------------------

namespace {

micros PeriodLength(const shedding_options& o) {
  return o.notice_time + o.close_time;
}

void CountUnreadyTime(shedding& s, micros now) {
  if (!s.started) {
    s.started = now;
    s.last_tick = now;
  }
  if (!s.was_ready)
    s.unready_time = s.unready_time + (now - s.last_tick);
  s.last_tick = now;
}

// Whether the time not ready stays within its bound with a period from now on.
// The share is largest at the end of the period.
bool StaysWithinBound(const shedding& s, micros now) {
  const micros length = PeriodLength(s.options);
  const micros since_start = now + length - *s.started;
  return (s.unready_time + length).value * s.options.ready_parts <=
         since_start.value;
}

void TrackLateness(shedding& s, const shedding_inputs& in) {
  const bool is_late = in.refuse_share > 0 && in.ready && !in.draining;
  if (!is_late)
    s.late_since.reset();
  else if (!s.late_since)
    s.late_since = in.now;
}

bool StartsPeriod(const shedding& s, micros now) {
  return s.late_since && now - *s.late_since >= s.options.late_for &&
         (!s.last_end || now - *s.last_end >= s.options.min_gap) &&
         StaysWithinBound(s, now);
}

bool EndsPeriod(const shedding& s, const shedding_inputs& in) {
  return in.draining || !in.ready || !s.options.enabled ||
         in.now - s.period_start >= PeriodLength(s.options);
}

shedding_change EndPeriod(shedding& s, micros now) {
  s.phase = shedding_phase::none;
  s.last_end = now;
  return shedding_change::ended;
}

shedding_change StartPeriod(shedding& s, micros now) {
  s.phase = shedding_phase::notice;
  s.period_start = now;
  s.to_close = 0;
  s.closed = 0;
  return shedding_change::readiness_withdrawn;
}

// Connections that were active when closing began are known until it ends.
void PruneConnections(shedding& s, micros now) {
  constexpr micros kEvery = Millis(500);
  if (now - s.last_prune < kEvery)
    return;
  s.last_prune = now;
  const micros kept = s.options.active_within + s.options.close_time;
  std::erase_if(s.connections, [&](const auto& entry) {
    return now - entry.second.last_request > kept;
  });
}

}  // namespace

shedding_decision TickShedding(shedding& s, const shedding_inputs& in) {
  CountUnreadyTime(s, in.now);
  TrackLateness(s, in);
  PruneConnections(s, in.now);
  shedding_decision d;
  if (s.phase != shedding_phase::none && EndsPeriod(s, in)) {
    d.change = EndPeriod(s, in.now);
  } else if (s.phase == shedding_phase::none && s.options.enabled &&
             StartsPeriod(s, in.now)) {
    d.change = StartPeriod(s, in.now);
  } else if (s.phase == shedding_phase::notice &&
             in.now - s.period_start >= s.options.notice_time) {
    s.phase = shedding_phase::closing;
    d.change = shedding_change::closing;
    d.active_connections = CountActive(s, in.now);
    s.to_close = ConnectionsToClose(s.options, d.active_connections);
  }
  d.ready = in.ready && !in.draining && s.phase == shedding_phase::none;
  s.was_ready = d.ready;
  return d;
}

std::string SheddingPrometheusText(const shedding& s) {
  std::string out;
  if (!s.options.enabled)
    return out;
  AppendMetric(out, "cassiaferry_connections_shed_total", "",
               static_cast<double>(s.closed_total));
  AppendMetric(out, "cassiaferry_shedding", "",
               s.phase == shedding_phase::none ? 0 : 1);
  return out;
}

// ---- [2] Connections --------------------------------------------------------

void RecordRequest(shedding& s,
                   micros now,
                   connection_id connection,
                   ticket_id ticket) {
  if (s.options.enabled)
    s.connections[connection] = {now, ticket};
}

size_t CountActive(const shedding& s, micros now) {
  return static_cast<size_t>(std::count_if(
      s.connections.begin(), s.connections.end(), [&](const auto& entry) {
        return now - entry.second.last_request <= s.options.active_within;
      }));
}

size_t ConnectionsToClose(const shedding_options& options, size_t active) {
  return active < 2 ? 0 : std::max<size_t>(1, active / options.closed_parts);
}

// An answer with `close` drops answers behind it on the same connection, so
// only the newest request's answer may have it.
bool ClosesAfter(shedding& s, connection_id connection, ticket_id ticket) {
  if (s.phase != shedding_phase::closing || s.closed >= s.to_close)
    return false;
  const auto it = s.connections.find(connection);
  if (it == s.connections.end() || it->second.newest != ticket)
    return false;
  s.connections.erase(it);
  ++s.closed;
  ++s.closed_total;
  return true;
}

}  // namespace cassiaferry
