// The emulated world.
//
// Contents
//   [1] Time
//   [2] Processes
//   [3] Streams
//   [4] Orders to workers
//   [5] What workers do
//   [6] Callers
//   [7] Faults

#include "leased_world.h"

#include <algorithm>
#include <utility>

namespace cassiaferry::emulator {

namespace {

constexpr micros kIdleTick = Millis(50);
constexpr micros kWorkerStep = Millis(1);
constexpr int64_t kLateFromMs = 2000;
constexpr int64_t kLateToMs = 12'000;
constexpr int64_t kStopMs = 40;
constexpr int kMostSends = 20;
constexpr char kUpstream[] = "slots";

std::string EntryAddress(int entry) {
  return "entry-" + std::to_string(entry);
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

// ---- [1] Time ---------------------------------------------------------------

world::world(const world_options& o) : options(o), random(options.seed) {
  options.bounds = BoundsFor(Millis(1000), options.resend_after);
  workers.resize(static_cast<size_t>(options.workers));
  entries.resize(static_cast<size_t>(options.entries));
  sidecars.resize(static_cast<size_t>(options.workers));
  for (int i = 0; i < options.entries; ++i)
    StartEntry(i);
  for (int i = 0; i < options.workers; ++i) {
    emulated_worker& w = workers[static_cast<size_t>(i)];
    w.life = "life-" + std::to_string(next_life_++);
    w.clock_origin = now - Millis(static_cast<int64_t>(random() % 100'000));
    w.clock_rate = 0.98 + 0.02 * Chance();
    StartSidecar(i);
    AnnounceWorker(i);
    AdvanceWorker(i);
  }
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

void world::StartEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  e.state = process_state::up;
  ++e.lives;
  entry_options o;
  o.name = EntryAddress(entry);
  o.link_address = EntryAddress(entry);
  o.self = incarnation{next_life_++};
  o.seed = random();
  o.leased.enabled = true;
  o.leased.bounds = options.bounds;
  o.leased.order = options.order;
  o.leased.durable.enabled = options.has_store;
  o.heartbeat = micros{options.bounds.vouch.value / 3};
  o.silence = options.bounds.vouch;
  e.core = std::make_unique<entry_state>(MakeEntry(o));
  e.inbox.clear();
  e.inbox.emplace_back(config_received{Configuration()});
  e.tick_due = false;
  const uint64_t life = e.lives;
  auto idle = std::make_shared<action>();
  *idle = [this, entry, life, idle] {
    if (entries[static_cast<size_t>(entry)].lives != life)
      return;
    WakeEntry(entry);
    At(now + kIdleTick, *idle);
  };
  (*idle)();
}

void world::StartSidecar(int sidecar) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  s.state = process_state::up;
  ++s.lives;
  sidecar_options o;
  o.name = "sidecar-" + std::to_string(sidecar);
  o.failure_domain = "a";
  o.self = incarnation{next_life_++};
  o.seed = random();
  for (int i = 0; i < options.entries; ++i)
    o.seeds.push_back(EntryAddress(i));
  o.keeps_leases = true;
  o.keeper.bounds = options.bounds;
  o.keeper.keeps_ends = options.has_store;
  o.keeper.first_fence = static_cast<uint64_t>(ToMillis(now)) + s.lives;
  o.heartbeat = micros{options.bounds.vouch.value / 3};
  o.silence = options.bounds.vouch;
  o.redial = Millis(100);
  s.core = std::make_unique<sidecar_state>(MakeSidecar(o));
  s.inbox.clear();
  s.tick_due = false;
  const uint64_t life = s.lives;
  auto idle = std::make_shared<action>();
  *idle = [this, sidecar, life, idle] {
    if (sidecars[static_cast<size_t>(sidecar)].lives != life)
      return;
    WakeSidecar(sidecar);
    At(now + kIdleTick, *idle);
  };
  (*idle)();
}

void world::WakeEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.tick_due || e.state != process_state::up)
    return;
  e.tick_due = true;
  At(now + micros{100}, [this, entry, life = e.lives] {
    emulated_entry& same = entries[static_cast<size_t>(entry)];
    if (same.lives != life)
      return;
    same.tick_due = false;
    if (same.state == process_state::up)
      TickEntry(entry);
  });
}

void world::WakeSidecar(int sidecar) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.tick_due || s.state != process_state::up)
    return;
  s.tick_due = true;
  At(now + micros{100}, [this, sidecar, life = s.lives] {
    emulated_sidecar& same = sidecars[static_cast<size_t>(sidecar)];
    if (same.lives != life)
      return;
    same.tick_due = false;
    if (same.state == process_state::up)
      TickSidecar(sidecar);
  });
}

