// Admission of leased jobs.
//
// Contents
//   [1] Predictions
//   [2] Refusals

#include "leased_admission.h"

#include <algorithm>
#include <cmath>

namespace cassiaferry {

namespace {

// Three jobs of four take no longer than is likely by the margin. A fixed one
// of 1.3 or 1.6 does as well (0.84 of the value at 1.4 times the load that
// fits, cassiaferry-emulate), but estimates are off by other factors elsewhere.
constexpr double kMarginQuantile = 0.75;
constexpr double kMarginStep = 0.05;
constexpr double kMinMargin = 1;
constexpr double kMaxMargin = 2;
// Arrivals are taken together over this time, and decayed: a burst shows within
// a few waits of a short job.
constexpr micros kArrivalInterval = Millis(100);
constexpr micros kArrivalAveragingTime = Millis(300);
// More work arrives than this share of what is done: what waits and is late
// will not find room.
constexpr double kOverloadShare = 0.9;
// A burst that is over is worked off: some still arrives.
constexpr double kLastSampleShare = 0.5;

}  // namespace

// ---- [1] Predictions --------------------------------------------------------

int64_t WaitingCpu(const leased_job& job) {
  int64_t cpu = 0;
  for (uint32_t index : job.waiting)
    cpu += job.steps[job.tasks[index].task.step].need.cpu;
  return cpu;
}

micros DurationWithMargin(const leased_state& s, const leased_job& job) {
  const auto it = s.estimates.find(job.queue.name);
  const double margin = it == s.estimates.end() ? 1 : it->second.margin;
  return micros{
      static_cast<int64_t>(static_cast<double>(job.expected.value) * margin)};
}

// A quantile that forgets: each sample above it moves it up three times as far
// as each below moves it down.
void UpdateDurationMargin(leased_state& s, const leased_job& job, micros took) {
  double& margin = s.estimates[job.queue.name].margin;
  const bool above = took > DurationWithMargin(s, job);
  const double step = above ? kMarginQuantile : kMarginQuantile - 1;
  margin =
      std::clamp(margin * std::exp(kMarginStep * step), kMinMargin, kMaxMargin);
}

void RecordArrival(leased_state& s, const leased_job& job) {
  s.work_arrived += static_cast<double>(WaitingCpu(job)) *
                    static_cast<double>(job.expected.value);
}

void MeasureArrivals(leased_state& s, micros now) {
  const micros passed = now - s.arrivals_measured_at;
  if (passed < kArrivalInterval)
    return;
  const auto time = static_cast<double>(passed.value);
  const double keep =
      std::exp(-time / static_cast<double>(kArrivalAveragingTime.value));
  s.previous_work_arriving = s.work_arriving;
  s.last_work_sample = s.work_arrived / time;
  s.work_arriving = s.work_arriving * keep + s.last_work_sample * (1 - keep);
  s.work_arrived = 0;
  s.arrivals_measured_at = now;
}

namespace {

// Work is done at the rate of the room in use: a core does a core-second a
// second. So what stands ahead takes its work over that room, and what is
// free. Failure guarded against: after an outage little is in use yet, and
// jobs would be refused while workers stand idle.
double WorkRate(const leased_state& s, int64_t free_cpu) {
  auto rate = static_cast<double>(free_cpu);
  for (const auto& [queue, cpu] : s.cpu_in_use)
    rate += static_cast<double>(cpu);
  return rate;
}

}  // namespace

double DrainMs(const leased_state& s, int64_t free_cpu) {
  double work = 0;  // thousandths of a core times microseconds
  for (leased_seq seq : s.waiting) {
    const leased_job& job = s.jobs.at(seq);
    work += static_cast<double>(WaitingCpu(job)) *
            static_cast<double>(job.expected.value);
  }
  return work / std::max(1.0, WorkRate(s, free_cpu)) / 1000;
}

// ---- [2] Refusals -----------------------------------------------------------

bool MayRefuse(const leased_job& job) {
  return !job.started && job.durable.stage == durable_stage::none;
}

namespace {

// Under lasting overload a job that ends late takes the room of one that could
// have been in time, and that one waits and ends late as well. Load: 1.4 times
// what fits, one worker of eleven at a standstill, 6 of 100 orders lost: 0.69
// instead of 0.63 of the value is served (cassiaferry-emulate, six seeds).
bool RefusesLate(const leased_state& s, double rate) {
  return s.options.admission == leased_admission::in_time &&
         std::min(s.work_arriving, s.previous_work_arriving) >
             kOverloadShare * rate &&
         s.last_work_sample > kLastSampleShare * rate;
}

}  // namespace

std::vector<leased_seq> UnservableJobs(const leased_state& s,
                                       const std::vector<leased_seq>& order,
                                       int64_t free_cpu,
                                       micros now) {
  const double rate = WorkRate(s, free_cpu);
  const bool refuses_late = RefusesLate(s, rate);
  double ahead = 0;
  size_t bytes_ahead = 0;
  std::vector<leased_seq> hopeless;
  for (leased_seq seq : order) {
    const leased_job& job = s.jobs.at(seq);
    const micros for_room{rate > 0 ? static_cast<int64_t>(ahead / rate)
                                   : int64_t{0}};
    const micros starts =
        now + std::max(for_room, TimeOnLink(s.link, bytes_ahead));
    const bool useless = starts + job.expected > job.useless_after;
    const bool late = starts + DurationWithMargin(s, job) > job.late_after;
    if (MayRefuse(job) && (useless || (late && refuses_late))) {
      hopeless.push_back(seq);
      continue;
    }
    ahead += static_cast<double>(WaitingCpu(job)) *
             static_cast<double>(job.expected.value);
    bytes_ahead += job.payload.size() + kPayloadCopyBytes;
  }
  return hopeless;
}

}  // namespace cassiaferry
