// Compression of data sent between processes.

#ifndef CASSIAFERRY_COMPRESSION_H_
#define CASSIAFERRY_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cassiaferry {

// Decompression fails for input that yields more than about this much: a
// caller's body is at most 4 MiB, a configuration smaller.
constexpr size_t kMaxDecompressedBytes = size_t{16} << 20;

std::string Compress(const std::string& text);

// Returns nothing if the input is truncated or isn't output of Compress.
std::optional<std::string> Decompress(const std::string& packed);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_COMPRESSION_H_
