#ifndef GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_
#define GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_

#include <cstdint>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/observe/metric_writer.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::gateway {

/// @brief Records what backend servers say of themselves in their answers, to
/// requests, stage calls and releases of results alike.
class ServerNotices {
 public:
  /// @brief Records the notice in an answer of a server.
  /// @param sent_at time of the answer's request
  void OnAnswer(TimePoint now,
                TimePoint sent_at,
                const ServerNotice& notice,
                routing::Server& server);
  void Write(MetricWriter& writer) const;

 private:
  std::uint64_t backoffs_ = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_
