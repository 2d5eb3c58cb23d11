// Compression of what travels between processes.

#ifndef CASSIAFERRY_PACK_H_
#define CASSIAFERRY_PACK_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cassiaferry {

// A text packed from more than this is refused when it is unpacked: a caller's
// body is at most 4 MiB, a configuration less.
constexpr size_t kMostUnpackedBytes = size_t{16} << 20;

std::string Pack(const std::string& text);

// Nothing: the bytes are not what Pack has made, or are cut short.
std::optional<std::string> Unpack(const std::string& packed);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_PACK_H_
