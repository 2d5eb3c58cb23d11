// Rows of the directory of entries.

#include "cassiaferry/directory.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "cassiaferry/json_fields.h"

namespace cassiaferry {

namespace {

// Reads a number and the character behind it, which is dropped from the text
// with the number.
template <typename Number>
bool TakeNumber(std::string_view& text, char behind, Number& value) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const auto length = static_cast<size_t>(parsed.ptr - text.data());
  if (parsed.ec != std::errc() || length >= text.size() ||
      text[length] != behind)
    return false;
  text.remove_prefix(length + 1);
  return true;
}

// Returns true for an IPv4 address and a port.
bool IsAddress(const std::string& address) {
  const std::string ended = address + '\n';
  std::string_view text = ended;
  uint8_t part = 0;
  for (int i = 0; i < 4; ++i) {
    if (!TakeNumber(text, i < 3 ? '.' : ':', part))
      return false;
  }
  uint16_t port = 0;
  return TakeNumber(text, '\n', port) && port != 0 && text.empty();
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
  const nlohmann::json j = ParseRecord(text);
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