void world::TickEntry(int entry) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  std::vector<entry_event> events;
  events.swap(e.inbox);
  for (entry_action& a : Tick(*e.core, now, std::move(events)))
    Act(entry, a);
}

void world::TickSidecar(int sidecar) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  std::vector<sidecar_event> events;
  events.swap(s.inbox);
  for (sidecar_action& a : Tick(*s.core, now, std::move(events)))
    Act(sidecar, a);
}

// ---- [3] Streams ------------------------------------------------------------

std::shared_ptr<emulated_stream> world::StreamOf(int sidecar, entry_id link) {
  for (auto it = streams_.rbegin(); it != streams_.rend(); ++it) {
    if ((*it)->sidecar == sidecar && (*it)->link == link)
      return *it;
  }
  return nullptr;
}

std::shared_ptr<emulated_stream> world::StreamOf(int entry, link_id accepted) {
  for (const auto& stream : streams_) {
    if (stream->entry == entry && stream->accepted == accepted)
      return stream;
  }
  return nullptr;
}

void world::Carry(const std::shared_ptr<emulated_stream>& stream,
                  action deliver) {
  const auto cut = cut_until_.find({stream->entry, stream->sidecar});
  const micros free =
      cut == cut_until_.end() ? now : std::max(now, cut->second);
  At(free + options.link_delay, [this, stream, deliver = std::move(deliver)] {
    const emulated_entry& e = entries[static_cast<size_t>(stream->entry)];
    const emulated_sidecar& s = sidecars[static_cast<size_t>(stream->sidecar)];
    if (e.lives == stream->entry_life && s.lives == stream->sidecar_life)
      deliver();
  });
}

void world::Dial(int sidecar, const dial_entry& dial) {
  const int entry = EntryOfAddress(dial.address);
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  std::erase_if(streams_, [](const auto& stream) { return !stream->open; });
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
}

