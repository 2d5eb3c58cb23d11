// The sidecar's event handlers and the steps of its tick.
//
// Contents
//   [1] Slots
//   [2] Results
//   [3] Frames from entries
//   [4] Upstream
//   [5] Links
//   [6] Serving slots
//   [7] Tick

#include "cassiaferry/sidecar.h"

#include <algorithm>

#include "sidecar_systems.h"

namespace cassiaferry {

namespace {

// ---- [1] Slots --------------------------------------------------------------

uint32_t Capacity(const sidecar_state& s) {
  return std::min(s.upstream.slots, s.upstream.connections);
}

size_t OfferedSlots(const sidecar_state& s) {
  size_t offered = 0;
  for (const auto& [id, entry] : s.entries)
    offered += entry.offers.size();
  return offered;
}

bool AcceptsWork(const sidecar_state& s) {
  return s.state == upstream_state::ready && !s.draining &&
         !IsClosed(s.closed_domains, s.options.failure_domain);
}

entry_link* LinkOf(sidecar_state& s, const known_entry& entry) {
  return entry.linked ? &s.links[entry.link.value] : nullptr;
}

void StartTask(sidecar_state& s,
               micros now,
               const task_key& key,
               std::string payload,
               micros enqueued) {
  running_task row;
  row.started = now;
  row.queue_ms = static_cast<uint32_t>(ToMillis(now - enqueued));
  s.running.emplace(key, row);
  s.actions.push_back(
      run_task{key.entry, key.task, s.upstream.address, std::move(payload)});
}

// ---- [2] Results ------------------------------------------------------------

// Results are kept until they are acknowledged, up to a bound. Failure guarded
// against: an entry that never acknowledges fills this process's memory. Beyond
// the bound the oldest results are dropped and the token changes. An entry that
// reconciles later sees from the new token that state was lost, and reports
// "may have run" instead of "not run".
void BoundResults(sidecar_state& s, known_entry& entry) {
  while (entry.results_bytes > s.options.max_results_bytes &&
         !entry.results.empty()) {
    entry.results_bytes -= entry.results.front().output.size();
    entry.results.pop_front();
    entry.token = s.random();
  }
}

void KeepResult(sidecar_state& s, known_entry& entry, result_record result) {
  result.number = entry.next_result++;
  entry.results_bytes += result.output.size();
  entry.results.push_back(result);
  if (entry_link* link = LinkOf(s, entry)) {
    link->outbox.results.push_back(std::move(result));
    link->must_send = true;
    s.metrics.CountSent(record_kind::result);
  }
  BoundResults(s, entry);
}

void Acknowledge(known_entry& entry, uint64_t through) {
  while (!entry.results.empty() && entry.results.front().number <= through) {
    entry.results_bytes -= entry.results.front().output.size();
    entry.results.pop_front();
  }
}

void Reject(sidecar_state& s,
            incarnation entry_name,
            const task_ref& task,
            bool timed_out) {
  const auto it = s.entries.find(entry_name);
  if (it == s.entries.end())
    return;
  entry_link* link = LinkOf(s, it->second);
  if (link == nullptr)
    return;
  link->outbox.rejects.push_back({task, timed_out});
  link->must_send = true;
  s.metrics.CountSent(record_kind::reject);
}

void Finish(sidecar_state& s, micros now, task_finished event) {
  const task_key key{event.entry, event.task};
  const auto running = s.running.find(key);
  if (running == s.running.end())
    return;
  const auto entry = s.entries.find(event.entry);
  if (entry != s.entries.end()) {
    result_record result;
    result.task = event.task;
    result.run_verdict = event.run_verdict;
    result.ok = event.ok;
    result.run_ms =
        static_cast<uint32_t>(ToMillis(now - running->second.started));
    result.queue_ms = running->second.queue_ms;
    result.output = std::move(event.output);
    KeepResult(s, entry->second, std::move(result));
  }
  s.running.erase(running);
}

// ---- [3] Frames from entries ------------------------------------------------

bool IsResult(const known_entry& entry, const task_ref& task) {
  return std::any_of(entry.results.begin(), entry.results.end(),
                     [&](const result_record& r) { return r.task == task; });
}

void Enqueue(sidecar_state& s, order_key order, queued_item item) {
  s.queue.emplace(std::pair(order, s.next_queued++), std::move(item));
}

order_key Absolute(micros now, order_key relative) {
  return relative == kNoBacklog ? kNoBacklog
                                : order_key{now.value + relative.value};
}

void HandleStart(sidecar_state& s,
                 micros now,
                 incarnation entry_name,
                 known_entry& entry,
                 start_record start) {
  const task_key key{entry_name, start.task};
  ++entry.starts_seen;
  if (s.running.count(key) != 0 || IsResult(entry, start.task)) {
    s.metrics.CountRetry(retry_reason::duplicate_start);
    return;
  }
  // A start answers the oldest offer, if there is one, which releases the slot
  // reserved for it.
  if (!entry.offers.empty())
    entry.offers.pop_front();
  if (AcceptsWork(s) && FreeSlots(s) > 0) {
    StartTask(s, now, key, std::move(start.payload), now);
    return;
  }
  if (!AcceptsWork(s) || !start.may_queue ||
      s.queue.size() >= s.options.max_queued) {
    Reject(s, entry_name, start.task, false);
    return;
  }
  queued_item item;
  item.key = key;
  item.payload = std::move(start.payload);
  item.enqueued = now;
  item.expires = now + Millis(start.ttl_ms);
  Enqueue(s, Absolute(now, start.order), std::move(item));
}

void HandleProbe(sidecar_state& s,
                 micros now,
                 incarnation entry_name,
                 const probe_record& probe) {
  if (s.queue.size() >= s.options.max_queued)
    return;
  queued_item item;
  item.key = {entry_name, {probe.job, 0}};
  item.is_probe = true;
  item.enqueued = now;
  Enqueue(s, Absolute(now, probe.order), std::move(item));
}

void DropQueued(sidecar_state& s,
                incarnation entry_name,
                job_seq job,
                bool probes_only) {
  std::erase_if(s.queue, [&](const auto& row) {
    const queued_item& item = row.second;
    return item.key.entry == entry_name && item.key.task.job == job &&
           (item.is_probe || !probes_only);
  });
}

void StopRunning(sidecar_state& s, const task_key& key) {
  s.running.erase(key);
  s.actions.push_back(stop_task{key.entry, key.task});
}

void CancelJob(sidecar_state& s, incarnation entry_name, job_seq job) {
  DropQueued(s, entry_name, job, false);
  auto it = s.running.lower_bound({entry_name, {job, 0}});
  while (it != s.running.end() && it->first.entry == entry_name &&
         it->first.task.job == job) {
    const task_key key = it->first;
    ++it;
    StopRunning(s, key);
  }
}

// Stops the tasks of this entry that it doesn't list any more: their cancel may
// have been lost with the older stream.
void StopUnwanted(sidecar_state& s,
                  incarnation entry_name,
                  const std::set<task_ref>& wanted) {
  auto it = s.running.lower_bound({entry_name, {}});
  while (it != s.running.end() && it->first.entry == entry_name) {
    const task_key key = it->first;
    ++it;
    if (wanted.count(key.task) == 0)
      StopRunning(s, key);
  }
}

// Reports what became of each task that the entry lists as unresolved. A task
// unknown here was never started and never will be: the fence is already
// raised, so a start that is still in transit on an older stream is dropped
// when it arrives.
reconcile_reply Reconcile(sidecar_state& s,
                          incarnation entry_name,
                          known_entry& entry,
                          const entry_hello& hello) {
  std::erase_if(s.queue, [&](const auto& row) {
    return row.second.key.entry == entry_name;
  });
  StopUnwanted(s, entry_name,
               {hello.unresolved.begin(), hello.unresolved.end()});
  reconcile_reply reply;
  reply.memory_token = entry.token;
  for (const task_ref& task : hello.unresolved) {
    task_outcome outcome = task_outcome::never_started;
    if (s.running.count({entry_name, task}) != 0)
      outcome = task_outcome::running;
    else if (IsResult(entry, task))
      outcome = task_outcome::resolved;
    reply.tasks.push_back({task, outcome});
  }
  return reply;
}

void CloseLink(sidecar_state& s, micros now, entry_id id, bool hangs_up) {
  entry_link& link = s.links[id.value];
  if (hangs_up)
    s.actions.push_back(hang_up{id, link.epoch});
  const auto known = s.entries.find(link.entry);
  if (link.state == link_state::up && known != s.entries.end()) {
    known_entry& entry = known->second;
    if (entry.linked && entry.link == id && entry.fence == link.epoch) {
      entry.linked = false;
      entry.offers.clear();
      entry.backlog = kNoBacklog;
      // Queued tasks of a broken stream are not started: their entry may have
      // given them up. It receives "never started" when it reconnects.
      std::erase_if(s.queue, [&](const auto& row) {
        return row.second.key.entry == link.entry;
      });
    }
  }
  link.state = link_state::idle;
  link.outbox = {};
  link.must_send = false;
  s.choice_due = true;
  // A stream that was given back did not fail.
  if (!link.is_neighbour) {
    link.is_released = false;
    return;
  }
  ++link.failed_dials;
  if (link.first_failed.value == 0)
    link.first_failed = now;
  link.next_dial = NextDial(s, now, link);
}

void HandleHello(sidecar_state& s,
                 micros now,
                 entry_id id,
                 const entry_hello& hello) {
  if (hello.address != s.links[id.value].address) {
    // The address is that of a load balancer: keep one stream per entry, to its
    // own address.
    AddEntryAddress(s, hello.address, false);
    CloseLink(s, now, id, true);
    s.links[id.value].next_dial = now + Millis(5000);
    return;
  }
  entry_link& link = s.links[id.value];
  known_entry& entry = s.entries[hello.entry];
  if (entry.token == 0)
    entry.token = s.random() | 1;
  if (link.epoch < entry.fence)
    return;
  entry.fence = link.epoch;
  entry.link = id;
  entry.linked = true;
  entry.last_received_at = now;
  entry.offers.clear();
  entry.backlog = kNoBacklog;
  entry.starts_seen = 0;
  link.entry = hello.entry;
  link.state = link_state::up;
  link.first_failed = micros{0};
  link.failed_dials = 0;
  link.outbox.reconcile = Reconcile(s, hello.entry, entry, hello);
  link.must_send = true;
  s.metrics.CountSent(record_kind::reconcile, hello.unresolved.size());
  for (const result_record& result : entry.results)
    link.outbox.results.push_back(result);
  s.metrics.CountSent(record_kind::result, entry.results.size());
}

void HandleDeclines(known_entry& entry, uint32_t declines) {
  for (; declines > 0 && !entry.offers.empty(); --declines)
    entry.offers.pop_front();
}

void HandleBacklog(micros now, known_entry& entry, const entry_frame& frame) {
  entry.backlog = Absolute(now, *frame.backlog);
  // Unanswered offers count towards the slots that the entry wants.
  const auto offered = static_cast<uint32_t>(entry.offers.size());
  entry.backlog_tasks =
      frame.backlog_tasks > offered ? frame.backlog_tasks - offered : 0;
  if (entry.backlog_tasks == 0)
    entry.backlog = kNoBacklog;
}

void HandleRecords(sidecar_state& s,
                   micros now,
                   incarnation entry_name,
                   known_entry& entry,
                   entry_frame& frame) {
  Acknowledge(entry, frame.acked_through);
  for (job_seq job : frame.cancels)
    CancelJob(s, entry_name, job);
  for (job_seq job : frame.probe_cancels)
    DropQueued(s, entry_name, job, true);
  for (start_record& start : frame.starts)
    HandleStart(s, now, entry_name, entry, std::move(start));
  for (const probe_record& probe : frame.probes)
    HandleProbe(s, now, entry_name, probe);
  HandleDeclines(entry, frame.declines);
  if (frame.backlog)
    HandleBacklog(now, entry, frame);
}

void HandleFrame(sidecar_state& s, micros now, link_frame_received event) {
  entry_link& link = s.links[event.link.value];
  entry_frame& frame = event.frame;
  ++s.metrics.frames_received;
  if (link.state == link_state::idle || frame.epoch != link.epoch) {
    s.metrics.CountRetry(retry_reason::fenced_frame);
    return;
  }
  link.last_received_at = now;
  RecordOperatorState(s, now, event.link, frame);
  for (const std::string& address : frame.peers)
    AddEntryAddress(s, address, false);
  if (frame.hello)
    HandleHello(s, now, event.link, *frame.hello);
  entry_link& same_link = s.links[event.link.value];  // adding addresses may
                                                      // have moved the elements
  if (same_link.state != link_state::up)
    return;
  const incarnation entry_name = same_link.entry;
  known_entry& entry = s.entries[entry_name];
  if (entry.fence != frame.epoch) {
    s.metrics.CountRetry(retry_reason::fenced_frame);
    return;
  }
  entry.last_received_at = now;
  HandleRecords(s, now, entry_name, entry, frame);
  if (frame.orders && s.options.manages_leases)
    HandleLeaseOrders(s.lease_manager, now, entry_name,
                      std::move(*frame.orders));
  if (frame.shutdown_notice) {
    ForgetOwner(s.lease_manager, entry_name);
    s.entries.erase(entry_name);
    CloseLink(s, now, event.link, true);
  }
}

// ---- [4] Upstream -----------------------------------------------------------

void RejectQueuedTasks(sidecar_state& s) {
  for (const auto& [order, item] : s.queue) {
    if (!item.is_probe)
      Reject(s, item.key.entry, item.key.task, false);
  }
  s.queue.clear();
}

void LeaveUpstream(sidecar_state& s) {
  s.state = upstream_state::leaving;
  RejectQueuedTasks(s);
}

// Tasks that wait for a slot are not started once the domain is closed.
void RejectQueuedIfClosed(sidecar_state& s) {
  if (!s.queue.empty() && IsClosed(s.closed_domains, s.options.failure_domain))
    RejectQueuedTasks(s);
}

void HandleAnnouncedUpstream(sidecar_state& s,
                             micros now,
                             const upstream_info& info) {
  s.upstream = info;
  s.last_announced = now;
  s.state = upstream_state::ready;
}

// Failure guarded against: an upstream crashes without leaving. Its
// announcements then stop, and new work stops once the third is missing.
void CheckUpstream(sidecar_state& s, micros now) {
  if (s.state == upstream_state::ready &&
      now - s.last_announced > s.options.announce_timeout)
    LeaveUpstream(s);
}

void ExpireQueued(sidecar_state& s, micros now) {
  std::erase_if(s.queue, [&](const auto& row) {
    const queued_item& item = row.second;
    if (item.is_probe || item.expires > now)
      return false;
    Reject(s, item.key.entry, item.key.task, true);
    return true;
  });
}

// ---- [5] Links --------------------------------------------------------------

sidecar_hello MakeHello(const sidecar_state& s) {
  return {s.options.self, s.options.name, s.options.failure_domain,
          s.config.version, s.closed_domains.known.version};
}

void Dial(sidecar_state& s, micros now, entry_id id) {
  entry_link& link = s.links[id.value];
  link.epoch = link_epoch{s.next_epoch++};
  link.state = link_state::dialing;
  link.last_received_at = now;
  link.last_sent = now;
  link.reported_upstream = {};
  link.outbox = {};
  ++s.dials;
  s.actions.push_back(dial_entry{id, link.address, link.epoch});
  sidecar_frame frame;
  frame.epoch = link.epoch;
  frame.hello = MakeHello(s);
  frame.version = s.config.version;
  frame.closed_version = s.closed_domains.known.version;
  s.actions.push_back(send_to_entry{id, std::move(frame)});
}

// Whether the entry has runs or results here, so that its stream needs the
// short timeouts.
bool IsActive(const sidecar_state& s, const entry_link& link) {
  const auto entry = s.entries.find(link.entry);
  const bool has_results =
      entry != s.entries.end() && !entry->second.results.empty();
  return !s.options.manages_leases || has_results ||
         HasRuns(s.lease_manager, link.entry);
}

// Failure guarded against: an open connection carries nothing any more while
// new ones work. No frame, not even a heartbeat, arrives within the silence
// timeout; then a new connection with a higher epoch replaces it.
void CheckLinks(sidecar_state& s, micros now) {
  for (size_t i = 0; i < s.links.size(); ++i) {
    const entry_id id{static_cast<uint32_t>(i)};
    entry_link& link = s.links[i];
    const link_timing& timing = s.options.timing;
    const bool idle = link.state == link_state::up && !IsActive(s, link);
    const micros silence = link.state == link_state::dialing
                               ? DialTimeout(s, link)
                           : idle ? timing.idle_silence_timeout
                                  : timing.silence_timeout;
    // Failure guarded against: an entry without runs here receives few reports
    // on this worker, takes it for free, and is refused. So larger changes are
    // reported at the usual rate.
    const bool quiet =
        idle && !HasUnreportedChange(s.lease_manager, link.entry);
    const micros heartbeat = quiet ? timing.idle_heartbeat : timing.heartbeat;
    const bool unwanted =
        link.state == link_state::dialing && !link.is_neighbour;
    if (unwanted || (link.state != link_state::idle &&
                     now - link.last_received_at > silence))
      CloseLink(s, now, id, true);
    if (link.state == link_state::idle && link.is_neighbour &&
        now >= link.next_dial)
      Dial(s, now, id);
    if (link.state == link_state::up && now - link.last_sent >= heartbeat &&
        !link.must_send) {
      link.must_send = true;
      s.metrics.CountSent(record_kind::heartbeat);
    }
  }
}

// Failure guarded against: an entry crashes and one of its tasks hangs, so that
// the slot is lost for good. The task is stopped, and its result says that it
// may have run, in case the entry was only paused and reconciles.
void StopOrphans(sidecar_state& s, micros now) {
  for (auto& [name, entry] : s.entries) {
    if (entry.linked || now - entry.last_received_at < s.options.orphan_timeout)
      continue;
    auto it = s.running.lower_bound({name, {}});
    while (it != s.running.end() && it->first.entry == name) {
      const task_key key = it->first;
      ++it;
      StopRunning(s, key);
      result_record result;
      result.task = key.task;
      result.run_verdict = verdict::may_have_run;
      result.output = "stopped: its entry was not heard of for too long";
      KeepResult(s, entry, std::move(result));
    }
  }
}

void ForgetEntries(sidecar_state& s, micros now) {
  std::erase_if(s.entries, [&](const auto& row) {
    return !row.second.linked &&
           now - row.second.last_received_at > s.options.entry_retention;
  });
}

bool SameUpstream(const upstream_info& a, const upstream_info& b) {
  return a.name == b.name && a.address == b.address && a.slots == b.slots &&
         a.connections == b.connections && a.cores == b.cores &&
         a.memory_mb == b.memory_mb;
}

upstream_state ReportedState(const sidecar_state& s) {
  return s.draining ? upstream_state::leaving : s.state;
}

bool HasReport(const sidecar_state& s, incarnation entry) {
  const auto owner = s.lease_manager.owners.find(entry);
  return owner != s.lease_manager.owners.end() && owner->second.report_pending;
}

void Flush(sidecar_state& s, micros now) {
  for (size_t i = 0; i < s.links.size(); ++i) {
    entry_link& link = s.links[i];
    if (link.state != link_state::up)
      continue;
    known_entry& entry = s.entries[link.entry];
    const bool state_changed = link.reported_state != ReportedState(s);
    const bool upstream_changed =
        !SameUpstream(link.reported_upstream, s.upstream);
    if (!link.must_send && !state_changed && !upstream_changed &&
        !HasReport(s, link.entry))
      continue;
    sidecar_frame frame = std::move(link.outbox);
    link.outbox = {};
    link.must_send = false;
    if (upstream_changed)
      frame.upstream = s.upstream;
    link.reported_upstream = s.upstream;
    link.reported_state = ReportedState(s);
    frame.epoch = link.epoch;
    frame.version = s.config.version;
    frame.closed_version = s.closed_domains.known.version;
    frame.load.state = ReportedState(s);
    frame.load.free_slots = AcceptsWork(s) ? FreeSlots(s) : 0;
    frame.load.queued = static_cast<uint32_t>(s.queue.size());
    frame.load.starts_seen = entry.starts_seen;
    frame.chooses_entries = s.chooses_entries;
    frame.release = link.is_released;
    if (s.options.manages_leases)
      frame.reports = ReportFor(s.lease_manager, now, link.entry);
    link.last_sent = now;
    ++s.metrics.frames_sent;
    s.actions.push_back(
        send_to_entry{entry_id{static_cast<uint32_t>(i)}, std::move(frame)});
  }
}

// ---- [6] Serving slots ------------------------------------------------------

void ExpireOffers(sidecar_state& s, micros now) {
  for (auto& [name, entry] : s.entries) {
    while (!entry.offers.empty() &&
           now - entry.offers.front() > s.options.offer_timeout)
      entry.offers.pop_front();
  }
}

// The linked entry whose first waiting job is before those of all others; null
// if none has a backlog.
known_entry* FirstBacklog(sidecar_state& s) {
  known_entry* best = nullptr;
  for (auto& [name, entry] : s.entries) {
    if (!entry.linked || entry.backlog == kNoBacklog ||
        s.links[entry.link.value].is_released)
      continue;
    if (best == nullptr || entry.backlog < best->backlog)
      best = &entry;
  }
  return best;
}

// Reserves a slot for the entry until a start uses it or the entry declines it.
// Not more slots are reserved than the entry has waiting tasks; its answer
// carries the newest count.
void ReserveSlot(known_entry& entry, micros now) {
  entry.offers.push_back(now);
  if (entry.backlog_tasks > 0 && --entry.backlog_tasks == 0)
    entry.backlog = kNoBacklog;
}

void Offer(sidecar_state& s, micros now, known_entry& entry, job_seq job) {
  entry_link* link = LinkOf(s, entry);
  ReserveSlot(entry, now);
  link->outbox.offers.push_back({job});
  link->must_send = true;
  s.metrics.CountSent(record_kind::offer);
}

// A slot freed by a result is granted to the entry of that result without a
// separate offer record, if that entry has a backlog and no other entry has a
// job that is before it by more than the margin.
void GrantWithResults(sidecar_state& s, micros now) {
  const known_entry* best = FirstBacklog(s);
  if (best == nullptr)
    return;
  const order_key first = best->backlog;
  for (auto& [name, entry] : s.entries) {
    entry_link* link = LinkOf(s, entry);
    if (link == nullptr || entry.backlog == kNoBacklog)
      continue;
    if (entry.backlog.value > first.value + s.options.keep_slot_margin.value)
      continue;
    if (!s.queue.empty() && s.queue.begin()->first.first < entry.backlog)
      continue;
    const size_t freed =
        link->outbox.reconcile ? 0 : link->outbox.results.size();
    while (link->outbox.granted < freed && FreeSlots(s) > 0 &&
           entry.backlog != kNoBacklog) {
      ReserveSlot(entry, now);
      ++link->outbox.granted;
    }
  }
}

void ServeQueueHead(sidecar_state& s, micros now) {
  queued_item item = std::move(s.queue.begin()->second);
  s.queue.erase(s.queue.begin());
  if (!item.is_probe) {
    StartTask(s, now, item.key, std::move(item.payload), item.enqueued);
    return;
  }
  const auto entry = s.entries.find(item.key.entry);
  if (entry != s.entries.end() && entry->second.linked)
    Offer(s, now, entry->second, item.key.task.job);
}

void ServeSlots(sidecar_state& s, micros now) {
  if (!AcceptsWork(s))
    return;
  GrantWithResults(s, now);
  while (FreeSlots(s) > 0) {
    known_entry* best = FirstBacklog(s);
    const bool has_queue = !s.queue.empty();
    if (best == nullptr && !has_queue)
      return;
    if (has_queue &&
        (best == nullptr || s.queue.begin()->first.first <= best->backlog)) {
      ServeQueueHead(s, now);
      continue;
    }
    Offer(s, now, *best, job_seq{0});
  }
}

// ---- [7] Tick ---------------------------------------------------------------

struct event_handler {
  sidecar_state& s;
  micros now;

