// The emulated world's balancer, and callers that keep their connections open.
//
// Contents
//   [1] Balancer
//   [2] Connections
//   [3] Shedding

#include "leased_world.h"

#include <utility>

namespace cassiaferry::emulator {

namespace {

constexpr int kMissesOutOfRotation = 2;

}  // namespace

// ---- [1] Balancer -----------------------------------------------------------

// Probes all entries, again and again.
void world::ProbeEntries() {
  for (emulated_entry& e : entries) {
    const bool is_up = e.state == process_state::up;
    if (is_up)
      RecordProbe(e.shed, now, e.ready);
    e.failed_probes = is_up && e.ready ? 0 : e.failed_probes + 1;
    e.in_rotation = e.failed_probes < kMissesOutOfRotation;
  }
  At(now + options.probe_every, [this] { ProbeEntries(); });
}

// The entry that gets a new connection of the caller: one of its failure
// domain, whether in rotation or not if less than half of them are; one of
// another domain if none of them is.
int world::Balance(int domain, int caller) const {
  std::vector<int> near;
  std::vector<int> near_ready;
  std::vector<int> far_ready;
  for (int i = 0; i < options.entries; ++i) {
    const bool is_near = i % options.domains == domain;
    const bool is_ready = entries[static_cast<size_t>(i)].in_rotation;
    if (is_near)
      near.push_back(i);
    if (is_ready)
      (is_near ? near_ready : far_ready).push_back(i);
  }
  const bool uses_far = near_ready.empty() && !far_ready.empty();
  const std::vector<int>& among = uses_far ? far_ready
                                  : near_ready.size() * 2 < near.size()
                                      ? near
                                      : near_ready;
  return among[static_cast<size_t>(caller) % among.size()];
}

// ---- [2] Connections --------------------------------------------------------

emulated_caller& world::CallerOf(const emulated_job& job) {
  return callers_[{job.domain, job.caller}];
}

void world::SubmitFrom(int domain, int caller, emulated_job job) {
  job.domain = domain;
  job.caller = caller;
  std::vector<emulated_connection>& idle = CallerOf(job).idle;
  while (!idle.empty() &&
         entries[static_cast<size_t>(idle.back().entry)].lives !=
             idle.back().entry_life)
    idle.pop_back();
  if (idle.empty()) {
    const int entry = Balance(domain, caller);
    idle.push_back({connection_id{next_connection_++}, entry,
                    entries[static_cast<size_t>(entry)].lives});
  }
  const emulated_connection connection = idle.back();
  idle.pop_back();
  job.connection = connection.id;
  SubmitTo(connection.entry, std::move(job));
}

void world::KeepConnection(const emulated_job& job, int entry, uint64_t life) {
  if (job.domain >= 0 && job.sends == 1)
    CallerOf(job).idle.push_back({job.connection, entry, life});
}

// ---- [3] Shedding -----------------------------------------------------------

void world::ShedConnections(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  const bool is_ready = IsReady(*e.core);
  const shedding_decision decision = TickShedding(
      e.shed,
      {now, e.core->leased.late.refuse_share, e.core->draining, is_ready});
  e.ready = decision.ready;
  constexpr const char* kChanges[] = {"readiness withdrawn", "connections shed",
                                      "shedding ended"};
  if (decision.change)
    Log(EntryAddress(entry),
        std::string(kChanges[static_cast<size_t>(*decision.change)]) +
            ", active " + std::to_string(decision.active_connections) +
            ", to close " + std::to_string(e.shed.to_close) + ", closed " +
            std::to_string(e.shed.closed));
}

bool world::ClosesConnection(int entry, const answer_leased_job& answer) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  const auto ticket = tickets_.find({entry, answer.ticket.value});
  if (ticket == tickets_.end())
    return false;
  RecordAnswer(e.shed, answer.outcome == leased_outcome::completed);
  return ClosesAfter(e.shed, jobs.at(ticket->second).connection, answer.ticket);
}

}  // namespace cassiaferry::emulator