void world::CloseStream(const std::shared_ptr<emulated_stream>& stream) {
  if (!stream->open)
    return;
  stream->open = false;
  Carry(stream, [this, stream] {
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
    Carry(stream, [this, stream, frame = std::move(send->frame)] {
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
    Carry(stream, [this, stream, frame = std::move(send->frame)] {
      entries[static_cast<size_t>(stream->entry)].inbox.emplace_back(
          sidecar_frame_received{stream->accepted, frame});
      WakeEntry(stream->entry);
    });
  } else if (auto* call = std::get_if<keeper_action>(&a)) {
    CallWorker(sidecar, *call);
  }
}

// ---- [4] Orders to workers --------------------------------------------------

void world::Deliver(int sidecar, uint64_t life, keeper_event event) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.lives != life || s.state == process_state::down)
    return;
  s.inbox.emplace_back(std::move(event));
  WakeSidecar(sidecar);
}

bool world::AnswersOrders(const emulated_worker& w,
                          const std::string& life) const {
  static_cast<void>(life);
  return w.up && !w.silent;
}

// Each order: at the worker after a delay, its answer back after another; with
// a chance, no answer and carried out seconds later; without an answer, the
// caller's time-out.
void world::CallWorker(int sidecar, const keeper_action& call) {
  if (const auto* note = std::get_if<keeper_note>(&call))
    Log("sidecar-" + std::to_string(sidecar),
        std::string(note->what) + ", " + note->detail);
  const uint64_t life = sidecars[static_cast<size_t>(sidecar)].lives;
  const bool late = Chance() < workers[static_cast<size_t>(sidecar)].late_share;
  const micros extra =
      late ? Millis(kLateFromMs +
                    static_cast<int64_t>(random() % (kLateToMs - kLateFromMs)))
           : micros{0};
  auto done = std::make_shared<bool>(false);
  const auto answer = [this, sidecar, life, done, late](keeper_event event) {
    if (late || *done)
      return;
    *done = true;
    At(now + options.worker_delay,
       [this, sidecar, life, event = std::move(event)] {
         Deliver(sidecar, life, event);
       });
  };
  const auto time_out = [this, sidecar, life, done](int64_t ms,
                                                    keeper_event event) {
    At(now + Millis(ms), [this, sidecar, life, done, event = std::move(event)] {
      if (*done)
        return;
      *done = true;
      Deliver(sidecar, life, event);
    });
  };
  const micros arrives = now + options.worker_delay + extra;
  if (const auto* start = std::get_if<call_run_start>(&call)) {
    time_out(
        start->timeout_ms,
        run_start_answered{start->start.ref, start->life, worker_answer::none});
    At(arrives, [this, sidecar, c = *start, answer] {
      if (AnswersOrders(workers[static_cast<size_t>(sidecar)], c.life))
        answer(run_start_answered{c.start.ref, c.life, DoStart(sidecar, c)});
    });
  } else if (const auto* stop = std::get_if<call_run_stop>(&call)) {
    time_out(stop->timeout_ms,
             run_stop_answered{stop->ref, stop->life, worker_answer::none});
    At(arrives, [this, sidecar, c = *stop, answer] {
      if (AnswersOrders(workers[static_cast<size_t>(sidecar)], c.life))
        answer(run_stop_answered{c.ref, c.life, DoStop(sidecar, c)});
    });
  } else if (const auto* look = std::get_if<call_look>(&call)) {
    look_answered none;
    none.life = look->life;
    time_out(look->timeout_ms, none);
    At(arrives, [this, sidecar, c = *look, answer] {
      // The lease is extended at once; the answer waits for an end.
      if (!AnswersOrders(workers[static_cast<size_t>(sidecar)], c.life))
        return;
      const micros until = now + Millis(c.wait_ms);
      auto poll = std::make_shared<action>();
      call_look first = c;
      *poll = [this, sidecar, c = first, until, answer, poll]() mutable {
        const emulated_worker& w = workers[static_cast<size_t>(sidecar)];
        if (!AnswersOrders(w, c.life))
          return;
        look_answered seen = DoLook(sidecar, c);
        c.lease_until_ms = 0;
        if (seen.answer != worker_answer::ok || !seen.ended.empty() ||
            now >= until) {
          answer(std::move(seen));
          return;
        }
        At(now + kWorkerStep, *poll);
      };
      (*poll)();
    });
  }
}

// ---- [5] What workers do ----------------------------------------------------

int64_t world::ClockOf(const emulated_worker& w) const {
  return static_cast<int64_t>(
      static_cast<double>((now - w.clock_origin).value) * w.clock_rate / 1000);
}

void world::EndRun(emulated_worker& w,
                   const leased_task& task,
                   run_end_kind how) {
  const auto it = w.runs.find(task);
  w.over[task] = std::max(w.over[task], it->second.run);
  w.ended.push_back({w.next_end++, {task, it->second.run}, how});
  NoteEnd(static_cast<int>(&w - workers.data()), w.ended.back());
  w.runs.erase(it);
}

room world::UsedBy(int worker) const {
  room used;
  for (const auto& [task, run] : workers[static_cast<size_t>(worker)].runs)
    used = used + run.need;
  return used;
}

// What must hold whenever a worker begins a task.
void world::CheckStart(int worker, const run_start& start) {
  const leased_task& task = start.ref.task;
  const std::string name = task.job + "." + std::to_string(task.index);
  ++overlaps_checked;
  for (size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].up && workers[i].runs.count(task) != 0)
      Broken("two runs at once of " + name);
  }
  const room free = options.capacity - UsedBy(worker);
  if (!Fits(start.need, free))
    Broken("worker " + std::to_string(worker) + " is brought over its room");
  const auto job = jobs.find(task.job);
  if (job == jobs.end()) {
    Broken("nobody submitted " + name);
    return;
  }
  if (job->second.fate == job_fate::refused)
    Broken("said not to have run, and started: " + name);
  job->second.started = true;
  NoteStart(start.ref);
}

