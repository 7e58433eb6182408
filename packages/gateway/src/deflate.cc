#include "gentianroute/gateway/detail/deflate.h"

#include <zlib.h>

#include <new>

namespace gentianroute::gateway::detail {
namespace {

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* BytesOf(std::string& text) {
  return reinterpret_cast<Bytef*>(text.data());
}

}  // namespace

std::string Deflate(std::string_view text) {
  std::string bytes(compressBound(text.size()), '\0');
  uLongf size = bytes.size();
  if (compress2(BytesOf(bytes), &size, BytesOf(text), text.size(),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes, std::size_t size) {
  std::string text(size, '\0');
  uLongf written = size;
  const int end =
      uncompress(BytesOf(text), &written, BytesOf(bytes), bytes.size());
  if (end != Z_OK || written != size) {
    return std::nullopt;
  }
  return text;
}

}  // namespace gentianroute::gateway::detail
