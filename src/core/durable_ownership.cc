// Ownership of durable jobs: the own row, loss of ownership, and leaving jobs
// to other entries.
//
// Contents
//   [1] Leaving jobs
//   [2] Loss of ownership
//   [3] The own row

#include "cassiaferry/durable_jobs.h"

#include <algorithm>
#include <utility>

#include "durable_rows.h"
#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

// ---- [1] Leaving jobs -------------------------------------------------------

namespace {

template <typename Function>
void ForEachDurableJob(entry_state& s, Function function) {
  std::vector<leased_seq> seqs;
  for (const auto& [seq, job] : s.leased.jobs) {
    if (IsDurable(job))
      seqs.push_back(seq);
  }
  for (leased_seq seq : seqs)
    function(s.leased.jobs.at(seq));
}

// The jobs belong to another entry, or are about to. This entry no longer
// reports or does anything for them. Callers that wait for an answer get one
// that promises nothing.
void LeaveJobs(entry_state& s) {
  ForEachDurableJob(s, [&](leased_job& job) {
    StopRuns(s, job);
    ResolveEnds(s, job.durable.saving_ends, end_disposition::offer_to_others);
    ResolveEnds(s, job.durable.unsaved_ends, end_disposition::offer_to_others);
    AnswerTickets(s, job, leased_outcome::refused,
                  {verdict::may_have_run, reason::platform_unavailable,
                   "another entry has taken over", 0});
    for (ticket_id ticket : job.durable.cancel_tickets)
      s.actions.push_back(answer_cancelled{ticket, false, true});
    AnswerQueries(s, job, leased_job_state::unknown, true);
    EraseDurableJob(s, job);
  });
}

void BeginIncarnation(entry_state& s) {
  durable_state& d = s.leased.durable;
  d.peers.erase(d.journal.own_row.key);
  ++d.generation;
  d.owner_incarnation =
      ToHex(s.options.self.value) + "." + std::to_string(d.generation);
  journal_state fresh;
  fresh.options = d.journal.options;
  fresh.own_row = {kOwnersTable, kEntryPrefix + d.owner_incarnation};
  fresh.transactions = d.journal.transactions;
  fresh.next_call = d.journal.next_call;
  fresh.next_op = d.journal.next_op;
  d.journal = std::move(fresh);
  d.own_fields_at = {};
}

}  // namespace

// ---- [2] Loss of ownership --------------------------------------------------

// Failure guarded against: this entry was cut off from the store, or was
// stalled, for so long that another entry took its jobs over. Its writes fail
// from then on. It drops the jobs and continues as a new owner. They count here
// until it has read whose they are now.
void Depose(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  peer_owner lost;
  lost.key = d.journal.own_row.key;
  lost.owner_incarnation = d.owner_incarnation;
  lost.waiting = WaitingByQueue(s.leased);
  lost.removed_at = now;
  ++d.counters.deposed;
  s.actions.push_back(leased_decision{
      "jobs taken over by another entry", "",
      "life " + d.owner_incarnation + ", jobs " + std::to_string(d.jobs)});
  LeaveJobs(s);
  for (const auto& [op, write] : d.writes) {
    if (write.purpose == write_purpose::cancel_elsewhere)
      s.actions.push_back(answer_cancelled{write.ticket, false, true});
  }
  d.writes.clear();
  d.current_adoption.reset();
  BeginIncarnation(s);
  d.peers[lost.key] = std::move(lost);
  d.next_poll = now;
}

// Failure guarded against: this entry can't reach the store, and another entry
// may soon take its jobs over. Its runs are stopped before that.
void CheckOwnership(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const bool owner = d.journal.own_version == 0 || IsOwner(d.journal, now);
  if (owner != d.logged_as_owner)
    s.actions.push_back(leased_decision{
        owner ? "owns its jobs again" : "no longer owns its jobs", "",
        "life " + d.owner_incarnation + ", jobs " + std::to_string(d.jobs)});
  const bool expired = d.logged_as_owner && !owner;
  d.logged_as_owner = owner;
  if (!expired)
    return;
  ForEachDurableJob(s, [&](leased_job& job) {
    for (leased_task_row& row : job.tasks) {
      if (row.state != leased_task_state::placed || row.moving)
        continue;
      row.moving = true;
      OrdersFor(s, row.worker).stops.push_back(RefOf(row));
    }
  });
}

// A stopping entry leaves its unfinished jobs to other entries, early enough
// for that to be written. Its row keeps their count until they are taken over.
void ReleaseJobs(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const leased_options& o = s.leased.options;
  if (!s.draining || d.released ||
      now - s.drain_since < o.drain_accept + micros{o.drain_close.value / 2})
    return;
  d.released = true;
  if (d.jobs == 0 && !d.current_adoption)
    return;  // the own row is removed
  s.actions.push_back(leased_decision{"jobs left to other entries", "",
                                      "jobs " + std::to_string(d.jobs)});
  d.left_waiting = WaitingByQueue(s.leased);
  LeaveJobs(s);
  d.current_adoption.reset();  // adopted jobs are left as well
  d.left_jobs = true;
  d.own_fields_at = {};
  WriteRows(d, {}, {write_purpose::release, "", {}});
}

// ---- [3] The own row --------------------------------------------------------

// The own row exists while jobs are owned, and for some time longer. Once it is
// removed this entry becomes a new owner: otherwise a copy of an old write that
// is still in flight might find the row absent, as it expects, and apply.
void MaintainOwnRow(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (d.jobs > 0 || d.current_adoption)
    d.own_row_needed_until =
        std::max(d.own_row_needed_until, now + d.options.own_row_linger);
  // A row that says that jobs are left to others stays until they are taken
  // over.
  const bool needed = d.left_jobs ? d.journal.own_version != 0
                                  : now < d.own_row_needed_until && !d.released;
  const bool removed = !d.journal.own_row_wanted && d.had_own_row &&
                       d.journal.own_version == 0 && !d.journal.open &&
                       d.journal.waiting.empty();
  if (removed) {
    BeginIncarnation(s);
    d.had_own_row = false;
  }
  d.had_own_row = d.had_own_row || d.journal.own_version != 0;
  d.journal.own_row_wanted = needed;
}

void RefreshOwnRowFields(entry_state& s, micros now) {
  constexpr micros kInterval = Millis(250);
  durable_state& d = s.leased.durable;
  if (d.own_fields_at.value != 0 && now - d.own_fields_at < kInterval)
    return;
  d.own_fields_at = now;
  d.journal.own_fields = OwnRowFields(s);
}

}  // namespace cassiaferry