worker_answer world::DoStart(int worker, const call_run_start& c) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (c.life != w.life)
    return worker_answer::other_life;
  if (c.fence < w.fence)
    return worker_answer::stale_fence;
  w.fence = c.fence;
  const leased_task& task = c.start.ref.task;
  const auto there = w.runs.find(task);
  if (there != w.runs.end() && there->second.run == c.start.ref.run)
    return worker_answer::ok;
  if (there != w.runs.end() || w.over[task] >= c.start.ref.run)
    return worker_answer::superseded;
  if (c.lease_until_ms <= ClockOf(w))
    return worker_answer::late;
  CheckStart(worker, c.start);
  w.lease_until_ms = std::max(w.lease_until_ms, c.lease_until_ms);
  const emulated_job& job = jobs[task.job];
  worker_run run;
  run.run = c.start.ref.run;
  run.need = c.start.need;
  run.since = now;
  const int64_t ms =
      job.run_ms.empty() ? 100 : job.run_ms[task.index % job.run_ms.size()];
  run.ends =
      now +
      micros{static_cast<int64_t>(static_cast<double>(ms) * 1000 * w.slowness)};
  run.will_fail = job.hopeless || w.fails_all;
  Log("worker " + std::to_string(worker),
      "start " + task.job + "." + std::to_string(task.index) + " run " +
          std::to_string(c.start.ref.run));
  w.runs.emplace(task, run);
  ++w.starts;
  return worker_answer::ok;
}

worker_answer world::DoStop(int worker, const call_run_stop& c) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (c.life != w.life)
    return worker_answer::other_life;
  if (c.fence < w.fence)
    return worker_answer::stale_fence;
  w.fence = c.fence;
  w.over[c.ref.task] = std::max(w.over[c.ref.task], c.ref.run);
  const auto there = w.runs.find(c.ref.task);
  if (there == w.runs.end() || there->second.run != c.ref.run)
    return worker_answer::ok;
  At(now + Millis(kStopMs), [this, worker, ref = c.ref, life = w.life] {
    emulated_worker& same = workers[static_cast<size_t>(worker)];
    const auto run = same.runs.find(ref.task);
    if (same.life == life && run != same.runs.end() &&
        run->second.run == ref.run)
      EndRun(same, ref.task, run_end_kind::stopped);
  });
  return worker_answer::ok;
}

uint32_t world::PercentOf(const worker_run& run) const {
  const double whole = static_cast<double>((run.ends - run.since).value);
  const double past = static_cast<double>((now - run.since).value);
  return static_cast<uint32_t>(
      std::clamp(past / std::max(1.0, whole), 0.0, 1.0) * 100);
}

look_answered world::DoLook(int worker, const call_look& c) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  look_answered a;
  a.life = c.life;
  if (c.life != w.life) {
    a.answer = worker_answer::other_life;
    return a;
  }
  if (c.fence < w.fence) {
    a.answer = worker_answer::stale_fence;
    return a;
  }
  w.fence = c.fence;
  w.lease_until_ms = std::max(w.lease_until_ms, c.lease_until_ms);
  NoteAck(worker, c.seen);
  std::erase_if(w.ended,
                [&](const listed_end& e) { return e.number <= c.seen; });
  a.answer = worker_answer::ok;
  a.clock_ms = ClockOf(w);
  for (const auto& [task, run] : w.runs)
    a.running.push_back({{task, run.run}, PercentOf(run)});
  a.ended = w.ended;
  return a;
}

