// Access to JSON records written by another process.
//
// Failure guarded against: another writer's record has a member of an
// unexpected type or a number out of range, is nested so deeply that copying it
// exhausts the stack, or holds so many values that they take many times the
// memory of their text, and each process that reads it ends or goes on with a
// number that nobody wrote. A member that is missing, of another type or out of
// range is treated as absent; a record that is nested too deeply or holds too
// much is not read.

#ifndef CASSIAFERRY_JSON_FIELDS_H_
#define CASSIAFERRY_JSON_FIELDS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cassiaferry {

// Levels of objects and lists in a record.
constexpr size_t kMaxRecordDepth = 32;
// Largest whole number that a record may hold where nothing else bounds it:
// sums of some thousand of them fit into 64 bits.
constexpr int64_t kMaxRecordNumber = int64_t{1} << 50;

// Memory that the parsed form of a text may take.
constexpr size_t kMaxTreeBytes = size_t{24} << 20;

// Of a text, whether it is JSON or not; found without parsing it.
struct json_extent {
  size_t depth = 0;       // levels of objects and lists
  size_t tree_bytes = 0;  // of its parsed form, about; without texts
};

inline json_extent MeasureJson(const std::string& text) {
  constexpr size_t kContainerBytes = 64;
  constexpr size_t kMemberBytes = 96;
  constexpr size_t kElementBytes = 32;  // in a list that has grown to twice it
  json_extent extent;
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\')
      ++i;
    else if (c == '"')
      in_string = !in_string;
    else if (in_string)
      continue;
    else if (c == '{' || c == '[') {
      extent.depth = std::max(extent.depth, ++depth);
      extent.tree_bytes += kContainerBytes;
    } else if ((c == '}' || c == ']') && depth > 0)
      --depth;
    else if (c == ':')
      extent.tree_bytes += kMemberBytes;
    else if (c == ',')
      extent.tree_bytes += kElementBytes;
  }
  return extent;
}

inline bool IsNestedTooDeeply(const std::string& text) {
  return MeasureJson(text).depth > kMaxRecordDepth;
}

// Returns null if the text is not JSON, is nested too deeply or holds too much.
inline nlohmann::json ParseRecord(const std::string& text) {
  const json_extent extent = MeasureJson(text);
  if (extent.depth > kMaxRecordDepth || extent.tree_bytes > kMaxTreeBytes)
    return nullptr;
  nlohmann::json j = nlohmann::json::parse(text, nullptr, false);
  return j.is_discarded() ? nlohmann::json() : j;
}

inline const nlohmann::json* FindField(const nlohmann::json& j,
                                       const char* name) {
  if (!j.is_object())
    return nullptr;
  const auto it = j.find(name);
  return it == j.end() ? nullptr : &*it;
}

inline std::string TextField(const nlohmann::json& j, const char* name) {
  const nlohmann::json* field = FindField(j, name);
  return field != nullptr && field->is_string() ? field->get<std::string>()
                                                : std::string();
}

// Reads a non-negative integer that the type can hold.
template <typename Number>
std::optional<Number> ReadWholeNumber(const nlohmann::json& j) {
  if (!j.is_number_unsigned() ||
      j.get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<Number>::max()))
    return std::nullopt;
  return j.get<Number>();
}

template <typename Number>
Number NumberField(const nlohmann::json& j, const char* name, Number fallback) {
  const nlohmann::json* field = FindField(j, name);
  return field != nullptr ? ReadWholeNumber<Number>(*field).value_or(fallback)
                          : fallback;
}

inline bool FlagField(const nlohmann::json& j, const char* name) {
  const nlohmann::json* field = FindField(j, name);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

}  // namespace cassiaferry

#endif  // CASSIAFERRY_JSON_FIELDS_H_
