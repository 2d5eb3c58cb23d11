// The emulated world's workers: orders on their way, and what they do.
//
// Contents
//   [1] Orders to workers
//   [2] What workers do
//   [3] Late words

#include "leased_world.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cassiaferry::emulator {

namespace {

constexpr micros kWorkerStep = Millis(1);
constexpr int64_t kLateFromMs = 2000;
constexpr int64_t kLateToMs = 12'000;
constexpr int64_t kStopMs = 40;
constexpr char kUpstream[] = "slots";

}  // namespace

// ---- [1] Orders to workers --------------------------------------------------

void world::Deliver(int sidecar, uint64_t life, lease_manager_event event) {
  emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
  if (s.lives != life || s.state == process_state::down)
    return;
  s.inbox.emplace_back(std::move(event));
  WakeSidecar(sidecar);
}

// Each order: at the worker after a delay, its answer back after another; with
// a chance, no answer and carried out seconds later; without an answer, the
// caller's time-out. What a worker has not answered when it goes down, it never
// does.
void world::CallWorker(int sidecar, const lease_manager_action& call) {
  if (const auto* note = std::get_if<lease_manager_log>(&call)) {
    Log("sidecar-" + std::to_string(sidecar),
        std::string(note->what) + ", " + note->detail);
    // Seeds stand for the same days whether or not ends are logged.
    if (note->what != std::string_view("run ended"))
      Chance();
    return;
  }
  const uint64_t life = sidecars[static_cast<size_t>(sidecar)].lives;
  const emulated_worker& called = workers[static_cast<size_t>(sidecar)];
  const bool is_stop = std::holds_alternative<call_run_stop>(call);
  const bool late = Chance() < std::max(called.late_share,
                                        is_stop ? called.late_stop_share : 0);
  const micros extra =
      late ? Millis(kLateFromMs +
                    static_cast<int64_t>(random() % (kLateToMs - kLateFromMs)))
           : micros{0};
  auto done = std::make_shared<bool>(false);
  const uint64_t lives = workers[static_cast<size_t>(sidecar)].lives;
  const auto answers = [this, sidecar, lives] {
    const emulated_worker& w = workers[static_cast<size_t>(sidecar)];
    return w.up && !w.silent && w.lives == lives;
  };
  const auto answer = [this, sidecar, life, done,
                       late](lease_manager_event event) {
    if (late || *done)
      return;
    *done = true;
    At(now + options.worker_delay,
       [this, sidecar, life, event = std::move(event)] {
         Deliver(sidecar, life, event);
       });
  };
  const auto time_out = [this, sidecar, life, done](int64_t ms,
                                                    lease_manager_event event) {
    At(now + Millis(ms), [this, sidecar, life, done, event = std::move(event)] {
      if (*done)
        return;
      *done = true;
      Deliver(sidecar, life, event);
    });
  };
  const micros arrives = now + options.worker_delay + extra;
  if (const auto* start = std::get_if<call_run_start>(&call)) {
    CheckClosed(sidecar, *start);
    time_out(start->timeout_ms,
             run_start_answered{start->start.ref, start->session,
                                worker_answer::none});
    At(arrives, [this, sidecar, c = *start, answers, answer] {
      if (answers())
        answer(run_start_answered{c.start.ref, c.session, DoStart(sidecar, c)});
    });
  } else if (const auto* stop = std::get_if<call_run_stop>(&call)) {
    time_out(stop->timeout_ms,
             run_stop_answered{stop->ref, stop->session, worker_answer::none});
    At(arrives, [this, sidecar, c = *stop, answers, answer] {
      if (answers())
        answer(run_stop_answered{c.ref, c.session, DoStop(sidecar, c)});
    });
  } else if (const auto* look = std::get_if<call_poll>(&call)) {
    poll_answered none;
    none.number = look->number;
    none.session = look->session;
    time_out(look->timeout_ms, none);
    At(arrives, [this, sidecar, c = *look, answers, answer] {
      // The lease is extended at once; the answer waits for an end.
      if (!answers())
        return;
      const micros until = now + Millis(c.wait_ms);
      auto poll = std::make_shared<action>();
      call_poll first = c;
      *poll = [this, sidecar, c = first, until, answers, answer,
               poll]() mutable {
        if (!answers())
          return;
        poll_answered seen = DoLook(sidecar, c);
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

// ---- [2] What workers do ----------------------------------------------------

int64_t world::ClockOf(const emulated_worker& w) const {
  return static_cast<int64_t>(
      static_cast<double>((now - w.clock_origin).value) * w.clock_rate / 1000);
}

void world::ExtendLease(emulated_worker& w, int64_t until_ms) const {
  const int64_t longest = ClockOf(w) + ToMillis(options.bounds.max_lease);
  w.lease_until_ms = std::max(w.lease_until_ms, std::min(until_ms, longest));
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

resources world::UsedBy(int worker) const {
  resources used;
  for (const auto& [task, run] : workers[static_cast<size_t>(worker)].runs)
    used = used + run.need;
  return used;
}

resources world::CapacityOf(int worker) const {
  const double size = DealtTo(worker, options.sizes);
  resources capacity = options.capacity;
  capacity.cpu = static_cast<int64_t>(static_cast<double>(capacity.cpu) * size);
  return capacity;
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
  const micros told = workers[static_cast<size_t>(worker)].leaves_told;
  if (told.value != 0 && now > told + options.drain_within)
    Broken("started on a worker that leaves: " + name);
  const resources free = CapacityOf(worker) - UsedBy(worker);
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
  if (c.session.id != w.id)
    return worker_answer::other_session;
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
    return worker_answer::lease_expired;
  CheckStart(worker, c.start);
  ExtendLease(w, c.lease_until_ms);
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
  run.will_fail =
      job.hopeless || w.fails_all || FailedRunsOf(task) < job.failing_runs;
  Log("worker " + std::to_string(worker),
      "start " + task.job + "." + std::to_string(task.index) + " run " +
          std::to_string(c.start.ref.run));
  w.runs.emplace(task, run);
  ++w.starts;
  return worker_answer::ok;
}

worker_answer world::DoStop(int worker, const call_run_stop& c) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (c.session.id != w.id)
    return worker_answer::other_session;
  if (c.fence < w.fence)
    return worker_answer::stale_fence;
  w.fence = c.fence;
  w.over[c.ref.task] = std::max(w.over[c.ref.task], c.ref.run);
  const auto there = w.runs.find(c.ref.task);
  if (there == w.runs.end() || there->second.run != c.ref.run)
    return worker_answer::ok;
  At(now + Millis(kStopMs), [this, worker, ref = c.ref, lives = w.lives] {
    emulated_worker& same = workers[static_cast<size_t>(worker)];
    const auto run = same.runs.find(ref.task);
    if (same.lives == lives && run != same.runs.end() &&
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

poll_answered world::DoLook(int worker, const call_poll& c) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  poll_answered a;
  a.number = c.number;
  a.session = c.session;
  if (c.session.id != w.id) {
    a.answer = worker_answer::other_session;
    return a;
  }
  if (c.fence < w.fence) {
    a.answer = worker_answer::stale_fence;
    return a;
  }
  w.fence = c.fence;
  ExtendLease(w, c.lease_until_ms);
  NoteAck(worker, c.acked_through);
  std::erase_if(w.ended, [&](const listed_end& e) {
    return e.number <= c.acked_through;
  });
  a.answer = worker_answer::ok;
  a.started_ms = options.late_words ? 0 : w.started_ms;
  a.clock_ms = ClockOf(w);
  for (const auto& [task, run] : w.runs)
    a.running.push_back({{task, run.run}, PercentOf(run)});
  a.ended = w.ended;
  a.ended.resize(std::min(a.ended.size(), options.max_listed_ends));
  return a;
}

void world::NoteRoom(int worker) {
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (!w.up || w.hangs)
    return;
  const auto slot = static_cast<size_t>(now.value / kRoomSlot.value);
  if (room_us.size() <= slot)
    room_us.resize(slot + 1, 0);
  room_us[slot] +=
      static_cast<double>(CapacityOf(worker).cpu * kWorkerStep.value) /
      w.slowness;
}

void world::AdvanceWorker(int worker) {
  emulated_worker& w = workers[static_cast<size_t>(worker)];
  std::vector<leased_task> due;
  const bool lapsed = ClockOf(w) > w.lease_until_ms;
  if (lapsed)
    NoteLapse(worker);
  cpu_used_us += static_cast<double>(UsedBy(worker).cpu * kWorkerStep.value);
  NoteRoom(worker);
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
    ++w.announcements;
    const emulated_sidecar& s = sidecars[static_cast<size_t>(worker)];
    if (w.draining && w.leaves_told.value == 0 && s.state == process_state::up)
      w.leaves_told = now;
    Deliver(worker, s.lives, AnnouncementOf(worker));
  }
  At(now + options.announce_every, [this, worker] { AnnounceWorker(worker); });
}

leased_worker_announced world::AnnouncementOf(int worker) const {
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  leased_worker_announced e;
  e.info.session = {w.id, options.late_words ? 0 : w.started_ms};
  e.info.upstream = kUpstream;
  e.info.capacity = CapacityOf(worker);
  e.info.labels = w.labels;
  e.sequence = w.announcements;
  e.draining = w.draining;
  return e;
}

// ---- [3] Late words ---------------------------------------------------------

void world::KeepWord(int worker) {
  if (options.late_words)
    workers[static_cast<size_t>(worker)].past.push_back(AnnouncementOf(worker));
}

void world::SendLateWord(int worker) {
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  if (w.past.empty())
    return;
  constexpr uint32_t kWithinMs = 3000;
  const size_t which = late_words() % w.past.size();
  const micros comes = now + Millis(late_words() % kWithinMs);
  const uint64_t life = sidecars[static_cast<size_t>(worker)].lives;
  At(comes, [this, worker, life, word = w.past[which]] {
    Log("worker " + std::to_string(worker),
        "late announcement of " + word.info.session.id);
    Deliver(worker, life, word);
  });
}

micros world::GoesOnAfterGoodbye() {
  constexpr uint32_t kMostMs = 3000;
  return Millis(late_words() % kMostMs);
}

}  // namespace cassiaferry::emulator
