// The emulated world.
//
// Contents
//   [1] Time
//   [2] Processes
//   [3] Streams
//   [4] Faults

#include "leased_world.h"

#include <algorithm>
#include <utility>

namespace cassiaferry::emulator {

namespace {

constexpr micros kIdleTick = Millis(50);
constexpr micros kWaitingTick = Millis(5);  // of a sidecar where starts wait
constexpr micros kWakeUp{100};
constexpr micros kShortDrain = Millis(200);  // runs are there at the goodbye
constexpr micros kExitDelay = Millis(20);    // its last frames get out before

void Extend(micros& until, micros later) {
  until = std::max(until, later);
}

int EntryOfAddress(const std::string& address) {
  return std::stoi(address.substr(address.find('-') + 1));
}

config_document Configuration() {
  std::string queues;
  for (const char* name : kQueues) {
    queues += queues.empty() ? "" : ",";
    queues += std::string("\"") + name + R"(":{"host":"h","path_prefix":"/)" +
              name + R"(/","upstream":"slots","max_attempts":3,"stretch":1.6,
              "allowance_ms":60})";
  }
  return {config_version{1}, "change", "test",
          R"({"teams":{"callers":{}},"upstreams":{"slots":{}},
              "policies":{"p":{}},"default_policy":"p","queues":{)" +
              queues + "}}"};
}

}  // namespace

std::string EntryAddress(int entry) {
  return "entry-" + std::to_string(entry);
}

// ---- [1] Time ---------------------------------------------------------------

world::world(const world_options& o)
    : options(o),
      random(options.seed),
      late_words(static_cast<uint32_t>(options.seed) + 1) {
  options.bounds = BoundsFor(Millis(1000), options.resend_after);
  workers.resize(static_cast<size_t>(options.workers));
  entries.resize(static_cast<size_t>(options.entries));
  sidecars.resize(static_cast<size_t>(options.workers));
  dials.resize(sidecars.size());
  frames.resize(sidecars.size());
  for (int i = 0; i < options.entries; ++i)
    directory_.push_back(
        {EntryAddress(i), std::to_string(i % options.domains), 1, {}});
  for (int i = 0; i < options.entries; ++i)
    StartEntry(i);
  for (int i = 0; i < options.workers; ++i) {
    emulated_worker& w = workers[static_cast<size_t>(i)];
    w.id = "life-" + std::to_string(next_life_++);
    w.started_ms = ToMillis(now);
    w.clock_origin = now - Millis(static_cast<int64_t>(random() % 100'000));
    w.clock_rate = 0.98 + 0.02 * Chance();
    w.slowness = 1 / DealtTo(i, options.speeds);
    StartSidecar(i);
    AnnounceWorker(i);
    AdvanceWorker(i);
  }
  if (options.callers_per_domain > 0)
    ProbeEntries();
}

void world::At(micros time, action run) {
  queue_.push({std::max(time, now), next_order_++, std::move(run)});
}

double world::Chance() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

void world::Log(const std::string& who, const std::string& what) {
  if (log)
    log(std::to_string(ToMillis(now)) + " " + who + ": " + what);
}

void world::Broken(const std::string& what) {
  Log("BROKEN", what);
  violations.push_back({now, what});
}

void world::Pass(micros time) {
  const micros until = now + time;
  while (!queue_.empty() && queue_.top().at <= until) {
    timed_action next = queue_.top();
    queue_.pop();
    now = next.at;
    next.run();
  }
  now = until;
}

// ---- [2] Processes ----------------------------------------------------------

template <typename Process>
void world::TickWhenIdle(Process& process, const action& wake) {
  auto idle = std::make_shared<action>();
  *idle = [this, &process, life = process.lives, wake, idle] {
    if (process.lives != life)
      return;
    wake();
    At(now + kIdleTick, *idle);
  };
  (*idle)();
}

void world::StartEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  e.state = process_state::up;
  ++e.lives;
  entry_options o;
  o.name = EntryAddress(entry);
  o.link_address = EntryAddress(entry);
  o.failure_domain = std::to_string(entry % options.domains);
  o.self = incarnation{next_life_++};
  o.seed = random();
  o.leased.enabled = true;
  o.leased.bounds = options.bounds;
  o.leased.order = options.order;
  o.leased.admission = options.admission;
  o.leased.shares_across_entries = options.shares_across_entries;
  o.leased.adapts_to_uneven_workers = options.adapts_to_uneven_workers;
  o.leased.durable.enabled = options.has_store;
  o.leased.drain_accept = micros{options.stop_grace.value * 2 / 5};
  o.leased.drain_close = o.leased.drain_accept;
  o.leased.link.enabled = options.paces_payloads;
  if (options.link_is_stated)
    o.leased.link.configured_rate =
        static_cast<double>(options.entry_link_bytes_per_s);
  o.timing = TimingFor(options.bounds);
  o.reach = options.reach;
  e.core = std::make_unique<entry_state>(MakeEntry(o));
  e.shed = {};
  e.shed.options.enabled = options.callers_per_domain > 0;
  e.inbox.clear();
  e.waits_since = {};
  e.inbox.emplace_back(config_received{Configuration()});
  e.tick_due = false;
  const std::vector<double>& processors = options.entry_processors;
  if (!processors.empty())
    e.processor = processors[static_cast<size_t>(entry) % processors.size()];
  TickWhenIdle(e, [this, entry] { WakeEntry(entry); });
}

void world::StartSidecar(int sidecar) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  s.state = process_state::up;
  ++s.lives;
  sidecar_options o;
  o.name = "sidecar-" + std::to_string(sidecar);
  o.failure_domain = std::to_string(sidecar % options.domains);
  o.self = incarnation{next_life_++};
  o.seed = random();
  for (int i = 0; i < options.entries; ++i)
    o.seeds.push_back(EntryAddress(i));
  o.manages_leases = true;
  o.keeps_worker_record = options.keeps_worker_records;
  o.lease_manager.bounds = options.bounds;
  o.lease_manager.holds_unknown_ends = options.has_store;
  o.lease_manager.first_fence = static_cast<uint64_t>(ToMillis(now)) + s.lives;
  o.timing = TimingFor(options.bounds);
  o.redial = Millis(100);
  o.drain_grace = micros{options.stop_grace.value * 3 / 5};
  o.neighbours = options.neighbours;
  s.core = std::make_unique<sidecar_state>(MakeSidecar(o));
  s.inbox.clear();
  s.inbox.emplace_back(entries_found{directory_});
  s.tick_due = false;
  TickWhenIdle(s, [this, sidecar] { WakeSidecar(sidecar); });
  SendLateWord(sidecar);
}

