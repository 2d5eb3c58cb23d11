// The emulated world's durable jobs: the store, callers that ask, and what
// workers' histories must keep to.
//
// Contents
//   [1] The store
//   [2] Callers
//   [3] Histories

#include <algorithm>
#include <utility>

#include "leased_world.h"

namespace cassiaferry::emulator {

namespace {

constexpr micros kAskEvery = Millis(400);
constexpr micros kVisibleAfter = Millis(3000);  // of the acceptance
constexpr micros kStoreTimeout = Millis(1000);
constexpr int64_t kLateFromMs = 1000;
constexpr int64_t kLateToMs = 6000;
constexpr uint32_t kMaxAttempts = 3;  // as configured

}  // namespace

// ---- [1] The store ----------------------------------------------------------

template <typename Event>
void world::Post(int entry, Event event) {
  emulated_entry& e = entries[static_cast<size_t>(entry)];
  if (e.state == process_state::down)
    return;
  e.inbox.emplace_back(std::move(event));
  WakeEntry(entry);
}

void world::CallStore(int entry, const store_call& call) {
  const uint64_t life = entries[static_cast<size_t>(entry)].lives;
  AskStore(call.what, store_cut_until_[entry] > now,
           [this, entry, life, id = call.call](rows_reply reply, micros after) {
             At(now + after, [this, entry, life, id, reply = std::move(reply)] {
               if (entries[static_cast<size_t>(entry)].lives == life)
                 Post(entry, store_answered{id, reply});
             });
           });
}

void world::CallRecordStore(int sidecar, const row_call& call) {
  const uint64_t life = sidecars[static_cast<size_t>(sidecar)].lives;
  AskStore(call, false, [this, sidecar, life](rows_reply reply, micros after) {
    At(now + after, [this, sidecar, life, reply = std::move(reply)] {
      emulated_sidecar& s = sidecars[static_cast<size_t>(sidecar)];
      if (s.lives != life || s.state == process_state::down)
        return;
      s.inbox.emplace_back(worker_record_answered{reply});
      WakeSidecar(sidecar);
    });
  });
}

void world::AskStore(const row_call& call,
                     bool cut,
                     const store_answer& answer) {
  const bool writes = std::holds_alternative<row_transaction>(call);
  if (cut || store.silent) {
    answer({}, kStoreTimeout);
    return;
  }
  if (store.down) {
    rows_reply refused;
    refused.status = store_status::refused;
    answer(refused, Millis(1));
    return;
  }
  const micros half = Millis(store.answer_ms / 2);
  if (writes && Chance() < store.late_share) {
    At(now + Millis(kLateFromMs +
                    static_cast<int64_t>(random() % (kLateToMs - kLateFromMs))),
       [this, t = std::get<row_transaction>(call)] { Do(store, t); });
    answer({}, kStoreTimeout);
    return;
  }
  const bool lost = writes && Chance() < store.lost_share;
  At(now + half, [this, what = call, answer, half, lost] {
    const rows_reply reply = std::visit(
        [this](const auto& call_made) { return Do(store, call_made); }, what);
    if (lost)
      answer({}, kStoreTimeout);
    else
      answer(reply, half);
  });
}

void world::CutFromStore(int entry, micros time) {
  Log("fault", "cut entry-" + std::to_string(entry) + " from store ms " +
                   std::to_string(ToMillis(time)));
  micros& until = store_cut_until_[entry];
  until = std::max(until, now + time);
  store_trouble_until_ = std::max(store_trouble_until_, until);
}

void world::StoreFault(micros time,
                       const char* name,
                       const std::function<void(emulated_store&)>& on) {
  Log("fault", std::string(name) + " ms " + std::to_string(ToMillis(time)));
  const uint64_t fault = next_order_++;
  store_faults_[fault] = on;
  ApplyStoreFaults();
  store_trouble_until_ = std::max(store_trouble_until_, now + time);
  At(now + time, [this, fault] {
    store_faults_.erase(fault);
    ApplyStoreFaults();
  });
}

// Faults overlap: what is left of them when one ends is applied anew.
void world::ApplyStoreFaults() {
  const emulated_store calm;
  store.down = calm.down;
  store.silent = calm.silent;
  store.lost_share = calm.lost_share;
  store.late_share = calm.late_share;
  store.answer_ms = calm.answer_ms;
  for (const auto& [fault, apply] : store_faults_)
    apply(store);
}

// ---- [2] Callers ------------------------------------------------------------

int world::AnyLiveEntry() {
  std::vector<int> live;
  for (size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].state != process_state::down)
      live.push_back(static_cast<int>(i));
  }
  return live.empty() ? -1 : live[random() % live.size()];
}

