// Decisions of a sidecar, the only process that starts tasks on its upstream.
//
// Pure: no thread, clock or socket. The caller passes events to `Tick` and
// carries out the actions that it returns.
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
#include "cassiaferry/directory.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/lease_manager.h"
#include "cassiaferry/messages.h"
#include "cassiaferry/metrics.h"
#include "cassiaferry/neighbours.h"
#include "cassiaferry/worker_record.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct sidecar_options {
  std::string name;                // unique among sidecars
  std::string failure_domain;      // of this worker
  incarnation self;                // random, new for each process
  uint64_t seed = 1;               // of the random numbers in decisions
  std::vector<std::string> seeds;  // entry addresses known at the start
  link_timing timing;              // of streams to entries
  micros redial = Millis(200);     // least delay after a failed dial
  neighbour_options neighbours;
  // Without an announcement for this long the upstream counts as leaving.
  micros announce_timeout = Millis(3000);
  // Time after which an unanswered offer expires.
  micros offer_timeout = Millis(100);
  // Time after which the state of a silent entry is dropped.
  micros entry_retention = Millis(600'000);
  // Time after which the tasks of a silent entry are stopped.
  micros orphan_timeout = Millis(30'000);
  micros drain_grace = Millis(10'000);  // how long a planned stop waits for
                                        // leased runs and for acknowledgements
  // A freed slot goes to another entry only if its job is earlier by more than
  // this.
  micros keep_slot_margin = Millis(2000);
  size_t max_results_bytes = 32 << 20;  // unacknowledged results of one entry
  size_t max_queued = 20'000;           // number of queued tasks and probes
  bool manages_leases = false;          // the worker runs leased tasks
  // Keeps a record of the worker in the store, and starts with it.
  bool keeps_worker_record = false;
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
struct entries_found {  // rows of the directory that are new or changed
  std::vector<directory_row> rows;
};

// The answer to the open call_record_store.
struct worker_record_answered {
  rows_reply reply;
};

using sidecar_event = std::variant<link_frame_received,
                                   link_lost,
                                   upstream_announced,
                                   upstream_left,
                                   task_finished,
                                   drain_requested,
                                   entries_found,
                                   worker_record_answered,
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
struct call_record_store {  // one is open at a time
  row_call what;
};
struct drained {};  // no work is left: the process may exit

using sidecar_action = std::variant<dial_entry,
                                    hang_up,
                                    send_to_entry,
                                    run_task,
                                    stop_task,
                                    call_record_store,
                                    drained,
                                    lease_manager_action>;

// ---- [4] State --------------------------------------------------------------

enum class link_state : uint8_t { idle, dialing, up };

// One entry address that this sidecar keeps a stream to.
struct entry_link {
  std::string address;
  link_state state = link_state::idle;
  link_epoch epoch;                     // of the newest stream dialled
  incarnation entry;                    // known once the link is up
  config_version version;               // last reported by the entry
  closed_domains_version closed_as_of;  // last reported by the entry
  micros relay_at{0};  // when newer state is sent to it; 0: it is not behind
  micros last_received_at{0};
  micros last_sent{0};
  micros next_dial{0};
  micros first_failed{0};     // 0: the last dial succeeded
  uint32_t failed_dials = 0;  // in a row
  bool is_seed = false;       // seeds are dialled for ever
  directory_row row;          // newest known; without an address if none is
  uint64_t rank = 0;          // among the candidates for neighbours
  bool is_neighbour = true;
  micros not_neighbour_since{0};
  bool is_released = false;  // the entry is asked to close the stream
  upstream_info reported_upstream;
  upstream_state reported_state = upstream_state::absent;
  sidecar_frame outbox;  // filled during a tick and sent at its end
  bool must_send = false;
};

// State kept for one entry incarnation, the fence among it.
struct known_entry {
  // Reported to the entry; changes whenever results were dropped.
  uint64_t token = 0;
  link_epoch fence;  // frames of any other epoch are dropped
  entry_id link;
  bool linked = false;
  micros last_received_at{0};
  order_key backlog = kNoBacklog;  // absolute, on this sidecar's clock
  uint32_t backlog_tasks = 0;      // slots that it still wants
  std::deque<micros> offers;       // times of unanswered offers and grants
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
  task_key key;  // of a probe: with index 0
  bool is_probe = false;
  std::string payload;
  micros enqueued{0};
  micros expires{0};
};

// The search for a configuration that entries have reported and that this
// sidecar doesn't have yet.
struct config_search {
  config_version newest;         // newest version that any entry has reported
  micros newest_received_at{0};  // when it was first reported
  micros request_at{0};          // latest time of the request
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
  std::vector<entry_link> links;  // indexed by entry_id
  bool chooses_entries = false;   // some of the entries are no neighbours
  bool choice_due = false;        // what the choice rests on has changed
  micros chosen_at{0};            // when neighbours were last chosen
  uint64_t dials = 0;
  std::map<incarnation, known_entry> entries;
  std::map<task_key, running_task> running;
  // By order key, then arrival.
  std::map<std::pair<order_key, uint64_t>, queued_item> queue;
  uint64_t next_queued = 0;
  config_document config;
  struct config_search config_search;
  closed_domains_state closed_domains;
  lease_manager_state lease_manager;
  worker_record_state worker_record;
  counters metrics;
  std::vector<sidecar_action> actions;  // of the tick in progress
};

// ---- [5] Tick ---------------------------------------------------------------

sidecar_state MakeSidecar(sidecar_options options);

// Handles all queued events and returns the resulting actions. `now` must not
// go back. To be called at least every 50 ms.
std::vector<sidecar_action> Tick(sidecar_state& s,
                                 micros now,
                                 std::vector<sidecar_event> events);

// Entries known, neighbours, streams and dials.
std::string NeighboursPrometheusText(const sidecar_state& s);

// Reads, uses and writes of the worker record; empty if none is kept.
std::string WorkerRecordPrometheusText(const sidecar_state& s);

// Slots that neither run a task nor are reserved by an unanswered offer.
uint32_t FreeSlots(const sidecar_state& s);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SIDECAR_H_
