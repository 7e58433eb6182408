#ifndef GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_
#define GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

#include "gentianroute/base/time.h"
#include "gentianroute/decision/leaving_server_gossip.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/observe/metric_writer.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/server_directory.h"

namespace gentianroute::gateway {

/// @brief Records what backend servers say of themselves in their answers, to
/// requests, stage calls and releases of results alike.
class ServerNotices {
 public:
  /// @param servers must outlive this object
  /// @param seed of the times at which this daemon returns to servers after a
  /// backoff; should differ between daemons
  ServerNotices(routing::ServerDirectory& servers, std::uint64_t seed)
      : servers_(servers), random_(seed) {}

  /// @brief Records the notice in an answer of a server.
  /// @param sent_at time of the answer's request
  void OnAnswer(TimePoint now,
                TimePoint sent_at,
                const ServerNotice& notice,
                routing::Server& server);
  /// @brief Records that a server takes no new work.
  void OnLeaving(TimePoint now, const LeavingServer& leaving);
  /// @brief As OnAnswer(), for an answer of which only the address is known.
  /// Only notices that forbid further requests are recorded.
  void OnAnswerFrom(TimePoint now,
                    TimePoint sent_at,
                    const ServerNotice& notice,
                    const Endpoint& endpoint);

  /// @brief Whether the server at an address has asked for a backoff that is
  /// not over yet.
  bool IsBackingOff(TimePoint now, const Endpoint& endpoint) const;
  /// @brief Number of servers with a backoff that is not over yet.
  std::size_t CountBackingOff(TimePoint now) const;
  /// @brief Forgets the addresses of servers whose backoff is over.
  void Sweep(TimePoint now);
  void Write(MetricWriter& writer) const;

 private:
  /// Another server may have taken over the address of one with a backoff.
  void ForgetEarlierServerAt(const routing::Server& server);
  void RecordBackoff(TimePoint now,
                     const ServerNotice& notice,
                     routing::Server& server);

  routing::ServerDirectory& servers_;
  std::mt19937_64 random_;
  /// The servers that have asked for a backoff.
  std::map<Endpoint, routing::ServerPtr> backing_off_;
  std::uint64_t backoffs_ = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_SERVER_NOTICES_H_
