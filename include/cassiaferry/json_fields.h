// Access to members of JSON objects written by another process.
//
// Failure guarded against: another writer's record has a member of an
// unexpected type, the library throws, and the process ends. A member that is
// missing or of another type is treated as absent.

#ifndef CASSIAFERRY_JSON_FIELDS_H_
#define CASSIAFERRY_JSON_FIELDS_H_

#include <nlohmann/json.hpp>
#include <string>

namespace cassiaferry {

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

// Reads a non-negative integer.
template <typename Number>
Number NumberField(const nlohmann::json& j, const char* name, Number fallback) {
  const nlohmann::json* field = FindField(j, name);
  return field != nullptr && field->is_number_unsigned() ? field->get<Number>()
                                                         : fallback;
}

inline bool FlagField(const nlohmann::json& j, const char* name) {
  const nlohmann::json* field = FindField(j, name);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

}  // namespace cassiaferry

#endif  // CASSIAFERRY_JSON_FIELDS_H_