void world::TakeDurableAnswer(const std::string& id,
                              const answer_leased_job& answer) {
  emulated_job& job = jobs[id];
  if (job.fate != job_fate::open || job.accepted)
    return;
  if (answer.outcome == leased_outcome::accepted) {
    job.accepted = true;
    job.accepted_at = now;
    job.refused_all = false;
    Ask(id);
    return;
  }
  if (answer.error.run_verdict != verdict::not_run) {
    job.refused_all = false;
    if (job.ticket == answer.ticket.value)
      Unanswered(id, answer.ticket.value);
    return;
  }
  if (job.ticket != answer.ticket.value)
    return;
  // An earlier send may be stored: only a refusal of all of them is a promise.
  if (job.refused_all && job.sends == 1) {
    job.fate = job_fate::refused;
    if (job.started)
      Broken("refused as not run, though it started: " + id);
  } else {
    Unanswered(id, answer.ticket.value);
  }
}

void world::Ask(const std::string& id) {
  const emulated_job& job = jobs[id];
  if (job.fate != job_fate::open)
    return;
  const int entry = AnyLiveEntry();
  if (entry >= 0) {
    const uint64_t ticket = next_ticket_++;
    tickets_[{entry, ticket}] = id;
    Post(entry, leased_job_queried{ticket_id{ticket}, id});
  }
  At(now + kAskEvery, [this, id] { Ask(id); });
}

void world::TakeState(const std::string& id,
                      const answer_leased_state& answer) {
  emulated_job& job = jobs[id];
  if (answer.unavailable || job.fate != job_fate::open)
    return;
  switch (answer.state) {
    case leased_job_state::unknown:
      if (now > job.accepted_at + kVisibleAfter)
        Broken("accepted, and not known any more: " + id);
      return;
    case leased_job_state::queued:
    case leased_job_state::running:
      return;
    case leased_job_state::completed:
      job.fate = job_fate::completed;
      job.answered = now;
      break;
    case leased_job_state::failed:
      job.fate = job_fate::failed;
      CheckFailed(id);
      return;
    case leased_job_state::cancelled:
      job.fate = job_fate::cancelled;
      if (job.cancel_sent.value == 0)
        Broken("shown as cancelled, and nobody did: " + id);
      return;
  }
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t i = 0; i < job.steps[step].count; ++i) {
      const auto history = histories.find({id, 0, step, i});
      const bool done =
          history != histories.end() &&
          std::any_of(
              history->second.ends.begin(), history->second.ends.end(),
              [](const task_end& e) { return e.how == run_end_kind::done; });
      if (!done)
        Broken("shown as completed, with a task not done: " + id);
    }
  }
}

size_t world::FailedRunsOf(const leased_task& task) const {
  const auto history = histories.find(task);
  if (history == histories.end())
    return 0;
  const std::vector<task_end>& ends = history->second.ends;
  return static_cast<size_t>(std::count_if(
      ends.begin(), ends.end(),
      [](const task_end& e) { return e.how == run_end_kind::failed; }));
}

// Some task must have failed as often as it may.
void world::CheckFailed(const std::string& id) {
  size_t most = 0;
  for (const auto& [task, history] : histories) {
    if (task.job == id)
      most = std::max(most, FailedRunsOf(task));
  }
  if (most < kMaxAttempts)
    Broken("shown as failed, though no task failed more than " +
           std::to_string(most) + " times: " + id);
}

// Whether each step's label is that of a worker that is up.
bool world::HasWorkers(const emulated_job& job) const {
  return std::all_of(
      job.steps.begin(), job.steps.end(), [&](const leased_step& step) {
        return step.label.empty() ||
               std::any_of(workers.begin(), workers.end(),
                           [&](const emulated_worker& w) {
                             return w.up &&
                                    std::count(w.labels.begin(), w.labels.end(),
                                               step.label) != 0;
                           });
      });
}

void world::Cancel(const std::string& id) {
  emulated_job& job = jobs[id];
  if (!job.accepted || job.fate != job_fate::open)
    return;
  job.cancel_sent = now;
  SendCancel(id);
}

