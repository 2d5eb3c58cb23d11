// Frames to and from their wire form.
//
// Contents
//   [1] Shared records
//   [2] Leased runs
//   [3] Entry frames
//   [4] Sidecar frames

#include "codec.h"

#include "cassiaferry/compression.h"

#include <algorithm>
#include <utility>

namespace cassiaferry {

namespace {

// ---- [1] Shared records -----------------------------------------------------

void Write(const task_ref& ref, wire::TaskRef* out) {
  out->set_job(ref.job.value);
  out->set_index(ref.index);
}

task_ref Read(const wire::TaskRef& ref) {
  return {job_seq{ref.job()}, ref.index()};
}

void Write(const config_document& document, wire::ConfigDocument* out) {
  out->set_version(document.version.value);
  out->set_change_id(document.change_id);
  out->set_author(document.author);
  out->set_packed_json(Compress(document.json));
}

// A text that can't be read becomes empty, which no party takes for a
// configuration.
config_document Read(const wire::ConfigDocument& document) {
  return {config_version{document.version()}, document.change_id(),
          document.author(), Decompress(document.packed_json()).value_or("")};
}

void Write(const closed_domains& closings, wire::DomainClosings* out) {
  out->set_version(closings.version.value);
  for (const std::string& domain : closings.domains)
    out->add_domains(domain);
}

closed_domains Read(const wire::DomainClosings& closings) {
  return {closed_domains_version{closings.version()},
          {closings.domains().begin(), closings.domains().end()}};
}

// An enum from a peer may hold a value that this build does not know.
template <typename Enum>
Enum Bounded(uint32_t value, Enum last) {
  return static_cast<Enum>(std::min(value, static_cast<uint32_t>(last)));
}

// ---- [2] Leased runs --------------------------------------------------------

void Write(const resources& r, wire::Room* out) {
  out->set_cpu(r.cpu);
  out->set_memory_mb(r.memory_mb);
  out->set_gpus(r.gpus);
}

resources Read(const wire::Room& r) {
  return {r.cpu(), r.memory_mb(), r.gpus()};
}

void Write(const run_ref& ref, wire::RunRef* out) {
  out->set_job(ref.task.job);
  out->set_occurrence(ref.task.occurrence);
  out->set_step(ref.task.step);
  out->set_index(ref.task.index);
  out->set_run(ref.run);
}

run_ref Read(const wire::RunRef& ref) {
  return {{ref.job(), ref.occurrence(), ref.step(), ref.index()}, ref.run()};
}

void Write(const run_start& start, wire::RunStart* out) {
  out->set_occurrence(start.ref.task.occurrence);
  out->set_step(start.ref.task.step);
  out->set_index(start.ref.task.index);
  out->set_run(start.ref.run);
  out->set_expected_ms(start.expected_ms);
  Write(start.need, out->mutable_need());
}

// Tasks of one job come one after the other and share its payload, which
// travels once.
void WriteStarts(const std::vector<run_start>& starts, wire::LeaseOrders* out) {
  wire::RunStartBatch* batch = nullptr;
  for (const run_start& start : starts) {
    if (batch == nullptr || batch->job() != start.ref.task.job) {
      batch = out->add_starts();
      batch->set_job(start.ref.task.job);
      batch->set_payload(start.payload);
      batch->set_durable(start.durable);
      batch->set_packed(start.compressed);
    }
    Write(start, batch->add_starts());
  }
}

void ReadBatch(const wire::RunStartBatch& batch, std::vector<run_start>& out) {
  for (const wire::RunStart& start : batch.starts()) {
    run_start s;
    s.ref = {{batch.job(), start.occurrence(), start.step(), start.index()},
             start.run()};
    s.need = Read(start.need());
    s.expected_ms = start.expected_ms();
    s.payload = batch.payload();
    s.durable = batch.durable();
    s.compressed = batch.packed();
    out.push_back(std::move(s));
  }
}

void Write(const queue_demand& demand, wire::QueueDemand* out) {
  out->set_queue(demand.queue);
  out->set_cpu_in_use(demand.cpu_in_use);
  out->set_cpu_waiting(demand.cpu_waiting);
}

queue_demand Read(const wire::QueueDemand& demand) {
  return {demand.queue(), demand.cpu_in_use(), demand.cpu_waiting()};
}

void Write(const lease_orders& orders, wire::LeaseOrders* out) {
  out->set_echo(orders.echo);
  out->set_sent(orders.sent);
  WriteStarts(orders.starts, out);
  for (const run_ref& ref : orders.stops)
    Write(ref, out->add_stops());
  out->set_acked_end(orders.acked_end);
  out->set_wanted_cpu(orders.wanted_cpu);
  out->set_follows(orders.follows_resources);
  out->set_is_first(orders.is_first);
  for (const run_ref& ref : orders.known)
    Write(ref, out->add_known());
  out->set_taken_end(orders.last_received_end);
  for (const resolved_end& settled : orders.resolved_ends) {
    wire::SettledEnd* s = out->add_settled();
    Write(settled.ref, s->mutable_ref());
    s->set_fate(static_cast<uint32_t>(settled.disposition));
  }
  for (const queue_demand& demand : orders.demand)
    Write(demand, out->add_demand());
}

lease_orders Read(const wire::LeaseOrders& orders) {
  lease_orders o;
  o.echo = orders.echo();
  o.sent = orders.sent();
  for (const wire::RunStartBatch& batch : orders.starts())
    ReadBatch(batch, o.starts);
  for (const wire::RunRef& ref : orders.stops())
    o.stops.push_back(Read(ref));
  o.acked_end = orders.acked_end();
  o.wanted_cpu = orders.wanted_cpu();
  o.follows_resources = orders.follows();
  o.is_first = orders.is_first();
  for (const wire::RunRef& ref : orders.known())
    o.known.push_back(Read(ref));
  o.last_received_end = orders.taken_end();
  for (const wire::SettledEnd& settled : orders.settled())
    o.resolved_ends.push_back(
        {Read(settled.ref()),
         Bounded(settled.fate(), end_disposition::offer_to_others)});
  for (const wire::QueueDemand& demand : orders.demand())
    o.demand.push_back(Read(demand));
  return o;
}

void Write(const leased_worker_info& info, wire::LeasedWorkerInfo* out) {
  out->set_life(info.session.id);
  out->set_started_ms(info.session.started_ms);
  out->set_upstream(info.upstream);
  Write(info.capacity, out->mutable_capacity());
  for (const std::string& label : info.labels)
    out->add_labels(label);
}

leased_worker_info Read(const wire::LeasedWorkerInfo& info) {
  return {{info.life(), info.started_ms()},
          info.upstream(),
          Read(info.capacity()),
          {info.labels().begin(), info.labels().end()}};
}

void Write(const run_end& end, wire::RunEnd* out) {
  out->set_number(end.number);
  Write(end.ref, out->mutable_ref());
  out->set_how(static_cast<uint32_t>(end.kind));
  out->set_run_ms(end.run_ms);
}

run_end Read(const wire::RunEnd& end) {
  return {end.number(), Read(end.ref()),
          Bounded(end.how(), run_end_kind::superseded), end.run_ms()};
}

void Write(const lease_reports& reports, wire::LeaseReports* out) {
  out->set_stamp(reports.stamp);
  out->set_starts_seen(reports.starts_seen);
  out->set_takes_work(reports.accepts_work);
  Write(reports.free, out->mutable_free());
  if (reports.worker)
    Write(*reports.worker, out->mutable_worker());
  for (const run_end& end : reports.ends)
    Write(end, out->add_ends());
  out->set_settled_seen(reports.resolved_seen);
  for (const run_end& end : reports.unclaimed)
    Write(end, out->add_unclaimed());
  out->set_pace(reports.pace);
  out->set_heard_sent(reports.last_received.sent);
  out->set_heard_transit(reports.last_received.transit);
  out->set_heard_held(reports.last_received.held);
  for (const straggler& slow : reports.stragglers) {
    wire::Straggler* st = out->add_stragglers();
    Write(slow.ref, st->mutable_ref());
    st->set_run_ms(slow.run_ms);
    st->set_percent(slow.percent);
  }
  for (const queue_demand& demand : reports.demand)
    Write(demand, out->add_demand());
  out->set_demand_entries(reports.demand_entries);
}

lease_reports Read(const wire::LeaseReports& reports) {
  lease_reports r;
  r.stamp = reports.stamp();
  r.starts_seen = reports.starts_seen();
  r.accepts_work = reports.takes_work();
  r.free = Read(reports.free());
  if (reports.has_worker())
    r.worker = Read(reports.worker());
  for (const wire::RunEnd& end : reports.ends())
    r.ends.push_back(Read(end));
  r.resolved_seen = reports.settled_seen();
  for (const wire::RunEnd& end : reports.unclaimed())
    r.unclaimed.push_back(Read(end));
  r.pace = reports.pace();
  r.last_received = {reports.heard_sent(), reports.heard_transit(),
                     reports.heard_held()};
  for (const wire::Straggler& slow : reports.stragglers())
    r.stragglers.push_back({Read(slow.ref()), slow.run_ms(), slow.percent()});
  for (const wire::QueueDemand& demand : reports.demand())
    r.demand.push_back(Read(demand));
  r.demand_entries = reports.demand_entries();
  return r;
}

// ---- [3] Entry frames -------------------------------------------------------

void Write(const start_record& start, wire::Start* out) {
  Write(start.task, out->mutable_task());
  out->set_payload(start.payload);
  out->set_order(start.order.value);
  out->set_ttl_ms(start.ttl_ms);
  out->set_may_queue(start.may_queue);
}

start_record Read(wire::Start&& start) {
  start_record r;
  r.task = Read(start.task());
  r.payload = std::move(*start.mutable_payload());
  r.order = order_key{start.order()};
  r.ttl_ms = start.ttl_ms();
  r.may_queue = start.may_queue();
  return r;
}

void Write(const entry_hello& hello, wire::EntryHello* out) {
  out->set_entry(hello.entry.value);
  out->set_address(hello.address);
  for (const task_ref& ref : hello.unresolved)
    Write(ref, out->add_unresolved());
}

entry_hello Read(const wire::EntryHello& hello) {
  entry_hello h;
  h.entry = incarnation{hello.entry()};
  h.address = hello.address();
  for (const wire::TaskRef& ref : hello.unresolved())
    h.unresolved.push_back(Read(ref));
  return h;
}

}  // namespace

wire::EntryFrame ToWire(const entry_frame& frame) {
  wire::EntryFrame out;
  out.set_epoch(frame.epoch.value);
  if (frame.hello)
    Write(*frame.hello, out.mutable_hello());
  for (const start_record& start : frame.starts)
    Write(start, out.add_starts());
  for (job_seq job : frame.cancels)
    out.add_cancels(job.value);
  for (const probe_record& probe : frame.probes) {
    wire::Probe* p = out.add_probes();
    p->set_job(probe.job.value);
    p->set_order(probe.order.value);
  }
  for (job_seq job : frame.probe_cancels)
    out.add_probe_cancels(job.value);
  if (frame.backlog)
    out.set_backlog(frame.backlog->value);
  out.set_backlog_tasks(frame.backlog_tasks);
  out.set_declines(frame.declines);
  out.set_acked_through(frame.acked_through);
  out.set_goodbye(frame.shutdown_notice);
  for (const std::string& peer : frame.peers)
    out.add_peers(peer);
  out.set_version(frame.version.value);
  if (frame.config)
    Write(*frame.config, out.mutable_config());
  out.set_closed_as_of(frame.closed_version.value);
  if (frame.closed_set)
    Write(*frame.closed_set, out.mutable_closings());
  if (frame.orders)
    Write(*frame.orders, out.mutable_orders());
  return out;
}

entry_frame FromWire(wire::EntryFrame&& frame) {
  entry_frame f;
  f.epoch = link_epoch{frame.epoch()};
  if (frame.has_hello())
    f.hello = Read(frame.hello());
  for (wire::Start& start : *frame.mutable_starts())
    f.starts.push_back(Read(std::move(start)));
  for (uint64_t job : frame.cancels())
    f.cancels.push_back(job_seq{job});
  for (const wire::Probe& probe : frame.probes())
    f.probes.push_back({job_seq{probe.job()}, order_key{probe.order()}});
  for (uint64_t job : frame.probe_cancels())
    f.probe_cancels.push_back(job_seq{job});
  if (frame.has_backlog())
    f.backlog = order_key{frame.backlog()};
  f.backlog_tasks = frame.backlog_tasks();
  f.declines = frame.declines();
  f.acked_through = frame.acked_through();
  f.shutdown_notice = frame.goodbye();
  for (std::string& peer : *frame.mutable_peers())
    f.peers.push_back(std::move(peer));
  f.version = config_version{frame.version()};
  if (frame.has_config())
    f.config = Read(frame.config());
  f.closed_version = closed_domains_version{frame.closed_as_of()};
  if (frame.has_closings())
    f.closed_set = Read(frame.closings());
  if (frame.has_orders())
    f.orders = Read(frame.orders());
  return f;
}

// ---- [4] Sidecar frames -----------------------------------------------------

namespace {

void Write(const upstream_info& info, wire::UpstreamInfo* out) {
  out->set_name(info.name);
  out->set_address(info.address);
  out->set_slots(info.slots);
  out->set_connections(info.connections);
  out->set_cores(info.cores);
  out->set_memory_mb(info.memory_mb);
}

upstream_info Read(const wire::UpstreamInfo& info) {
  return {info.name(),        info.address(), info.slots(),
          info.connections(), info.cores(),   info.memory_mb()};
}

void Write(const reconcile_reply& reply, wire::ReconcileReply* out) {
  out->set_memory(reply.memory_token);
  for (const reconcile_record& r : reply.tasks) {
    wire::Reconciled* item = out->add_tasks();
    Write(r.task, item->mutable_task());
    item->set_fate(static_cast<uint32_t>(r.outcome));
  }
}

reconcile_reply Read(const wire::ReconcileReply& reply) {
  reconcile_reply r;
  r.memory_token = reply.memory();
  for (const wire::Reconciled& item : reply.tasks())
    r.tasks.push_back(
        {Read(item.task()), Bounded(item.fate(), task_outcome::resolved)});
  return r;
}

void Write(const result_record& result, wire::Result* out) {
  out->set_number(result.number);
  Write(result.task, out->mutable_task());
  out->set_what(static_cast<uint32_t>(result.run_verdict));
  out->set_ok(result.ok);
  out->set_run_ms(result.run_ms);
  out->set_queue_ms(result.queue_ms);
  out->set_output(result.output);
}

result_record Read(wire::Result&& result) {
  result_record r;
  r.number = result.number();
  r.task = Read(result.task());
  r.run_verdict = Bounded(result.what(), verdict::ran);
  r.ok = result.ok();
  r.run_ms = result.run_ms();
  r.queue_ms = result.queue_ms();
  r.output = std::move(*result.mutable_output());
  return r;
}

}  // namespace

wire::SidecarFrame ToWire(const sidecar_frame& frame) {
  wire::SidecarFrame out;
  out.set_epoch(frame.epoch.value);
  if (frame.hello) {
    wire::SidecarHello* hello = out.mutable_hello();
    hello->set_sidecar(frame.hello->sidecar.value);
    hello->set_name(frame.hello->name);
    hello->set_failure_domain(frame.hello->failure_domain);
    hello->set_version(frame.hello->version.value);
    hello->set_closed_as_of(frame.hello->closed_version.value);
  }
  if (frame.upstream)
    Write(*frame.upstream, out.mutable_upstream());
  if (frame.reconcile)
    Write(*frame.reconcile, out.mutable_reconcile());
  for (const result_record& result : frame.results)
    Write(result, out.add_results());
  for (const reject_record& reject : frame.rejects) {
    wire::Reject* r = out.add_rejects();
    Write(reject.task, r->mutable_task());
    r->set_timed_out(reject.timed_out);
  }
  for (const offer_record& offer : frame.offers)
    out.add_offers(offer.job.value);
  out.set_granted(frame.granted);
  out.set_state(static_cast<uint32_t>(frame.load.state));
  out.set_free_slots(frame.load.free_slots);
  out.set_queued(frame.load.queued);
  out.set_starts_seen(frame.load.starts_seen);
  out.set_goodbye(frame.shutdown_notice);
  out.set_version(frame.version.value);
  out.set_wants_config(frame.wants_config);
  out.set_closed_as_of(frame.closed_version.value);
  if (frame.closed_set)
    Write(*frame.closed_set, out.mutable_closings());
  if (frame.config)
    Write(*frame.config, out.mutable_config());
  if (frame.reports)
    Write(*frame.reports, out.mutable_reports());
  out.set_chooses_entries(frame.chooses_entries);
  out.set_release(frame.release);
  return out;
}

sidecar_frame FromWire(wire::SidecarFrame&& frame) {
  sidecar_frame f;
  f.epoch = link_epoch{frame.epoch()};
  if (frame.has_hello()) {
    const wire::SidecarHello& hello = frame.hello();
    f.hello =
        sidecar_hello{incarnation{hello.sidecar()}, hello.name(),
                      hello.failure_domain(), config_version{hello.version()},
                      closed_domains_version{hello.closed_as_of()}};
  }
  if (frame.has_upstream())
    f.upstream = Read(frame.upstream());
  if (frame.has_reconcile())
    f.reconcile = Read(frame.reconcile());
  for (wire::Result& result : *frame.mutable_results())
    f.results.push_back(Read(std::move(result)));
  for (const wire::Reject& reject : frame.rejects())
    f.rejects.push_back({Read(reject.task()), reject.timed_out()});
  for (uint64_t job : frame.offers())
    f.offers.push_back({job_seq{job}});
  f.granted = frame.granted();
  f.load.state = Bounded(frame.state(), upstream_state::leaving);
  f.load.free_slots = frame.free_slots();
  f.load.queued = frame.queued();
  f.load.starts_seen = frame.starts_seen();
  f.shutdown_notice = frame.goodbye();
  f.wants_config = frame.wants_config();
  f.closed_version = closed_domains_version{frame.closed_as_of()};
  if (frame.has_closings())
    f.closed_set = Read(frame.closings());
  f.version = config_version{frame.version()};
  if (frame.has_config())
    f.config = Read(frame.config());
  if (frame.has_reports())
    f.reports = Read(frame.reports());
  f.chooses_entries = frame.chooses_entries();
  f.release = frame.release();
  return f;
}

}  // namespace cassiaferry
