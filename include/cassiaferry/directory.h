// Rows of the store's directory, in which sidecars look up the entries.

#ifndef CASSIAFERRY_DIRECTORY_H_
#define CASSIAFERRY_DIRECTORY_H_

#include <optional>
#include <string>

namespace cassiaferry {

constexpr char kDirectoryTable[] = "entries";

// `link`: the address at which sidecars connect to the entry, "ip:port".
std::string WriteDirectoryRow(const std::string& link);

// Returns nullopt if the row holds no valid address.
std::optional<std::string> ReadDirectoryRow(const std::string& row);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_DIRECTORY_H_
