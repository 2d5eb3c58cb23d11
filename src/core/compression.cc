// Compression with zlib.

#include "cassiaferry/compression.h"

#include <zlib.h>

#include <new>

namespace cassiaferry {

namespace {

// Bodies are a few kilobytes, so a 4 KiB window and little memory are enough,
// and they are quick to set up. Raw deflate omits the checksum: TCP has checked
// the bytes.
constexpr int kWindowBits = -12;
constexpr int kMemoryLevel = 5;
constexpr int kInflateWindowBits = -15;
// Bytes; the output buffer grows as needed.
constexpr size_t kInitialOutputBytes = 4096;

// One per thread and reused, because the setup takes as long as compressing
// 1 kB.
struct deflater {
  deflater() {
    ok = deflateInit2(&z, Z_BEST_SPEED, Z_DEFLATED, kWindowBits, kMemoryLevel,
                      Z_DEFAULT_STRATEGY) == Z_OK;
  }
  deflater(const deflater&) = delete;
  deflater& operator=(const deflater&) = delete;
  ~deflater() { deflateEnd(&z); }
  z_stream z{};
  bool ok = false;
};

struct inflater {
  inflater() { ok = inflateInit2(&z, kInflateWindowBits) == Z_OK; }
  inflater(const inflater&) = delete;
  inflater& operator=(const inflater&) = delete;
  ~inflater() { inflateEnd(&z); }
  z_stream z{};
  bool ok = false;
};

// zlib's input pointer is not const, but zlib doesn't write through it.
Bytef* InputOf(const std::string& text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

std::string Compress(const std::string& text) {
  thread_local deflater d;
  if (!d.ok || deflateReset(&d.z) != Z_OK)
    throw std::bad_alloc();
  std::string packed(deflateBound(&d.z, text.size()), '\0');
  d.z.next_in = InputOf(text);
  d.z.avail_in = static_cast<uInt>(text.size());
  d.z.next_out = reinterpret_cast<Bytef*>(packed.data());
  d.z.avail_out = static_cast<uInt>(packed.size());
  deflate(&d.z, Z_FINISH);
  packed.resize(packed.size() - d.z.avail_out);
  return packed;
}

std::optional<std::string> Decompress(const std::string& packed) {
  thread_local inflater i;
  if (!i.ok || inflateReset(&i.z) != Z_OK)
    throw std::bad_alloc();
  i.z.next_in = InputOf(packed);
  i.z.avail_in = static_cast<uInt>(packed.size());
  std::string text(kInitialOutputBytes, '\0');
  size_t filled = 0;
  for (;;) {
    i.z.next_out = reinterpret_cast<Bytef*>(text.data() + filled);
    i.z.avail_out = static_cast<uInt>(text.size() - filled);
    const int state = inflate(&i.z, Z_NO_FLUSH);
    filled = text.size() - i.z.avail_out;
    if (state == Z_STREAM_END)
      break;
    const bool wants_space = state == Z_OK && i.z.avail_out == 0;
    if (!wants_space || text.size() >= kMaxDecompressedBytes)
      return std::nullopt;
    text.resize(text.size() * 2);
  }
  text.resize(filled);
  return text;
}

}  // namespace cassiaferry
