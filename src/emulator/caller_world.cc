// The emulated world's callers of jobs that need not be kept.

#include "leased_world.h"

#include <algorithm>
#include <utility>

namespace cassiaferry::emulator {

namespace {

constexpr int kMostSends = 20;
// Of a caller's request beside its payload, and of an answer: heads, and the
// steps.
constexpr size_t kRequestBytes = 500;
constexpr size_t kAnswerBytes = 250;

// Letters at random, of which a half is left when they are packed.
std::string DrawPayload(size_t bytes, uint64_t seed) {
  std::minstd_rand draw(static_cast<unsigned>(seed));
  std::string payload(bytes, 'a');
  for (char& c : payload)
    c = static_cast<char>('a' + draw() % 16);
  return payload;
}

}  // namespace

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
  event.request.payload = DrawPayload(job.payload_bytes, ticket);
  event.request.steps = job.steps;
  event.request.wait_ms = job.wait_ms;
  event.request.durable = job.durable;
  tickets_[{entry, ticket}] = id;
  const micros sent = Transmit(e.in, job.payload_bytes + kRequestBytes);
  At(sent + options.caller_delay,
     [this, entry, life = e.lives, event = std::move(event)]() mutable {
       emulated_entry& same = entries[static_cast<size_t>(entry)];
       if (same.lives != life)
         return;
       event.received = now;
       RecordRequest(same.shed, now, jobs[event.request.id].connection,
                     event.ticket);
       same.inbox.emplace_back(event);
       WakeEntry(entry);
     });
}

void world::Answered(int entry, const answer_leased_job& answer) {
  const auto ticket = tickets_.find({entry, answer.ticket.value});
  if (ticket == tickets_.end())
    return;
  const std::string id = ticket->second;
  const bool closes = ClosesConnection(entry, answer);
  const uint64_t life = entries[static_cast<size_t>(entry)].lives;
  tickets_.erase(ticket);
  const micros sent =
      Transmit(entries[static_cast<size_t>(entry)].out, kAnswerBytes);
  At(sent + options.caller_delay, [this, id, answer, entry, closes, life] {
    emulated_job& job = jobs[id];
    if (!closes)
      KeepConnection(job, entry, life);
    if (job.durable) {
      TakeDurableAnswer(id, answer);
      return;
    }
    if (job.fate != job_fate::open || job.ticket != answer.ticket.value)
      return;
    job.answered = now;
    const bool not_run = answer.error.run_verdict == verdict::not_run;
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
    retry_after_ms.push_back(answer.error.retry_after_ms);
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
  // The end of a connection comes after what was sent on it.
  emulated_link& link = entries[static_cast<size_t>(job.entry)].in;
  At(Transmit(link, 0) + options.caller_delay + seen_after,
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

}  // namespace cassiaferry::emulator
