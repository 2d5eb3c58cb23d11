// Strong types for identifiers and units.
//
// Contents
//   [1] Identifiers
//   [2] Time
//   [3] Text forms

#ifndef CASSIAFERRY_IDS_H_
#define CASSIAFERRY_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cassiaferry {

// ---- [1] Identifiers --------------------------------------------------------

// An integer that can't be mixed up with another kind of integer.
template <typename Tag, typename Rep>
struct strong_id {
  Rep value = 0;
  auto operator<=>(const strong_id&) const = default;
};

// Random, one per process start.
using incarnation = strong_id<struct incarnation_tag, uint64_t>;
// Grows with each stream between an entry and a sidecar.
using link_epoch = strong_id<struct epoch_tag, uint64_t>;
// Unique within an entry incarnation.
using job_seq = strong_id<struct job_seq_tag, uint64_t>;
// A leased job; unique within an entry incarnation.
using leased_seq = strong_id<struct leased_seq_tag, uint64_t>;
// Index into an entry's worker table.
using worker_id = strong_id<struct worker_tag, uint32_t>;
// Index into a sidecar's entry table.
using entry_id = strong_id<struct entry_tag, uint32_t>;
// One caller's request inside an entry.
using ticket_id = strong_id<struct ticket_tag, uint64_t>;
// One connection to an HTTP server. Ids are not reused while it runs.
using connection_id = strong_id<struct connection_tag, uint64_t>;
// Grows with each accepted change; 0: none.
using config_version = strong_id<struct config_tag, uint64_t>;

// Names one task within the stream of one entry incarnation.
struct task_ref {
  job_seq job;
  uint32_t index = 0;
  auto operator<=>(const task_ref&) const = default;
};

// Names a job for callers and operators, across entries and restarts.
struct job_id {
  incarnation entry;
  job_seq seq;
  auto operator<=>(const job_id&) const = default;
};

// ---- [2] Time ---------------------------------------------------------------

// Core code never reads a clock: the time is passed to every tick.
// Microseconds on the process's monotonic clock.
using micros = strong_id<struct micros_tag, int64_t>;

constexpr micros Millis(int64_t ms) {
  return micros{ms * 1000};
}
constexpr micros operator+(micros a, micros b) {
  return micros{a.value + b.value};
}
constexpr micros operator-(micros a, micros b) {
  return micros{a.value - b.value};
}
constexpr int64_t ToMillis(micros t) {
  return t.value / 1000;
}

// ---- [3] Text forms ---------------------------------------------------------

// "00ab..-12": incarnation in hex, sequence.
std::string ToText(const job_id& id);
// Empty if `text` is not in the form that ToText writes.
std::optional<job_id> ParseJobId(std::string_view text);
std::string ToHex(uint64_t value);  // 16 digits

}  // namespace cassiaferry

template <typename Tag, typename Rep>
struct std::hash<cassiaferry::strong_id<Tag, Rep>> {
  size_t operator()(const cassiaferry::strong_id<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value);
  }
};

template <>
struct std::hash<cassiaferry::task_ref> {
  size_t operator()(const cassiaferry::task_ref& ref) const {
    return std::hash<uint64_t>()(ref.job.value * 0x9E3779B97F4A7C15ULL +
                                 ref.index);
  }
};

#endif  // CASSIAFERRY_IDS_H_