void world::AdvanceWorker(int worker) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  std::vector<leased_task> due;
  const bool lapsed = ClockOf(w) > w.lease_until_ms;
  if (lapsed)
    NoteLapse(worker);
  cpu_used_us += static_cast<double>(UsedBy(worker).cpu * kWorkerStep.value);
  for (auto& [task, run] : w.runs) {
    if (w.hangs) {
      run.since = run.since + kWorkerStep;
      run.ends = run.ends + kWorkerStep;
    }
    if (lapsed || run.ends <= now)
      due.push_back(task);
  }
  for (const leased_task& task : due) {
    const bool fails = w.runs[task].will_fail;
    EndRun(w, task,
           lapsed  ? run_end_kind::lost
           : fails ? run_end_kind::failed
                   : run_end_kind::done);
  }
  At(now + kWorkerStep, [this, worker] { AdvanceWorker(worker); });
}

void world::AnnounceWorker(int worker) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (w.up && !w.silent) {
    leased_worker_announced e;
    e.info.life = w.life;
    e.info.upstream = kUpstream;
    e.info.capacity = options.capacity;
    e.info.labels = w.labels;
    e.sequence = ++w.announcements;
    e.draining = w.draining;
    Deliver(worker, sidecars[static_cast<size_t>(worker)].lives, e);
  }
  At(now + options.announce_every, [this, worker] { AnnounceWorker(worker); });
}

// ---- [6] Callers ------------------------------------------------------------

emulated_job MakeJob(const std::string& id,
                     uint32_t tasks,
                     int64_t cpu,
                     int64_t run_ms) {
  emulated_job job;
  job.id = id;
  job.queue = kQueue;
  leased_step step;
  step.count = tasks;
  step.need = {cpu, 64, 0};
  step.expected_ms = run_ms;
  job.steps = {step};
  job.run_ms.assign(tasks, run_ms);
  return job;
}

void world::Submit(emulated_job job) {
  SubmitTo(static_cast<int>(random() % entries.size()), std::move(job));
}

void world::SubmitTo(int entry, emulated_job job) {
  job.first_sent = now;
  const std::string id = job.id;
  jobs.emplace(id, std::move(job));
  Send(id, entry);
}

void world::Send(const std::string& id, int entry) {
  emulated_job& job = jobs[id];
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (++job.sends > kMostSends) {
    job.fate = job_fate::given_up;
    return;
  }
  const uint64_t ticket = next_ticket_++;
  job.entry = entry;
  job.entry_life = e.lives;
  job.ticket = ticket;
  if (e.state == process_state::down) {
    Unanswered(id, ticket);
    return;
  }
  leased_job_submitted event;
  event.ticket = ticket_id{ticket};
  event.request.id = id;
  event.request.queue = job.queue;
  event.request.payload = "work";
  event.request.steps = job.steps;
  event.request.wait_ms = job.wait_ms;
  event.request.durable = job.durable;
  tickets_[{entry, ticket}] = id;
  At(now + options.caller_delay,
     [this, entry, life = e.lives, event = std::move(event)] {
       emulated_entry& same = entries[static_cast<size_t>(entry)];
       if (same.lives != life)
         return;
       same.inbox.emplace_back(event);
       WakeEntry(entry);
     });
}

void world::Answered(int entry, const answer_leased_job& answer) {
  const auto ticket = tickets_.find({entry, answer.ticket.value});
  if (ticket == tickets_.end())
    return;
  const std::string id = ticket->second;
  tickets_.erase(ticket);
  At(now + options.caller_delay, [this, id, answer] {
    emulated_job& job = jobs[id];
    if (job.durable) {
      TakeDurableAnswer(id, answer);
      return;
    }
    if (job.fate != job_fate::open || job.ticket != answer.ticket.value)
      return;
    job.answered = now;
    const bool not_run = answer.why.what == verdict::not_run;
    switch (answer.outcome) {
      case leased_outcome::completed:
        job.fate = job_fate::completed;
        return;
      case leased_outcome::failed:
        job.fate = job_fate::failed;
        return;
      case leased_outcome::cancelled:
        job.fate = job_fate::given_up;
        return;
      case leased_outcome::accepted:  // of durable jobs alone
      case leased_outcome::refused:
        break;
    }
    if (!not_run) {
      Unanswered(id, answer.ticket.value);
      return;
    }
    // Earlier sends may have run: only the first one's refusal is a promise.
    job.fate = job.sends == 1 ? job_fate::refused : job_fate::given_up;
    if (job.sends == 1 && job.started)
      Broken("refused as not run, though it started: " + id);
  });
}

