// Rows of the directory of entries.

#include "cassiaferry/directory.h"

#include <algorithm>
#include <charconv>

#include "cassiaferry/json_fields.h"

namespace cassiaferry {

namespace {

// Returns true for an IPv4 address and a port.
bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 ||
      text.find_first_not_of("0123456789.") != colon)
    return false;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

}  // namespace

std::string WriteDirectoryRow(const directory_row& row) {
  return nlohmann::json{{"link", row.link},
                        {"failure_domain", row.failure_domain},
                        {"reach", row.reach},
                        {"labels", row.labels}}
      .dump();
}

std::optional<directory_row> ReadDirectoryRow(const std::string& text) {
  const nlohmann::json j = nlohmann::json::parse(text, nullptr, false);
  directory_row row;
  row.link = TextField(j, "link");
  if (!IsAddress(row.link))
    return std::nullopt;
  row.failure_domain = TextField(j, "failure_domain");
  row.reach =
      std::clamp(NumberField(j, "reach", uint32_t{1}), uint32_t{1}, kMaxReach);
  const nlohmann::json* labels = FindField(j, "labels");
  if (labels == nullptr || !labels->is_array())
    return row;
  for (const nlohmann::json& label : *labels) {
    if (label.is_string() && row.labels.size() < kMaxWantedLabels)
      row.labels.push_back(label);
  }
  return row;
}

}  // namespace cassiaferry
