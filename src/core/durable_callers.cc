// Requests of callers about durable jobs: state queries and cancellation.
//
// Contents
//   [1] Answers
//   [2] Queries
//   [3] Jobs of other entries

#include "cassiaferry/durable_jobs.h"

#include <algorithm>
#include <utility>

#include "durable_rows.h"
#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

// ---- [1] Answers ------------------------------------------------------------

leased_job_state StateOf(leased_outcome outcome) {
  switch (outcome) {
    case leased_outcome::completed:
      return leased_job_state::completed;
    case leased_outcome::failed:
      return leased_job_state::failed;
    case leased_outcome::cancelled:
      return leased_job_state::cancelled;
    case leased_outcome::refused:
    case leased_outcome::accepted:
      break;
  }
  return leased_job_state::unknown;
}

namespace {

leased_job_state StateOf(const leased_job& job) {
  return job.started ? leased_job_state::running : leased_job_state::queued;
}

bool MayEndSoon(const leased_job& job) {
  return job.durable.stage == durable_stage::ending ||
         (job.durable.stage == durable_stage::stored &&
          job.placed + job.done == job.tasks.size());
}

}  // namespace

void AnswerQueries(entry_state& s,
                   leased_job& job,
                   leased_job_state state,
                   bool unavailable) {
  for (ticket_id ticket : job.durable.query_tickets)
    s.actions.push_back(answer_leased_state{ticket, state, unavailable});
  job.durable.query_tickets.clear();
}

void AnswerOverdueQueries(entry_state& s, micros now) {
  std::deque<waiting_query>& questions = s.leased.durable.waiting_queries;
  while (!questions.empty() && questions.front().answer_by <= now) {
    leased_job* job = FindLeasedJob(s.leased, questions.front().id);
    if (job != nullptr &&
        std::erase(job->durable.query_tickets, questions.front().ticket) != 0)
      s.actions.push_back(
          answer_leased_state{questions.front().ticket, StateOf(*job), false});
    questions.pop_front();
  }
}

void AnswerCancelRequests(entry_state& s, leased_job& job, bool known) {
  for (ticket_id ticket : job.durable.cancel_tickets)
    s.actions.push_back(answer_cancelled{ticket, known, false});
  job.durable.cancel_tickets.clear();
}

// ---- [2] Queries ------------------------------------------------------------

void LookUpJob(entry_state& s,
               ticket_id ticket,
               const std::string& id,
               bool is_cancel) {
  ReadRows(s, {kEndedTable, id, 1, false},
           {read_purpose::find_ended, id, ticket, is_cancel});
}

void LookUpForeignJob(entry_state& s, micros now, const std::string& id) {
  constexpr micros kLookUpInterval = Millis(1000);
  foreign_job& row = s.leased.durable.foreign_jobs[id];
  if (now < row.next_lookup_at)
    return;
  row.next_lookup_at = now + kLookUpInterval;
  ReadRows(s, {kJobsTable, id, 1, false},
           {read_purpose::find_orphan_job, id, {}, false});
}

void AnswerLeasedState(entry_state& s,
                       micros now,
                       ticket_id ticket,
                       const std::string& id) {
  durable_state& d = s.leased.durable;
  leased_job* job = FindLeasedJob(s.leased, id);
  const auto ended = d.ended.find(id);
  if (job != nullptr && MayEndSoon(*job)) {
    job->durable.query_tickets.push_back(ticket);
    d.waiting_queries.push_back({now + d.options.max_answer_delay, ticket, id});
  } else if (job != nullptr && job->durable.stage != durable_stage::accepting) {
    s.actions.push_back(answer_leased_state{ticket, StateOf(*job), false});
  } else if (ended != d.ended.end()) {
    s.actions.push_back(
        answer_leased_state{ticket, StateOf(ended->second.outcome), false});
  } else if (d.options.enabled) {
    LookUpJob(s, ticket, id, false);
  } else {
    s.actions.push_back(
        answer_leased_state{ticket, leased_job_state::unknown, false});
  }
}

void CancelLeasedJob(entry_state& s,
                     micros now,
                     ticket_id ticket,
                     const std::string& id) {
  durable_state& d = s.leased.durable;
  leased_job* job = FindLeasedJob(s.leased, id);
  if (job != nullptr && !IsDurable(*job)) {
    Conclude(s, now, *job, leased_outcome::cancelled,
             {verdict::may_have_run, reason::cancelled, "cancelled", 0});
    s.actions.push_back(answer_cancelled{ticket, true, false});
  } else if (job != nullptr) {
    job->durable.cancel_tickets.push_back(ticket);
    if (job->durable.stage == durable_stage::stored)
      EndDurableJob(s, *job, leased_outcome::cancelled);
  } else if (d.ended.count(id) != 0 || !d.options.enabled) {
    s.actions.push_back(answer_cancelled{ticket, false, false});
  } else {
    LookUpJob(s, ticket, id, true);
  }
}