// An entry or a sidecar ticks soon, once, whatever arrives until then.
template <typename Process>
void world::Wake(Process& process, micros at, const action& tick) {
  if (process.tick_due || process.state != process_state::up)
    return;
  process.tick_due = true;
  At(at, [&process, life = process.lives, tick] {
    if (process.lives != life)
      return;
    process.tick_due = false;
    if (process.state == process_state::up)
      tick();
  });
}

void world::WakeEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.waits_since.value == 0 && !e.inbox.empty())
    e.waits_since = now;
  Wake(e, std::max(now + kWakeUp, e.busy_until),
       [this, entry] { TickEntry(entry); });
}

void world::WakeSidecar(int sidecar) {
  Wake(sidecars[static_cast<size_t>(sidecar)], now + kWakeUp,
       [this, sidecar] { TickSidecar(sidecar); });
}

void world::TickEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  std::vector<entry_event> events;
  events.swap(e.inbox);
  if (e.waits_since.value != 0)
    RecordLoopWait(e.core->leased.late, now - e.waits_since);
  e.waits_since = {};
  if (e.shed.options.enabled)
    ShedConnections(entry);
  if (e.processor == 0) {
    for (entry_action& a : Tick(*e.core, now, std::move(events)))
      Act(entry, a);
    return;
  }
  const micros taking = WorkOf(events);
  std::vector<entry_action> actions = Tick(*e.core, now, std::move(events));
  const micros work = taking + WorkOf(actions);
  ActAfter(entry, work, std::move(actions));
}

micros world::WorkOf(const std::vector<entry_event>& events) const {
  micros work = options.costs.tick;
  for (const entry_event& event : events) {
    if (std::holds_alternative<sidecar_frame_received>(event))
      work = work + options.costs.frame_taken;
    if (std::holds_alternative<leased_job_submitted>(event))
      work = work + options.costs.job;
  }
  return work;
}

micros world::WorkOf(const std::vector<entry_action>& actions) const {
  const auto sent =
      std::count_if(actions.begin(), actions.end(), [](const entry_action& a) {
        return std::holds_alternative<send_to_sidecar>(a);
      });
  return micros{options.costs.frame_sent.value * sent};
}

