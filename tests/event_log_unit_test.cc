// Lines of the structured log.

#include <catch2/catch.hpp>

#include "apps/event_log.h"

namespace cassiaferry {
namespace {

struct event_lines {
  static nlohmann::json Read(const nlohmann::json& fields) {
    return nlohmann::json::parse(EventLine("entry", "store lost", fields),
                                 nullptr, false);
  }
};

// What an engineer on call sees: the line that tells of the lost store can't be
// read by the tool that collects lines. Cause: an event without fields.
TEST_CASE_METHOD(event_lines, "line_without_fields_is_one_object") {
  const nlohmann::json line = Read({});
  REQUIRE(line.is_object());
  REQUIRE(line["what"] == "store lost");
  REQUIRE(line.size() == 3);
}

TEST_CASE_METHOD(event_lines, "line_with_fields_holds_them") {
  const nlohmann::json line =
      Read({{"job", "a\"b"}, {"why", std::string("\xff", 1)}});
  REQUIRE(line.is_object());
  REQUIRE(line["job"] == "a\"b");
  REQUIRE(line.size() == 5);
}

}  // namespace
}  // namespace cassiaferry