void world::Unanswered(const std::string& id, uint64_t ticket) {
  At(now + options.resend_after, [this, id, ticket] {
    emulated_job& job = jobs[id];
    if (job.fate == job_fate::open && job.ticket == ticket)
      Send(id, static_cast<int>(random() % entries.size()));
  });
}

void world::DropCaller(const std::string& id, micros seen_after) {
  emulated_job& job = jobs[id];
  if (job.fate != job_fate::open)
    return;
  const uint64_t ticket = job.ticket;
  At(now + seen_after,
     [this, entry = job.entry, life = job.entry_life, ticket] {
       emulated_entry& e = entries[static_cast<size_t>(entry)];
       if (e.lives != life)
         return;
       e.inbox.emplace_back(caller_gone{ticket_id{ticket}});
       WakeEntry(entry);
     });
  tickets_.erase({job.entry, ticket});
  Unanswered(id, ticket);
}

size_t world::Count(job_fate fate) const {
  return static_cast<size_t>(
      std::count_if(jobs.begin(), jobs.end(),
                    [&](const auto& row) { return row.second.fate == fate; }));
}

// ---- [7] Faults -------------------------------------------------------------

void world::KillEntry(int entry) {
  Log("fault", "kill " + EntryAddress(entry));
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.state == process_state::down)
    return;
  e.state = process_state::down;
  for (const auto& stream : streams_) {
    if (stream->entry != entry || !stream->open)
      continue;
    stream->open = false;
    // The sidecar sees the reset, unless the path is cut.
    At(now + options.link_delay, [this, stream] {
      const auto cut = cut_until_.find({stream->entry, stream->sidecar});
      if (cut != cut_until_.end() && cut->second > now)
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

void world::FreezeEntry(int entry, micros time) {
  Log("fault", "freeze " + EntryAddress(entry) + " ms " +
                   std::to_string(ToMillis(time)));
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.state != process_state::up)
    return;
  e.state = process_state::frozen;
  At(now + time, [this, entry, life = e.lives] {
    emulated_entry& same = entries[static_cast<size_t>(entry)];
    if (same.lives != life || same.state != process_state::frozen)
      return;
    same.state = process_state::up;
    WakeEntry(entry);
  });
}

void world::FreezeSidecar(int sidecar, micros time) {
  Log("fault", "freeze sidecar-" + std::to_string(sidecar) + " ms " +
                   std::to_string(ToMillis(time)));
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.state != process_state::up)
    return;
  s.state = process_state::frozen;
  At(now + time, [this, sidecar, life = s.lives] {
    emulated_sidecar& same = sidecars[static_cast<size_t>(sidecar)];
    if (same.lives != life || same.state != process_state::frozen)
      return;
    same.state = process_state::up;
    WakeSidecar(sidecar);
  });
}

void world::CrashWorker(int worker, micros down_for) {
  Log("fault", "crash worker " + std::to_string(worker) + " ms " +
                   std::to_string(ToMillis(down_for)));
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (!w.up)
    return;
  w.up = false;
  w.runs.clear();
  At(now + down_for, [this, worker] {
    emulated_worker& same = workers[static_cast<size_t>(worker)];
    same.up = true;
    same.draining = false;
    same.life = "life-" + std::to_string(next_life_++);
    same.fence = 0;
    same.lease_until_ms = 0;
    same.next_end = 1;
    same.announcements = 0;
    same.ended.clear();
    same.over.clear();
  });
}

void world::DrainWorker(int worker) {
  workers[static_cast<size_t>(worker)].draining = true;
}

void world::Cut(int entry, int sidecar, micros time) {
  Log("fault", "cut " + EntryAddress(entry) + " sidecar-" +
                   std::to_string(sidecar) + " ms " +
                   std::to_string(ToMillis(time)));
  micros& until = cut_until_[{entry, sidecar}];
  until = std::max(until, now + time);
}

}  // namespace cassiaferry::emulator
