// Compression of what travels between processes.

#ifndef CASSIAFERRY_COMPRESSION_H_
#define CASSIAFERRY_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cassiaferry {

// A text packed from more than this is refused when it is unpacked: a caller's
// body is at most 4 MiB, a configuration less.
constexpr size_t kMaxDecompressedBytes = size_t{16} << 20;

std::string Compress(const std::string& text);

// Nothing: the bytes are not what Pack has made, or are cut short.
std::optional<std::string> Decompress(const std::string& packed);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_COMPRESSION_H_
