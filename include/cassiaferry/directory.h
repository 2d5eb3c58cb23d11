// Rows in the store by which sidecars find entries.

#ifndef CASSIAFERRY_DIRECTORY_H_
#define CASSIAFERRY_DIRECTORY_H_

#include <optional>
#include <string>

namespace cassiaferry {

constexpr char kDirectoryTable[] = "entries";

// `link`: where sidecars dial the entry, "ip:port".
std::string WriteDirectoryRow(const std::string& link);

// Nothing: the row names no address, whoever wrote it.
std::optional<std::string> ReadDirectoryRow(const std::string& row);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_DIRECTORY_H_
