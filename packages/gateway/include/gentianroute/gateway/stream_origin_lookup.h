#ifndef GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
#define GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// @brief Asks peers for the origin of one stream. Destroying it ends the
/// search.
class StreamOriginLookup {
 public:
  /// @brief Called once, not from the constructor: with nothing if the origin
  /// can't be found out. May destroy the lookup.
  using Done = std::function<void(std::optional<routing::StreamOrigin>)>;

  /// @param own what this daemon itself can say
  StreamOriginLookup(EventLoop& loop,
                     Cluster& cluster,
                     std::string_view stream,
                     std::string_view service,
                     const routing::OriginReport& own,
                     Done done);
  ~StreamOriginLookup();

 private:
  void OnReply(const std::optional<routing::OriginReport>& report);
  void Finish();

  EventLoop& loop_;
  routing::OriginReports reports_;
  std::vector<std::unique_ptr<PeerQuestion>> questions_;
  std::size_t unanswered_ = 0;
  Done done_;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
