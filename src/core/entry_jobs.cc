// Jobs: admission, answers, deadlines, cancellation.
//
// Contents
//   [1] Lookup
//   [2] Answers
//   [3] Admission
//   [4] Submission
//   [5] Progress of tasks
//   [6] Deadlines and callers
//   [7] Claims

#include <algorithm>

#include "entry_systems.h"

namespace cassiaferry {

namespace {

// After a refusal that is unrelated to load.
constexpr int64_t kRetrySoonMs = 1000;
constexpr int64_t kMinRetryMs = 100;
constexpr int64_t kMaxRetryMs = 30'000;

}  // namespace

// ---- [1] Lookup -------------------------------------------------------------

job_row* FindJob(entry_state& s, job_seq seq) {
  const auto it = s.jobs.find(seq);
  return it == s.jobs.end() ? nullptr : &it->second;
}

namespace {

// ---- [2] Answers ------------------------------------------------------------

// Not run only if no task ran, no task's outcome is unknown and none is sent.
verdict VerdictOf(const job_row& job) {
  const bool proven = !job.may_have_run && job.sent == 0 && job.done == 0;
  return proven ? verdict::not_run : verdict::may_have_run;
}

void RecordFinishedJob(entry_state& s,
                       micros now,
                       const job_row& job,
                       const failure& error,
                       verdict run_verdict) {
  finished_job f;
  f.id = job.id;
  f.team = job.team;
  f.policy = job.policy.name;
  f.tasks = job.tasks.size();
  f.retries = job.retries;
  f.cause = error.cause;
  f.run_verdict = run_verdict;
  f.message = error.message;
  f.response_ms = ToMillis(now - job.arrival);
  s.finished.push_back(std::move(f));
  if (s.finished.size() > s.options.explain_history_size)
    s.finished.pop_front();
}

void CountComplete(entry_state& s, micros now, const job_row& job) {
  ++s.metrics.jobs_complete;
  policy_metrics& p = s.policies[job.policy.name];
  const double response_ms =
      static_cast<double>((now - job.arrival).value) / 1000;
  ++p.complete;
  p.response_ms.Add(response_ms);
  p.ratio.Add(response_ms / std::max(1u, job.longest_run_ms));
}

// One record per worker, however many of the job's tasks are there.
void CancelSent(entry_state& s, job_row& job) {
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    task_row& task = job.tasks[i];
    if (task.state != task_state::sent)
      continue;
    worker_row& w = s.workers[task.worker.value];
    w.unresolved.erase({job.id.seq, i});
    if (!w.outbox.cancels.empty() && w.outbox.cancels.back() == job.id.seq)
      continue;
    w.outbox.cancels.push_back(job.id.seq);
    w.must_send = true;
    s.metrics.CountSent(record_kind::cancel);
  }
}

// Removes the job from every table and cancels its tasks that are still sent.
void RemoveJob(entry_state& s, job_row& job) {
  const job_seq seq = job.id.seq;
  UnqueueJob(s, job);
  CancelProbes(s, job);
  CancelSent(s, job);
  team_row& team = s.teams[job.team];
  const auto waiting = static_cast<uint32_t>(job.waiting.size());
  team.waiting_tasks -= waiting;
  team.sent_tasks -= job.sent;
  s.upstreams[job.upstream].waiting_tasks -= waiting;
  s.waiting_tasks -= waiting;
  s.sent_tasks -= job.sent;
  s.deadlines.erase({job.deadline, seq});
  s.unplaced.erase(seq);
  s.tickets.erase(job.ticket);
  s.jobs.erase(seq);
}

nlohmann::json OutcomeJson(const job_id& id,
                           const std::vector<std::string>& outputs) {
  nlohmann::json results = nlohmann::json::array();
  for (size_t i = 0; i < outputs.size(); ++i)
    results.push_back({{"task", i}, {"output", outputs[i]}});
  return {{"job", ToText(id)},
          {"state", "complete"},
          {"results", std::move(results)}};
}

nlohmann::json OutcomeJson(const job_id& id, const failure& error) {
  return {{"job", ToText(id)},
          {"state", "failed"},
          {"verdict", ToText(error.run_verdict)},
          {"reason", ToText(error.cause)},
          {"message", error.message},
          {"retry_after_ms", error.retry_after_ms}};
}

std::string Dump(const nlohmann::json& j) {
  return j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void CompleteJob(entry_state& s, micros now, job_row& job) {
  answer_complete answer{job.ticket, job.id, {}};
  answer.outputs.reserve(job.tasks.size());
  for (task_row& task : job.tasks)
    answer.outputs.push_back(std::move(task.output));
  CountComplete(s, now, job);
  RecordFinishedJob(s, now, job, {}, verdict::ran);
  if (!job.key.empty())
    EndClaim(s.claims, job.id.seq, verdict::ran,
             Dump(OutcomeJson(job.id, answer.outputs)));
  RemoveJob(s, job);
  s.actions.push_back(std::move(answer));
}

}  // namespace

void FailJob(entry_state& s,
             micros now,
             job_seq seq,
             reason cause,
             const std::string& message,
             int64_t retry_after_ms) {
  job_row* job = FindJob(s, seq);
  if (job == nullptr)
    return;
  failure f{VerdictOf(*job), cause, message, retry_after_ms};
  ++s.metrics.jobs_failed;
  s.metrics.CountRefusal(cause);
  RecordFinishedJob(s, now, *job, f, f.run_verdict);
  if (!job->key.empty()) {
    if (job->claiming)
      AbandonClaim(s.claims, seq);
    else
      EndClaim(s.claims, seq, f.run_verdict, Dump(OutcomeJson(job->id, f)));
  }
  answer_failed answer{job->ticket, job->id, std::move(f)};
  RemoveJob(s, *job);
  s.actions.push_back(std::move(answer));
}

namespace {

// ---- [3] Admission ----------------------------------------------------------

bool CanEverRun(const upstream_row& upstream, const task_request& task) {
  return task.cores <= upstream.max_cores &&
         task.memory_mb <= upstream.max_memory_mb;
}

bool AnyWorkerAccepts(const entry_state& s,
                      const std::string& upstream,
                      micros now) {
  return std::any_of(
      s.workers.begin(), s.workers.end(), [&](const worker_row& w) {
        return AcceptsTasks(w, now) && w.upstream.name == upstream;
      });
}

// Waiting tasks that are served before a job with this order.
size_t TasksAhead(const entry_state& s,
                  const upstream_row& upstream,
                  order_key order) {
  size_t ahead = 0;
  for (const auto& [team, queue] : upstream.waiting) {
    for (const auto& [other, seq] : queue) {
      if (other > order)
        break;
      ahead += s.jobs.at(seq).waiting.size();
    }
  }
  return ahead;
}

int64_t ClampRetry(double ms) {
  return static_cast<int64_t>(std::clamp(ms, static_cast<double>(kMinRetryMs),
                                         static_cast<double>(kMaxRetryMs)));
}

// Tasks per second: the measured rate, or the rate that the tasks now sent
// imply if that is higher. The measured rate lags when a burst meets an idle
// system.
double DrainPerSecond(const entry_state& s, const upstream_row& upstream) {
  if (upstream.mean_run_ms <= 0)
    return upstream.drain_per_s;
  return std::max(upstream.drain_per_s,
                  s.sent_tasks * 1000 / upstream.mean_run_ms);
}

// Time until `tasks` tasks have finished; 0 if no rate is known.
double DrainMs(const entry_state& s,
               const upstream_row& upstream,
               size_t tasks) {
  const double rate = DrainPerSecond(s, upstream);
  return rate < 1 ? 0 : static_cast<double>(tasks) * 1000 / rate;
}

failure Refuse(reason cause, std::string message, int64_t retry_after_ms = 0) {
  return {verdict::not_run, cause, std::move(message), retry_after_ms};
}

failure CheckNames(const entry_state& s, const job_request& r) {
  if (s.draining)
    return Refuse(reason::draining,
                  "this entry is stopping; another one will take the job",
                  kMinRetryMs);
  if (s.document.version.value == 0)
    return Refuse(reason::starting, "this entry has no configuration yet",
                  kRetrySoonMs);
  if (s.config.teams.count(r.team) == 0)
    return Refuse(reason::unknown_team, "no team is named \"" + r.team + "\"");
  if (s.config.upstreams.count(r.upstream) == 0)
    return Refuse(reason::unknown_upstream,
                  "no upstream is named \"" + r.upstream + "\"");
  return {};
}

failure CheckSize(const entry_state& s, const job_request& r) {
  const limits_config& limits = s.config.limits;
  if (r.tasks.empty())
    return Refuse(reason::bad_request, "/tasks: must have at least one task");
  if (r.tasks.size() > limits.max_tasks_per_job)
    return Refuse(reason::too_large,
                  "more than " + std::to_string(limits.max_tasks_per_job) +
                      " tasks; split the job");
  for (const task_request& task : r.tasks) {
    if (task.payload.size() > limits.max_payload_bytes)
      return Refuse(reason::too_large,
                    "a payload is longer than " +
                        std::to_string(limits.max_payload_bytes) + " bytes");
  }
  if (r.deadline_ms > limits.max_deadline_ms)
    return Refuse(reason::bad_request,
                  "/deadline_ms: must be at most " +
                      std::to_string(limits.max_deadline_ms));
  return {};
}

failure CheckLoad(const entry_state& s,
                  const job_request& r,
                  const upstream_row& upstream) {
  const team_config& team = s.config.teams.at(r.team);
  const auto row = s.teams.find(r.team);
  const size_t team_waiting =
      (row == s.teams.end() ? 0 : row->second.waiting_tasks);
  if (team_waiting + r.tasks.size() > team.max_waiting_tasks) {
    const double wait = DrainMs(
        s, upstream, team_waiting + r.tasks.size() - team.max_waiting_tasks);
    return Refuse(reason::team_quota,
                  "team \"" + r.team + "\" has its limit of waiting tasks",
                  ClampRetry(wait));
  }
  if (s.waiting_tasks + r.tasks.size() > s.config.limits.max_waiting_tasks) {
    const double wait = DrainMs(
        s, upstream,
        s.waiting_tasks + r.tasks.size() - s.config.limits.max_waiting_tasks);
    return Refuse(reason::queue_full,
                  "this entry has its limit of waiting tasks",
                  ClampRetry(wait));
  }
  return {};
}

// Failure guarded against: under overload, jobs wait, miss their deadlines and
// waste the slots that they used. A job that can't meet its deadline at the
// current drain rate is refused at once, with the time after which the queue is
// short enough.
failure CheckDeadline(const entry_state& s,
                      const job_row& job,
                      const upstream_row& upstream) {
  if (upstream.waiting_tasks == 0)
    return {};
  const size_t ahead = TasksAhead(s, upstream, job.order);
  const double wait =
      DrainMs(s, upstream, ahead + job.tasks.size()) + upstream.mean_run_ms;
  const double allowed =
      static_cast<double>(ToMillis(job.deadline - job.arrival));
  if (wait <= allowed)
    return {};
  return Refuse(reason::deadline_unreachable,
                "the queue is too long for the deadline",
                ClampRetry(wait - allowed));
}

failure CheckWorkersFor(const entry_state& s,
                        micros now,
                        const job_request& r,
                        const upstream_row& upstream) {
  if (upstream.max_cores == 0)
    return Refuse(reason::no_worker,
                  "no worker of \"" + r.upstream + "\" has been seen yet",
                  kRetrySoonMs);
  for (const task_request& task : r.tasks) {
    if (!CanEverRun(upstream, task))
      return Refuse(reason::never_runnable,
                    "a task asks for more cores or memory than any worker has");
  }
  if (!AnyWorkerAccepts(s, r.upstream, now))
    return Refuse(reason::no_worker,
                  "no worker of \"" + r.upstream + "\" takes work now",
                  kRetrySoonMs);
  return {};
}

failure CheckRequest(entry_state& s, micros now, const job_request& r) {
  failure f = CheckNames(s, r);
  if (f.cause == reason::none)
    f = CheckSize(s, r);
  if (f.cause != reason::none)
    return f;
  const upstream_row& upstream = s.upstreams[r.upstream];
  f = CheckWorkersFor(s, now, r, upstream);
  if (f.cause == reason::none)
    f = CheckLoad(s, r, upstream);
  return f;
}

// ---- [4] Submission ---------------------------------------------------------

// Comparisons split a team's jobs among policies; the first one for this team,
// or for all teams, applies.
std::string ChoosePolicy(entry_state& s, const std::string& team) {
  for (const auto& [name, comparison] : s.config.comparisons) {
    if (!comparison.team.empty() && comparison.team != team)
      continue;
    double total = 0;
    for (const auto& [policy, share] : comparison.split)
      total += share;
    double draw = std::uniform_real_distribution<double>(0, total)(s.random);
    for (const auto& [policy, share] : comparison.split) {
      draw -= share;
      if (draw <= 0)
        return policy;
    }
    return comparison.split.back().first;
  }
  return s.config.default_policy;
}

policy_config FindPolicy(const entry_state& s, const std::string& name) {
  const auto& policies = s.config.policies;
  const auto it =
      std::find_if(policies.begin(), policies.end(),
                   [&](const policy_config& p) { return p.name == name; });
  return it == policies.end() ? policy_config{} : *it;
}

job_row MakeJob(entry_state& s,
                micros now,
                const job_id& id,
                job_submitted& event) {
  job_request& r = event.request;
  job_row job;
  job.id = id;
  job.ticket = event.ticket;
  job.team = r.team;
  job.upstream = r.upstream;
  job.key = r.key;
  job.policy = FindPolicy(s, ChoosePolicy(s, r.team));
  job.arrival = now;
  const int64_t deadline_ms =
      r.deadline_ms > 0 ? r.deadline_ms : s.config.limits.default_deadline_ms;
  job.deadline = ArrivalOf(event.received, now) + Millis(deadline_ms);
  job.tasks.resize(r.tasks.size());
  for (size_t i = 0; i < r.tasks.size(); ++i)
    job.tasks[i].request = std::move(r.tasks[i]);
  for (size_t i = job.tasks.size(); i-- > 0;)
    job.waiting.push_back(static_cast<uint32_t>(i));
  job.order = JobOrder(job.policy, now, job.tasks.size());
  return job;
}

void RefuseJob(entry_state& s,
               micros now,
               const job_id& id,
               ticket_id ticket,
               failure f) {
  s.metrics.CountRefusal(f.cause);
  job_row none;
  none.id = id;
  none.arrival = now;
  RecordFinishedJob(s, now, none, f, f.run_verdict);
  ++s.metrics.jobs_failed;
  s.actions.push_back(answer_failed{ticket, id, std::move(f)});
}

void AdmitJob(entry_state& s, job_row job, uint64_t digest) {
  const auto tasks = static_cast<uint32_t>(job.tasks.size());
  s.teams[job.team].waiting_tasks += tasks;
  s.upstreams[job.upstream].waiting_tasks += tasks;
  s.waiting_tasks += tasks;
  s.tickets.emplace(job.ticket, job.id.seq);
  s.deadlines.emplace(job.deadline, job.id.seq);
  policy_metrics& p = s.policies[job.policy.name];
  ++p.jobs;
  p.tasks += tasks;
  job.claiming = !job.key.empty();
  const job_seq seq = job.id.seq;
  job_row& row = s.jobs.emplace(seq, std::move(job)).first->second;
  if (!row.claiming) {
    QueueJob(s, row);
    return;
  }
  const int64_t expires_ms = s.wall_ms + s.config.limits.keep_outcome_ms;
  BeginClaim(s.claims, seq, ClaimKey(row.team, row.key), s.random() | 1, digest,
             expires_ms);
}

}  // namespace

micros ArrivalOf(micros received, micros now) {
  return received.value == 0 ? now : std::min(received, now);
}

void SubmitJob(entry_state& s, micros now, job_submitted event) {
  ++s.metrics.jobs_received;
  const job_id id{s.options.self, job_seq{s.next_job++}};
  failure f = CheckRequest(s, now, event.request);
  if (f.cause != reason::none) {
    RefuseJob(s, now, id, event.ticket, std::move(f));
    return;
  }
  const uint64_t digest = event.request.digest;
  job_row job = MakeJob(s, now, id, event);
  f = CheckDeadline(s, job, s.upstreams[job.upstream]);
  if (f.cause != reason::none) {
    RefuseJob(s, now, id, event.ticket, std::move(f));
    return;
  }
  AdmitJob(s, std::move(job), digest);
}

void RefuseInvalid(entry_state& s, micros now, job_invalid event) {
  ++s.metrics.jobs_received;
  const job_id id{s.options.self, job_seq{s.next_job++}};
  RefuseJob(s, now, id, event.ticket, std::move(event.error));
}

// ---- [5] Progress of tasks --------------------------------------------------

void FinishTask(entry_state& s,
                micros now,
                worker_id worker,
                const result_record& result) {
  job_row* job = FindJob(s, result.task.job);
  if (job == nullptr || result.task.index >= job->tasks.size())
    return;
  task_row& task = job->tasks[result.task.index];
  if (task.state != task_state::sent || task.worker != worker)
    return;
  task.state = task_state::done;
  task.output = result.output;
  --job->sent;
  ++job->done;
  --s.sent_tasks;
  --s.teams[job->team].sent_tasks;
  job->longest_run_ms = std::max(job->longest_run_ms, result.run_ms);
  if (job->done == job->tasks.size())
    CompleteJob(s, now, *job);
}

void RequeueTask(entry_state& s, const task_ref& ref, retry_reason cause) {
  job_row* job = FindJob(s, ref.job);
  if (job == nullptr || ref.index >= job->tasks.size() ||
      job->tasks[ref.index].state != task_state::sent)
    return;
  s.metrics.CountRetry(cause);
  UnqueueJob(s, *job);
  job->tasks[ref.index].state = task_state::waiting;
  job->waiting.push_back(ref.index);
  ++job->retries;
  --job->sent;
  --s.sent_tasks;
  ++s.waiting_tasks;
  ++s.upstreams[job->upstream].waiting_tasks;
  team_row& team = s.teams[job->team];
  --team.sent_tasks;
  ++team.waiting_tasks;
  QueueJob(s, *job);
}

// ---- [6] Deadlines and callers ----------------------------------------------

void CheckDeadlines(entry_state& s, micros now) {
  while (!s.deadlines.empty() && s.deadlines.begin()->first <= now) {
    const job_seq seq = s.deadlines.begin()->second;
    FailJob(s, now, seq, reason::deadline, "the deadline passed", 0);
  }
}

bool HandleCallerGone(entry_state& s, micros now, ticket_id ticket) {
  const auto it = s.tickets.find(ticket);
  if (it == s.tickets.end())
    return false;
  FailJob(s, now, it->second, reason::cancelled,
          "the caller closed its connection", 0);
  return true;
}

// ---- [7] Claims -------------------------------------------------------------

namespace {

const char* ClaimMessage(reason cause) {
  switch (cause) {
    case reason::key_conflict:
      return "the key was used with another body";
    case reason::key_in_progress:
      return "a job with this key is running; ask again for its outcome";
    case reason::key_owner_lost:
      return "the entry that ran a job with this key is gone; whether it ran "
             "is not known";
    default:
      return "a keyed job needs the platform's table, which does not answer";
  }
}

void ApplyClaimDecision(entry_state& s, micros now, const claim_decision& d) {
  job_row* job = FindJob(s, d.job);
  if (job == nullptr)
    return;
  job->claiming = false;
  if (d.granted) {
    QueueJob(s, *job);
    return;
  }
  if (!d.outcome.empty()) {
    answer_repeated answer{job->ticket, d.outcome};
    RemoveJob(s, *job);
    s.actions.push_back(std::move(answer));
    return;
  }
  if (d.run_verdict == verdict::may_have_run)
    job->may_have_run = true;
  const bool retry = d.cause == reason::key_in_progress ||
                     d.cause == reason::platform_unavailable;
  FailJob(s, now, d.job, d.cause, ClaimMessage(d.cause),
          retry ? kRetrySoonMs : 0);
}

}  // namespace

void ApplyClaimDecisions(entry_state& s, micros now) {
  std::vector<claim_decision> decisions;
  decisions.swap(s.claims.decisions);
  for (const claim_decision& d : decisions)
    ApplyClaimDecision(s, now, d);
}

}  // namespace cassiaferry
