// Health of workers: ejection of those that fail everything, probation, fewer
// tasks for slow ones; and the drain rate of each upstream.
//
// Contents
//   [1] Failures
//   [2] Speed
//   [3] Drain rate

#include <algorithm>
#include <cmath>

#include "entry_systems.h"

namespace cassiaferry {

namespace {

constexpr double kDecay = 0.9;  // applied to earlier results with each new one
// Decayed; about three failed jobs in a row.
constexpr double kMinFailures = 2.4;
constexpr double kEjectRatio = 0.6;      // of a worker's recent results
constexpr double kMaxOthersRatio = 0.3;  // the others must fail less than this
constexpr int64_t kFirstEjectionMs = 5000;
constexpr uint32_t kMaxDoublings = 4;
constexpr uint32_t kProbationResults = 3;
constexpr double kSpeedDecay = 0.98;
// Cap of one sample: a single long task doesn't make a worker slow.
constexpr double kMaxRunRatio = 4;
constexpr uint32_t kMinSpeedSamples = 50;  // before a speed is used
constexpr double kSlowRatio = 1.8;  // above this ratio a worker counts as slow
constexpr int64_t kDrainWindowMs = 250;
constexpr double kDrainDecay = 0.8;

// ---- [1] Failures -----------------------------------------------------------

size_t CountWorkers(const entry_state& s,
                    const std::string& upstream,
                    bool only_ejected,
                    micros now) {
  return std::count_if(
      s.workers.begin(), s.workers.end(), [&](const worker_row& w) {
        const bool linked =
            w.state == worker_link::up && w.upstream.name == upstream;
        return linked && (!only_ejected || w.health.ejected_until > now);
      });
}

// A faulty job fails on every worker; a faulty worker fails every job while the
// others succeed. Only the latter is ejected, and never more than half of an
// upstream's workers.
bool IsAtFault(const entry_state& s, const worker_row& w, micros now) {
  const worker_health& h = w.health;
  if (h.failed < kMinFailures || h.failed < kEjectRatio * (h.ok + h.failed))
    return false;
  const auto upstream = s.upstreams.find(w.upstream.name);
  if (upstream == s.upstreams.end())
    return false;
  const double others_failed =
      std::max(0.0, upstream->second.failed - h.failed);
  const double others =
      others_failed + std::max(0.0, upstream->second.ok - h.ok);
  if (others > 0 && others_failed > kMaxOthersRatio * others)
    return false;
  const size_t ejected = CountWorkers(s, w.upstream.name, true, now);
  return (ejected + 1) * 2 <= CountWorkers(s, w.upstream.name, false, now);
}

void Eject(worker_row& w, micros now) {
  worker_health& h = w.health;
  const uint32_t doublings = std::min(h.ejections, kMaxDoublings);
  h.ejected_until = now + Millis(kFirstEjectionMs << doublings);
  ++h.ejections;
  h.probation_left = kProbationResults;
  h.ok = 0;
  h.failed = 0;
}

void RecordFailure(entry_state& s, micros now, worker_row& w, job_seq job) {
  worker_health& h = w.health;
  if (h.last_failed_job == job)
    return;
  h.last_failed_job = job;
  h.ok *= kDecay;
  h.failed = h.failed * kDecay + 1;
  if (h.probation_left > 0 || IsAtFault(s, w, now))
    Eject(w, now);
}

void RecordSuccess(worker_row& w) {
  worker_health& h = w.health;
  h.ok = h.ok * kDecay + 1;
  h.failed *= kDecay;
  if (h.probation_left == 0)
    return;
  if (--h.probation_left == 0)
    h.ejections = 0;
}

// ---- [2] Speed --------------------------------------------------------------

void RecordSpeed(upstream_row& upstream, worker_health& h, double run_ms) {
  upstream.mean_run_ms = upstream.mean_run_ms == 0
                             ? run_ms
                             : upstream.mean_run_ms * 0.99 + run_ms * 0.01;
  if (upstream.mean_run_ms <= 0)
    return;
  h.speed =
      h.speed * kSpeedDecay +
      (1 - kSpeedDecay) * std::min(run_ms / upstream.mean_run_ms, kMaxRunRatio);
  h.speed_samples = std::min(h.speed_samples + 1, kMinSpeedSamples);
}

bool IsSlow(const worker_health& h) {
  return h.speed_samples >= kMinSpeedSamples && h.speed > kSlowRatio;
}

}  // namespace

void RecordResult(entry_state& s,
                  micros now,
                  worker_row& worker,
                  const job_row& job,
                  const result_record& result) {
  upstream_row& upstream = s.upstreams[job.upstream];
  constexpr double kUpstreamKeep = 0.99;
  upstream.ok = upstream.ok * kUpstreamKeep + (result.ok ? 1 : 0);
  upstream.failed = upstream.failed * kUpstreamKeep + (result.ok ? 0 : 1);
  ++upstream.finished_in_window;
  if (!result.ok) {
    RecordFailure(s, now, worker, job.id.seq);
    return;
  }
  RecordSuccess(worker);
  RecordSpeed(upstream, worker.health, result.run_ms);
}

bool AcceptsTasks(const worker_row& worker, micros now) {
  return worker.state == worker_link::up && !worker.closed &&
         worker.load.state == upstream_state::ready && !worker.is_released &&
         worker.health.ejected_until <= now;
}

uint32_t SlotLimit(const worker_row& worker) {
  const worker_health& h = worker.health;
  if (h.probation_left > 0)
    return 1;
  if (!IsSlow(h))
    return UINT32_MAX;
  return std::max(
      1u, static_cast<uint32_t>(worker.upstream.slots / (h.speed * h.speed)));
}

bool HasCapacity(const worker_row& worker, micros now) {
  return AcceptsTasks(worker, now) &&
         worker.unresolved.size() < SlotLimit(worker);
}

// ---- [3] Drain rate ---------------------------------------------------------

void MeasureDrainRate(entry_state& s, micros now) {
  for (auto& [name, upstream] : s.upstreams) {
    const micros elapsed = now - upstream.drain_updated;
    if (elapsed < Millis(kDrainWindowMs))
      continue;
    const double rate =
        upstream.finished_in_window * 1e6 / static_cast<double>(elapsed.value);
    upstream.drain_per_s =
        upstream.drain_per_s * kDrainDecay + rate * (1 - kDrainDecay);
    upstream.finished_in_window = 0;
    upstream.drain_updated = now;
  }
}

}  // namespace cassiaferry
