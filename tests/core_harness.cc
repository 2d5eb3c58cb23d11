// Entry and sidecar logic, run by hand on virtual time.

#include "core_harness.h"

#include <utility>

namespace cassiaferry::testing {

namespace {

constexpr char kEntryAddress[] = "entry";
constexpr int64_t kStepMs = 5;
constexpr uint64_t kMemoryMb = 64'000;

sidecar_options SidecarOptions(int i, uint64_t number) {
  sidecar_options o;
  o.name = "sidecar-" + std::to_string(i);
  o.failure_domain = "a";
  o.self = incarnation{number};
  o.seed = number;
  o.seeds = {kEntryAddress};
  return o;
}

}  // namespace

config_document MakeConfig(uint64_t version, const std::string& kind) {
  const std::string json =
      R"({"teams":{"lime":{}},"upstreams":{"slots":{}},"policies":{"p":{"kind":")" +
      kind + R"("}},"default_policy":"p"})";
  return {config_version{version}, "change", "test", json};
}

job_request MakeRequest(size_t tasks, const std::string& key) {
  job_request r;
  r.team = "lime";
  r.upstream = "slots";
  r.deadline_ms = 60'000;
  r.key = key;
  r.tasks.resize(tasks);
  return r;
}

core_simulation::core_simulation(int count, const std::string& policy)
    : running(static_cast<size_t>(count)),
      silent(static_cast<size_t>(count)),
      frozen(static_cast<size_t>(count)),
      streams_(static_cast<size_t>(count)),
      announced_(static_cast<size_t>(count)),
      to_sidecars_(static_cast<size_t>(count)) {
  entry_options options;
  options.name = "entry";
  options.self = incarnation{1};
  options.link_address = kEntryAddress;
  entry = MakeEntry(options);
  inbox.emplace_back(config_received{MakeConfig(1, policy)});
  for (int i = 0; i < count; ++i)
    sidecars.push_back(MakeSidecar(SidecarOptions(i, next_incarnation_++)));
  for (int i = 0; i < count; ++i)
    Announce(i, 2);
  Advance(50);
}

void core_simulation::Announce(int sidecar, uint32_t slots, uint32_t cores) {
  announced_[static_cast<size_t>(sidecar)] =
      upstream_info{"slots", "127.0.0.1:1", slots, 60, cores, kMemoryMb};
}

void core_simulation::Submit(uint64_t ticket, job_request request) {
  inbox.emplace_back(job_submitted{ticket_id{ticket}, std::move(request)});
}

void core_simulation::WithdrawUpstream(int sidecar) {
  const auto i = static_cast<size_t>(sidecar);
  announced_[i] = {};
  to_sidecars_[i].emplace_back(upstream_left{});
}

void core_simulation::FinishOne(int sidecar, bool ok) {
  const auto i = static_cast<size_t>(sidecar);
  if (running[i].empty())
    return;
  const run_task run = running[i].front();
  running[i].erase(running[i].begin());
  to_sidecars_[i].emplace_back(
      task_finished{run.entry, run.task, verdict::ran, ok,
                    "output " + std::to_string(run.task.index)});
}

void core_simulation::FinishAll(int sidecar) {
  while (!running[static_cast<size_t>(sidecar)].empty())
    FinishOne(sidecar);
}

void core_simulation::CutStream(int sidecar) {
  const auto i = static_cast<size_t>(sidecar);
  if (!streams_[i].open)
    return;
  streams_[i].open = false;
  inbox.emplace_back(sidecar_link_lost{streams_[i].link});
  to_sidecars_[i].emplace_back(link_lost{entry_id{0}, streams_[i].epoch});
}

void core_simulation::CrashSidecar(int sidecar) {
  CutStream(sidecar);
  const auto i = static_cast<size_t>(sidecar);
  to_sidecars_[i].clear();
  running[i].clear();
  sidecars[i] = MakeSidecar(SidecarOptions(sidecar, next_incarnation_++));
  Announce(sidecar, 2);
}

void core_simulation::TickSidecar(int sidecar,
                                  std::vector<sidecar_event> events) {
  const auto i = static_cast<size_t>(sidecar);
  for (sidecar_action& action : Tick(sidecars[i], now, std::move(events))) {
    if (auto* dial = std::get_if<dial_entry>(&action)) {
      streams_[i] = {true, dial->epoch, link_id{next_link_++}};
    } else if (auto* hang = std::get_if<hang_up>(&action)) {
      if (streams_[i].open && streams_[i].epoch == hang->epoch) {
        streams_[i].open = false;
        inbox.emplace_back(sidecar_link_lost{streams_[i].link});
      }
    } else if (auto* send = std::get_if<send_to_entry>(&action)) {
      if (streams_[i].open && streams_[i].epoch == send->frame.epoch &&
          !silent[i])
        inbox.emplace_back(
            sidecar_frame_received{streams_[i].link, send->frame});
    } else if (auto* run = std::get_if<run_task>(&action)) {
      ++starts[std::to_string(run->task.job.value) + "/" +
               std::to_string(run->task.index)];
      running[i].push_back(*run);
    } else if (auto* stop = std::get_if<stop_task>(&action)) {
      std::erase_if(running[i],
                    [&](const run_task& r) { return r.task == stop->task; });
    }
  }
}

void core_simulation::TickEntry() {
  std::vector<entry_event> events;
  events.swap(inbox);
  for (entry_action& action : Tick(entry, now, std::move(events))) {
    if (auto* complete = std::get_if<answer_complete>(&action)) {
      complete_[complete->ticket.value] = *complete;
    } else if (auto* failed = std::get_if<answer_failed>(&action)) {
      failed_[failed->ticket.value] = *failed;
    } else if (auto* claim = std::get_if<claim_action>(&action)) {
      claims.push_back(*claim);
    } else if (auto* send = std::get_if<send_to_sidecar>(&action)) {
      for (size_t i = 0; i < streams_.size(); ++i) {
        if (streams_[i].open && streams_[i].link == send->link && !silent[i])
          to_sidecars_[i].emplace_back(
              link_frame_received{entry_id{0}, send->frame});
      }
    }
  }
}

void core_simulation::Step() {
  for (size_t i = 0; i < sidecars.size(); ++i) {
    if (frozen[i])
      continue;
    std::vector<sidecar_event> events;
    events.swap(to_sidecars_[i]);
    if (announced_[i].slots > 0)
      events.emplace_back(upstream_announced{announced_[i]});
    TickSidecar(static_cast<int>(i), std::move(events));
  }
  TickEntry();
}

void core_simulation::Advance(int64_t ms) {
  for (int64_t passed = 0; passed < ms; passed += kStepMs) {
    now = now + Millis(kStepMs);
    Step();
  }
}

const answer_complete* core_simulation::Complete(uint64_t ticket) const {
  const auto it = complete_.find(ticket);
  return it == complete_.end() ? nullptr : &it->second;
}

const answer_failed* core_simulation::Failed(uint64_t ticket) const {
  const auto it = failed_.find(ticket);
  return it == failed_.end() ? nullptr : &it->second;
}

}  // namespace cassiaferry::testing
