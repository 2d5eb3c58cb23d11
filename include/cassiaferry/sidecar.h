// Decisions of a sidecar: the only one that starts tasks on its upstream.
//
// Pure: no thread, clock or socket. Feed events to `Tick`, carry out the
// actions that it returns.
//
// Contents
//   [1] Options
//   [2] Events
//   [3] Actions
//   [4] State
//   [5] Tick

#ifndef CASSIAFERRY_SIDECAR_H_
#define CASSIAFERRY_SIDECAR_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cassiaferry/closed_domains.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/lease_manager.h"
#include "cassiaferry/messages.h"
#include "cassiaferry/metrics.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct sidecar_options {
  std::string name;                          // unique among sidecars
  std::string failure_domain;                // where this worker stands
  incarnation self;                          // random, new with each process
  uint64_t seed = 1;                         // of random numbers in decisions
  std::vector<std::string> seeds;            // entry addresses from the start
  link_timing timing;                        // of streams to entries
  micros redial = Millis(200);               // wait after a failed dial
  micros announce_timeout = Millis(3000);    // then the upstream is leaving
  micros offer_timeout = Millis(100);        // an unanswered offer is void
  micros entry_retention = Millis(600'000);  // an unheard entry is forgotten
  micros orphan_timeout = Millis(30'000);    // its running tasks are stopped
  micros drain_grace = Millis(10'000);       // a stop waits so long for it
  micros keep_slot_margin = Millis(2000);    // another entry's job must be so
                                             // much earlier to get a freed slot
  size_t max_results_bytes = 32 << 20;       // unacknowledged, for one entry
  size_t max_queued = 20'000;                // tasks and probes queued here
  bool manages_leases = false;  // its worker runs tasks under leases
  lease_manager_options lease_manager;
};

// ---- [2] Events -------------------------------------------------------------

struct link_frame_received {
  entry_id link;
  entry_frame frame;
};
struct link_lost {
  entry_id link;
  link_epoch epoch;
};
struct upstream_announced {
  upstream_info info;
};
struct upstream_left {};
struct task_finished {
  incarnation entry;
  task_ref task;
  verdict run_verdict = verdict::ran;
  bool ok = false;
  std::string output;
};
struct drain_requested {};
struct entries_found {  // addresses of entries, from the platform
  std::vector<std::string> addresses;
};

using sidecar_event = std::variant<link_frame_received,
                                   link_lost,
                                   upstream_announced,
                                   upstream_left,
                                   task_finished,
                                   drain_requested,
                                   entries_found,
                                   lease_manager_event>;

// ---- [3] Actions ------------------------------------------------------------

struct dial_entry {
  entry_id link;
  std::string address;
  link_epoch epoch;
};
struct hang_up {
  entry_id link;
  link_epoch epoch;
};
struct send_to_entry {
  entry_id link;
  sidecar_frame frame;
};
struct run_task {
  incarnation entry;
  task_ref task;
  std::string address;
  std::string payload;
};
struct stop_task {
  incarnation entry;
  task_ref task;
};
struct drained {};  // nothing is left: the process may exit

using sidecar_action = std::variant<dial_entry,
                                    hang_up,
                                    send_to_entry,
                                    run_task,
                                    stop_task,
                                    drained,
                                    lease_manager_action>;

// ---- [4] State --------------------------------------------------------------

enum class link_state : uint8_t { idle, dialing, up };

// One address that this sidecar keeps a stream to.
struct entry_link {
  std::string address;
  link_state state = link_state::idle;
  link_epoch epoch;                     // of the newest stream dialled
  incarnation entry;                    // known once up
  config_version version;               // that the entry told last
  closed_domains_version closed_as_of;  // ... too
  micros relay_at{0};  // when it gets what is newer here; 0: it is not behind
  micros last_received_at{0};
  micros last_sent{0};
  micros next_dial{0};
  micros first_failed{0};  // 0: the last dial went well
  bool is_seed = false;    // seeds are never forgotten
  upstream_info reported_upstream;
  upstream_state reported_state = upstream_state::absent;
  sidecar_frame outbox;  // filled during a tick, sent at its end
  bool must_send = false;
};

// What is remembered of one entry incarnation. Keeps the fence.
struct known_entry {
  uint64_t token =
      0;             // told to the entry; new whenever something was forgotten
  link_epoch fence;  // frames of any other epoch are dropped
  entry_id link;
  bool linked = false;
  micros last_received_at{0};
  order_key backlog = kNoBacklog;  // absolute, on this sidecar's clock
  uint32_t backlog_tasks = 0;      // slots still wanted for it
  std::deque<micros> offers;  // when each unanswered offer or grant was made
  uint32_t starts_seen = 0;
  uint64_t next_result = 1;
  std::deque<result_record> results;  // unacknowledged, by number
  size_t results_bytes = 0;
};

struct task_key {
  incarnation entry;
  task_ref task;
  auto operator<=>(const task_key&) const = default;
};

struct running_task {
  micros started{0};
  uint32_t queue_ms = 0;
};

// A task or a probe waiting for a slot here.
struct queued_item {
  task_key key;  // of a probe: index 0
  bool is_probe = false;
  std::string payload;
  micros enqueued{0};
  micros expires{0};
};

// A configuration that entries tell of, and that is not here yet.
struct config_search {
  config_version newest;         // that any entry told of ...
  micros newest_received_at{0};  // ... and when
  micros request_at{0};          // at the latest
  micros requested_at{0};
};

struct sidecar_state {
  sidecar_options options;
  std::mt19937_64 random;
  bool draining = false;
  micros drain_since{0};
  upstream_info upstream;
  upstream_state state = upstream_state::absent;
  micros last_announced{0};
  uint64_t next_epoch = 1;
  std::vector<entry_link> links;  // by entry_id
  std::map<incarnation, known_entry> entries;
  std::map<task_key, running_task> running;
  std::map<std::pair<order_key, uint64_t>, queued_item>
      queue;  // by order, then arrival
  uint64_t next_queued = 0;
  config_document config;
  struct config_search config_search;
  closed_domains_state closed_domains;
  lease_manager_state lease_manager;
  counters metrics;
  std::vector<sidecar_action> actions;  // of the tick in progress
};

// ---- [5] Tick ---------------------------------------------------------------

sidecar_state MakeSidecar(sidecar_options options);

// Takes all events that have queued up, decides, and returns what to do.
// `now` never goes back. Call at least every 50 ms.
std::vector<sidecar_action> Tick(sidecar_state& s,
                                 micros now,
                                 std::vector<sidecar_event> events);

// Slots neither running a task nor held by an unanswered offer.
uint32_t FreeSlots(const sidecar_state& s);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SIDECAR_H_
