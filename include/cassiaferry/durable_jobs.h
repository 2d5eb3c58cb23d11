// Jobs that are stored before they are accepted: an entry's side.
//
// Accepted means that the job's row is in the platform's store. Any entry takes
// a job; it then is its owner: places its tasks, stores what they come to, and
// only after that lets workers forget their ends. The id is the idempotency
// key: the row is inserted if absent. An owner that dies is replaced by another
// entry, which changes the owner's own row first and so fences its writes
// (journal.h).
//
// Tables of the store
//   jobs      one row a job that has not ended: owner, epoch, the job itself
//   progress  tasks of it that are done, failed runs
//   ended     how a job ended, kept for as long as callers may ask
//   owners    one row an entry that owns jobs, renewed while it lives;
//             cancels by an entry that is not the owner
//
// Contents
//   [1] Options
//   [2] A job's own part
//   [3] Beliefs about other entries
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
  micros poll_interval =
      Millis(1000);  // of the owners' table, while one has jobs
  micros idle_poll_interval = Millis(3000);  // ... and while none has
  // An owner's row that has not changed for this long, while the store answers,
  // is of a dead entry. Above the lease of its owner, by a clock 2% fast, and
  // two of its renewals.
  micros dead_after = Millis(4500);
  micros ended_retention =
      Millis(150'000);  // callers ask for 120 s after the end
  micros cancel_retention = Millis(20'000);  // the owner polls well within this
  micros abandoned_retention = Millis(60'000);
  micros foreign_retention = Millis(5000);
  micros own_row_linger =
      Millis(10'000);  // the own row stays so long without jobs
  // A caller that asks for a job all of whose tasks run, or have ended, gets
  // its answer when the job ends, or after this. Callers ask when the work
  // should be done; its end is stored some 25 ms later, and an answer "running"
  // would cost them another round: 250 ms of 370 for jobs of 60 ms.
  micros max_answer_delay = Millis(200);
  size_t max_jobs = 5000;  // of one entry; more are refused
  // What tasks come to is stored together with what follows within this time:
  // short jobs end by then, and need no write of their own before that.
  micros save_delay = Millis(100);
};

// ---- [2] A job's own part ---------------------------------------------------

enum class leased_outcome : uint8_t {
  completed,
  failed,
  cancelled,
  refused,
  accepted,  // stored; the caller asks for the rest later
};

const char* ToText(leased_outcome outcome);  // also in stored rows

enum class durable_stage : uint8_t {
  none,       // not a durable job
  accepting,  // its row is being written: nothing may start
  stored,
  ending,  // it has come to its end, which is being written
};

// An end that a sidecar keeps, and its worker lists, until it is stored.
struct unsaved_end {
  worker_id worker;
  uint64_t sidecar_incarnation = 0;  // of the sidecar, counted by this entry
  uint64_t number = 0;  // of the sidecar's ends for this entry; 0: it was found
                        // there unclaimed, and is settled by its run
  run_ref ref;
};

struct durable_job_state {
  durable_stage stage = durable_stage::none;
  uint32_t epoch = 1;         // grows with each owner; high part of run numbers
  uint64_t version = 0;       // of the job's row
  journal_op_id pending_op;   // under way for this job; 0: none
  bool unsaved = false;       // it has come further than its rows say, ...
  micros unsaved_since{0};    // ... since then
  bool has_progress = false;  // a row of progress was written
  bool must_save = false;     // nothing starts before what it has come to is
                              // stored
  leased_outcome end_outcome = leased_outcome::completed;
  std::vector<unsaved_end> unsaved_ends;  // settled with the next write
  std::vector<unsaved_end>
      saving_ends;  // settled when the one under way is done
  std::vector<ticket_id> cancel_tickets;  // answered when the end is stored
  std::vector<ticket_id> query_tickets;   // answered then, or before
  micros not_before{0};  // runs of an earlier owner may last until then
};

// ---- [3] Beliefs about other entries ----------------------------------------

struct peer_owner {
  std::string key;   // of its row
  std::string name;  // of the machine's entry, the same after a restart
  std::string owner_incarnation;
  bool released = false;  // it stops, and leaves its jobs to others
  uint64_t version = 0;
  micros unchanged_since{
      0};  // first seen with this version, the store answering since
  std::map<std::string, size_t> waiting;  // jobs, by queue
};

enum class adoption_stage : uint8_t {
  claiming,      // its row is being changed
  jobs,          // reading and taking over job rows
  progress,      // reading what their tasks came to
  ended,         // reading which ends it would have swept
  removing_row,  // its row is being removed
};

struct adopted_job {
  std::string value;  // of its row, as taken over
  uint64_t version = 0;
  std::string progress;
  bool taken = false;
};

// One entry's jobs on their way to this one.
struct adoption {
  peer_owner previous_owner;
  adoption_stage stage = adoption_stage::claiming;
  std::string cursor;  // next key to read
  bool reading = false;
  bool read_all = false;
  micros next_read{0};  // not before this
  size_t open_ops = 0;
  std::map<std::string, adopted_job> jobs;  // by id
  micros started{0};
};

// ---- [4] Calls to the store -------------------------------------------------

// What is done with the answer to a read.
enum class read_purpose : uint8_t {
  poll_owners,
  find_ended,  // of a job asked for here, owned elsewhere: has it ended?
  find_live,
  find_ended_again,       // it may have ended between the two reads
  find_orphan_job,        // whose runs were found on a worker: does it live?
  find_orphan_job_ended,  // ... or has it ended?
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

// What a caller is told of a job.
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
  uint32_t epoch = 1;      // of its last owner
  bool inherited = false;  // by another process: which runs it had given up
                           // is not known here
  bool cancelled_elsewhere = false;  // cancelled here, owned by another entry
};

// A job of another entry, ends of whose runs were found on a worker.
struct foreign_job {
  micros next_lookup_at{0};
  std::optional<end_disposition>
      ends_disposition;  // of those ends; empty: its owner decides
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
  std::string owner_incarnation;  // of this ownership; a new one after it was
                                  // taken over
  uint32_t generation = 0;
  micros own_row_needed_until{0};  // the own row is kept until then
  size_t jobs = 0;                 // live ones owned here
  std::set<uint64_t> dirty;        // sequence numbers of jobs that are unsaved
  bool logged_as_owner = true;     // for the log
  uint64_t next_read = 1;
  std::map<uint64_t, open_read> reads;
  std::map<uint64_t, open_write> writes;  // by operation
  bool polling = false;
  bool polled = false;  // once, since the start
  bool poll_failed = false;
  std::set<std::string> seen_in_poll;  // keys, over its pages
  micros next_poll{0};
  std::map<std::string, peer_owner> peers;  // by key
  std::optional<adoption> current_adoption;
  std::map<std::string, ended_job> ended;
  std::deque<std::pair<micros, std::string>> ended_order;  // forget at
  std::deque<std::pair<micros, std::string>> cancel_rows;  // remove at
  std::deque<waiting_query> waiting_queries;  // in the order of `until`
  std::map<run_ref, micros>
      abandoned_runs;  // ordered here, given up, not ended
  std::map<std::string, foreign_job> foreign_jobs;  // by job
  micros next_sweep{0};
  micros next_refusals{0};   // of jobs that can't be stored
  micros own_fields_at{0};   // when the own row's facts were gathered
  bool had_own_row = false;  // in this life
  bool released = false;     // this entry stops, and takes up nothing more
  bool left_jobs = false;    // ... and has left jobs to others
  durable_counters counters;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_DURABLE_JOBS_H_
