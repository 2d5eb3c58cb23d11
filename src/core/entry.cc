// The entry's tick, and its status views for operators.
//
// Contents
//   [1] Events
//   [2] Draining
//   [3] Tick
//   [4] Views

#include "cassiaferry/entry.h"

#include <algorithm>

#include "entry_systems.h"

namespace cassiaferry {

namespace {

// ---- [1] Events -------------------------------------------------------------

void HandlePeersChanged(entry_state& s, std::vector<std::string> addresses) {
  if (addresses == s.peers)
    return;
  s.peers = std::move(addresses);
  for (worker_row& w : s.workers) {
    if (w.state != worker_link::up)
      continue;
    w.outbox.peers = s.peers;
    w.must_send = true;
  }
}

struct entry_event_handler {
  entry_state& s;
  micros now;

  void operator()(job_submitted& e) { SubmitJob(s, now, std::move(e)); }
  void operator()(job_invalid& e) { RefuseInvalid(s, now, std::move(e)); }
  void operator()(caller_gone& e) {
    if (!HandleCallerGone(s, now, e.ticket))
      HandleLeasedCallerGone(s, now, e.ticket);
  }
  void operator()(sidecar_frame_received& e) { HandleSidecarFrame(s, now, e); }
  void operator()(sidecar_link_lost& e) { HandleLinkLost(s, now, e.link); }
  void operator()(config_received& e) { AdoptConfig(s, e.document); }
  void operator()(closed_domains_read& e) {
    HandleClosedDomainsRead(s, e.closed_set);
  }
  void operator()(closed_domains_received& e) {
    HandleClosedDomainsReceived(s, e.closed_set);
  }
  void operator()(peers_changed& e) {
    HandlePeersChanged(s, std::move(e.link_addresses));
  }
  void operator()(entry_drain_requested&) {
    s.draining = true;
    s.drain_since = now;
  }
  void operator()(wall_clock& e) { s.wall_ms = e.ms; }
  void operator()(transaction_reply& e) {
    OnTransactionReply(s.claims, now, e);
  }
  void operator()(read_reply& e) { OnReadReply(s.claims, now, e); }
  void operator()(owner_reply& e) { OnOwnerReply(s.claims, now, e); }
  void operator()(leased_job_submitted& e) {
    SubmitLeasedJob(s, now, std::move(e));
  }
  void operator()(leased_job_cancelled& e) {
    CancelLeasedJob(s, now, e.ticket, e.id);
  }
  void operator()(leased_job_queried& e) {
    AnswerLeasedState(s, now, e.ticket, e.id);
  }
  void operator()(store_answered& e) { HandleStoreAnswer(s, now, e); }
};

// ---- [2] Draining -----------------------------------------------------------

// A planned stop interrupts nothing: every job is answered and every outcome
// written before sidecars get the shutdown notice.
//
// Failure guarded against: the platform is down, the outcome of a keyed job
// can't be written, and the stop waits for ever. After the grace period it goes
// on, and a repeat of that job is answered with "may have run", as its owner is
// gone.
void CheckDrained(entry_state& s, micros now) {
  if (!s.draining || s.drain_announced || !s.jobs.empty() ||
      !s.leased.jobs.empty() ||
      now - s.drain_since < s.options.leased.drain_accept)
    return;
  if (!DurableJobsDrained(s, now))
    return;
  if (!HasNoOpenClaims(s.claims) && now - s.drain_since < s.options.drain_grace)
    return;
  for (worker_row& w : s.workers) {
    if (w.state != worker_link::up)
      continue;
    w.outbox.shutdown_notice = true;
    w.must_send = true;
  }
  s.drain_announced = true;
}

void CollectClaimActions(entry_state& s) {
  for (claim_action& action : s.claims.actions)
    s.actions.emplace_back(std::move(action));
  s.claims.actions.clear();
}

}  // namespace

// ---- [3] Tick ---------------------------------------------------------------

entry_state MakeEntry(entry_options options) {
  entry_state s;
  s.random.seed(options.seed);
  s.claims.self = options.self;
  s.claims.self_address = options.http_address;
  s.leased.options = options.leased;
  s.leased.link = MakeUplink(options.leased.link);
  s.leased.late.options = options.leased.late;
  StartDurableJobs(s.leased, options);
  s.options = std::move(options);
  return s;
}

std::vector<entry_action> Tick(entry_state& s,
                               micros now,
                               std::vector<entry_event> events) {
  s.actions.clear();
  ++s.metrics.ticks;
  for (entry_event& event : events)
    std::visit(entry_event_handler{s, now}, event);
  CheckDeadlines(s, now);
  CheckWorkers(s, now);
  MeasureDrainRate(s, now);
  ApplyClaimDecisions(s, now);
  TickClaims(s.claims, now, s.wall_ms);
  Dispatch(s, now);
  TickLeasedJobs(s, now);
  TickReach(s, now);
  NotifyBacklogs(s, now);
  const bool announced_before = s.drain_announced;
  CheckDrained(s, now);
  FlushWorkers(s, now);
  CollectClaimActions(s);
  if (s.drain_announced && !announced_before)
    s.actions.push_back(entry_drained{});
  return std::move(s.actions);
}

bool IsReady(const entry_state& s) {
  return s.document.version.value != 0 && !s.draining;
}

// ---- [4] Views --------------------------------------------------------------

namespace {

const char* LinkText(worker_link state) {
  constexpr const char* kNames[] = {"down", "greeting", "up"};
  return kNames[static_cast<size_t>(state)];
}

const char* StateText(upstream_state state) {
  constexpr const char* kNames[] = {"absent", "ready", "leaving"};
  return kNames[static_cast<size_t>(state)];
}

nlohmann::json WorkerStatus(const worker_row& w, micros now) {
  return {{"name", w.name},
          {"failure_domain", w.failure_domain},
          {"link", LinkText(w.state)},
          {"upstream", w.upstream.name},
          {"upstream_state", StateText(w.load.state)},
          {"slots", w.upstream.slots},
          {"free_slots", w.load.free_slots},
          {"queued", w.load.queued},
          {"unresolved", w.unresolved.size()},
          {"ejected", w.health.ejected_until > now},
          {"closed", w.closed},
          {"released", w.is_released},
          {"closed_domains_version", w.closed_version.value},
          {"speed", w.health.speed},
          {"config_version", w.version.value}};
}

nlohmann::json PolicyStatus(const policy_metrics& p) {
  return {{"jobs", p.jobs},
          {"complete", p.complete},
          {"tasks", p.tasks},
          {"response_ms",
           {{"mean", p.response_ms.Mean()},
            {"p50", p.response_ms.Quantile(0.5)},
            {"p95", p.response_ms.Quantile(0.95)},
            {"p99", p.response_ms.Quantile(0.99)}}},
          {"ratio",
           {{"mean", p.ratio.Mean()},
            {"p95", p.ratio.Quantile(0.95)},
            {"p99", p.ratio.Quantile(0.99)}}},
          {"queue_ms",
           {{"mean", p.queue_ms.Mean()}, {"p95", p.queue_ms.Quantile(0.95)}}}};
}

template <typename Enum, size_t N>
nlohmann::json NonZero(const std::array<uint64_t, N>& values) {
  nlohmann::json j = nlohmann::json::object();
  for (size_t i = 0; i < N; ++i) {
    if (values[i] != 0)
      j[ToText(static_cast<Enum>(i))] = values[i];
  }
  return j;
}

}  // namespace

namespace {

nlohmann::json DemandStatus(const system_demand& d, micros now) {
  nlohmann::json j = {{"in_use", HasCurrentSums(d, now)}};
  if (!HasCurrentSums(d, now))
    return j;
  j["age_ms"] = ToMillis(now - d.received_at);
  j["entries"] = d.entries;
  for (const queue_demand& sum : SumsInUse(d, now))
    j["queues"][sum.queue] = {{"cpu_in_use", sum.cpu_in_use},
                              {"cpu_waiting", sum.cpu_waiting}};
  return j;
}

}  // namespace

nlohmann::json StatusOf(const entry_state& s, micros now) {
  nlohmann::json j = {
      {"entry", s.options.name},
      {"incarnation", ToHex(s.options.self.value)},
      {"failure_domain", s.options.failure_domain},
      {"ready", IsReady(s)},
      {"draining", s.draining},
      {"config_version", s.document.version.value},
      {"config_author", s.document.author},
      {"closed_domains", s.closed_domains.known.domains},
      {"closed_domains_version", s.closed_domains.known.version.value},
      {"peers", s.peers},
      {"reach", s.reach.reach},
      {"jobs", s.jobs.size()},
      {"waiting_tasks", s.waiting_tasks},
      {"sent_tasks", s.sent_tasks},
      {"jobs_received", s.metrics.jobs_received},
      {"jobs_complete", s.metrics.jobs_complete},
      {"jobs_failed", s.metrics.jobs_failed},
      {"open_claims", s.claims.claims.size()}};
  j["refused"] = NonZero<reason>(s.metrics.refused);
  j["retried"] = NonZero<retry_reason>(s.metrics.retried);
  j["records"] = NonZero<record_kind>(s.metrics.records);
  j["workers"] = nlohmann::json::array();
  for (const worker_row& w : s.workers)
    j["workers"].push_back(WorkerStatus(w, now));
  j["policies"] = nlohmann::json::object();
  for (const auto& [name, p] : s.policies)
    j["policies"][name] = PolicyStatus(p);
  for (const auto& [name, team] : s.teams)
    j["teams"][name] = {{"waiting_tasks", team.waiting_tasks},
                        {"sent_tasks", team.sent_tasks}};
  if (s.leased.options.shares_across_entries)
    j["demand"] = DemandStatus(s.leased.demand, now);
  return j;
}

nlohmann::json ExplainJob(const entry_state& s, micros now, const job_id& id) {
  const auto live = s.jobs.find(id.seq);
  if (live != s.jobs.end() && id.entry == s.options.self) {
    const job_row& job = live->second;
    return {
        {"job", ToText(id)},         {"state", "running"},
        {"team", job.team},          {"policy", job.policy.name},
        {"tasks", job.tasks.size()}, {"waiting", job.waiting.size()},
        {"sent", job.sent},          {"done", job.done},
        {"retries", job.retries},    {"age_ms", ToMillis(now - job.arrival)}};
  }
  const auto f =
      std::find_if(s.finished.begin(), s.finished.end(),
                   [&](const finished_job& x) { return x.id == id; });
  if (f == s.finished.end())
    return nullptr;
  return {{"job", ToText(id)},
          {"state", f->cause == reason::none ? "complete" : "failed"},
          {"team", f->team},
          {"policy", f->policy},
          {"tasks", f->tasks},
          {"retries", f->retries},
          {"verdict", ToText(f->run_verdict)},
          {"reason", ToText(f->cause)},
          {"message", f->message},
          {"response_ms", f->response_ms}};
}

}  // namespace cassiaferry
