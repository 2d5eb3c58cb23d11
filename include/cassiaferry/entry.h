// Core logic of an entry: accepts jobs, places their tasks, answers callers.
//
// Pure logic without threads, clocks or sockets: pass events to `Tick` and
// carry out the actions that it returns.
//
// Contents
//   [1] Options
//   [2] Jobs as callers send them
//   [3] Events
//   [4] Actions
//   [5] Tables
//   [6] State
//   [7] Calls

#ifndef CASSIAFERRY_ENTRY_H_
#define CASSIAFERRY_ENTRY_H_

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "cassiaferry/claims.h"
#include "cassiaferry/closed_domains.h"
#include "cassiaferry/config.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/leased_jobs.h"
#include "cassiaferry/messages.h"
#include "cassiaferry/metrics.h"
#include "cassiaferry/policy.h"
#include "cassiaferry/reach.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct entry_options {
  std::string name;  // from settings
  std::string failure_domain;
  std::string link_address;  // where sidecars dial this entry, "ip:port"
  std::string http_address;  // where other entries query it, "ip:port"
  incarnation self;          // random, new with each process
  uint64_t seed = 1;         // of the random numbers used in decisions
  link_timing timing;        // of streams to sidecars
  // A lost sidecar's tasks are "may have run" after this.
  micros lost_grace = Millis(5000);
  // Not used: rows of lost workers are kept.
  micros forget_worker = Millis(60'000);
  // How long a stop waits for the platform.
  micros drain_grace = Millis(30'000);
  // Finished jobs kept for `ctl explain`.
  size_t explain_history_size = 4096;
  leased_options leased;
  reach_options reach;
};

// ---- [2] Jobs as callers send them ------------------------------------------

struct task_request {
  std::string payload;
  uint32_t cores = 1;
  uint64_t memory_mb = 1;
  // Declared by the caller; often wrong, so no decision relies on it.
  int64_t expected_ms = 0;
};

struct job_request {
  std::string team;
  std::string upstream;
  int64_t deadline_ms = 0;  // 0: the configured default
  std::string key;          // empty: not keyed
  uint64_t digest = 0;      // of the body
  std::vector<task_request> tasks;
};

// ---- [3] Events -------------------------------------------------------------

// One stream accepted by this process.
using link_id = strong_id<struct link_tag, uint64_t>;

struct job_submitted {
  ticket_id ticket;
  job_request request;
  micros received{0};  // when it reached this machine; 0: with this event
};
struct job_invalid {  // a body that is readable but not acceptable
  ticket_id ticket;
  failure error;
};
struct caller_gone {
  ticket_id ticket;
};
struct sidecar_frame_received {
  link_id link;
  sidecar_frame frame;
};
struct sidecar_link_lost {
  link_id link;
};
struct config_received {
  config_document document;  // checked
};
struct closed_domains_read {  // by this entry, from the operators' store
  closed_domains closed_set;
};
struct closed_domains_received {  // sent by another entry
  closed_domains closed_set;
};
struct peers_changed {
  std::vector<std::string> link_addresses;
};
struct entry_drain_requested {};
struct wall_clock {  // only for the expiry of kept outcomes
  int64_t ms = 0;
};

struct leased_job_cancelled {
  ticket_id ticket;  // answered with whether the job was known
  std::string id;
};
struct leased_job_queried {
  ticket_id ticket;
  std::string id;
};

using entry_event = std::variant<job_submitted,
                                 job_invalid,
                                 caller_gone,
                                 sidecar_frame_received,
                                 sidecar_link_lost,
                                 config_received,
                                 closed_domains_read,
                                 closed_domains_received,
                                 peers_changed,
                                 entry_drain_requested,
                                 wall_clock,
                                 transaction_reply,
                                 read_reply,
                                 owner_reply,
                                 leased_job_submitted,
                                 leased_job_cancelled,
                                 leased_job_queried,
                                 store_answered>;

// ---- [4] Actions ------------------------------------------------------------

struct answer_complete {
  ticket_id ticket;
  job_id job;
  std::vector<std::string> outputs;  // in the order of tasks, all of them
};
struct answer_failed {
  ticket_id ticket;
  job_id job;
  failure error;
};
struct answer_repeated {  // the stored outcome of a keyed job
  ticket_id ticket;
  std::string outcome;  // JSON, as first answered
};
struct send_to_sidecar {
  link_id link;
  entry_frame frame;
};
struct close_link {
  link_id link;
};
struct config_adopted {  // newer than before; to be sent to peers
  config_document document;
};
struct closed_domains_adopted {  // newer than before; to be sent to peers
  closed_domains closed_set;
  bool changed = false;  // the set of domains differs from the one before
};
struct entry_drained {};
struct answer_cancelled {
  ticket_id ticket;
  bool known = false;
  // The store doesn't answer; whether it is cancelled is unknown.
  bool unavailable = false;
};

using entry_action = std::variant<answer_complete,
                                  answer_failed,
                                  answer_repeated,
                                  send_to_sidecar,
                                  close_link,
                                  config_adopted,
                                  closed_domains_adopted,
                                  entry_drained,
                                  claim_action,
                                  answer_leased_job,
                                  answer_cancelled,
                                  answer_leased_state,
                                  store_call,
                                  reach_changed,
                                  leased_decision>;

// ---- [5] Tables -------------------------------------------------------------

enum class task_state : uint8_t { waiting, sent, done };

struct task_row {
  task_request request;
  task_state state = task_state::waiting;
  worker_id worker;    // while sent
  std::string output;  // once done
};

struct job_row {
  job_id id;
  ticket_id ticket;
  std::string team;
  std::string upstream;
  std::string key;  // empty: not keyed
  // Copied, so that a change of configuration doesn't affect the job.
  policy_config policy;
  micros arrival{0};
  micros deadline{0};
  std::vector<task_row> tasks;
  std::vector<uint32_t> waiting;  // indices of tasks; the last one is sent next
  uint32_t sent = 0;
  uint32_t done = 0;
  bool claiming = false;      // its key is not claimed yet: nothing may start
  bool may_have_run = false;  // a task ran, or its outcome is unknown
  bool queued = false;        // is in the waiting table under `order`
  order_key order;
  std::map<worker_id, uint32_t> probes;  // batch_sampling: unanswered probes
  uint32_t longest_run_ms = 0;
  uint32_t retries = 0;
};

// Health of a worker, estimated from its results.
struct worker_health {
  double ok = 0;            // recent results, decayed
  double failed = 0;        // recent failures, one per job, decayed
  job_seq last_failed_job;  // so that one bad job counts once
  micros ejected_until{0};  // no work before this
  uint32_t ejections = 0;   // consecutive; each doubles the time of the next
  uint32_t probation_left = 0;  // successes left until it is trusted again
  double speed = 1;  // run time relative to the upstream's mean, decayed
  uint32_t speed_samples = 0;
};

enum class worker_link : uint8_t { down, handshake, up };

struct worker_row {
  std::string name;
  incarnation sidecar;
  std::string failure_domain;
  worker_link state = worker_link::down;
  link_id link;
  link_epoch epoch;
  uint64_t memory_token = 0;  // of the sidecar's state about this entry
  upstream_info upstream;
  worker_load load;          // latest report
  uint32_t starts_sent = 0;  // on this stream
  // Slots offered or granted, not yet used or returned.
  uint32_t reserved = 0;
  std::set<task_ref> unresolved;  // sent, no result yet
  uint64_t acked_through = 0;
  micros last_received{0};
  micros last_sent{0};
  // Since when tasks or leased runs are open there; 0: none are.
  micros active_since{0};
  micros lost_since{0};
  // Newest backlog that the sidecar was sent, in absolute time.
  order_key backlog_sent = kNoBacklog;
  config_version version;     // newest that the sidecar has
  bool wants_config = false;  // the sidecar requests this entry's configuration
  closed_domains_version closed_version;       // newest that the sidecar has
  closed_domains_version closed_version_sent;  // on this stream
  bool closed = false;           // its failure domain is closed for new work
  bool chooses_entries = false;  // the sidecar has streams to some entries only
  // The sidecar asks for the stream to be closed once nothing is open there.
  bool is_released = false;
  worker_health health;
  entry_frame outbox;  // filled during a tick, sent at its end
  bool must_send = false;
};

// State of one upstream, across its workers.
struct upstream_row {
  double mean_run_ms = 0;  // decayed
  double ok = 0;           // recent results of all workers, decayed
  double failed = 0;
  // Maximum over all workers ever seen; a task that needs more can never run.
  uint32_t max_cores = 0;
  uint64_t max_memory_mb = 0;
  double drain_per_s = 0;  // tasks finished per second, decayed
  micros drain_updated{0};
  uint32_t finished_in_window = 0;
  // By team, in order.
  std::map<std::string, std::set<std::pair<order_key, job_seq>>> waiting;
  uint32_t waiting_tasks = 0;
};

struct team_row {
  uint32_t waiting_tasks = 0;
  uint32_t sent_tasks = 0;
};

// Summary of a finished job for `ctl explain`.
struct finished_job {
  job_id id;
  std::string team;
  std::string policy;
  size_t tasks = 0;
  uint32_t retries = 0;
  reason cause = reason::none;
  verdict run_verdict = verdict::ran;
  std::string message;
  int64_t response_ms = 0;
};

// ---- [6] State --------------------------------------------------------------

struct entry_state {
  entry_options options;
  random_source random;
  bool draining = false;
  bool drain_announced = false;
  micros drain_since{0};
  config_document document;
  configuration config;
  closed_domains_state closed_domains;
  std::vector<std::string> peers;
  int64_t wall_ms = 0;
  uint64_t next_job = 1;
  uint64_t turn = 0;  // of round robin
  std::unordered_map<job_seq, job_row> jobs;
  std::unordered_map<ticket_id, job_seq> tickets;
  std::set<std::pair<micros, job_seq>> deadlines;
  // Jobs with waiting tasks, of all policies but slot_offer.
  std::set<job_seq> unplaced;
  std::vector<worker_row> workers;  // by worker_id
  std::unordered_map<std::string, worker_id> worker_names;
  std::unordered_map<link_id, worker_id> links;
  std::map<std::string, upstream_row> upstreams;
  std::map<std::string, team_row> teams;
  uint32_t waiting_tasks = 0;
  uint32_t sent_tasks = 0;
  claims_state claims;
  leased_state leased;
  reach_state reach;
  counters metrics;
  policy_metrics_table policies;
  std::deque<finished_job> finished;
  std::vector<entry_action> actions;  // of the tick in progress
};

// ---- [7] Calls --------------------------------------------------------------

entry_state MakeEntry(entry_options options);

// Processes all queued events and returns the actions to carry out. `now` must
// not decrease. Call at least every 50 ms.
std::vector<entry_action> Tick(entry_state& s,
                               micros now,
                               std::vector<entry_event> events);

bool IsReady(const entry_state& s);  // has a configuration and is not draining

nlohmann::json StatusOf(const entry_state& s, micros now);
// Progress of a leased job; null if this entry doesn't know it.
nlohmann::json ExplainLeasedJob(const entry_state& s,
                                micros now,
                                const std::string& id);
// Null if this entry doesn't know the job.
nlohmann::json ExplainJob(const entry_state& s, micros now, const job_id& id);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_ENTRY_H_
