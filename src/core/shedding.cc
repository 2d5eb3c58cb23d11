// Moves callers off an entry that is short of processor time.
//
// Contents
//   [1] Period
//   [2] Probes
//   [3] Connections

#include "cassiaferry/shedding.h"

#include <algorithm>
#include <cmath>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

// ---- [1] Period -------------------------------------------------------------

namespace {

// An entry that stops being ready so long before a probe fails it. One that is
// late ticks seldom, so it is as long as the time between two ticks, within
// bounds.
micros ProbeMargin(micros since_last_tick) {
  constexpr micros kMin = Millis(50);
  constexpr micros kMax = Millis(300);
  return std::clamp(since_last_tick, kMin, kMax);
}

// Probes are known while they come at equal intervals.
bool KnowsProbes(const shedding& s, micros now) {
  return s.probe_interval.value > 0 &&
         now - *s.last_probe < micros{s.probe_interval.value * 2};
}

micros PeriodLength(const shedding& s, micros now, micros margin) {
  if (!KnowsProbes(s, now))
    return s.options.notice_time + s.options.close_time;
  // Ready again before the next probe.
  return micros{s.probe_interval.value * s.options.missed_probes} - margin;
}

void CountUnreadyTime(shedding& s, const shedding_inputs& in) {
  const micros now = in.now;
  if (!s.first_ready && in.ready) {
    s.first_ready = now;
    s.last_tick = now;
  }
  if (!s.first_ready)
    return;
  if (!s.was_ready)
    s.unready_time = s.unready_time + (now - s.last_tick);
  s.last_tick = now;
}

// Whether the time not ready stays within its bound with a period from now on.
// The share is largest at the end of the period.
bool StaysWithinBound(const shedding& s, micros now, micros margin) {
  const micros length = PeriodLength(s, now, margin);
  const micros since_start = now + length - *s.first_ready;
  return (s.unready_time + length).value * s.options.ready_parts <=
         since_start.value;
}

// `passed`: since the last tick, whose lateness counts for this time.
void TrackLateness(shedding& s, const shedding_inputs& in, micros passed) {
  const micros taken{passed.value / s.options.in_time_parts};
  if (!in.ready || in.draining)
    s.late_time = {};
  else if (s.was_late)
    s.late_time = std::min(s.options.late_for, s.late_time + passed);
  else
    s.late_time = std::max(micros{0}, s.late_time - taken);
  s.was_late = in.refuse_share > 0;
}

void DecayLoad(shedding& s, micros passed) {
  const double keep =
      std::exp(-static_cast<double>(passed.value) /
               static_cast<double>(s.options.averaging_time.value));
  s.load.asked *= keep;
  s.load.done *= keep;
}

bool IsProbeDue(const shedding& s, micros now, micros margin) {
  return !KnowsProbes(s, now) ||
         now - *s.last_probe >= s.probe_interval - margin;
}

bool StartsPeriod(const shedding& s, micros now, micros margin) {
  return s.late_time >= s.options.late_for && IsProbeDue(s, now, margin) &&
         (!s.last_end || now - *s.last_end >= s.options.min_gap) &&
         StaysWithinBound(s, now, margin);
}

bool EndsPeriod(const shedding& s, const shedding_inputs& in) {
  return in.draining || !in.ready || !s.options.enabled ||
         in.now - s.period_start >= s.period_length;
}

bool StartsClosing(const shedding& s, micros now) {
  return s.phase == shedding_phase::notice &&
         (s.missed >= s.options.missed_probes ||
          now - s.period_start >= s.options.notice_time);
}

shedding_change EndPeriod(shedding& s, micros now) {
  s.phase = shedding_phase::none;
  s.last_end = now;
  return shedding_change::ended;
}

shedding_change StartPeriod(shedding& s, micros now, micros margin) {
  s.phase = shedding_phase::notice;
  s.period_start = now;
  s.period_length = PeriodLength(s, now, margin);
  s.missed = 0;
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
  const micros passed = s.first_ready ? in.now - s.last_tick : micros{0};
  const micros margin = ProbeMargin(passed);
  CountUnreadyTime(s, in);
  TrackLateness(s, in, passed);
  DecayLoad(s, passed);
  PruneConnections(s, in.now);
  shedding_decision d;
  if (s.phase != shedding_phase::none && EndsPeriod(s, in)) {
    d.change = EndPeriod(s, in.now);
  } else if (s.phase == shedding_phase::none && s.options.enabled &&
             StartsPeriod(s, in.now, margin)) {
    d.change = StartPeriod(s, in.now, margin);
  } else if (StartsClosing(s, in.now)) {
    s.phase = shedding_phase::closing;
    d.change = shedding_change::closing;
    d.active_connections = CountActive(s, in.now);
    s.to_close = ConnectionsToClose(s.options, d.active_connections, s.load);
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

// ---- [2] Probes -------------------------------------------------------------

void RecordProbe(shedding& s, micros now, bool answered_ready) {
  // Beyond these there is no one balancer that probes once a second.
  constexpr micros kMinInterval = Millis(500);
  constexpr micros kMaxInterval = Millis(1500);
  const micros interval = s.last_probe ? now - *s.last_probe : micros{0};
  s.last_probe = now;
  s.probe_interval = interval >= kMinInterval && interval <= kMaxInterval
                         ? interval
                         : micros{0};
  if (s.phase == shedding_phase::notice && !answered_ready)
    ++s.missed;
}

// ---- [3] Connections --------------------------------------------------------

void RecordRequest(shedding& s,
                   micros now,
                   connection_id connection,
                   ticket_id ticket) {
  if (!s.options.enabled)
    return;
  s.connections[connection] = {now, ticket};
  ++s.load.asked;
}

void RecordAnswer(shedding& s, bool done) {
  s.load.done += done ? 1 : 0;
}

size_t CountActive(const shedding& s, micros now) {
  return static_cast<size_t>(std::count_if(
      s.connections.begin(), s.connections.end(), [&](const auto& entry) {
        return now - entry.second.last_request <= s.options.active_within;
      }));
}

size_t ConnectionsToClose(const shedding_options& options,
                          size_t active,
                          const recent_load& load) {
  if (active < 2)
    return 0;
  const double excess =
      load.done > 0 ? 1 - options.kept_load * load.done / load.asked : 0;
  const auto by_load =
      static_cast<size_t>(std::clamp(excess, 0.0, options.max_closed_share) *
                          static_cast<double>(active));
  return std::max({size_t{1}, active / options.closed_parts, by_load});
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