// A processor of a tenth of a core takes ten times as long: until then nothing
// else is taken, and what was decided has not gone out.
void world::ActAfter(int entry,
                     micros work,
                     std::vector<entry_action> actions) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  const double share = e.processor - options.costs.idle;
  const micros time{
      static_cast<int64_t>(static_cast<double>(work.value) / share)};
  e.busy_until = now + time;
  e.busy = e.busy + work;
  At(e.busy_until,
     [this, entry, life = e.lives, actions = std::move(actions)]() mutable {
       if (entries[static_cast<size_t>(entry)].lives != life)
         return;
       for (entry_action& a : actions)
         Act(entry, a);
     });
}

void world::TickSidecar(int sidecar) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  std::vector<sidecar_event> events;
  events.swap(s.inbox);
  for (sidecar_action& a : Tick(*s.core, now, std::move(events)))
    Act(sidecar, a);
  if (s.core->lease_manager.waiting_starts.empty())
    return;
  At(now + kWaitingTick, [this, sidecar, life = s.lives] {
    if (sidecars[static_cast<size_t>(sidecar)].lives == life)
      WakeSidecar(sidecar);
  });
}

// ---- [3] Streams ------------------------------------------------------------

std::shared_ptr<emulated_stream> world::StreamOf(int sidecar, entry_id link) {
  const auto newest = newest_streams_.find({sidecar, link.value});
  return newest == newest_streams_.end() ? nullptr : newest->second;
}

std::shared_ptr<emulated_stream> world::StreamOf(int entry, link_id accepted) {
  const auto stream = accepted_streams_.find(accepted);
  return stream == accepted_streams_.end() || stream->second->entry != entry
             ? nullptr
             : stream->second;
}

void world::RemoveClosedStreams() {
  std::erase_if(streams_, [](const auto& stream) { return !stream->open; });
  std::erase_if(accepted_streams_,
                [](const auto& row) { return !row.second->open; });
}

micros world::Transmit(emulated_link& link, size_t bytes) {
  link.bytes += bytes;
  if (options.entry_link_bytes_per_s == 0)
    return now;
  const micros begins = std::max(now, link.free_at);
  link.longest_wait = std::max(link.longest_wait, begins - now);
  link.free_at = begins + micros{static_cast<int64_t>(bytes) * 1'000'000 /
                                 options.entry_link_bytes_per_s};
  return link.free_at;
}

micros world::DelayOf(const emulated_stream& stream) const {
  const bool far =
      stream.entry % options.domains != stream.sidecar % options.domains;
  return far ? options.link_delay + options.far_delay : options.link_delay;
}

bool world::IsCut(const cut_table& cuts, const emulated_stream& stream) const {
  const auto cut = cuts.find({stream.entry, stream.sidecar});
  return cut != cuts.end() && cut->second > now;
}

void world::Carry(const std::shared_ptr<emulated_stream>& stream,
                  emulated_link& link,
                  size_t bytes,
                  action deliver) {
  const micros sent = Transmit(link, bytes);
  if (stream->entry % options.domains != stream->sidecar % options.domains)
    bytes_between_domains += bytes;
  const bool is_out = &link == &entries[static_cast<size_t>(stream->entry)].out;
  const cut_table& cuts = is_out ? cut_to_sidecar_ : cut_to_entry_;
  const auto cut = cuts.find({stream->entry, stream->sidecar});
  const micros free = cut == cuts.end() ? sent : std::max(sent, cut->second);
  At(free + DelayOf(*stream), [this, stream, deliver = std::move(deliver)] {
    const emulated_entry& e = entries[static_cast<size_t>(stream->entry)];
    const emulated_sidecar& s = sidecars[static_cast<size_t>(stream->sidecar)];
    if (e.lives == stream->entry_life && s.lives == stream->sidecar_life &&
        !stream->reset)
      deliver();
  });
}

void world::Dial(int sidecar, const dial_entry& dial) {
  const int entry = EntryOfAddress(dial.address);
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  ++dials[static_cast<size_t>(sidecar)];
  // Now and then only: of a hundred thousand streams, each removal looks at
  // all.
  if (++streams_closed_ > streams_.size() / 4) {
    streams_closed_ = 0;
    RemoveClosedStreams();
  }
  if (const auto older = StreamOf(sidecar, dial.link))
    older->open = false;
  if (e.state == process_state::down) {
    s.inbox.emplace_back(link_lost{dial.link, dial.epoch});
    WakeSidecar(sidecar);
    return;
  }
  auto stream = std::make_shared<emulated_stream>();
  stream->sidecar = sidecar;
  stream->entry = entry;
  stream->sidecar_life = s.lives;
  stream->entry_life = e.lives;
  stream->link = dial.link;
  stream->epoch = dial.epoch;
  stream->accepted = link_id{next_link_++};
  streams_.push_back(stream);
  newest_streams_[{sidecar, dial.link.value}] = stream;
  accepted_streams_[stream->accepted] = stream;
}

