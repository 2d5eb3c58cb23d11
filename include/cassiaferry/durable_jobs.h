// Durable jobs, which are stored before they are accepted: the entry's side.
//
// A job is accepted once its row is in the platform's store. Any entry may
// accept a job and then owns it: it places the job's tasks, stores their
// results, and only then lets workers forget the ends of the runs. The job's id
// is the idempotency key: the row is inserted if absent. If an owner dies,
// another entry takes over by first changing the owner's own row, which fences
// the old owner's writes (journal.h).
//
// Tables of the store
//   jobs      one row per job that has not ended: owner, epoch, the job itself
//   progress  the job's done tasks, failed and abandoned runs
//   ended     how a job ended, kept for as long as callers may query it
//   owners    one row per entry that owns jobs, renewed while it lives;
//             one row per job cancelled by an entry other than its owner
//
// Contents
//   [1] Options
//   [2] State of one job
//   [3] Other owners and adoption
//   [4] Calls to the store
//   [5] State

#ifndef CASSIAFERRY_DURABLE_JOBS_H_
#define CASSIAFERRY_DURABLE_JOBS_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"
#include "cassiaferry/journal.h"
#include "cassiaferry/leases.h"

namespace cassiaferry {

// ---- [1] Options ------------------------------------------------------------

struct durable_options {
  bool enabled = false;
  // Of the owners' table, while any entry owns jobs.
  micros poll_interval = Millis(1000);
  // The same, while no entry owns jobs.
  micros idle_poll_interval = Millis(3000);
  // An owner whose row has not changed for this long, while the store answers,
  // counts as dead. This must exceed the lease of the owner, by a clock that is
  // 2% fast, and two of its renewals.
  micros dead_after = Millis(4500);
  // Callers query a job for 120 s after its end.
  micros ended_retention = Millis(150'000);
  // The owner polls well within this time.
  micros cancel_retention = Millis(20'000);
  micros abandoned_retention = Millis(60'000);
  micros foreign_retention = Millis(5000);
  // Time for which the own row stays after the last job.
  micros own_row_linger = Millis(10'000);
  // A query for a job whose tasks all run or have ended is answered when the
  // job ends, or after this time. Callers usually send the query when the work
  // should be done, but the end is stored some 25 ms later. An immediate answer
  // "running" would cost them another round: 250 ms of 370 for jobs of 60 ms.
  micros max_answer_delay = Millis(200);
  size_t max_jobs = 5000;  // of one entry; further jobs are refused
  // Progress of a job is stored after this delay, together with what follows in
  // the meantime. Short jobs end within it and need no progress write of their
  // own.
  micros save_delay = Millis(100);
};

// ---- [2] State of one job ---------------------------------------------------

enum class leased_outcome : uint8_t {
  completed,
  failed,
  cancelled,
  refused,
  accepted,  // stored; the caller queries the result later
};

const char* ToText(leased_outcome outcome);  // also written to stored rows

enum class durable_stage : uint8_t {
  none,       // not a durable job
  accepting,  // its row is being written; nothing may start
  stored,
  ending,  // it has ended; its end is being written
};

// The end of a run that a sidecar holds, and that its worker lists, until it is
// stored.
struct unsaved_end {
  worker_id worker;
  uint64_t sidecar_incarnation = 0;  // counted by this entry
  // Number of the end among the sidecar's ends for this entry. 0: it was found
  // there unclaimed, and is resolved by its run reference.
  uint64_t number = 0;
  run_ref ref;
};

struct durable_job_state {
  durable_stage stage = durable_stage::none;
  uint32_t epoch = 1;    // increases with each owner; high part of run numbers
  uint64_t version = 0;  // of the job's row
  journal_op_id pending_op;   // operation in progress for this job; 0: none
  bool unsaved = false;       // its state is newer than its rows
  micros unsaved_since{0};    // time since which it is unsaved
  bool has_progress = false;  // a progress row was written
  bool must_save = false;     // nothing may start before its progress is stored
  leased_outcome end_outcome = leased_outcome::completed;
  std::vector<unsaved_end> unsaved_ends;  // resolved with the next write
  std::vector<unsaved_end>
      saving_ends;  // resolved when the write in progress is done
  // Cancel requests, answered when the end is stored.
  std::vector<ticket_id> cancel_tickets;
  // State queries, answered then or earlier.
  std::vector<ticket_id> query_tickets;
  micros not_before{0};  // runs of an earlier owner may last until then
};

// ---- [3] Other owners and adoption ------------------------------------------

struct peer_owner {
  std::string key;   // of its row
  std::string name;  // of the entry; the same after a restart on the machine
  std::string owner_incarnation;
  bool released = false;  // it is stopping, and leaves its jobs to others
  uint64_t version = 0;
  // When this version was first seen; the store has answered since.
  micros unchanged_since{0};
  std::map<std::string, size_t> waiting;  // waiting jobs, by queue
  // When its row was found removed, or changed by another entry. Its jobs count
  // until a poll that began later has read the row of the entry that has them
  // now. 0: the row is as it was read.
  micros removed_at{0};
};

inline bool HasRow(const peer_owner& peer) {
  return peer.removed_at.value == 0;
}

enum class adoption_stage : uint8_t {
  claiming,      // the previous owner's row is being changed
  jobs,          // job rows are being read and taken over
  progress,      // progress rows are being read
  ended,         // the ended rows that it would have swept are being read
  removing_row,  // the previous owner's row is being removed
};

struct adopted_job {
  std::string value;  // of the job's row, as taken over
  uint64_t version = 0;
  std::string progress;
  bool taken = false;
};

// The takeover of one entry's jobs by this one.
struct adoption {
  peer_owner previous_owner;
  adoption_stage stage = adoption_stage::claiming;
  std::string cursor;  // last key read
  bool reading = false;
  bool read_all = false;
  micros next_read{0};  // earliest time of the next read
  size_t open_ops = 0;
  std::map<std::string, adopted_job> jobs;  // by job id
  micros started{0};
};

// ---- [4] Calls to the store -------------------------------------------------

// Purpose of a read, which decides how its answer is handled.
enum class read_purpose : uint8_t {
  poll_owners,
  find_ended,  // a queried job that this entry does not own: has it ended?
  find_live,
  find_ended_again,  // it may have ended between the two reads
  find_orphan_job,   // a job whose runs were found on a worker: is it live?
  find_orphan_job_ended,  // the same: has it ended?
  adopt,
};

struct open_read {
  read_purpose purpose = read_purpose::poll_owners;
  std::string id;    // job
  ticket_id ticket;  // of the caller
  bool is_cancel = false;
};

enum class write_purpose : uint8_t {
  accept,
  save,
  end,
  cancel_elsewhere,
  claim_owner,
  adopt_job,
  remove_owner,
  release,
  sweep,
};

struct open_write {
  write_purpose purpose = write_purpose::save;
  std::string id;
  ticket_id ticket;
};

struct store_call {  // action
  uint64_t call = 0;
  row_call what;
};
struct store_answered {  // event
  uint64_t call = 0;
  rows_reply reply;
};

// ---- [5] State --------------------------------------------------------------

// State of a job as reported to callers.
enum class leased_job_state : uint8_t {
  unknown,  // no such job
  queued,
  running,
  completed,
  failed,
  cancelled,
};

const char* ToText(leased_job_state state);

struct ended_job {
  leased_outcome outcome = leased_outcome::completed;
  uint32_t epoch = 1;  // of its last owner
  // Ended under another process; which runs it had abandoned is not known here.
  bool inherited = false;
  // Cancelled here while another entry owned it.
  bool cancelled_elsewhere = false;
};

// A job of another entry, for which ends of runs were found on a worker.
struct foreign_job {
  micros next_lookup_at{0};
  // Of those ends; empty: the job's owner decides.
  std::optional<end_disposition> ends_disposition;
};

struct waiting_query {
  micros answer_by{0};
  ticket_id ticket;
  std::string id;  // job
};

struct durable_counters {
  uint64_t accepted = 0;
  uint64_t adopted = 0;
  uint64_t adoptions = 0;
  uint64_t deposed = 0;
  uint64_t reads = 0;
  uint64_t expiries_requested = 0;
};

struct durable_state {
  durable_options options;
  journal_state journal;
  // Of this entry as an owner; a new one after its jobs were taken over.
  std::string owner_incarnation;
  uint32_t generation = 0;
  micros own_row_needed_until{0};  // the own row is kept until then
  size_t jobs = 0;                 // live jobs owned here
  std::set<uint64_t> dirty;        // sequence numbers of unsaved jobs
  bool logged_as_owner = true;     // state last logged
  uint64_t next_read = 1;
  std::map<uint64_t, open_read> reads;
  std::map<uint64_t, open_write> writes;  // by journal operation
  bool polling = false;
  bool polled = false;  // at least once since the start
  bool poll_failed = false;
  std::set<std::string> seen_in_poll;  // keys seen, over all pages of the poll
  micros next_poll{0};
  micros poll_began{0};  // of the newest
  bool poll_has_pages = false;
  std::map<std::string, peer_owner> peers;  // by row key
  std::optional<adoption> current_adoption;
  std::map<std::string, ended_job> ended;
  // Ids of ended jobs, with the time to forget each.
  std::deque<std::pair<micros, std::string>> ended_order;
  // Jobs with a cancel row, with the time to remove each row.
  std::deque<std::pair<micros, std::string>> cancel_rows;
  std::deque<waiting_query> waiting_queries;  // in the order of `answer_by`
  // Ordered and abandoned here, not ended.
  std::map<run_ref, micros> abandoned_runs;
  std::map<std::string, foreign_job> foreign_jobs;  // by job id
  micros next_sweep{0};
  micros next_refusals{0};   // of jobs that can't be stored
  micros own_fields_at{0};   // when the own row's fields were collected
  bool had_own_row = false;  // in this incarnation
  bool released = false;     // this entry is stopping, and adopts no more jobs
  bool left_jobs = false;    // it has left jobs to other entries
  std::map<std::string, size_t> left_waiting;  // of them, by queue
  durable_counters counters;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_DURABLE_JOBS_H_
