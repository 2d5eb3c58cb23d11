// Rows of the store's directory, in which sidecars look up the entries.

#ifndef CASSIAFERRY_DIRECTORY_H_
#define CASSIAFERRY_DIRECTORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiaferry {

constexpr char kDirectoryTable[] = "entries";

// Most that an entry may ask for; what a row says beyond them is cut.
constexpr uint32_t kMaxReach = 64;
constexpr size_t kMaxWantedLabels = 8;

// What an entry says of itself to all sidecars. Rows of earlier builds hold the
// address alone.
struct directory_row {
  std::string link;  // the address at which sidecars connect to it, "ip:port"
  std::string failure_domain;  // empty: unknown
  // Multiple of the usual number of streams that it asks for.
  uint32_t reach = 1;
  // It asks for a stream to each worker with one of these labels.
  std::vector<std::string> labels;
  bool operator==(const directory_row&) const = default;
};

std::string WriteDirectoryRow(const directory_row& row);

// Returns nullopt if the row holds no valid address. Other fields that are
// missing or of another type have their defaults.
std::optional<directory_row> ReadDirectoryRow(const std::string& row);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_DIRECTORY_H_