void world::CloseStream(const std::shared_ptr<emulated_stream>& stream) {
  if (!stream->open)
    return;
  stream->open = false;
  emulated_link& link = entries[static_cast<size_t>(stream->entry)].out;
  Carry(stream, link, 0, [this, stream] {
    entries[static_cast<size_t>(stream->entry)].inbox.emplace_back(
        sidecar_link_lost{stream->accepted});
    sidecars[static_cast<size_t>(stream->sidecar)].inbox.emplace_back(
        link_lost{stream->link, stream->epoch});
    WakeEntry(stream->entry);
    WakeSidecar(stream->sidecar);
  });
}

void world::Act(int entry, entry_action& a) {
  if (auto* send = std::get_if<send_to_sidecar>(&a)) {
    const auto stream = StreamOf(entry, send->link);
    if (!stream || !stream->open)
      return;
    const size_t bytes = FrameBytes(send->frame);
    emulated_link& link = entries[static_cast<size_t>(entry)].out;
    Carry(stream, link, bytes, [this, stream, frame = std::move(send->frame)] {
      sidecars[static_cast<size_t>(stream->sidecar)].inbox.emplace_back(
          link_frame_received{stream->link, frame});
      WakeSidecar(stream->sidecar);
    });
  } else if (auto* close = std::get_if<close_link>(&a)) {
    if (const auto stream = StreamOf(entry, close->link))
      CloseStream(stream);
  } else if (auto* answer = std::get_if<answer_leased_job>(&a)) {
    Answered(entry, *answer);
  } else if (const auto* d = std::get_if<leased_decision>(&a)) {
    Log(EntryAddress(entry),
        std::string(d->what) + " " + d->job + ", " + d->detail);
  } else if (std::holds_alternative<entry_drained>(a)) {
    KillEntryOfLife(entry, now + kExitDelay);
  } else if (const auto* reach = std::get_if<reach_changed>(&a)) {
    TakeReach(entry, *reach);
  } else if (const auto* call = std::get_if<store_call>(&a)) {
    CallStore(entry, *call);
  } else if (const auto* state = std::get_if<answer_leased_state>(&a)) {
    const auto ticket = tickets_.find({entry, state->ticket.value});
    if (ticket != tickets_.end())
      TakeState(ticket->second, *state);
  } else if (const auto* cancelled = std::get_if<answer_cancelled>(&a)) {
    const auto ticket = tickets_.find({entry, cancelled->ticket.value});
    if (ticket != tickets_.end())
      TakeCancelled(ticket->second, *cancelled);
  }
}

void world::Act(int sidecar, sidecar_action& a) {
  if (auto* dial = std::get_if<dial_entry>(&a)) {
    Dial(sidecar, *dial);
  } else if (auto* hang = std::get_if<hang_up>(&a)) {
    const auto stream = StreamOf(sidecar, hang->link);
    if (stream && stream->epoch == hang->epoch)
      CloseStream(stream);
  } else if (auto* send = std::get_if<send_to_entry>(&a)) {
    const auto stream = StreamOf(sidecar, send->link);
    if (!stream || !stream->open || stream->epoch != send->frame.epoch)
      return;
    const size_t bytes = FrameBytes(send->frame);
    ++frames[static_cast<size_t>(sidecar)];
    emulated_link& link = entries[static_cast<size_t>(stream->entry)].in;
    Carry(stream, link, bytes, [this, stream, frame = std::move(send->frame)] {
      entries[static_cast<size_t>(stream->entry)].inbox.emplace_back(
          sidecar_frame_received{stream->accepted, frame});
      WakeEntry(stream->entry);
    });
  } else if (auto* call = std::get_if<lease_manager_action>(&a)) {
    CallWorker(sidecar, *call);
  } else if (auto* record = std::get_if<call_record_store>(&a)) {
    CallRecordStore(sidecar, record->what);
  } else if (std::holds_alternative<drained>(a)) {
    KillSidecarOfLife(sidecar, now + kExitDelay);
  }
}

