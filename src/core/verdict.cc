// Names and HTTP statuses of verdicts and reasons; text forms of ids.

#include "cassiaferry/verdict.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "cassiaferry/ids.h"

namespace cassiaferry {

namespace {

struct reason_info {
  const char* name;
  int status;
};

constexpr std::array<reason_info, static_cast<size_t>(reason::count_)>
    kReasons = {{
        {"none", 200},
        {"bad_request", 400},
        {"key_required", 400},
        {"not_found", 404},
        {"unknown_team", 404},
        {"unknown_upstream", 404},
        {"key_conflict", 409},
        {"key_in_progress", 409},
        {"key_owner_lost", 409},
        {"config_conflict", 409},
        {"too_large", 413},
        {"never_runnable", 422},
        {"team_quota", 429},
        {"queue_full", 429},
        {"deadline_unreachable", 429},
        {"task_failed", 502},
        {"worker_lost", 502},
        {"no_worker", 503},
        {"draining", 503},
        {"starting", 503},
        {"platform_unavailable", 503},
        {"deadline", 504},
        {"cancelled", 499},
        {"unauthorized", 401},
        {"forbidden", 403},
        {"not_supported", 501},
    }};

class reason_category : public std::error_category {
 public:
  const char* name() const noexcept override { return "cassiaferry"; }
  std::string message(int value) const override {
    return ToText(static_cast<reason>(value));
  }
};

}  // namespace

const char* ToText(verdict v) {
  switch (v) {
    case verdict::not_run:
      return "not_run";
    case verdict::may_have_run:
      return "may_have_run";
    case verdict::ran:
      return "ran";
  }
  return "may_have_run";
}

verdict WeakerVerdict(verdict a, verdict b) {
  if (a == verdict::may_have_run || b == verdict::may_have_run)
    return verdict::may_have_run;
  return a == b ? a : verdict::may_have_run;
}

const char* ToText(reason r) {
  return kReasons[static_cast<size_t>(r)].name;
}

int HttpStatus(reason r) {
  return kReasons[static_cast<size_t>(r)].status;
}

const std::error_category& ReasonCategory() {
  static const reason_category category;
  return category;
}

std::error_code make_error_code(reason r) {
  return {static_cast<int>(r), ReasonCategory()};
}

std::string ToHex(uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (size_t i = 16; i-- > 0; value >>= 4)
    text[i] = kDigits[value & 15];
  return text;
}

std::string ToText(const job_id& id) {
  return ToHex(id.entry.value) + "-" + std::to_string(id.seq.value);
}

std::optional<job_id> ParseJobId(std::string_view text) {
  job_id id;
  if (text.size() < 18 || text[16] != '-')
    return std::nullopt;
  const char* end = text.data() + text.size();
  const auto head =
      std::from_chars(text.data(), text.data() + 16, id.entry.value, 16);
  const auto tail = std::from_chars(text.data() + 17, end, id.seq.value);
  if (head.ec != std::errc() || head.ptr != text.data() + 16)
    return std::nullopt;
  if (tail.ec != std::errc() || tail.ptr != end)
    return std::nullopt;
  return id;
}

}  // namespace cassiaferry
