// Rows of the directory of entries.

#include "cassiaferry/directory.h"

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

std::string WriteDirectoryRow(const std::string& link) {
  return nlohmann::json{{"link", link}}.dump();
}

std::optional<std::string> ReadDirectoryRow(const std::string& row) {
  const nlohmann::json j = nlohmann::json::parse(row, nullptr, false);
  std::string link = TextField(j, "link");
  if (!IsAddress(link))
    return std::nullopt;
  return link;
}

}  // namespace cassiaferry
