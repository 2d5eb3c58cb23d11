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

// A configuration document with its version. Spread in both directions.
struct config_document {
  config_version version;
  std::string
      change_id;       // names the change, so that a lost reply can be resolved
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
  std::string address;               // where to dial this entry, "ip:port"
  std::vector<task_ref> unresolved;  // tasks whose fate the sidecar must tell
};

struct entry_frame {
  link_epoch epoch;
  std::optional<entry_hello> hello;
  std::vector<start_record> starts;
  std::vector<job_seq>
      cancels;  // drop or stop every task of the job; no result is wanted
  std::vector<probe_record> probes;
  std::vector<job_seq> probe_cancels;
  std::optional<order_key> backlog;  // relative to now; kNoBacklog: none
  uint32_t backlog_tasks = 0;        // that wait: more slots are not wanted
  uint32_t declines = 0;             // offers given back unused
  uint64_t acked_through = 0;    // results up to this number may be forgotten
  bool shutdown_notice = false;  // the entry stops and has nothing unresolved
  std::vector<std::string>
      peers;               // addresses of entries to dial, with each heartbeat
  config_version version;  // newest configuration known
  std::optional<config_document> config;
  closed_domains_version closed_version;  // newest state of the closings known
  std::optional<closed_domains> closed_set;
  std::optional<lease_orders> orders;  // of leased runs
};

// ---- [3] Sidecar to entry ---------------------------------------------------

enum class upstream_state : uint8_t {
  absent,   // nothing announced
  ready,    // announced within the last three seconds
  leaving,  // said goodbye, or missed three announcements
};

// What an upstream declared of itself.
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

// The answer to an entry's hello. `memory` differs from the one that the entry
// has seen before if the sidecar has forgotten anything of this entry.
struct reconcile_reply {
  uint64_t memory_token = 0;
  std::vector<reconcile_record> tasks;
};

struct result_record {
  uint64_t number = 0;  // grows per entry; acknowledged cumulatively
  task_ref task;
  verdict run_verdict = verdict::ran;  // not_run: a proven refusal; may have
                                       // run: the exchange broke
  bool ok = false;                     // ran, and the upstream answered 200
  uint32_t run_ms = 0;                 // time on the upstream
  uint32_t queue_ms = 0;               // time queued in the sidecar
  std::string output;                  // the answer, or the failure's text
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
  uint32_t starts_seen =
      0;  // starts of this entry taken up to now, modulo 2^32
};

struct sidecar_frame {
  link_epoch epoch;
  std::optional<sidecar_hello> hello;
  std::optional<upstream_info> upstream;  // on change
  std::optional<reconcile_reply> reconcile;
  std::vector<result_record> results;
  std::vector<reject_record> rejects;
  std::vector<offer_record> offers;
  uint32_t granted =
      0;  // slots that results of this frame free, kept for this entry
  worker_load load;
  bool shutdown_notice =
      false;  // the sidecar stops; nothing of this entry is left on it
  config_version version;
  std::optional<config_document> config;
  bool wants_config = false;  // the entry's is newer: it is to send it
  closed_domains_version closed_version;  // newest state of the closings known
  std::optional<closed_domains> closed_set;
  std::optional<lease_reports> reports;  // of leased runs
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

// About how many bytes a frame takes on a link, headers of all layers included.
size_t FrameBytes(const entry_frame& frame);
size_t FrameBytes(const sidecar_frame& frame);
// Of one more copy of a job's payload, beside the bytes of the payload itself.
constexpr size_t kPayloadCopyBytes = 24;

}  // namespace cassiaferry

#endif  // CASSIAFERRY_MESSAGES_H_