void world::TakeReach(int entry, const reach_changed& change) {
  directory_row& row = directory_[static_cast<size_t>(entry)];
  row.reach = change.reach;
  row.labels = change.labels;
  At(now + options.directory_delay, [this, row] {
    for (size_t i = 0; i < sidecars.size(); ++i) {
      if (sidecars[i].state == process_state::down)
        continue;
      sidecars[i].inbox.emplace_back(entries_found{{row}});
      WakeSidecar(static_cast<int>(i));
    }
  });
}

// ---- [4] Faults -------------------------------------------------------------

void world::KillEntry(int entry) {
  Log("fault", "kill " + EntryAddress(entry));
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.state == process_state::down)
    return;
  e.state = process_state::down;
  Extend(entry_trouble_until_[entry], now + options.restart_after);
  for (const auto& stream : streams_) {
    if (stream->entry != entry || !stream->open)
      continue;
    stream->open = false;
    // The sidecar sees the reset, unless the path is cut.
    At(now + options.link_delay, [this, stream] {
      if (IsCut(cut_to_sidecar_, *stream))
        return;
      emulated_sidecar& s = sidecars[static_cast<size_t>(stream->sidecar)];
      if (s.lives != stream->sidecar_life)
        return;
      s.inbox.emplace_back(link_lost{stream->link, stream->epoch});
      WakeSidecar(stream->sidecar);
    });
  }
  for (auto& [id, job] : jobs) {
    if (job.fate == job_fate::open && job.entry == entry && !job.accepted &&
        job.entry_life == e.lives)
      Unanswered(id, job.ticket);
  }
  ++e.lives;
  At(now + options.restart_after, [this, entry, life = e.lives] {
    emulated_entry& same = entries[static_cast<size_t>(entry)];
    if (same.lives == life && same.state == process_state::down)
      StartEntry(entry);
  });
}

void world::KillSidecar(int sidecar) {
  Log("fault", "kill sidecar-" + std::to_string(sidecar));
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.state == process_state::down)
    return;
  s.state = process_state::down;
  Extend(sidecar_trouble_until_[sidecar], now + options.restart_after);
  for (const auto& stream : streams_) {
    if (stream->sidecar != sidecar || !stream->open)
      continue;
    stream->open = false;
    At(now + options.link_delay, [this, stream] {
      emulated_entry& e = entries[static_cast<size_t>(stream->entry)];
      if (e.lives != stream->entry_life)
        return;
      e.inbox.emplace_back(sidecar_link_lost{stream->accepted});
      WakeEntry(stream->entry);
    });
  }
  ++s.lives;
  At(now + options.restart_after, [this, sidecar, life = s.lives] {
    emulated_sidecar& same = sidecars[static_cast<size_t>(sidecar)];
    if (same.lives == life && same.state == process_state::down)
      StartSidecar(sidecar);
  });
}

void world::KillEntryOfLife(int entry, micros at) {
  At(at, [this, entry, life = entries[static_cast<size_t>(entry)].lives] {
    if (entries[static_cast<size_t>(entry)].lives == life)
      KillEntry(entry);
  });
}

void world::KillSidecarOfLife(int sidecar, micros at) {
  At(at, [this, sidecar, life = sidecars[static_cast<size_t>(sidecar)].lives] {
    if (sidecars[static_cast<size_t>(sidecar)].lives == life)
      KillSidecar(sidecar);
  });
}

void world::StopEntry(int entry) {
  Log("fault", "stop " + EntryAddress(entry));
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.state == process_state::down || e.core->draining)
    return;
  Extend(entry_trouble_until_[entry], now + options.stop_grace);
  e.inbox.emplace_back(entry_drain_requested{});
  WakeEntry(entry);
  KillEntryOfLife(entry, now + options.stop_grace);
}

void world::StopSidecar(int sidecar) {
  Log("fault", "stop sidecar-" + std::to_string(sidecar));
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.state == process_state::down || s.core->draining)
    return;
  Extend(sidecar_trouble_until_[sidecar], now + options.stop_grace);
  s.inbox.emplace_back(drain_requested{});
  WakeSidecar(sidecar);
  KillSidecarOfLife(sidecar, now + options.stop_grace);
}

template <typename Process>
void world::Freeze(Process& process, micros time, const action& wake) {
  if (process.state != process_state::up)
    return;
  process.state = process_state::frozen;
  At(now + time, [&process, life = process.lives, wake] {
    if (process.lives != life || process.state != process_state::frozen)
      return;
    process.state = process_state::up;
    wake();
  });
}

