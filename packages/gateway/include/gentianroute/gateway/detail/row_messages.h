#ifndef GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_

#include <cluster.capnp.h>

#include <cstdint>
#include <string>
#include <vector>

#include "gentianroute/gateway/store.h"

namespace gentianroute::gateway::detail {

/// @brief Writes rows of the store for a peer.
///
/// A configuration of thousands of routes is hundreds of kilobytes. Whole, it
/// would fill the link of the daemon that read it for seconds while all others
/// of its data centre ask for it, and be in force too late; compressed it is a
/// fifth.
class RowWriter {
 public:
  void Write(const std::vector<StoredRow>& rows,
             capnp::List<schema::Row>::Builder out);

 private:
  /// The newest large row: all peers ask for the same one.
  std::string key_;
  std::uint64_t version_ = 0;
  std::string compressed_;
};

/// @brief The rows that can be read; others are logged and left out.
std::vector<StoredRow> ReadRows(capnp::List<schema::Row>::Reader in);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_ROW_MESSAGES_H_
