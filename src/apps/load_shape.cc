// Shapes of load.

#include "load_shape.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "cassiaferry/config.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

const std::vector<field_rule> kRules = {
    {"name", field_kind::text, 1, 64},
    {"upstream", field_kind::text, 1, 64},
    {"load", field_kind::number, 0.01, 10},
    {"slots", field_kind::integer, 1, 100'000},
    {"seconds", field_kind::number, 0, 3600},
    {"jobs", field_kind::integer, 0, 1e6},
    {"callers", field_kind::integer, 0, 1024},
    {"deadline_ms", field_kind::integer, 1, 3'600'000},
    {"size_shape", field_kind::number, 0.1, 10},
    {"size_low", field_kind::number, 1, 1000},
    {"size_high", field_kind::number, 1, 1000},
    {"run_mu", field_kind::number, -20, 20},
    {"run_sigma", field_kind::number, 0, 10},
    {"run_low_s", field_kind::number, 0, 3600},
    {"run_high_s", field_kind::number, 0, 3600},
    {"declared_factor", field_kind::number, 1, 1000},
    {"burst_at_s", field_kind::number, 0, 3600},
    {"burst_jobs", field_kind::integer, 0, 100'000},
    {"cancel_at_s", field_kind::number, 0, 3600},
    {"cancel_share", field_kind::number, 0, 1},
    {"slow_upstream", field_kind::integer, -1, 1000},
    {"slow_factor", field_kind::number, 1, 1000},
    {"failing_upstream", field_kind::integer, -1, 1000},
    {"teams", field_kind::object},
};

constexpr int kMeanSamples = 200'000;
constexpr uint64_t kMeanSeed = 7;

using source = std::mt19937_64;

double Uniform(source& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// Bounded Pareto, by inversion.
size_t DrawSize(const load_shape& s, source& random) {
  const double u = Uniform(random);
  const double low = std::pow(s.size_low, s.size_shape);
  const double high = std::pow(s.size_high, s.size_shape);
  const double x =
      std::pow(-(u * high - u * low - high) / (high * low), -1 / s.size_shape);
  return static_cast<size_t>(std::clamp(x, s.size_low, s.size_high));
}

double DrawRunMs(const load_shape& s, source& random) {
  const double x =
      std::lognormal_distribution<double>(s.run_mu, s.run_sigma)(random);
  return std::clamp(x, s.run_low_s, s.run_high_s) * 1000;
}

// Slot seconds that one job takes on average.
double MeanWork(const load_shape& s) {
  source random(kMeanSeed);
  double tasks = 0;
  double run_ms = 0;
  for (int i = 0; i < kMeanSamples; ++i) {
    tasks += static_cast<double>(DrawSize(s, random));
    run_ms += DrawRunMs(s, random);
  }
  return tasks / kMeanSamples * run_ms / kMeanSamples / 1000;
}

std::string DrawTeam(const load_shape& s, source& random) {
  double total = 0;
  for (const auto& [team, share] : s.teams)
    total += share;
  double draw = Uniform(random) * total;
  for (const auto& [team, share] : s.teams) {
    draw -= share;
    if (draw <= 0)
      return team;
  }
  return s.teams.back().first;
}

planned_job DrawJob(const load_shape& s, source& random, double at_s) {
  planned_job job;
  job.at = micros{static_cast<int64_t>(at_s * 1e6)};
  job.team = DrawTeam(s, random);
  const size_t tasks = DrawSize(s, random);
  for (size_t i = 0; i < tasks; ++i) {
    const double run_ms = DrawRunMs(s, random);
    const double factor = std::pow(s.declared_factor, 2 * Uniform(random) - 1);
    job.run_ms.push_back(run_ms);
    job.declared_ms.push_back(run_ms * factor);
    job.longest_ms = std::max(job.longest_ms, run_ms);
  }
  return job;
}

}  // namespace

load_shape ReadShape(const json& j, std::string& error) {
  std::vector<config_error> errors;
  CheckObject(j, kRules, "", errors);
  load_shape s;
  if (!errors.empty()) {
    error = errors.front().path + ": " + errors.front().message;
    return s;
  }
  s.name = j.value("name", s.name);
  s.upstream = j.value("upstream", s.upstream);
  s.load = j.value("load", s.load);
  s.slots = j.value("slots", s.slots);
  s.seconds = j.value("seconds", s.seconds);
  s.jobs = j.value("jobs", s.jobs);
  s.callers = j.value("callers", s.callers);
  s.deadline_ms = j.value("deadline_ms", s.deadline_ms);
  s.size_shape = j.value("size_shape", s.size_shape);
  s.size_low = j.value("size_low", s.size_low);
  s.size_high = j.value("size_high", s.size_high);
  s.run_mu = j.value("run_mu", s.run_mu);
  s.run_sigma = j.value("run_sigma", s.run_sigma);
  s.run_low_s = j.value("run_low_s", s.run_low_s);
  s.run_high_s = j.value("run_high_s", s.run_high_s);
  s.declared_factor = j.value("declared_factor", s.declared_factor);
  s.burst_at_s = j.value("burst_at_s", s.burst_at_s);
  s.burst_jobs = j.value("burst_jobs", s.burst_jobs);
  s.cancel_at_s = j.value("cancel_at_s", s.cancel_at_s);
  s.cancel_share = j.value("cancel_share", s.cancel_share);
  s.slow_upstream = j.value("slow_upstream", s.slow_upstream);
  s.slow_factor = j.value("slow_factor", s.slow_factor);
  s.failing_upstream = j.value("failing_upstream", s.failing_upstream);
  if (j.contains("teams") && !j["teams"].empty()) {
    s.teams.clear();
    for (const auto& [team, share] : j["teams"].items()) {
      if (!share.is_number() || share.get<double>() <= 0)
        error = "/teams/" + team + ": must be a number above 0";
      else
        s.teams.emplace_back(team, share.get<double>());
    }
  }
  return s;
}

std::vector<planned_job> PlanJobs(const load_shape& shape, uint64_t seed) {
  source random(seed);
  const double rate = shape.load * shape.slots / MeanWork(shape);
  std::exponential_distribution<double> gap(rate);
  std::vector<planned_job> jobs;
  double at_s = 0;
  while (shape.jobs > 0 ? jobs.size() < shape.jobs : at_s < shape.seconds) {
    at_s += gap(random);
    jobs.push_back(DrawJob(shape, random, at_s));
  }
  if (shape.burst_at_s > 0) {
    for (uint32_t i = 0; i < shape.burst_jobs; ++i)
      jobs.push_back(DrawJob(shape, random, shape.burst_at_s));
  }
  std::stable_sort(
      jobs.begin(), jobs.end(),
      [](const planned_job& a, const planned_job& b) { return a.at < b.at; });
  return jobs;
}

}  // namespace cassiaferry
