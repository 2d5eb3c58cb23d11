// Ownership of durable jobs: the own row, losing it, leaving jobs to others.
//
// Contents
//   [1] Leaving jobs
//   [2] Losing them
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

// The jobs are another entry's, or about to be: nothing of them is said or done
// here any more. Callers that wait for an answer get none that promises.
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

// ---- [2] Losing them --------------------------------------------------------

// Failure guarded against: this entry was cut off from the store, or stood
// still, for so long that another took its jobs over. Its writes fail from then
// on; it drops the jobs and goes on as a new owner.
void Depose(entry_state& s) {
  durable_state& d = s.leased.durable;
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
}

// Failure guarded against: the store is out of this entry's reach, and another
// entry may soon take its jobs over. What runs is stopped before that.
void CheckOwnership(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const bool owner = d.journal.own_version == 0 || IsOwner(d.journal, now);
  if (owner != d.logged_as_owner)
    s.actions.push_back(leased_decision{
        owner ? "owns its jobs again" : "owns its jobs no more", "",
        "life " + d.owner_incarnation + ", jobs " + std::to_string(d.jobs)});
  const bool lapsed = d.logged_as_owner && !owner;
  d.logged_as_owner = owner;
  if (!lapsed)
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

// A stopping entry leaves what it has not finished to others, in time for that
// to be written.
void ReleaseJobs(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  const leased_options& o = s.leased.options;
  if (!s.draining || d.released ||
      now - s.drain_since < o.drain_accept + micros{o.drain_close.value / 2})
    return;
  d.released = true;
  if (d.jobs == 0 && !d.current_adoption)
    return;  // the own row goes
  s.actions.push_back(leased_decision{"jobs left to other entries", "",
                                      "jobs " + std::to_string(d.jobs)});
  LeaveJobs(s);
  d.current_adoption.reset();  // what it has taken so far is left too
  d.left_jobs = true;
  d.own_fields_at = {};
  WriteRows(d, {}, {write_purpose::release, "", {}});
}

// ---- [3] The own row --------------------------------------------------------

// The own row is there while jobs are owned, and some time longer. Once it is
// gone this entry is a new owner: a copy of an old write that is still on its
// way must not find the row absent, as it expects, and apply.
void MaintainOwnRow(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (d.jobs > 0 || d.current_adoption)
    d.own_row_needed_until =
        std::max(d.own_row_needed_until, now + d.options.own_row_linger);
  // One that says that jobs are left to others stays until they are taken.
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
  constexpr micros kEvery = Millis(250);
  durable_state& d = s.leased.durable;
  if (d.own_fields_at.value != 0 && now - d.own_fields_at < kEvery)
    return;
  d.own_fields_at = now;
  d.journal.own_fields = OwnRowFields(s);
}

}  // namespace cassiaferry
