// Records that an entry and a sidecar exchange, as plain structs.
//
// A frame is a batch of records written to a stream at once. The wire form is
// proto/link.proto; src/net/codec.cc converts.
//
// Contents
//   [1] Shared records
//   [2] Entry to sidecar
//   [3] Sidecar to entry
//   [4] Counting records
//   [5] Size on the wire

#ifndef CASSIAFERRY_MESSAGES_H_
#define CASSIAFERRY_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/closed_domains.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/leases.h"
#include "cassiaferry/verdict.h"

namespace cassiaferry {

// ---- [1] Shared records -----------------------------------------------------

// A configuration document with its version. Sent in both directions.
struct config_document {
  config_version version;
  // Identifies the change, so that a lost reply can be resolved.
  std::string change_id;
  std::string author;  // who applied it
  std::string json;    // merged document
};

// Order of a waiting job; lower is served first. Sent relative to the sender's
// clock, because clocks of two machines can't be compared.
using order_key = strong_id<struct order_tag, int64_t>;  // microseconds
constexpr order_key kNoBacklog{INT64_MAX};

// ---- [2] Entry to sidecar ---------------------------------------------------

struct start_record {
  task_ref task;
  std::string payload;
  order_key order;         // relative to now
  int64_t ttl_ms = 0;      // while queued: refuse as not_run after this
  bool may_queue = false;  // false: refuse at once when no slot is free
};

struct probe_record {
  job_seq job;
  order_key order;  // relative to now
};

// First frame of a stream.
struct entry_hello {
  incarnation entry;
  std::string address;  // where to dial this entry, "ip:port"
  // Tasks whose outcome the sidecar must report.
  std::vector<task_ref> unresolved;
};

struct entry_frame {
  link_epoch epoch;
  std::optional<entry_hello> hello;
  std::vector<start_record> starts;
  // Jobs whose tasks are to be dropped or stopped; no results are wanted.
  std::vector<job_seq> cancels;
  std::vector<probe_record> probes;
  std::vector<job_seq> probe_cancels;
  std::optional<order_key> backlog;  // relative to now; kNoBacklog: none
  uint32_t backlog_tasks = 0;  // waiting tasks; more slots need not be offered
  uint32_t declines = 0;       // offers returned unused
  uint64_t acked_through = 0;  // results up to this number may be discarded
  bool shutdown_notice = false;  // the entry stops and has nothing unresolved
  // Addresses of entries to dial: in the first frame, and on change.
  std::vector<std::string> peers;
  config_version version;  // newest configuration known
  std::optional<config_document> config;
  // Newest version of the closed domains known.
  closed_domains_version closed_version;
  std::optional<closed_domains> closed_set;
  std::optional<lease_orders> orders;  // of leased runs
};

// ---- [3] Sidecar to entry ---------------------------------------------------

enum class upstream_state : uint8_t {
  absent,   // nothing announced
  ready,    // announced within the last three seconds
  leaving,  // announced that it leaves, or missed three announcements
};

// What an upstream announces about itself.
struct upstream_info {
  std::string name;     // of the upstream, as jobs name it
  std::string address;  // "ip:port"
  uint32_t slots = 0;
  uint32_t connections = 0;
  uint32_t cores = 0;
  uint64_t memory_mb = 0;
};

// First frame of a stream.
struct sidecar_hello {
  incarnation sidecar;
  std::string name;  // from settings; unique among sidecars
  std::string failure_domain;
  config_version version;
  closed_domains_version closed_version;
};

enum class task_outcome : uint8_t { never_started, running, resolved };

struct reconcile_record {
  task_ref task;
  task_outcome outcome = task_outcome::never_started;
};

// Reply to an entry's hello. `memory_token` differs from the one that the entry
// has seen before if the sidecar has discarded any state of this entry.
struct reconcile_reply {
  uint64_t memory_token = 0;
  std::vector<reconcile_record> tasks;
};

struct result_record {
  uint64_t number = 0;  // grows per entry; acknowledged cumulatively
  task_ref task;
  // not_run: refused with proof; may_have_run: the exchange broke off.
  verdict run_verdict = verdict::ran;
  bool ok = false;        // ran, and the upstream answered 200
  uint32_t run_ms = 0;    // time on the upstream
  uint32_t queue_ms = 0;  // time queued in the sidecar
  std::string output;     // the answer, or the failure's text
};

struct reject_record {
  task_ref task;
  bool timed_out = false;  // dropped from the queue by its ttl
};

// A free slot offered to this entry. Without a job: for its first waiting job.
struct offer_record {
  job_seq job;  // 0: any; else the probe's job
};

struct worker_load {
  upstream_state state = upstream_state::absent;
  uint32_t free_slots = 0;
  uint32_t queued = 0;
  // Starts received from this entry so far, modulo 2^32.
  uint32_t starts_seen = 0;
};

struct sidecar_frame {
  link_epoch epoch;
  std::optional<sidecar_hello> hello;
  std::optional<upstream_info> upstream;  // on change
  std::optional<reconcile_reply> reconcile;
  std::vector<result_record> results;
  std::vector<reject_record> rejects;
  std::vector<offer_record> offers;
  // Slots freed by results of this frame and reserved for this entry.
  uint32_t granted = 0;
  worker_load load;
  // The sidecar stops, and nothing of this entry is left on it.
  bool shutdown_notice = false;
  config_version version;
  std::optional<config_document> config;
  // Requests the entry's configuration, which is newer.
  bool wants_config = false;
  // Newest version of the closed domains known.
  closed_domains_version closed_version;
  std::optional<closed_domains> closed_set;
  std::optional<lease_reports> reports;  // of leased runs
  // The sidecar has streams to some of the entries only.
  bool chooses_entries = false;
  // The entry is no neighbour any more: it starts nothing more here, and closes
  // the stream once nothing of it is open.
  bool release = false;
};

// ---- [4] Counting records ---------------------------------------------------

enum class record_kind : uint8_t {
  start,
  result,
  reject,
  cancel,
  probe,
  probe_cancel,
  offer,
  decline,
  backlog,
  heartbeat,
  reconcile,
  count_,
};

const char* ToText(record_kind kind);

// ---- [5] Size on the wire ---------------------------------------------------

// Approximate size of a frame on a link, headers of all layers included.
size_t FrameBytes(const entry_frame& frame);
size_t FrameBytes(const sidecar_frame& frame);
// Overhead of one more copy of a job's payload, in addition to the bytes of the
// payload itself.
constexpr size_t kPayloadCopyBytes = 24;

}  // namespace cassiaferry

#endif  // CASSIAFERRY_MESSAGES_H_
