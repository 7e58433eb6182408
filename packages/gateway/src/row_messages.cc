#include "gentianroute/gateway/detail/row_messages.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "gentianroute/gateway/detail/deflate.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway::detail {
namespace {

/// Smaller values fit into a few packets uncompressed.
constexpr std::size_t kCompressionThreshold = 4096;
/// Limit for the memory that a message of a peer can make this daemon allocate;
/// rows of the store are far smaller.
constexpr std::uint32_t kMaxInflatedBytes = 16U << 20U;

kj::ArrayPtr<const kj::byte> BytesOf(std::string_view text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()),
                      text.size());
}

std::optional<std::string> ValueOf(schema::Row::Reader row) {
  const auto value = row.getValue();
  const std::string_view bytes(reinterpret_cast<const char*>(value.begin()),
                               value.size());
  if (row.getInflatedSize() == 0) {
    return std::string(bytes);
  }
  if (row.getInflatedSize() > kMaxInflatedBytes) {
    return std::nullopt;
  }
  return Inflate(bytes, row.getInflatedSize());
}

}  // namespace

void RowWriter::Write(const std::vector<StoredRow>& rows,
                      capnp::List<schema::Row>::Builder out) {
  for (unsigned i = 0; i < rows.size(); ++i) {
    const StoredRow& row = rows[i];
    out[i].setKey(row.key);
    out[i].setVersion(row.version);
    out[i].setDeleted(row.deleted);
    if (row.value.size() < kCompressionThreshold) {
      out[i].setValue(BytesOf(row.value));
      continue;
    }
    if (key_ != row.key || version_ != row.version) {
      key_ = row.key;
      version_ = row.version;
      compressed_ = Deflate(row.value);
    }
    out[i].setInflatedSize(static_cast<std::uint32_t>(row.value.size()));
    out[i].setValue(BytesOf(compressed_));
  }
}

std::vector<StoredRow> ReadRows(capnp::List<schema::Row>::Reader in) {
  std::vector<StoredRow> rows;
  for (const auto row : in) {
    auto value = ValueOf(row);
    if (!value) {
      LogEvent("peer_row_unreadable", LogLevel::kWarning)
          .Field("key", std::string_view(row.getKey().cStr()))
          .Field("version", row.getVersion());
      continue;
    }
    rows.push_back(
        {row.getKey(), std::move(*value), row.getVersion(), row.getDeleted()});
  }
  return rows;
}

}  // namespace gentianroute::gateway::detail