void world::SendCancel(const std::string& id) {
  emulated_job& job = jobs[id];
  if (job.cancelled_at.value != 0 || job.fate == job_fate::completed)
    return;
  const int entry = AnyLiveEntry();
  if (entry >= 0) {
    const uint64_t ticket = next_ticket_++;
    tickets_[{entry, ticket}] = id;
    Post(entry, leased_job_cancelled{ticket_id{ticket}, id});
  }
  At(now + options.resend_after, [this, id] { SendCancel(id); });
}

void world::TakeCancelled(const std::string& id,
                          const answer_cancelled& answer) {
  emulated_job& job = jobs[id];
  if (!answer.unavailable && job.cancelled_at.value == 0)
    job.cancelled_at = now;
}

// ---- [3] Histories ----------------------------------------------------------

void world::NoteStart(const run_ref& ref) {
  const emulated_job& job = jobs[ref.task.job];
  if (!job.durable)
    return;
  histories[ref.task].starts.push_back({now, ref.run});
  // An entry that can't reach the store can't know of a cancel elsewhere.
  if (job.cancelled_at.value != 0 &&
      now > job.cancelled_at + options.cancel_within &&
      now > store_trouble_until_ + options.cancel_within)
    Broken("started after its cancel was confirmed: " + ref.task.job);
}

void world::NoteEnd(int worker, const listed_end& end) {
  emulated_job& job = jobs[end.ref.task.job];
  if (!job.durable)
    return;
  if (end.kind == run_end_kind::done)
    job.done_at = now;
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  Log("worker " + std::to_string(worker),
      std::string("end ") + ToText(end.kind) + " " + end.ref.task.job + "." +
          std::to_string(end.ref.task.index) + " run " +
          std::to_string(end.ref.run) + " number " +
          std::to_string(end.number));
  histories[end.ref.task].ends.push_back(
      {now, end.ref.run, end.kind, worker, w.lives, end.number, false, false});
}

namespace {

task_end* FindEnd(std::map<leased_task, task_history>& histories,
                  int worker,
                  uint64_t worker_life,
                  const listed_end& end) {
  const auto it = histories.find(end.ref.task);
  if (it == histories.end())
    return nullptr;
  for (task_end& e : it->second.ends) {
    if (e.worker == worker && e.worker_life == worker_life &&
        e.number == end.number)
      return &e;
  }
  return nullptr;
}

}  // namespace

void world::NoteAck(int worker, uint64_t seen) {
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  for (const listed_end& end : w.ended) {
    if (end.number > seen)
      return;
    task_end* e = FindEnd(histories, worker, w.lives, end);
    if (e == nullptr)
      continue;
    e->noted = true;
    Log("worker " + std::to_string(worker),
        "acknowledged " + end.ref.task.job + "." +
            std::to_string(end.ref.task.index) + " run " +
            std::to_string(end.ref.run));
  }
}

void world::NoteLapse(int worker) {
  const emulated_worker& w = workers[static_cast<size_t>(worker)];
  for (const listed_end& end : w.ended) {
    task_end* e = FindEnd(histories, worker, w.lives, end);
    if (e != nullptr && !e->noted)
      e->lapsed = true;
  }
}

void world::CheckHistories() {
  for (const auto& [task, history] : histories) {
    const std::string name = task.job + "." + std::to_string(task.index);
    std::vector<micros> failures;
    for (const task_end& end : history.ends) {
      if (!end.noted || end.lapsed)
        continue;
      if (end.how == run_end_kind::failed)
        failures.push_back(end.at);
      if (end.how != run_end_kind::done)
        continue;
      for (const task_start& start : history.starts) {
        if (start.at > end.at)
          Broken("run " + std::to_string(start.run) + " of " + name +
                 " started at " + std::to_string(ToMillis(start.at)) +
                 " though run " + std::to_string(end.run) + " was done at " +
                 std::to_string(ToMillis(end.at)) + ", and that known");
      }
    }
    if (failures.size() < kMaxAttempts)
      continue;
    std::sort(failures.begin(), failures.end());
    for (const task_start& start : history.starts) {
      if (start.at > failures[kMaxAttempts - 1])
        Broken("started after its attempts were used up: " + name);
    }
  }
  for (const auto& [id, job] : jobs) {
    if (job.durable && job.accepted && job.fate == job_fate::open &&
        HasWorkers(job))
      Broken("accepted, and never ended: " + id);
  }
}

}  // namespace cassiaferry::emulator
