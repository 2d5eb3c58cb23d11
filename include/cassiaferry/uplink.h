// What an entry's own link can carry: stated in settings, or learnt from how
// long frames take.
//
// The link of a machine is shared by its streams, its callers and its store
// calls. When more is sent than it carries, frames queue up in it. Failure
// guarded against: what keeps runs alive then stands behind payloads, runs
// lapse, their tasks are sent again, and the link never gets free. So payloads
// are sent only as fast as the link carries them; everything else goes at once.
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
  double configured_rate = 0;  // bytes a second by settings; 0: not stated
  double usable_share = 0.8;   // of that, for frames: answers to callers and
                               // calls to the store are not counted here
  // Frames that all wait longer than this over an interval stand in a queue
  // that doesn't drain. A seventh of the time for which a silent entry is
  // vouched for, and above what a busy peer adds.
  micros max_delay = Millis(60);
  micros interval = Millis(50);  // at least, between two decisions on the rate
  int min_samples = 2;           // ... and so many frames must have arrived
  double backoff_factor = 0.85;  // of what was carried, while a queue stands
  double growth_factor =
      1.06;  // a decision, while payloads wait and no queue stands
  double min_rate = 8000;     // bytes a second that are always tried
  micros burst = Millis(40);  // of the rate may go at once
  micros bound_retention =
      Millis(20'000);  // no queue for so long: the bound goes
  // Bytes a second. Below this a kilobyte, packed to half, is sooner there:
  // packing takes 0.03 ms of a core, of which a small machine has a tenth.
  double pack_below = 4e6;
};

// ---- [2] State --------------------------------------------------------------

// A frame that is not known to have arrived.
struct uplink_mark {
  micros sent{0};
  size_t bytes = 0;
};

// Frames of one stream.
struct uplink_stream {
  std::deque<uplink_mark> marks;
  clock_offset
      gap;  // of arrivals on the peer's clock and sendings on this one's
};

struct uplink {
  uplink_options options;
  double rate = 0;             // bytes a second; 0: no bound is known
  double tokens = 0;           // bytes that may be sent now
  size_t planned = 0;          // bytes of payloads that this tick will send
  bool payload_waits = false;  // one was held back since the last decision
  micros refilled_at{0};
  micros adjusted_at{0};
  micros queue_seen_at{0};        // by the newest decision that found one
  int64_t min_rtt = INT64_MAX;    // microseconds, of any frame so far
  int64_t min_delay = INT64_MAX;  // of the frames since the last decision
  int samples = 0;                // so many
  uint64_t delivered_bytes = 0;   // bytes that arrived since then
  micros delay{0};                // found by the newest decision
};

// ---- [3] Calls --------------------------------------------------------------

uplink MakeUplink(uplink_options options);

// A frame goes out.
void RecordSent(uplink& u, uplink_stream& stream, micros now, size_t bytes);

// What a peer says of the newest frame that it has had on a stream.
struct frame_arrival {
  micros sent{0};       // stamp of the frame, this process's clock
  int64_t transit = 0;  // the peer's clock at its arrival, less `sent`, in us
  int64_t held = 0;     // from then until the peer said so, in us
};
void RecordArrived(uplink& u,
                   uplink_stream& stream,
                   micros now,
                   const frame_arrival& arrival);

// Call each tick, before payloads are placed. `own_wait`: for so long things
// wait in this process; frames are late by that on both ways, link or not.
void TickUplink(uplink& u, micros now, micros own_wait = micros{0});
// This process was paused: what was measured meanwhile tells nothing.
void ForgetInterval(uplink& u, micros now);

// A payload may be sent now. False: it is remembered that one waits.
bool MaySendPayload(uplink& u);
// It will be, this tick.
void PlanPayload(uplink& u, size_t bytes);

// Payloads are better packed before they are sent.
bool CompressesPayloads(const uplink& u);

// How long the link takes for so many bytes; 0 while no bound is known.
micros TimeOnLink(const uplink& u, size_t bytes);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_UPLINK_H_
