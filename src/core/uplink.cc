// Pacing of payloads by what the link carries.
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

// Time that the frame stood in queues on its way there, by two measures. The
// way there and back together counts queues on the way back, where callers'
// requests may fill the link; the difference of two clocks drifts. The less of
// both is neither.
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
  const double passed =
      static_cast<double>((now - u.refilled_at).value) / kMicrosPerSecond;
  u.refilled_at = now;
  u.tokens = std::min(u.tokens + passed * u.rate, BurstBytes(u));
}

void ReduceRate(uplink& u, micros now) {
  const double passed =
      static_cast<double>((now - u.adjusted_at).value) / kMicrosPerSecond;
  const double carried = static_cast<double>(u.delivered_bytes) / passed;
  const double slower = u.options.backoff_factor * carried;
  u.queue_seen_at = now;
  const double before = u.rate > 0 ? u.rate : carried;
  // One decision takes back at most half: a few frames that happen to arrive
  // late carry few bytes, and say little of the link.
  u.rate = std::max({std::min(before, slower), before / 2, u.options.min_rate});
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

// Failure guarded against: this process is short of processor time, its frames
// are late by that, and it takes this for a queue in the link: of 25 Mbit/s it
// uses 1, and serves still less (seen on entries of a tenth of a core).
void AdjustRate(uplink& u, micros now, micros own_wait) {
  constexpr int64_t kWaysHere = 2;  // out, and back in
  u.delay =
      micros{std::max<int64_t>(0, u.min_delay - kWaysHere * own_wait.value)};
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
  const bool takes = u.rate <= 0 || u.tokens > static_cast<double>(u.planned);
  u.payload_waits = u.payload_waits || !takes;
  return takes;
}

void PlanPayload(uplink& u, size_t bytes) {
  u.planned += bytes;
}

bool CompressesPayloads(const uplink& u) {
  return u.rate > 0 && u.rate < u.options.pack_below;
}

micros TimeOnLink(const uplink& u, size_t bytes) {
  if (u.rate <= 0)
    return micros{0};
  return micros{static_cast<int64_t>(static_cast<double>(bytes) *
                                     kMicrosPerSecond / u.rate)};
}

}  // namespace cassiaferry
