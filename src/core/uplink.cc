// Rate control of payloads by the capacity of the link.
//
// Contents
//   [1] Frames
//   [2] The rate
//   [3] Payloads

#include "cassiaferry/uplink.h"

#include <algorithm>

namespace cassiaferry {

namespace {

constexpr double kMicrosPerSecond = 1e6;

double ConfiguredRate(const uplink_options& o) {
  return o.configured_rate * o.usable_share;
}

double BurstBytes(const uplink& u) {
  return u.rate * static_cast<double>(u.options.burst.value) / kMicrosPerSecond;
}

}  // namespace

uplink MakeUplink(uplink_options options) {
  uplink u;
  u.options = options;
  u.rate = options.enabled ? ConfiguredRate(options) : 0;
  u.tokens = BurstBytes(u);
  return u;
}

// ---- [1] Frames -------------------------------------------------------------

void RecordSent(uplink& u, uplink_stream& stream, micros now, size_t bytes) {
  stream.marks.push_back({now, bytes});
  if (u.rate > 0)
    u.tokens -= static_cast<double>(bytes);
}

namespace {

// The time that the frame waited in queues on its way to the peer, estimated
// from two measures. The round trip includes queues on the way back, where
// requests of callers may fill the link; the difference of two clocks drifts.
// The smaller of the two has neither fault.
int64_t QueueDelay(uplink& u,
                   uplink_stream& stream,
                   micros now,
                   const frame_arrival& arrival) {
  const int64_t rtt = (now - arrival.sent).value - arrival.held;
  u.min_rtt = std::min(u.min_rtt, rtt);
  return std::min(rtt - u.min_rtt,
                  DelayAboveMin(stream.gap, now, arrival.transit));
}

}  // namespace

void RecordArrived(uplink& u,
                   uplink_stream& stream,
                   micros now,
                   const frame_arrival& arrival) {
  bool is_new = false;
  while (!stream.marks.empty() && stream.marks.front().sent <= arrival.sent) {
    u.delivered_bytes += stream.marks.front().bytes;
    stream.marks.pop_front();
    is_new = true;
  }
  if (!is_new)
    return;
  ++u.samples;
  u.min_delay = std::min(u.min_delay, QueueDelay(u, stream, now, arrival));
}

// ---- [2] The rate -----------------------------------------------------------

namespace {

void StartInterval(uplink& u, micros now) {
  u.adjusted_at = now;
  u.min_delay = INT64_MAX;
  u.samples = 0;
  u.delivered_bytes = 0;
  u.payload_waits = false;
}

void Refill(uplink& u, micros now) {
  const double elapsed =
      static_cast<double>((now - u.refilled_at).value) / kMicrosPerSecond;
  u.refilled_at = now;
  u.tokens = std::min(u.tokens + elapsed * u.rate, BurstBytes(u));
}

void ReduceRate(uplink& u, micros now) {
  const double elapsed =
      static_cast<double>((now - u.adjusted_at).value) / kMicrosPerSecond;
  const double carried = static_cast<double>(u.delivered_bytes) / elapsed;
  const double slower = u.options.backoff_factor * carried;
  u.queue_seen_at = now;
  const double previous = u.rate > 0 ? u.rate : carried;
  // One adjustment at most halves the rate: a few frames that happen to arrive
  // late hold few bytes and tell little about the link.
  u.rate =
      std::max({std::min(previous, slower), previous / 2, u.options.min_rate});
}

void IncreaseRate(uplink& u, micros now) {
  const double stated = ConfiguredRate(u.options);
  if (u.payload_waits) {
    u.rate *= u.options.growth_factor;
  } else if (now - u.queue_seen_at > u.options.bound_retention) {
    u.rate = stated;
  }
  if (stated > 0)
    u.rate = std::min(u.rate, stated);
}

// Failure guarded against: this process is short of processor time, which
// delays its frames, and it takes the delay for a queue in the link: it uses 1
// of 25 Mbit/s and serves still less. This happens on entries that have a tenth
// of a core.
void AdjustRate(uplink& u, micros now, micros own_wait) {
  constexpr int64_t kDirections = 2;  // outgoing and incoming
  u.delay =
      micros{std::max<int64_t>(0, u.min_delay - kDirections * own_wait.value)};
  if (u.delay > u.options.max_delay)
    ReduceRate(u, now);
  else if (u.rate > 0)
    IncreaseRate(u, now);
}

}  // namespace

void TickUplink(uplink& u, micros now, micros own_wait) {
  u.planned = 0;
  if (!u.options.enabled)
    return;
  if (u.refilled_at.value == 0) {
    u.refilled_at = now;
    StartInterval(u, now);
  }
  Refill(u, now);
  if (now - u.adjusted_at < u.options.interval ||
      u.samples < u.options.min_samples)
    return;
  AdjustRate(u, now, own_wait);
  StartInterval(u, now);
}

void ForgetInterval(uplink& u, micros now) {
  StartInterval(u, now);
}

// ---- [3] Payloads -----------------------------------------------------------

bool MaySendPayload(uplink& u) {
  const bool may_send =
      u.rate <= 0 || u.tokens > static_cast<double>(u.planned);
  u.payload_waits = u.payload_waits || !may_send;
  return may_send;
}

void PlanPayload(uplink& u, size_t bytes) {
  u.planned += bytes;
}

bool CompressesPayloads(const uplink& u) {
  return u.rate > 0 && u.rate < u.options.compress_below;
}

micros TimeOnLink(const uplink& u, size_t bytes) {
  if (u.rate <= 0)
    return micros{0};
  return micros{static_cast<int64_t>(static_cast<double>(bytes) *
                                     kMicrosPerSecond / u.rate)};
}

}  // namespace cassiaferry
