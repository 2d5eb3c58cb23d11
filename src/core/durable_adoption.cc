// Detection of dead owners of durable jobs, and the takeover of their jobs.
//
// Failure guarded against: an entry dies with jobs that it has accepted. Its
// row in the owners' table stops changing. Another entry changes that row,
// which makes every write of the dead owner's chain fail for good, however late
// it arrives. Only then does it read the jobs and become their owner. Runs that
// the dead owner ordered are stopped by their sidecars, or expire with their
// leases, within a known time; nothing starts before that. A false alarm costs
// work but breaks no promise: the next write of the deposed entry fails, and it
// drops the jobs.
//
// Contents
//   [1] Liveness of owners
//   [2] Adoption
//   [3] Answers of the store
//   [4] Tick

#include <algorithm>
#include <utility>

#include "cassiaferry/durable_jobs.h"
#include "durable_rows.h"
#include "durable_systems.h"
#include "entry_systems.h"
#include "leased_systems.h"

namespace cassiaferry {

namespace {

// After a read of a page that failed.
constexpr micros kPageRetryDelay = Millis(100);

// ---- [1] Liveness of owners -------------------------------------------------

// The time without a change of a row that is new or has changed starts now.
// While the store does not answer no owner can renew, so earlier observations
// don't count. A page may be older than what a write has shown.
void RecordPeer(durable_state& d, micros now, peer_owner peer) {
  const auto known = d.peers.find(peer.key);
  const bool outdated =
      known != d.peers.end() && (known->second.version > peer.version ||
                                 (known->second.version == peer.version &&
                                  known->second.removed_at >= d.poll_began));
  if (outdated)
    return;
  const bool unchanged =
      known != d.peers.end() && known->second.version == peer.version;
  peer.unchanged_since =
      unchanged && !d.poll_failed ? known->second.unchanged_since : now;
  d.peers[peer.key] = std::move(peer);
}

// After a whole poll. Failure guarded against: jobs that nobody counts, as they
// move, between two pages, from a row on the later page to one on the first.
void ForgetRemovedPeers(durable_state& d, micros now) {
  for (auto& [key, peer] : d.peers) {
    if (d.poll_has_pages && HasRow(peer) && d.seen_in_poll.count(key) == 0)
      peer.removed_at = now;
  }
  std::erase_if(d.peers, [&](const auto& row) {
    return d.seen_in_poll.count(row.first) == 0 &&
           row.second.removed_at < d.poll_began;
  });
}

// Returns true if the process that wrote the row is gone: it has released its
// jobs, this process has replaced it on its machine, or it has not renewed its
// row for `dead_after`.
bool IsGone(const entry_state& s, micros now, const peer_owner& peer) {
  const durable_state& d = s.leased.durable;
  if (peer.owner_incarnation == d.owner_incarnation ||
      peer.key == d.journal.own_row.key || !HasRow(peer))
    return false;
  return peer.released || peer.name == s.options.name ||
         now - peer.unchanged_since >= d.options.dead_after;
}

// ---- [2] Adoption -----------------------------------------------------------

void LogAdoption(entry_state& s, const char* what, const adoption& a) {
  s.actions.push_back(leased_decision{
      what, "",
      "owner " + a.previous_owner.name + ", life " +
          a.previous_owner.owner_incarnation + ", row version " +
          std::to_string(a.previous_owner.version) + ", unchanged since ms " +
          std::to_string(
              ToMillis(a.started - a.previous_owner.unchanged_since)) +
          (a.previous_owner.released ? ", released" : "") + ", jobs " +
          std::to_string(a.jobs.size())});
}

void BeginAdoption(entry_state& s, micros now, const peer_owner& peer) {
  durable_state& d = s.leased.durable;
  d.current_adoption.emplace();
  adoption& a = *d.current_adoption;
  a.previous_owner = peer;
  a.started = now;
  ++d.counters.adoptions;
  LogAdoption(s, "owner is gone, its jobs are being taken over", a);
  row_transaction rows;
  rows.expected = {{{kOwnersTable, peer.key}, peer.version}};
  rows.sets = {{kOwnersTable, peer.key, ClaimedRow(peer, d.owner_incarnation)}};
  WriteRows(d, std::move(rows), {write_purpose::claim_owner, peer.key, {}});
  a.open_ops = 1;
}

void ReadAdoptionPage(entry_state& s, const char* table) {
  adoption& a = *s.leased.durable.current_adoption;
  a.reading = true;
  ReadRows(s, {table, a.cursor, 0, !a.cursor.empty()},
           {read_purpose::adopt, "", {}, false});
}

void AdoptJob(entry_state& s, const stored_row& row) {
  durable_state& d = s.leased.durable;
  adoption& a = *d.current_adoption;
  if (OwnerOf(row.value) != a.previous_owner.owner_incarnation)
    return;
  adopted_job& job = a.jobs[row.key];
  job.value = WithOwner(row.value, d.owner_incarnation);
  row_transaction rows;
  rows.expected = {{{kJobsTable, row.key}, row.version}};
  rows.sets = {{kJobsTable, row.key, job.value}};
  WriteRows(d, std::move(rows), {write_purpose::adopt_job, row.key, {}});
  ++a.open_ops;
}

// Runs of the previous owner may continue for as long as its sidecars and the
// leases of the workers allow.
void AddAdopted(entry_state& s,
                micros now,
                const std::string& id,
                const adopted_job& adopted) {
  leased_state& l = s.leased;
  std::optional<leased_job> read = ReadJobRow(id, adopted.value);
  if (!read) {
    s.actions.push_back(leased_decision{"job row unreadable", id, ""});
    return;
  }
  leased_job& job = *read;
  job.seq = leased_seq{l.next_job++};
  job.durable.stage = durable_stage::stored;
  job.durable.version = adopted.version;
  job.durable.has_progress = true;
  job.durable.not_before = now + RunsOverAfter(l.options.bounds);
  MakeTasks(job, FirstRun(job.durable.epoch));
  ReadProgressRow(adopted.progress, job);
  SetBounds(job, now, l.estimates[job.queue.name].ratio);
  ++l.durable.jobs;
  ++l.durable.counters.adopted;
  leased_job& row = AddLeasedJob(l, std::move(job));
  LogJob(s, "job taken over", row,
         "epoch " + std::to_string(row.durable.epoch) + ", tasks " +
             std::to_string(row.tasks.size()) + ", done " +
             std::to_string(row.done));
  if (row.done == row.tasks.size())
    EndDurableJob(s, row, leased_outcome::completed);
  else
    ReleaseTasks(l, row);
}

// A job that a caller submits here again while it is being taken over waits
// until that insertion has failed.
void AddAllAdopted(entry_state& s, micros now) {
  adoption& a = *s.leased.durable.current_adoption;
  // Publishes their count with the next write.
  s.leased.durable.own_fields_at = {};
  std::erase_if(a.jobs, [&](const auto& row) {
    if (!row.second.taken)
      return true;
    if (FindLeasedJob(s.leased, row.first) != nullptr)
      return false;
    AddAdopted(s, now, row.first, row.second);
    return true;
  });
}

void RemoveOwnerRow(entry_state& s) {
  durable_state& d = s.leased.durable;
  adoption& a = *d.current_adoption;
  row_transaction rows;
  rows.expected = {
      {{kOwnersTable, a.previous_owner.key}, a.previous_owner.version}};
  rows.removes = {{kOwnersTable, a.previous_owner.key}};
  WriteRows(d, std::move(rows),
            {write_purpose::remove_owner, a.previous_owner.key, {}});
  a.open_ops = 1;
  a.stage = adoption_stage::removing_row;
}

void NextStage(adoption& a, adoption_stage stage) {
  a.stage = stage;
  a.cursor.clear();
  a.read_all = false;
}

// Failure guarded against: jobs that nobody counts, since an entry that could
// not take them over takes their owner for one without jobs. A write that was
// not done shows the owner's row as it is now, or that it is gone.
void EndAdoption(entry_state& s, micros now, const journal_result& last_write) {
  durable_state& d = s.leased.durable;
  const std::string key = d.current_adoption->previous_owner.key;
  d.current_adoption.reset();
  if (last_write.done) {
    d.peers.erase(key);
    return;
  }
  for (const stored_row& row : last_write.rows) {
    if (std::optional<peer_owner> peer = ReadOwnerRow(row))
      RecordPeer(d, now, std::move(*peer));
  }
  const auto peer = d.peers.find(key);
  if (last_write.rows.empty() && peer != d.peers.end()) {
    peer->second.removed_at = now;
    d.next_poll = now;
  }
}

}  // namespace

// ---- [3] Answers of the store -----------------------------------------------

void HandleOwnersPage(entry_state& s, micros now, const rows_reply& reply) {
  durable_state& d = s.leased.durable;
  d.polling = false;
  if (reply.status != store_status::ok) {
    d.poll_failed = true;
    d.next_poll = now + micros{d.options.poll_interval.value / 4};
    return;
  }
  for (const stored_row& row : reply.rows) {
    if (row.key.starts_with(kCancelPrefix))
      HandleCancelRow(s, now, row.key.substr(sizeof(kCancelPrefix) - 1));
    else if (std::optional<peer_owner> peer = ReadOwnerRow(row))
      RecordPeer(d, now, std::move(*peer));
    d.seen_in_poll.insert(row.key);
  }
  if (reply.more && !reply.rows.empty()) {
    d.polling = true;
    d.poll_has_pages = true;
    ReadRows(s, {kOwnersTable, reply.rows.back().key, 0, true},
             {read_purpose::poll_owners, "", {}, false});
    return;
  }
  ForgetRemovedPeers(d, now);
  const auto others =
      std::count_if(d.peers.begin(), d.peers.end(), [&](const auto& row) {
        return HasRow(row.second) && row.first != d.journal.own_row.key;
      });
  d.journal.writers = static_cast<size_t>(others) + 1;
  const bool any_owner = !d.seen_in_poll.empty();
  d.seen_in_poll.clear();
  d.poll_failed = false;
  d.polled = true;
  d.next_poll = now + (any_owner ? d.options.poll_interval
                                 : d.options.idle_poll_interval);
}

void HandleAdoptionPage(entry_state& s, micros now, const rows_reply& reply) {
  durable_state& d = s.leased.durable;
  if (!d.current_adoption)
    return;
  adoption& a = *d.current_adoption;
  a.reading = false;
  if (reply.status != store_status::ok) {
    a.next_read = now + kPageRetryDelay;
    return;
  }
  for (const stored_row& row : reply.rows) {
    if (a.stage == adoption_stage::jobs) {
      AdoptJob(s, row);
    } else if (a.stage == adoption_stage::progress) {
      const auto job = a.jobs.find(row.key);
      if (job != a.jobs.end())
        job->second.progress = row.value;
    } else if (SweeperOf(row.value) == a.previous_owner.owner_incarnation) {
      if (const std::optional<ended_job> ended = ReadEndedRow(row.value))
        RememberEnded(d, now, row.key,
                      {ended->outcome, ended->epoch, true, false});
    }
  }
  a.read_all = !reply.more || reply.rows.empty();
  if (!a.read_all)
    a.cursor = reply.rows.back().key;
}

void HandleAdoptionWrite(entry_state& s,
                         micros now,
                         const open_write& write,
                         const journal_result& result) {
  durable_state& d = s.leased.durable;
  if (!d.current_adoption)
    return;
  adoption& a = *d.current_adoption;
  --a.open_ops;
  switch (write.purpose) {
    case write_purpose::claim_owner:
      if (!result.done) {  // it is alive, or another entry was first
        LogAdoption(s, "owner not taken over, its row has changed", a);
        EndAdoption(s, now, result);
        return;
      }
      a.previous_owner.version = result.version;
      NextStage(a, adoption_stage::jobs);
      return;
    case write_purpose::adopt_job: {
      adopted_job& job = a.jobs[write.id];
      job.taken = result.done;
      job.version = result.version;
      return;
    }
    default:
      LogAdoption(s,
                  result.done
                      ? "owner's jobs have been taken over"
                      : "owner's jobs taken over, its row has changed since",
                  a);
      EndAdoption(s, now, result);
      d.next_poll = now;
      return;
  }
}

// ---- [4] Tick ---------------------------------------------------------------

void TickAdoption(entry_state& s, micros now) {
  durable_state& d = s.leased.durable;
  if (d.released)
    return;
  if (!d.polling && now >= d.next_poll) {
    d.polling = true;
    d.poll_began = now;
    d.poll_has_pages = false;
    ReadRows(s, {kOwnersTable, "", 0, false},
             {read_purpose::poll_owners, "", {}, false});
  }
  if (!d.current_adoption) {
    if (s.draining || d.poll_failed || !d.polled)
      return;
    const auto gone = std::find_if(
        d.peers.begin(), d.peers.end(),
        [&](const auto& row) { return IsGone(s, now, row.second); });
    if (gone != d.peers.end())
      BeginAdoption(s, now, gone->second);
    return;
  }
  adoption& a = *d.current_adoption;
  if (a.reading || now < a.next_read || a.open_ops > 0 ||
      a.stage == adoption_stage::claiming ||
      a.stage == adoption_stage::removing_row)
    return;
  if (!a.read_all) {
    ReadAdoptionPage(s, a.stage == adoption_stage::jobs       ? kJobsTable
                        : a.stage == adoption_stage::progress ? kProgressTable
                                                              : kEndedTable);
    return;
  }
  switch (a.stage) {
    case adoption_stage::jobs:
      std::erase_if(a.jobs, [](const auto& row) { return !row.second.taken; });
      NextStage(
          a, a.jobs.empty() ? adoption_stage::ended : adoption_stage::progress);
      return;
    case adoption_stage::progress:
      AddAllAdopted(s, now);
      if (a.jobs.empty())
        NextStage(a, adoption_stage::ended);
      return;
    default:
      RemoveOwnerRow(s);
      return;
  }
}

}  // namespace cassiaferry
