// Dispatch: which waiting task goes to which worker, and when.
//
// Contents
//   [1] The waiting table
//   [2] Sending a task
//   [3] Workers to choose from
//   [4] Push policies
//   [5] Batch sampling
//   [6] Slot offers
//   [7] Notifying sidecars of backlogs

#include <algorithm>

#include "entry_systems.h"

namespace cassiaferry {

// ---- [1] The waiting table --------------------------------------------------

void QueueJob(entry_state& s, job_row& job) {
  if (job.queued || job.waiting.empty() || job.claiming)
    return;
  job.order = JobOrder(job.policy, job.arrival, job.waiting.size());
  if (job.policy.kind != policy_kind::slot_offer) {
    s.unplaced.insert(job.id.seq);
    return;
  }
  s.upstreams[job.upstream].waiting[job.team].emplace(job.order, job.id.seq);
  job.queued = true;
}

void UnqueueJob(entry_state& s, job_row& job) {
  if (!job.queued)
    return;
  auto& teams = s.upstreams[job.upstream].waiting;
  const auto team = teams.find(job.team);
  team->second.erase({job.order, job.id.seq});
  if (team->second.empty())
    teams.erase(team);
  job.queued = false;
}

namespace {

double WeightOf(const entry_state& s, const std::string& team) {
  const auto it = s.config.teams.find(team);
  return it == s.config.teams.end() ? 1 : it->second.weight;
}

// Share of the slots that a team may hold under contention.
double ShareOf(const entry_state& s,
               const upstream_row& upstream,
               const std::string& team) {
  double total = 0;
  for (const auto& [name, row] : s.teams) {
    if (row.sent_tasks > 0 || upstream.waiting.count(name) != 0)
      total += WeightOf(s, name);
  }
  return total <= 0 ? 1 : WeightOf(s, team) / total;
}

struct head_job {
  order_key order = kNoBacklog;  // includes the team's penalty
  job_seq job;
};

// Jobs of a team checked for one that suits.
constexpr int kMaxJobsScanned = 16;

// The first waiting job for which `suits` is true, by order and team penalty.
template <typename Suits>
head_job FindFirstWaiting(const entry_state& s,
                          const upstream_row& upstream,
                          Suits suits) {
  head_job head;
  const bool shared = s.teams.size() > 1;
  for (const auto& [team, queue] : upstream.waiting) {
    int scanned = 0;
    auto it = queue.begin();
    while (it != queue.end() && !suits(s.jobs.at(it->second)) &&
           ++scanned < kMaxJobsScanned)
      ++it;
    if (it == queue.end() || scanned == kMaxJobsScanned)
      continue;
    order_key order = it->first;
    if (shared) {
      const uint32_t used = s.teams.at(team).sent_tasks;
      order.value +=
          TeamPenalty(used, s.sent_tasks, ShareOf(s, upstream, team));
    }
    if (order < head.order)
      head = {order, it->second};
  }
  return head;
}

bool SuitsAlways(const job_row& /*job*/) {
  return true;
}

// ---- [2] Sending a task -----------------------------------------------------

uint32_t UnseenStarts(const worker_row& w) {
  return w.starts_sent - w.load.starts_seen;
}

uint32_t FreeSlotsOf(const worker_row& w) {
  const uint32_t unseen_starts = UnseenStarts(w);
  const uint32_t reported =
      w.load.free_slots > unseen_starts ? w.load.free_slots - unseen_starts : 0;
  const uint32_t limit = SlotLimit(w);
  const auto in_flight = static_cast<uint32_t>(w.unresolved.size());
  const uint32_t below_limit = limit > in_flight ? limit - in_flight : 0;
  return std::min(reported + w.reserved, below_limit);
}

void SendTask(entry_state& s,
              micros now,
              job_row& job,
              worker_id id,
              bool may_queue) {
  worker_row& w = s.workers[id.value];
  const uint32_t index = job.waiting.back();
  job.waiting.pop_back();
  task_row& task = job.tasks[index];
  start_record start;
  start.task = {job.id.seq, index};
  start.payload = task.request.payload;
  start.order = order_key{job.order.value - now.value};
  start.ttl_ms = ToMillis(job.deadline - now);
  start.may_queue = may_queue;
  w.outbox.starts.push_back(std::move(start));
  w.must_send = true;
  w.unresolved.insert({job.id.seq, index});
  ++w.starts_sent;
  if (w.reserved > 0)
    --w.reserved;
  task.state = task_state::sent;
  task.worker = id;
  ++job.sent;
  team_row& team = s.teams[job.team];
  ++team.sent_tasks;
  --team.waiting_tasks;
  ++s.sent_tasks;
  --s.waiting_tasks;
  --s.upstreams[job.upstream].waiting_tasks;
  s.metrics.CountSent(record_kind::start);
  const double waited_ms =
      static_cast<double>((now - job.arrival).value) / 1000;
  s.policies[job.policy.name].queue_ms.Add(waited_ms);
}

// ---- [3] Workers to choose from ---------------------------------------------

bool Fits(const worker_row& w, const job_row& job) {
  const task_request& task = job.tasks[job.waiting.back()].request;
  return task.cores <= w.upstream.cores &&
         task.memory_mb <= w.upstream.memory_mb;
}

worker_choice ChoiceOf(worker_id id, const worker_row& w) {
  worker_choice choice;
  choice.id = id;
  choice.slots = w.upstream.slots;
  choice.free = FreeSlotsOf(w);
  choice.load = static_cast<uint32_t>(w.unresolved.size()) + w.load.queued;
  choice.speed = w.health.speed;
  return choice;
}

std::vector<worker_choice> ChoicesFor(const entry_state& s,
                                      micros now,
                                      const job_row& job) {
  std::vector<worker_choice> choices;
  for (size_t i = 0; i < s.workers.size(); ++i) {
    const worker_row& w = s.workers[i];
    if (!HasCapacity(w, now) || w.upstream.name != job.upstream ||
        !Fits(w, job))
      continue;
    choices.push_back(ChoiceOf(worker_id{static_cast<uint32_t>(i)}, w));
  }
  return choices;
}

// ---- [4] Push policies ------------------------------------------------------

size_t PickWorker(entry_state& s,
                  const policy_config& policy,
                  const std::vector<worker_choice>& choices) {
  switch (policy.kind) {
    case policy_kind::round_robin:
      return PickRoundRobin(choices, s.turn);
    case policy_kind::two_choices:
      return PickLeastLoaded(choices, policy.choices, s.random);
    default:
      return PickRandom(choices, s.random);
  }
}

void PushJob(entry_state& s, micros now, job_row& job) {
  const policy_config& policy = job.policy;
  while (!job.waiting.empty()) {
    const std::vector<worker_choice> choices = ChoicesFor(s, now, job);
    if (choices.empty())
      return;
    SendTask(s, now, job, choices[PickWorker(s, policy, choices)].id, true);
  }
}

// ---- [5] Batch sampling -----------------------------------------------------

void SendProbes(entry_state& s, micros now, job_row& job, size_t count) {
  const std::vector<worker_choice> choices = ChoicesFor(s, now, job);
  if (choices.empty())
    return;
  for (size_t i : PickProbes(choices, count, s.random)) {
    const worker_id id = choices[i].id;
    worker_row& w = s.workers[id.value];
    w.outbox.probes.push_back(
        {job.id.seq, order_key{job.order.value - now.value}});
    w.must_send = true;
    ++job.probes[id];
    s.metrics.CountSent(record_kind::probe);
  }
}

size_t OutstandingProbes(const job_row& job) {
  size_t outstanding = 0;
  for (const auto& [worker, count] : job.probes)
    outstanding += count;
  return outstanding;
}

// Probes are lost with a stream. A job with fewer outstanding probes than
// waiting tasks would starve, so the missing ones are sent again.
void ProbeJob(entry_state& s, micros now, job_row& job) {
  const size_t outstanding = OutstandingProbes(job);
  if (outstanding >= job.waiting.size())
    return;
  const double ratio = job.policy.probe_ratio;
  const auto wanted =
      static_cast<size_t>(static_cast<double>(job.waiting.size()) * ratio);
  SendProbes(s, now, job, std::max(wanted, job.waiting.size()) - outstanding);
}

void DeclineOffer(entry_state& s, worker_row& w) {
  ++w.outbox.declines;
  w.must_send = true;
  s.metrics.CountSent(record_kind::decline);
}

void AnswerProbeOffer(entry_state& s, micros now, worker_id id, job_seq seq) {
  worker_row& w = s.workers[id.value];
  job_row* job = FindJob(s, seq);
  if (job != nullptr) {
    const auto probe = job->probes.find(id);
    if (probe != job->probes.end() && --probe->second == 0)
      job->probes.erase(probe);
  }
  if (job == nullptr || job->waiting.empty() || !HasCapacity(w, now)) {
    DeclineOffer(s, w);
    return;
  }
  SendTask(s, now, *job, id, false);
  if (job->waiting.empty())
    CancelProbes(s, *job);
}

void PlaceUnplaced(entry_state& s, micros now) {
  std::vector<job_seq> jobs(s.unplaced.begin(), s.unplaced.end());
  for (job_seq seq : jobs) {
    job_row* job = FindJob(s, seq);
    if (job == nullptr || job->waiting.empty()) {
      s.unplaced.erase(seq);
      continue;
    }
    if (job->policy.kind == policy_kind::batch_sampling)
      ProbeJob(s, now, *job);
    else
      PushJob(s, now, *job);
    if (job->waiting.empty())
      s.unplaced.erase(seq);
  }
}

// ---- [6] Slot offers --------------------------------------------------------

std::vector<worker_choice> WorkersWithFreeSlots(const entry_state& s,
                                                micros now,
                                                const std::string& upstream) {
  std::vector<worker_choice> workers;
  for (size_t i = 0; i < s.workers.size(); ++i) {
    const worker_row& w = s.workers[i];
    if (AcceptsTasks(w, now) && w.upstream.name == upstream &&
        FreeSlotsOf(w) > 0)
      workers.push_back(ChoiceOf(worker_id{static_cast<uint32_t>(i)}, w));
  }
  return workers;
}

std::vector<worker_choice> FittingWorkers(
    const entry_state& s,
    const std::vector<worker_choice>& workers,
    const job_row& job) {
  std::vector<worker_choice> fitting;
  for (const worker_choice& choice : workers) {
    const worker_row& w = s.workers[choice.id.value];
    if (choice.free == 0 || !Fits(w, job))
      continue;
    fitting.push_back(choice);
  }
  return fitting;
}

// Slots reserved for this entry are used first: their sidecar waits for an
// answer.
std::optional<worker_id> ChooseFree(entry_state& s,
                                    const std::vector<worker_choice>& fitting) {
  for (const worker_choice& choice : fitting) {
    if (s.workers[choice.id.value].reserved > 0)
      return choice.id;
  }
  const std::optional<size_t> pick = PickFreest(fitting, s.random);
  return pick ? std::optional(fitting[*pick].id) : std::nullopt;
}

void SendNextTask(entry_state& s, micros now, job_row& job, worker_id worker) {
  // The load report may be stale. A task of a small job is then refused and
  // tried elsewhere; one of a large job may queue there, which saves two
  // records.
  const bool may_queue = job.waiting.size() >= job.policy.queue_from;
  UnqueueJob(s, job);
  SendTask(s, now, job, worker, may_queue);
  QueueJob(s, job);
}

void RefreshChoice(const entry_state& s,
                   worker_id worker,
                   std::vector<worker_choice>& choices) {
  for (worker_choice& choice : choices) {
    if (choice.id == worker)
      choice.free = FreeSlotsOf(s.workers[worker.value]);
  }
  std::erase_if(choices, [](const worker_choice& c) { return c.free == 0; });
}

// Sends tasks of the first waiting jobs while load reports show free slots. A
// job that fits no free worker is skipped, so that it blocks no other.
void ServeWaiting(entry_state& s,
                  micros now,
                  const std::string& name,
                  upstream_row& upstream) {
  if (upstream.waiting.empty())
    return;
  std::vector<worker_choice> workers = WorkersWithFreeSlots(s, now, name);
  std::vector<job_seq> passed_over;
  const auto suits = [&](const job_row& job) {
    return std::find(passed_over.begin(), passed_over.end(), job.id.seq) ==
           passed_over.end();
  };
  while (!workers.empty()) {
    const head_job head = FindFirstWaiting(s, upstream, suits);
    if (head.order == kNoBacklog)
      return;
    job_row& job = s.jobs.at(head.job);
    const std::optional<worker_id> chosen =
        ChooseFree(s, FittingWorkers(s, workers, job));
    if (!chosen) {
      passed_over.push_back(head.job);
      continue;
    }
    SendNextTask(s, now, job, *chosen);
    RefreshChoice(s, *chosen, workers);
  }
}

void ReturnUnusedOffers(entry_state& s) {
  for (worker_row& w : s.workers) {
    for (; w.reserved > 0; --w.reserved)
      DeclineOffer(s, w);
  }
}

}  // namespace

// Late binding: the first sidecars with a free slot get the tasks, and the
// remaining probes are cancelled.
void CancelProbes(entry_state& s, job_row& job) {
  for (const auto& [id, count] : job.probes) {
    worker_row& w = s.workers[id.value];
    if (w.state != worker_link::up)
      continue;
    w.outbox.probe_cancels.push_back(job.id.seq);
    w.must_send = true;
    s.metrics.CountSent(record_kind::probe_cancel);
  }
  job.probes.clear();
}

void AnswerOffers(entry_state& s,
                  micros now,
                  worker_id id,
                  const sidecar_frame& frame) {
  s.workers[id.value].reserved += frame.granted;
  for (const offer_record& offer : frame.offers) {
    if (offer.job.value == 0)
      ++s.workers[id.value].reserved;
    else
      AnswerProbeOffer(s, now, id, offer.job);
  }
}

void Dispatch(entry_state& s, micros now) {
  PlaceUnplaced(s, now);
  for (auto& [name, upstream] : s.upstreams)
    ServeWaiting(s, now, name, upstream);
  ReturnUnusedOffers(s);
}

// ---- [7] Notifying sidecars of backlogs -------------------------------------

order_key BacklogFor(const entry_state& s, micros now, const worker_row& w) {
  const auto it = s.upstreams.find(w.upstream.name);
  if (it == s.upstreams.end() || !HasCapacity(w, now))
    return kNoBacklog;
  return FindFirstWaiting(s, it->second,
                          [&](const job_row& job) { return Fits(w, job); })
      .order;
}

namespace {

order_key RelativeTo(micros now, order_key order) {
  return order == kNoBacklog ? kNoBacklog : order_key{order.value - now.value};
}

void SendBacklog(entry_state& s, micros now, worker_row& w, order_key head) {
  w.outbox.backlog = RelativeTo(now, head);
  w.must_send = true;
  w.backlog_sent = head;
  s.metrics.CountSent(record_kind::backlog);
}

// Sidecars that still assume a backlog would offer slots in vain, at the cost
// of an offer and a decline each. One record saves both.
void SendBacklogCleared(entry_state& s, micros now, worker_row& w) {
  if (w.backlog_sent != kNoBacklog && !w.must_send)
    SendBacklog(s, now, w, kNoBacklog);
}

struct backlog_survey {
  // Sidecars that know of a backlog about as early as the actual one.
  size_t informed = 0;
  std::vector<worker_id> uninformed;  // the other sidecars
};

backlog_survey SurveyBacklog(const entry_state& s,
                             micros now,
                             const std::string& upstream,
                             const head_job& head,
                             int64_t margin) {
  const job_row& job = s.jobs.at(head.job);
  backlog_survey survey;
  for (size_t i = 0; i < s.workers.size(); ++i) {
    const worker_row& w = s.workers[i];
    if (!HasCapacity(w, now) || w.upstream.name != upstream || !Fits(w, job))
      continue;
    const bool up_to_date =
        w.must_send || (w.backlog_sent != kNoBacklog &&
                        w.backlog_sent.value <= head.order.value + margin);
    if (up_to_date)
      ++survey.informed;
    else
      survey.uninformed.push_back(worker_id{static_cast<uint32_t>(i)});
  }
  return survey;
}

void NotifyUpstream(entry_state& s,
                    micros now,
                    const std::string& name,
                    const upstream_row& upstream) {
  const head_job head = FindFirstWaiting(s, upstream, SuitsAlways);
  if (head.order == kNoBacklog) {
    for (worker_row& w : s.workers) {
      if (w.state == worker_link::up && w.upstream.name == name)
        SendBacklogCleared(s, now, w);
    }
    return;
  }
  // Most backlogs clear within milliseconds as own tasks finish; these are not
  // worth a record.
  const job_row& first = s.jobs.at(head.job);
  const policy_config& policy = first.policy;
  if (now - first.arrival < Millis(policy.tell_after_ms))
    return;
  backlog_survey survey =
      SurveyBacklog(s, now, name, head, policy.improve_ms * 1000);
  const bool any_notified =
      std::any_of(s.workers.begin(), s.workers.end(), [&](const worker_row& w) {
        return w.backlog_sent != kNoBacklog && w.upstream.name == name;
      });
  const size_t wanted = any_notified ? policy.improve_fanout : policy.fanout;
  std::shuffle(survey.uninformed.begin(), survey.uninformed.end(), s.random);
  for (worker_id id : survey.uninformed) {
    if (survey.informed >= wanted)
      return;
    SendBacklog(s, now, s.workers[id.value], head.order);
    ++survey.informed;
  }
}

}  // namespace

void NotifyBacklogs(entry_state& s, micros now) {
  for (const auto& [name, upstream] : s.upstreams)
    NotifyUpstream(s, now, name, upstream);
}

}  // namespace cassiaferry