  void operator()(link_frame_received& e) {
    if (e.link.value >= s.links.size())
      return;
    HandleFrame(s, now, std::move(e));
  }
  void operator()(link_lost& e) {
    if (e.link.value < s.links.size() && s.links[e.link.value].epoch == e.epoch)
      CloseLink(s, now, e.link, false);
  }
  void operator()(upstream_announced& e) {
    HandleAnnouncedUpstream(s, now, e.info);
  }
  void operator()(upstream_left&) { LeaveUpstream(s); }
  void operator()(task_finished& e) { Finish(s, now, std::move(e)); }
  void operator()(drain_requested&) {
    s.draining = true;
    s.drain_since = now;
    s.lease_manager.stopping = true;
    RejectQueuedTasks(s);
  }
  void operator()(entries_found& e) {
    for (const directory_row& row : e.rows)
      UpdateDirectoryRow(s, row);
  }
  void operator()(worker_record_answered& e) {
    HandleRecordStoreAnswer(s, now, e.reply);
  }
  void operator()(lease_manager_event& e) {
    HandleLeaseManagerEvent(s.lease_manager, now, std::move(e));
  }
};

// Runs the lease manager's part of the tick and takes over its actions.
void RunLeaseManager(sidecar_state& s, micros now) {
  if (!s.options.manages_leases)
    return;
  TickLeaseManager(s.lease_manager, now);
  for (lease_manager_action& action : s.lease_manager.actions)
    s.actions.emplace_back(std::move(action));
  s.lease_manager.actions.clear();
}

// Whether all results are acknowledged. An entry whose stream is broken has the
// drain grace to reconnect for its results.
bool AllAcknowledged(const sidecar_state& s, micros now) {
  return std::all_of(s.entries.begin(), s.entries.end(), [&](const auto& row) {
    const known_entry& entry = row.second;
    const bool given_up =
        !entry.linked && now - entry.last_received_at > s.options.drain_grace;
    return entry.results.empty() || given_up;
  });
}

// A planned stop waits for leased runs to end, but not longer than the drain
// grace: the next sidecar of this worker stops the remaining ones.
bool LeasesDrained(const sidecar_state& s, micros now) {
  if (!s.options.manages_leases || now - s.drain_since > s.options.drain_grace)
    return true;
  return s.lease_manager.runs.empty() &&
         std::all_of(s.lease_manager.owners.begin(),
                     s.lease_manager.owners.end(),
                     [](const auto& row) { return row.second.ends.empty(); });
}

void CheckDrained(sidecar_state& s, micros now) {
  if (!s.draining || !s.running.empty() || !AllAcknowledged(s, now) ||
      !LeasesDrained(s, now))
    return;
  for (size_t i = 0; i < s.links.size(); ++i) {
    entry_link& link = s.links[i];
    if (link.state != link_state::up)
      continue;
    link.outbox.shutdown_notice = true;
    link.must_send = true;
  }
  s.actions.push_back(drained{});
}

}  // namespace

uint32_t FreeSlots(const sidecar_state& s) {
  const size_t used = s.running.size() + OfferedSlots(s);
  const size_t capacity = Capacity(s);
  return used >= capacity ? 0 : static_cast<uint32_t>(capacity - used);
}

sidecar_state MakeSidecar(sidecar_options options) {
  sidecar_state s;
  s.random.seed(options.seed);
  s.lease_manager = MakeLeaseManager(options.lease_manager);
  s.worker_record = MakeWorkerRecord(
      options.name, options.manages_leases && options.keeps_worker_record);
  s.options = std::move(options);
  for (const std::string& address : s.options.seeds)
    AddEntryAddress(s, address, true);
  return s;
}

std::vector<sidecar_action> Tick(sidecar_state& s,
                                 micros now,
                                 std::vector<sidecar_event> events) {
  s.actions.clear();
  ++s.metrics.ticks;
  for (sidecar_event& event : events)
    std::visit(event_handler{s, now}, event);
  CheckUpstream(s, now);
  RejectQueuedIfClosed(s);
  ExpireQueued(s, now);
  ExpireOffers(s, now);
  TickNeighbours(s, now);
  CheckLinks(s, now);
  RequestConfig(s, now);
  RelayOperatorState(s, now);
  StopOrphans(s, now);
  ForgetEntries(s, now);
  ServeSlots(s, now);
  RunLeaseManager(s, now);
  KeepWorkerRecord(s, now);
  CheckDrained(s, now);
  Flush(s, now);
  return std::move(s.actions);
}

}  // namespace cassiaferry