// ---- [3] Jobs of other entries ----------------------------------------------

namespace {

void AnswerLookUp(entry_state& s,
                  const open_read& read,
                  leased_job_state state,
                  bool unavailable) {
  if (read.is_cancel)
    s.actions.push_back(answer_cancelled{read.ticket, false, unavailable});
  else
    s.actions.push_back(answer_leased_state{read.ticket, state, unavailable});
}

// A job that another entry owns is cancelled by removing its row: further
// writes of that entry for the job fail, and the cancel row notifies it.
void CancelElsewhere(entry_state& s,
                     micros now,
                     const open_read& read,
                     const stored_row& row) {
  durable_state& d = s.leased.durable;
  row_transaction rows;
  rows.expected = {{{kJobsTable, read.id}, row.version}};
  rows.removes = {{kJobsTable, read.id}, {kProgressTable, read.id}};
  const uint32_t epoch = EpochOf(row.value);
  rows.sets = {{kEndedTable, read.id,
                EndedRow({leased_outcome::cancelled, epoch},
                         d.owner_incarnation, OwnerOf(row.value))},
               {kOwnersTable, kCancelPrefix + read.id, "{}"}};
  WriteRows(d, std::move(rows),
            {write_purpose::cancel_elsewhere, read.id, read.ticket});
  d.own_row_needed_until =
      std::max(d.own_row_needed_until, now + d.options.cancel_retention);
}

const stored_row* FindRow(const rows_reply& reply, const std::string& id) {
  for (const stored_row& row : reply.rows) {
    if (row.key == id)
      return &row;
  }
  return nullptr;
}

}  // namespace

void HandleLookUp(entry_state& s,
                  micros now,
                  const open_read& read,
                  const rows_reply& reply) {
  if (reply.status != store_status::ok) {
    AnswerLookUp(s, read, leased_job_state::unknown, true);
    return;
  }
  const stored_row* row = FindRow(reply, read.id);
  if (read.purpose == read_purpose::find_live) {
    if (row != nullptr && read.is_cancel)
      CancelElsewhere(s, now, read, *row);
    else if (row != nullptr)
      AnswerLookUp(s, read, leased_job_state::queued, false);
    else
      ReadRows(s, {kEndedTable, read.id, 1, false},
               {read_purpose::find_ended_again, read.id, read.ticket,
                read.is_cancel});
    return;
  }
  const auto ended = row == nullptr ? std::nullopt : ReadEndedRow(row->value);
  if (ended)
    AnswerLookUp(s, read, StateOf(ended->outcome), false);
  else if (read.purpose == read_purpose::find_ended)
    ReadRows(s, {kJobsTable, read.id, 1, false},
             {read_purpose::find_live, read.id, read.ticket, read.is_cancel});
  else
    AnswerLookUp(s, read, leased_job_state::unknown, false);
}

// Ends of a live job are resolved by its owner. So are ends of a job that has
// ended, as only its owner knows which runs it counted. If that owner is gone
// too, requesting expiry of the lease is always safe. A job without any row
// needs nothing.
void HandleForeignJob(entry_state& s,
                      const open_read& read,
                      const rows_reply& reply) {
  durable_state& d = s.leased.durable;
  const auto foreign = d.foreign_jobs.find(read.id);
  if (reply.status != store_status::ok || foreign == d.foreign_jobs.end())
    return;
  const stored_row* row = FindRow(reply, read.id);
  if (read.purpose == read_purpose::find_orphan_job) {
    if (row == nullptr)
      ReadRows(s, {kEndedTable, read.id, 1, false},
               {read_purpose::find_orphan_job_ended, read.id, {}, false});
    return;
  }
  const std::string owner = row == nullptr ? "" : OwnerOf(row->value);
  const auto peer = d.peers.find(kEntryPrefix + owner);
  const bool owner_is_alive = owner != d.owner_incarnation &&
                              peer != d.peers.end() && HasRow(peer->second);
  if (row == nullptr)
    foreign->second.ends_disposition = end_disposition::forget;
  else if (!owner_is_alive)
    foreign->second.ends_disposition = end_disposition::expire_lease;
}

}  // namespace cassiaferry
