// Leased jobs and their workers as Prometheus text.

#include <algorithm>
#include <utility>

#include "cassiaferry/lease_manager.h"
#include "cassiaferry/leased_jobs.h"
#include "cassiaferry/metrics.h"
#include "leased_capacity.h"

namespace cassiaferry {

namespace {

void AppendJobs(std::string& out, const leased_counters& c) {
  const std::string name = "cassiaferry_leased_jobs_total";
  AppendMetric(out, name, "outcome=\"completed\"",
               static_cast<double>(c.jobs_completed));
  AppendMetric(out, name, "outcome=\"failed\"",
               static_cast<double>(c.jobs_failed));
  AppendMetric(out, name, "outcome=\"cancelled\"",
               static_cast<double>(c.jobs_cancelled));
  AppendMetric(out, name, "outcome=\"refused\"",
               static_cast<double>(c.jobs_refused));
}

void AppendDurable(std::string& out, const durable_state& d) {
  const durable_counters& c = d.counters;
  const std::pair<const char*, uint64_t> counts[] = {{"accepted", c.accepted},
                                                     {"taken_over", c.adopted}};
  for (const auto& [what, count] : counts)
    AppendMetric(out, "cassiaferry_durable_jobs_total",
                 std::string("what=\"") + what + "\"",
                 static_cast<double>(count));
  AppendMetric(out, "cassiaferry_durable_jobs_open", "",
               static_cast<double>(d.jobs));
  AppendMetric(out, "cassiaferry_durable_owners_taken_over_total", "",
               static_cast<double>(c.adoptions));
  AppendMetric(out, "cassiaferry_durable_deposed_total", "",
               static_cast<double>(c.deposed));
  AppendMetric(out, "cassiaferry_durable_lapses_asked_total", "",
               static_cast<double>(c.expiries_requested));
  AppendMetric(out, "cassiaferry_store_calls_total", "kind=\"transaction\"",
               static_cast<double>(d.journal.transactions));
  AppendMetric(out, "cassiaferry_store_calls_total", "kind=\"read\"",
               static_cast<double>(c.reads));
  AppendMetric(out, "cassiaferry_store_failures", "",
               static_cast<double>(d.journal.failures));
}

void AppendEnds(std::string& out,
                const std::string& name,
                const uint64_t (&ends)[kRunEndKinds]) {
  for (size_t i = 0; i < kRunEndKinds; ++i)
    AppendMetric(
        out, name,
        std::string("how=\"") + ToText(static_cast<run_end_kind>(i)) + "\"",
        static_cast<double>(ends[i]));
}

void AppendUnevenWorkers(std::string& out, const leased_state& s) {
  for (const auto& [queue, estimate] : s.estimates) {
    const std::string label = "queue=\"" + queue + "\"";
    AppendMetric(out, "cassiaferry_estimate_ratio", label, estimate.ratio);
    AppendMetric(out, "cassiaferry_estimate_margin", label, estimate.margin);
  }
  for (const auto& [upstream, pace] : s.usual_pace)
    AppendMetric(out, "cassiaferry_usual_pace", "upstream=\"" + upstream + "\"",
                 pace);
  AppendMetric(out, "cassiaferry_moves_total", "",
               static_cast<double>(s.moves.moves));
  const std::pair<const char*, uint64_t> declined[] = {
      {"no_gain", s.moves.no_gain},
      {"no_budget", s.moves.no_budget},
      {"no_capacity", s.moves.no_capacity}};
  for (const auto& [why, count] : declined)
    AppendMetric(out, "cassiaferry_moves_declined_total",
                 std::string("why=\"") + why + "\"",
                 static_cast<double>(count));
}

// Labels are from callers: they may hold any characters.
std::string LabelText(std::string label) {
  label.resize(std::min(label.size(), kMaxLabelLength));
  std::replace_if(
      label.begin(), label.end(),
      [](char c) { return c == '"' || c == '\\' || c == '\n'; }, '_');
  return "label=\"" + label + "\"";
}

void AppendJobsWithoutWorker(std::string& out, const leased_state& s) {
  const std::string name = "cassiaferry_leased_jobs_without_worker";
  size_t all = 0;
  size_t labels = 0;
  for (const auto& [label, jobs] : JobsWithoutWorker(s)) {
    all += jobs;
    if (++labels <= kMaxLabelsShown)
      AppendMetric(out, name + "_by_label", LabelText(label),
                   static_cast<double>(jobs));
  }
  AppendMetric(out, name, "", static_cast<double>(all));
}

}  // namespace

std::string LeasedPrometheusText(const leased_state& s) {
  std::string out;
  AppendMetric(out, "cassiaferry_leased_jobs_received_total", "",
               static_cast<double>(s.counters.jobs_received));
  AppendJobs(out, s.counters);
  AppendMetric(out, "cassiaferry_leased_callers_gone_unknown_total", "",
               static_cast<double>(s.counters.callers_gone_unknown));
  AppendMetric(out, "cassiaferry_leased_runs_ordered_total", "",
               static_cast<double>(s.counters.runs_ordered));
  AppendEnds(out, "cassiaferry_leased_runs_ended_total", s.counters.runs_ended);
  if (s.durable.options.enabled)
    AppendDurable(out, s.durable);
  AppendMetric(out, "cassiaferry_leased_jobs_open", "",
               static_cast<double>(s.jobs.size()));
  AppendMetric(out, "cassiaferry_leased_jobs_waiting", "",
               static_cast<double>(s.waiting.size()));
  AppendMetric(out, "cassiaferry_leased_jobs_overdue", "",
               static_cast<double>(s.overdue.size()));
  AppendJobsWithoutWorker(out, s);
  AppendMetric(out, "cassiaferry_link_bytes_per_s_bound", "", s.link.rate);
  AppendMetric(out, "cassiaferry_link_delay_ms", "",
               static_cast<double>(ToMillis(s.link.delay)));
  AppendMetric(out, "cassiaferry_entry_late_ms", "", s.late.mean_us / 1000);
  AppendMetric(out, "cassiaferry_entry_loop_wait_ms", "",
               static_cast<double>(ToMillis(s.late.last_loop_wait)));
  AppendMetric(out, "cassiaferry_entry_read_delay_ms", "",
               static_cast<double>(ToMillis(s.late.last_read_delay)));
  AppendMetric(out, "cassiaferry_entry_request_wait_ms", "",
               static_cast<double>(ToMillis(s.late.last_request_wait)));
  AppendMetric(out, "cassiaferry_leased_work_arriving_millicores", "",
               s.work_arriving);
  if (s.options.shares_across_entries)
    out += SystemDemandPrometheusText(s.demand, s.last_tick);
  AppendUnevenWorkers(out, s);
  for (const auto& [queue, latencies] : s.latencies) {
    const std::string label = "queue=\"" + queue + "\"";
    AppendHistogram(out, "cassiaferry_leased_unread_ms", label,
                    latencies.unread);
    AppendHistogram(out, "cassiaferry_leased_queued_ms", label,
                    latencies.queued);
    AppendHistogram(out, "cassiaferry_leased_response_ms", label,
                    latencies.response);
  }
  return out;
}

std::string LeaseManagerPrometheusText(const lease_manager_state& k,
                                       micros now) {
  std::string out;
  AppendMetric(out, "cassiaferry_worker_takes_work", "",
               AcceptsLeasedWork(k, now) ? 1 : 0);
  AppendMetric(out, "cassiaferry_worker_lives_total", "",
               static_cast<double>(k.sessions_met));
  AppendMetric(out, "cassiaferry_worker_cpu_capacity", "",
               static_cast<double>(k.worker.capacity.cpu));
  AppendMetric(out, "cassiaferry_worker_cpu_used", "",
               static_cast<double>(k.used.cpu));
  AppendMetric(out, "cassiaferry_worker_runs", "",
               static_cast<double>(k.runs.size()));
  AppendMetric(out, "cassiaferry_worker_pace", "", k.pace);
  AppendMetric(out, "cassiaferry_worker_ends_held", "",
               static_cast<double>(k.held_ends.size()));
  AppendMetric(out, "cassiaferry_worker_looks_total", "",
               static_cast<double>(k.polls_sent));
  AppendMetric(out, "cassiaferry_worker_calls_unanswered_total", "",
               static_cast<double>(k.calls_unanswered));
  AppendMetric(out, "cassiaferry_worker_starts_waited_total", "",
               static_cast<double>(k.starts_waited));
  AppendMetric(out, "cassiaferry_worker_starts_waited_in_vain_total", "",
               static_cast<double>(k.starts_wait_expired));
  AppendEnds(out, "cassiaferry_worker_runs_ended_total", k.runs_ended);
  return out;
}

}  // namespace cassiaferry
