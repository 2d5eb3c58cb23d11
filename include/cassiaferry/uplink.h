// Rate control for payloads on an entry's own link. The capacity of the link is
// configured, or estimated from the delay of frames.
//
// The link of a machine is shared by its streams, its callers and its store
// calls. When more is sent than it carries, frames queue up in it. Failure
// guarded against: frames that renew owner leases wait behind payloads, runs
// are stopped as their leases expire, their tasks are sent again, and the link
// stays overloaded. So payloads are sent only as fast as the link carries them;
// everything else is sent at once.
//
// Pure: no thread, clock or socket.
//
// Contents
//   [1] Options
//   [2] State
//   [3] Calls

#ifndef CASSIAFERRY_UPLINK_H_
#define CASSIAFERRY_UPLINK_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "cassiaferry/ids.h"
#include "cassiaferry/lateness.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct uplink_options {
  bool enabled = true;
  double configured_rate = 0;  // bytes a second, from the settings; 0: not set
  // Share of the configured rate for frames: answers to callers and calls to
  // the store are not counted here.
  double usable_share = 0.8;
  // If all frames of an interval are delayed by more than this, there is a
  // standing queue in the link. A seventh of an owner lease, and more than the
  // delay that a busy peer adds.
  micros max_delay = Millis(60);
  // Minimum time between two adjustments of the rate.
  micros interval = Millis(50);
  int min_samples = 2;  // frames that must have arrived before an adjustment
  double backoff_factor = 0.85;  // the rate is set to this share of the
                                 // delivered one while there is a queue
  // Of the rate, per adjustment, while payloads wait and there is no queue.
  double growth_factor = 1.06;
  double min_rate = 8000;     // bytes a second, the lowest rate
  micros burst = Millis(40);  // how much of the rate may be sent at once
  // Time without a queue after which the bound is lifted.
  micros bound_retention = Millis(20'000);
  // Bytes a second. Below this rate a kilobyte that is compressed to half its
  // size arrives earlier: compressing it takes 0.03 ms of a core, and a small
  // machine has a tenth of a core.
  double compress_below = 4e6;
};

// ---- [2] State --------------------------------------------------------------

// A frame that was sent and is not known to have arrived.
struct uplink_mark {
  micros sent{0};
  size_t bytes = 0;
};

// Frames in flight on one stream.
struct uplink_stream {
  std::deque<uplink_mark> marks;
  clock_offset
      gap;  // between arrival on the peer's clock and sending on this one
};

struct uplink {
  uplink_options options;
  double rate = 0;             // bytes a second; 0: no bound is known
  double tokens = 0;           // bytes that may be sent now
  size_t planned = 0;          // bytes of payloads to be sent in this tick
  bool payload_waits = false;  // one was held back since the last adjustment
  micros refilled_at{0};
  micros adjusted_at{0};
  micros queue_seen_at{0};        // newest adjustment that found a queue
  int64_t min_rtt = INT64_MAX;    // microseconds, over all frames so far
  int64_t min_delay = INT64_MAX;  // over the frames since the last adjustment
  int samples = 0;                // number of these frames
  uint64_t delivered_bytes = 0;   // since the last adjustment
  micros delay{0};  // queueing delay found by the newest adjustment
};

// ---- [3] Calls --------------------------------------------------------------

uplink MakeUplink(uplink_options options);

// Records that a frame is sent.
void RecordSent(uplink& u, uplink_stream& stream, micros now, size_t bytes);

// A peer's report on the newest frame that it has received on a stream.
struct frame_arrival {
  micros sent{0};       // stamp of the frame, on this process's clock
  int64_t transit = 0;  // the peer's clock at its arrival, less `sent`, in us
  int64_t held = 0;     // from its arrival until the peer's report, in us
};
void RecordArrived(uplink& u,
                   uplink_stream& stream,
                   micros now,
                   const frame_arrival& arrival);

// To be called each tick, before payloads are placed. `own_wait`: how long
// events wait in this process. It delays frames in both directions whatever the
// link does.
void TickUplink(uplink& u, micros now, micros own_wait = micros{0});
// Discards the measurements of the current interval, as they are invalid after
// a pause of this process.
void ForgetInterval(uplink& u, micros now);

// Whether a payload may be sent now. If not, records that one waits.
bool MaySendPayload(uplink& u);
// Records that a payload will be sent in this tick.
void PlanPayload(uplink& u, size_t bytes);

// Whether payloads should be compressed before they are sent.
bool CompressesPayloads(const uplink& u);

// The time that the link takes for `bytes`; 0 while no bound of the rate is
// known.
micros TimeOnLink(const uplink& u, size_t bytes);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_UPLINK_H_
