// Shapes of load: which jobs arrive when, drawn by seed.

#ifndef CASSIAFERRY_SRC_APPS_LOAD_SHAPE_H_
#define CASSIAFERRY_SRC_APPS_LOAD_SHAPE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// The default is the shape that docs/POLICIES.md measures by.
struct load_shape {
  std::string name = "default";
  std::string upstream = "slots";
  double load = 0.8;     // offered work against the slots
  uint32_t slots = 80;   // of the whole system
  double seconds = 30;   // of arrivals
  uint32_t jobs = 0;     // instead of seconds, when above 0
  uint32_t callers = 0;  // above 0: closed loop, each sends again once answered
  int64_t deadline_ms = 60'000;
  double size_shape = 1.3;  // Pareto, of tasks in a job
  double size_low = 1;
  double size_high = 420;
  double run_mu = -1.6;  // lognormal, of seconds
  double run_sigma = 0.7;
  double run_low_s = 0.05;
  double run_high_s = 5;
  double declared_factor =
      1;                  // declared run times are off by up to this factor
  double burst_at_s = 0;  // above 0: so many jobs arrive at once
  uint32_t burst_jobs = 0;
  double cancel_at_s = 0;  // above 0: this share of open jobs is cancelled
  double cancel_share = 0;
  int slow_upstream = -1;  // index of a straggler
  double slow_factor = 1;
  int failing_upstream = -1;  // index of one that fails everything
  std::vector<std::pair<std::string, double>> teams = {
      {"lime", 1}};  // with their shares of jobs
};

// One job to send.
struct planned_job {
  micros at{0};  // after the start
  std::string team;
  std::vector<double> run_ms;  // of each task
  std::vector<double> declared_ms;
  double longest_ms = 0;
};

// Reads a shape; on error says which member is wrong, in `error`.
load_shape ReadShape(const nlohmann::json& j, std::string& error);

std::vector<planned_job> PlanJobs(const load_shape& shape, uint64_t seed);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_LOAD_SHAPE_H_
