// Which lines a process logs when there are more than it may write.
//
// Contents
//   [1] Classes
//   [2] Budget

#include "cassiaferry/log_budget.h"

#include <xxhash.h>

#include <algorithm>

namespace cassiaferry {

// ---- [1] Classes ------------------------------------------------------------

const char* ToText(log_class c) {
  return c == log_class::routine ? "routine" : "decision";
}

bool IsSampledJob(std::string_view job) {
  constexpr uint64_t kOneOf = 16;
  return !job.empty() && XXH64(job.data(), job.size(), 0) % kOneOf == 0;
}

// ---- [2] Budget -------------------------------------------------------------

namespace {

void Fill(log_budget& b, micros now) {
  const double passed = static_cast<double>((now - b.filled_at).value) / 1e6;
  b.lines = std::min(kLogBurst, b.lines + passed * kLogRate);
  b.filled_at = now;
}

// Lines of the burst that a line must leave to decisions.
double ReserveFor(log_class c, bool sampled) {
  if (c == log_class::decision)
    return 0;
  return sampled ? kLogSampleReserve : kLogDecisionReserve;
}

}  // namespace

bool MayLogRoutine(log_budget& b, micros now) {
  Fill(b, now);
  return b.lines >= kLogDecisionReserve + 1;
}

bool TakeLine(log_budget& b, micros now, log_class c, bool sampled) {
  Fill(b, now);
  if (b.lines < ReserveFor(c, sampled) + 1)
    return false;
  b.lines -= 1;
  return true;
}

void CountDroppedLine(log_budget& b, log_class c, std::string_view what) {
  ++b.dropped_total[static_cast<size_t>(c)];
  ++b.dropped[static_cast<size_t>(c)];
  const auto it = b.dropped_what.find(what);
  if (it == b.dropped_what.end())
    b.dropped_what.emplace(what, 1);
  else
    ++it->second;
}

bool MustReportDropped(const log_budget& b, micros now) {
  constexpr micros kReportEvery = Millis(1000);
  return !b.dropped_what.empty() &&
         (!b.has_reported || now - b.reported_at >= kReportEvery);
}

void RecordDroppedReported(log_budget& b, micros now) {
  b.dropped = {};
  b.dropped_what.clear();
  b.has_reported = true;
  b.reported_at = now;
}

std::string LogPrometheusText(const log_budget& b) {
  std::string out;
  for (const log_class c : {log_class::decision, log_class::routine})
    out += std::string("cassiaferry_log_lines_dropped_total{class=\"") +
           ToText(c) + "\"} " +
           std::to_string(b.dropped_total[static_cast<size_t>(c)]) + "\n";
  return out;
}

}  // namespace cassiaferry
