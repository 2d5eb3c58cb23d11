// Streams to sidecars: hello, reconciliation, results, silence, frames.
//
// Contents
//   [1] Workers by name and link
//   [2] Lost tasks
//   [3] Hello frames
//   [4] Reconciliation
//   [5] Results and rejects
//   [6] Frames
//   [7] Silence and loss
//   [8] Sending

#include <algorithm>

#include "entry_systems.h"

namespace cassiaferry {

namespace {

// A worker whose upstream refuses a task gets none for so long.
constexpr int64_t kBusyPauseMs = 100;

// ---- [1] Workers by name and link -------------------------------------------

worker_id FindOrAddWorker(entry_state& s, const std::string& name) {
  const auto known = s.worker_names.find(name);
  if (known != s.worker_names.end())
    return known->second;
  const worker_id id{static_cast<uint32_t>(s.workers.size())};
  worker_row row;
  row.name = name;
  s.workers.push_back(std::move(row));
  s.worker_names.emplace(name, id);
  return id;
}

void UpdateUpstream(entry_state& s, worker_row& w, const upstream_info& info) {
  w.upstream = info;
  upstream_row& upstream = s.upstreams[info.name];
  upstream.max_cores = std::max(upstream.max_cores, info.cores);
  upstream.max_memory_mb = std::max(upstream.max_memory_mb, info.memory_mb);
}

// ---- [2] Lost tasks ---------------------------------------------------------

// The outcome of these tasks can no longer be known: their jobs fail as "may
// have run".
void FailLostTasks(entry_state& s,
                   micros now,
                   worker_id id,
                   const std::vector<task_ref>& lost) {
  for (const task_ref& task : lost) {
    s.workers[id.value].unresolved.erase(task);
    job_row* job = FindJob(s, task.job);
    if (job == nullptr)
      continue;
    job->may_have_run = true;
    FailJob(s, now, task.job, reason::worker_lost,
            "a worker was lost with a task of the job unresolved", 0);
  }
}

std::vector<task_ref> UnresolvedTasks(const worker_row& w) {
  return {w.unresolved.begin(), w.unresolved.end()};
}

void DiscardProbes(entry_state& s, worker_id id) {
  for (auto& [seq, job] : s.jobs) {
    if (job.probes.erase(id) != 0 && !job.waiting.empty())
      s.unplaced.insert(seq);
  }
}

void DisconnectWorker(entry_state& s, micros now, worker_id id, bool close) {
  worker_row& w = s.workers[id.value];
  if (w.state == worker_link::down)
    return;
  if (close)
    s.actions.push_back(close_link{w.link});
  s.links.erase(w.link);
  w.state = worker_link::down;
  w.lost_since = now;
  w.outbox = {};
  w.must_send = false;
  w.reserved = 0;
  w.backlog_sent = kNoBacklog;
  DiscardProbes(s, id);
  SuspendPlacement(s, id);
}

// ---- [3] Hello frames -------------------------------------------------------

// A sidecar that restarted under the same name has lost all its tasks.
void ReplaceSidecar(entry_state& s,
                    micros now,
                    worker_id id,
                    incarnation sidecar) {
  worker_row& w = s.workers[id.value];
  if (w.sidecar == sidecar)
    return;
  const std::vector<task_ref> lost = UnresolvedTasks(w);
  w.sidecar = sidecar;
  w.memory_token = 0;
  w.acked_through = 0;
  w.epoch = {};
  w.health = {};
  FailLostTasks(s, now, id, lost);
}

// Attaches the closed domains if the sidecar knows an older version, at most
// once per version and stream.
void AttachClosedDomains(const entry_state& s,
                         worker_row& w,
                         entry_frame& frame) {
  const closed_domains& known = s.closed_domains.known;
  frame.closed_version = known.version;
  if (std::max(w.closed_version, w.closed_version_sent) >= known.version)
    return;
  frame.closed_set = known;
  w.closed_version_sent = known.version;
}

entry_frame MakeHelloFrame(const entry_state& s, worker_row& w) {
  entry_frame frame;
  frame.epoch = w.epoch;
  frame.hello =
      entry_hello{s.options.self, s.options.link_address, UnresolvedTasks(w)};
  frame.peers = s.peers;
  frame.version = s.document.version;
  AttachClosedDomains(s, w, frame);
  return frame;
}

void HandleHello(entry_state& s,
                 micros now,
                 link_id link,
                 const sidecar_frame& frame) {
  // Failure guarded against: sidecars dial again after the shutdown notice, and
  // this process waits to exit for streams that nobody closes.
  if (s.drain_announced) {
    s.actions.push_back(close_link{link});
    return;
  }
  const worker_id id = FindOrAddWorker(s, frame.hello->name);
  worker_row& w = s.workers[id.value];
  if (w.sidecar == frame.hello->sidecar && frame.epoch < w.epoch) {
    s.actions.push_back(close_link{link});
    return;
  }
  DisconnectWorker(s, now, id, true);
  const bool same_incarnation = w.sidecar == frame.hello->sidecar;
  ReplaceSidecar(s, now, id, frame.hello->sidecar);
  w.failure_domain = frame.hello->failure_domain;
  w.state = worker_link::handshake;
  w.link = link;
  w.epoch = frame.epoch;
  w.version = frame.hello->version;
  w.closed_version = frame.hello->closed_version;
  w.closed_version_sent = {};
  w.closed = IsClosed(s.closed_domains, w.failure_domain);
  w.wants_config = false;
  w.last_received = now;
  w.last_sent = now;
  w.starts_sent = 0;
  w.load = {};
  w.outbox = {};
  s.links[link] = id;
  entry_frame hello_frame = MakeHelloFrame(s, w);
  if (s.leased.options.enabled)
    StartLeaseStream(s, id, same_incarnation, hello_frame);
  s.actions.push_back(send_to_sidecar{link, std::move(hello_frame)});
}

// ---- [4] Reconciliation -----------------------------------------------------

// Whether the sidecar has lost any of its state about this entry. "Never
// started" is then no proof, and becomes "may have run".
bool HasForgotten(const worker_row& w, const reconcile_reply& reply) {
  return w.memory_token != 0 && w.memory_token != reply.memory_token;
}

void HandleReconcile(entry_state& s,
                     micros now,
                     worker_id id,
                     const reconcile_reply& reply) {
  worker_row& w = s.workers[id.value];
  const bool forgotten = HasForgotten(w, reply);
  if (forgotten)
    w.acked_through = 0;
  w.memory_token = reply.memory_token;
  w.state = worker_link::up;
  w.lost_since = micros{0};
  s.metrics.CountSent(record_kind::reconcile, reply.tasks.size());
  std::vector<task_ref> lost;
  for (const reconcile_record& r : reply.tasks) {
    if (r.outcome != task_outcome::never_started ||
        s.workers[id.value].unresolved.count(r.task) == 0)
      continue;
    if (forgotten) {
      lost.push_back(r.task);
      continue;
    }
    s.workers[id.value].unresolved.erase(r.task);
    RequeueTask(s, r.task, retry_reason::never_started);
  }
  FailLostTasks(s, now, id, lost);
}

// ---- [5] Results and rejects ------------------------------------------------

void FailTask(entry_state& s,
              micros now,
              job_row& job,
              reason cause,
              const std::string& message) {
  job.may_have_run = true;
  FailJob(s, now, job.id.seq, cause, message, 0);
}

std::string FailureText(const result_record& result) {
  constexpr size_t kMaxQuoted = 200;
  return "task " + std::to_string(result.task.index) +
         " failed: " + result.output.substr(0, kMaxQuoted);
}

// Failure guarded against: an upstream that refuses everything at once would be
// sent a thousand tasks a second. It is paused, and its task goes to another
// worker.
void HandleUpstreamRefusal(entry_state& s,
                           micros now,
                           worker_row& w,
                           const task_ref& task) {
  w.health.ejected_until =
      std::max(w.health.ejected_until, now + Millis(kBusyPauseMs));
  RequeueTask(s, task, retry_reason::upstream_busy);
}

void HandleResult(entry_state& s,
                  micros now,
                  worker_id id,
                  const result_record& result) {
  worker_row& w = s.workers[id.value];
  if (result.number <= w.acked_through)
    return;
  w.acked_through = result.number;
  job_row* job = FindJob(s, result.task.job);
  if (w.unresolved.erase(result.task) == 0 || job == nullptr) {
    s.metrics.CountRetry(retry_reason::late_result);
    return;
  }
  if (result.run_verdict == verdict::not_run) {
    HandleUpstreamRefusal(s, now, w, result.task);
    return;
  }
  RecordResult(s, now, w, *job, result);
  if (result.run_verdict == verdict::may_have_run)
    FailTask(s, now, *job, reason::worker_lost, FailureText(result));
  else if (!result.ok)
    FailTask(s, now, *job, reason::task_failed, FailureText(result));
  else
    FinishTask(s, now, id, result);
}

void HandleReject(entry_state& s, worker_id id, const reject_record& reject) {
  if (s.workers[id.value].unresolved.erase(reject.task) == 0)
    return;
  RequeueTask(s, reject.task,
              reject.timed_out ? retry_reason::queue_timeout
                               : retry_reason::slot_taken);
}

// ---- [6] Frames -------------------------------------------------------------

void HandleBody(entry_state& s,
                micros now,
                worker_id id,
                const sidecar_frame& frame) {
  if (frame.upstream)
    UpdateUpstream(s, s.workers[id.value], *frame.upstream);
  s.workers[id.value].load = frame.load;
  if (frame.reconcile)
    HandleReconcile(s, now, id, *frame.reconcile);
  for (const result_record& result : frame.results)
    HandleResult(s, now, id, result);
  for (const reject_record& reject : frame.rejects)
    HandleReject(s, id, reject);
  if (frame.reports)
    HandleReports(s, now, id, *frame.reports);
  AnswerOffers(s, now, id, frame);
}

// Failure guarded against: a start crosses the shutdown notice of a draining
// sidecar, and the job fails as "may have run" once the sidecar's successor
// connects. A draining sidecar starts nothing new and sends the notice only
// when every result is acknowledged, so a task that is still unresolved never
// started.
void HandleShutdownNotice(entry_state& s, micros now, worker_id id) {
  for (const task_ref& task : UnresolvedTasks(s.workers[id.value])) {
    s.workers[id.value].unresolved.erase(task);
    RequeueTask(s, task, retry_reason::never_started);
  }
  DisconnectWorker(s, now, id, true);
}

}  // namespace

void HandleSidecarFrame(entry_state& s,
                        micros now,
                        const sidecar_frame_received& event) {
  const sidecar_frame& frame = event.frame;
  ++s.metrics.frames_received;
  if (frame.hello)
    HandleHello(s, now, event.link, frame);
  const auto link = s.links.find(event.link);
  if (link == s.links.end() ||
      s.workers[link->second.value].epoch != frame.epoch) {
    s.metrics.CountRetry(retry_reason::fenced_frame);
    return;
  }
  const worker_id id = link->second;
  worker_row& w = s.workers[id.value];
  w.last_received = now;
  w.version = std::max(w.version, frame.version);
  w.wants_config = w.wants_config || frame.wants_config;
  w.chooses_entries = frame.chooses_entries;
  w.is_released = frame.release;
  w.closed_version = std::max(w.closed_version, frame.closed_version);
  if (frame.config)
    AdoptConfig(s, *frame.config);
  if (frame.closed_set)
    HandleClosedDomainsReceived(s, *frame.closed_set);
  if (!frame.hello)
    HandleBody(s, now, id, frame);
  if (frame.shutdown_notice)
    HandleShutdownNotice(s, now, id);
}

void AdoptConfig(entry_state& s, const config_document& document) {
  if (document.version <= s.document.version)
    return;
  nlohmann::json parsed;
  std::string error;
  if (!ParseJson(document.json, parsed, error) ||
      !CheckConfig(parsed, check_scope::whole).empty())
    return;
  s.document = document;
  s.config = ReadConfig(parsed);
  // Announces the new version to all sidecars at once.
  for (worker_row& w : s.workers)
    w.must_send = w.must_send || w.state == worker_link::up;
  s.actions.push_back(config_adopted{document});
}

namespace {

// Notifies the sidecars at once, as they refuse what entries with an older
// version still send. Reports already in transit may still say that a worker
// takes work; only reports sent after that count (HandleReports).
void ApplyClosedDomains(entry_state& s, bool changed) {
  if (changed) {
    // Jobs that can no longer be served are refused in this tick.
    s.leased.last_refusal = {};
    for (size_t i = 0; i < s.workers.size(); ++i) {
      worker_row& w = s.workers[i];
      w.closed = IsClosed(s.closed_domains, w.failure_domain);
      w.must_send = w.must_send || w.state == worker_link::up;
      if (w.closed)
        SuspendPlacement(s, worker_id{static_cast<uint32_t>(i)});
    }
  }
  s.actions.push_back(closed_domains_adopted{s.closed_domains.known, changed});
}

}  // namespace

void HandleClosedDomainsRead(entry_state& s, const closed_domains& read) {
  const closed_domains_version before = s.closed_domains.known.version;
  const bool changed = UpdateClosedDomainsFromStore(s.closed_domains, read);
  if (s.closed_domains.known.version != before)
    ApplyClosedDomains(s, changed);
}

void HandleClosedDomainsReceived(entry_state& s,
                                 const closed_domains& received) {
  const closed_domains_version before = s.closed_domains.known.version;
  const bool changed = UpdateClosedDomainsFromPeer(s.closed_domains, received);
  if (s.closed_domains.known.version != before)
    ApplyClosedDomains(s, changed);
}

// ---- [7] Silence and loss ---------------------------------------------------

void HandleLinkLost(entry_state& s, micros now, link_id link) {
  const auto it = s.links.find(link);
  if (it != s.links.end())
    DisconnectWorker(s, now, it->second, false);
}

namespace {

void RecordActivity(entry_state& s, micros now, worker_id id) {
  worker_row& w = s.workers[id.value];
  const bool active = !w.unresolved.empty() || LeasesActive(s, id);
  if (!active)
    w.active_since = {};
  else if (w.active_since.value == 0)
    w.active_since = now;
}

// Silence is counted from the last frame received or from the start of
// activity, whichever is later: while a pair is idle, its sidecar sends less
// often.
bool IsSilent(const entry_state& s, micros now, const worker_row& w) {
  const link_timing& timing = s.options.timing;
  if (w.state == worker_link::up && w.active_since.value == 0)
    return now - w.last_received > timing.idle_silence_timeout;
  return now - std::max(w.last_received, w.active_since) >
         timing.silence_timeout;
}

micros HeartbeatOf(const entry_state& s, const worker_row& w) {
  return w.active_since.value == 0 ? s.options.timing.idle_heartbeat
                                   : s.options.timing.heartbeat;
}

// Whether nothing is open at a worker whose stream is to be given back.
bool CanGiveBack(const entry_state& s, worker_id id) {
  const worker_row& w = s.workers[id.value];
  return w.is_released && w.state == worker_link::up && w.unresolved.empty() &&
         w.reserved == 0 && !LeasesActive(s, id);
}

}  // namespace

// Failures guarded against: a stream that is open but silent in one direction
// or both, and a sidecar that never comes back. The first is detected by
// missing heartbeats or by starts that stay unconfirmed; the stream is closed,
// and the sidecar dials again. The second is detected when the loss outlasts
// the grace period; the jobs of its tasks then fail at once as "may have run".
void CheckWorkers(entry_state& s, micros now) {
  for (size_t i = 0; i < s.workers.size(); ++i) {
    const worker_id id{static_cast<uint32_t>(i)};
    worker_row& w = s.workers[i];
    RecordActivity(s, now, id);
    if (w.state != worker_link::down &&
        (IsSilent(s, now, w) || StartsUnconfirmed(s, now, id) ||
         CanGiveBack(s, id)))
      DisconnectWorker(s, now, id, true);
    if (w.state == worker_link::down && !w.unresolved.empty() &&
        now - w.lost_since > s.options.lost_grace)
      FailLostTasks(s, now, id, UnresolvedTasks(w));
    if (w.state == worker_link::up && !w.must_send &&
        now - w.last_sent >= HeartbeatOf(s, w)) {
      w.must_send = true;
      s.metrics.CountSent(record_kind::heartbeat);
    }
  }
}

// ---- [8] Sending ------------------------------------------------------------

namespace {

void AttachConfig(entry_state& s, worker_row& w, entry_frame& frame) {
  frame.version = s.document.version;
  if (w.wants_config && w.version < s.document.version)
    frame.config = s.document;
  w.wants_config = false;
  AttachClosedDomains(s, w, frame);
}

uint32_t WaitingTasks(const entry_state& s, const worker_row& w) {
  const auto it = s.upstreams.find(w.upstream.name);
  return it == s.upstreams.end() ? 0 : it->second.waiting_tasks;
}

// Attaches the backlog to a frame that is sent anyway, which costs no extra
// record. Failure guarded against: a worker that is held back (ejected, on
// probation or slow) is sent a backlog that it may not serve, and offers its
// slots in vain again and again. It is sent kNoBacklog.
void AttachBacklog(const entry_state& s,
                   micros now,
                   worker_row& w,
                   entry_frame& frame) {
  frame.backlog_tasks = WaitingTasks(s, w);
  if (frame.backlog)
    return;
  const order_key head = BacklogFor(s, now, w);
  w.backlog_sent = head;
  frame.backlog =
      head == kNoBacklog ? kNoBacklog : order_key{head.value - now.value};
}

}  // namespace

void FlushWorkers(entry_state& s, micros now) {
  for (worker_row& w : s.workers) {
    if (w.state != worker_link::up || (!w.must_send && !w.wants_config))
      continue;
    entry_frame frame = std::move(w.outbox);
    w.outbox = {};
    w.must_send = false;
    frame.epoch = w.epoch;
    frame.acked_through = w.acked_through;
    AttachConfig(s, w, frame);
    AttachBacklog(s, now, w, frame);
    if (s.leased.options.enabled)
      AttachOrders(s, now, s.links.at(w.link), frame);
    w.last_sent = now;
    ++s.metrics.frames_sent;
    s.actions.push_back(send_to_sidecar{w.link, std::move(frame)});
  }
}

}  // namespace cassiaferry
