#ifndef GENTIANROUTE_GATEWAY_RANKED_SENDERS_H_
#define GENTIANROUTE_GATEWAY_RANKED_SENDERS_H_

#include <cstddef>

#include "gentianroute/gateway/membership.h"
#include "gentianroute/routing/sender_share.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::gateway {

/// @brief Chooses the senders of a server with a limited rate among the daemons
/// of its data centre, by rendezvous over those that live.
///
/// Daemons of one data centre know each other at any size of the fleet, and
/// each server has other senders, which spreads servers that return together.
class RankedSenders final : public routing::RateSenders {
 public:
  /// @param members must outlive this object
  explicit RankedSenders(const Membership& members) : members_(members) {}

  bool IsSender(const routing::ServerRecord& server,
                std::size_t count) const override {
    return members_.IsAmongFirst(server.id, server.data_centre, server.service,
                                 count);
  }
  std::size_t CountBeside(const routing::ServerRecord& server) const override {
    return members_.CountInReach(server.data_centre, server.service);
  }

 private:
  const Membership& members_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_RANKED_SENDERS_H_
