// Which lines a process logs when there are more than it may write.
//
// Lines about decisions are written as long as there is any budget. Routine
// lines, one or more for each job that takes its usual course, are dropped
// first; the lines of a sample of jobs are kept, of the same jobs in every
// process.
//
// Pure functions: no thread, clock or socket.
//
// Contents
//   [1] Classes
//   [2] Budget

#ifndef CASSIAFERRY_LOG_BUDGET_H_
#define CASSIAFERRY_LOG_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Classes ------------------------------------------------------------

enum class log_class : uint8_t {
  decision,  // refusals, failures, changes of state: everything not routine
  routine,   // a job, or a worker, takes its usual course
};
constexpr size_t kLogClasses = 2;

const char* ToText(log_class c);

// Whether routine lines of the job with this id are in the sample, one job of
// 16. The same in every process, so that a sampled job can be followed through
// all of them. False for an empty id.
bool IsSampledJob(std::string_view job);

// ---- [2] Budget -------------------------------------------------------------

// Lines a second; a busy process makes about 100, and a flood is of no more
// use.
constexpr double kLogRate = 400;
constexpr double kLogBurst = 800;  // lines
// Lines of the burst that routine lines leave to decisions.
constexpr double kLogDecisionReserve = kLogBurst / 2;
// Lines of the burst that routine lines of sampled jobs leave to decisions.
// Failure guarded against: a flood so large that its sample alone takes the
// whole rate, above 6,400 routine lines a second. Then sampled jobs lack lines.
constexpr double kLogSampleReserve = kLogBurst / 4;

struct log_budget {
  double lines = kLogBurst;  // that may be written at once
  micros filled_at{0};
  // Since the start of the process, by class.
  std::array<uint64_t, kLogClasses> dropped_total{};
  // Not reported in the log yet, by class and by what they tell.
  std::array<uint64_t, kLogClasses> dropped{};
  std::map<std::string, uint64_t, std::less<>> dropped_what;
  bool has_reported = false;
  micros reported_at{0};  // when drops were last reported
};

// Whether a routine line of a job outside the sample may be written now.
bool MayLogRoutine(log_budget& b, micros now);

// Takes one line of class `c` from the budget; `sampled`: of a job in the
// sample. Returns false, without counting the line, if it must be dropped.
bool TakeLine(log_budget& b, micros now, log_class c, bool sampled);

void CountDroppedLine(log_budget& b, log_class c, std::string_view what);

// Whether lines have been dropped that must be reported now: at most once a
// second.
bool MustReportDropped(const log_budget& b, micros now);
void RecordDroppedReported(log_budget& b, micros now);

std::string LogPrometheusText(const log_budget& b);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_LOG_BUDGET_H_
