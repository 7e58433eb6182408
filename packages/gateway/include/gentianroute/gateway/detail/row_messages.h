#ifndef GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_

#include <cluster.capnp.h>

#include <cstdint>
#include <string>
#include <vector>

#include "gentianroute/gateway/store.h"

namespace gentianroute::gateway::detail {

/// @brief Encodes rows of the store for peers.
///
/// A configuration of thousands of routes is hundreds of kilobytes. All daemons
/// of a data centre request it from the one that read it. Uncompressed, it
/// would saturate that daemon's link for seconds and arrive too late;
/// compressed, it takes a fifth of the size.
class RowWriter {
 public:
  void Write(const std::vector<StoredRow>& rows,
             capnp::List<schema::Row>::Builder out);

 private:
  /// Cache of the compressed value of the last large row, since all peers
  /// request the same one.
  std::string key_;
  std::uint64_t version_ = 0;
  std::string compressed_;
};

/// @brief Decodes rows; invalid ones are logged and skipped.
std::vector<StoredRow> ReadRows(capnp::List<schema::Row>::Reader in);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_