void world::FreezeEntry(int entry, micros time) {
  Log("fault", "freeze " + EntryAddress(entry) + " ms " +
                   std::to_string(ToMillis(time)));
  Extend(entry_trouble_until_[entry], now + time);
  Freeze(entries[static_cast<size_t>(entry)], time,
         [this, entry] { WakeEntry(entry); });
}

void world::FreezeSidecar(int sidecar, micros time) {
  Log("fault", "freeze sidecar-" + std::to_string(sidecar) + " ms " +
                   std::to_string(ToMillis(time)));
  Extend(sidecar_trouble_until_[sidecar], now + time);
  Freeze(sidecars[static_cast<size_t>(sidecar)], time,
         [this, sidecar] { WakeSidecar(sidecar); });
}

void world::SilenceWorker(int worker, micros time) {
  Log("fault", "silence worker " + std::to_string(worker) + " ms " +
                   std::to_string(ToMillis(time)));
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  w.silent = true;
  At(now + time, [&w] { w.silent = false; });
}

void world::CrashWorker(int worker, micros down_for) {
  Log("fault", "crash worker " + std::to_string(worker) + " ms " +
                   std::to_string(ToMillis(down_for)));
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (!w.up)
    return;
  w.up = false;
  w.runs.clear();
  At(now + down_for, [this, worker] { RestartWorker(worker); });
}

void world::RestartWorker(int worker) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  KeepWord(worker);
  w.up = true;
  ++w.lives;
  w.started_ms = ToMillis(now);
  w.draining = false;
  w.leaves_told = {};
  if (options.workers_keep_ids)
    w.clock_origin = now;
  else
    w.id = "life-" + std::to_string(next_life_++);
  w.fence = 0;
  w.lease_until_ms = 0;
  w.next_end = 1;
  w.announcements = 0;
  w.ended.clear();
  w.over.clear();
  Log("worker " + std::to_string(worker), "starts again as " + w.id);
}

void world::DrainWorker(int worker) {
  workers[static_cast<size_t>(worker)].draining = true;
}

void world::RollWorker(int worker, micros down_for) {
  Log("fault", "roll worker " + std::to_string(worker));
  DrainWorker(worker);
  const uint64_t lives = workers[static_cast<size_t>(worker)].lives;
  const micros drains =
      options.late_words ? kShortDrain : options.drain_within + Millis(500);
  const auto ends = [this, worker, lives, down_for] {
    const emulated_worker& w = workers[static_cast<size_t>(worker)];
    if (w.up && w.lives == lives)
      CrashWorker(worker, down_for);
  };
  At(now + drains, [this, worker, lives, ends] {
    const emulated_worker& w = workers[static_cast<size_t>(worker)];
    if (!w.up || w.lives != lives)
      return;
    Log("worker " + std::to_string(worker), "says goodbye");
    Deliver(worker, sidecars[static_cast<size_t>(worker)].lives,
            leased_worker_deregistered{AnnouncementOf(worker).info.session});
    if (options.late_words)
      At(now + GoesOnAfterGoodbye(), ends);
    else
      ends();
  });
}

void world::Reset(int entry, int sidecar) {
  Log("fault",
      "reset " + EntryAddress(entry) + " sidecar-" + std::to_string(sidecar));
  for (const auto& stream : streams_) {
    if (stream->entry != entry || stream->sidecar != sidecar || !stream->open)
      continue;
    stream->open = false;
    stream->reset = true;
    At(now + options.link_delay, [this, stream] {
      entries[static_cast<size_t>(stream->entry)].inbox.emplace_back(
          sidecar_link_lost{stream->accepted});
      sidecars[static_cast<size_t>(stream->sidecar)].inbox.emplace_back(
          link_lost{stream->link, stream->epoch});
      WakeEntry(stream->entry);
      WakeSidecar(stream->sidecar);
    });
  }
}

void world::Cut(int entry, int sidecar, micros time, cut_ways ways) {
  constexpr const char* kWays[] = {"", " to the sidecar", " to the entry"};
  Log("fault", "cut " + EntryAddress(entry) + " sidecar-" +
                   std::to_string(sidecar) + " ms " +
                   std::to_string(ToMillis(time)) +
                   kWays[static_cast<size_t>(ways)]);
  for (cut_table* cuts : {&cut_to_sidecar_, &cut_to_entry_}) {
    const cut_ways other =
        cuts == &cut_to_sidecar_ ? cut_ways::to_entry : cut_ways::to_sidecar;
    if (ways == other)
      continue;
    Extend((*cuts)[{entry, sidecar}], now + time);
  }
}

}  // namespace cassiaferry::emulator
