#ifndef GENTIANROUTE_ROUTING_BRITTLE_SERVER_LIMITER_H_
#define GENTIANROUTE_ROUTING_BRITTLE_SERVER_LIMITER_H_

#include <chrono>
#include <cstdint>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/brittle_services.h"
#include "gentianroute/routing/sender_share.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief Keeps all daemons together from sending more to a brittle server than
/// it has room for.
///
/// What daemons know of each other's load is too old to fill a server to its
/// last slot without rejections. So the daemons beside it divide its slots, and
/// none sends more than its part. If the server rejects a request all the same,
/// this daemon sends it nothing for a time, so that rejections stay few at any
/// number of daemons.
class BrittleServerLimiter {
 public:
  /// Time for which a brittle server gets nothing after a rejection.
  static constexpr Duration kRejectionHold = std::chrono::seconds(1);

  /// @param senders must outlive this object
  explicit BrittleServerLimiter(const RateSenders& senders)
      : senders_(senders) {}

  BrittleServices& services() { return services_; }
  const BrittleServices& services() const { return services_; }

  enum class Verdict : std::uint8_t {
    kMaySend,
    kNotSender,  ///< other daemons have all its slots
    kNoRoom,     ///< this daemon's part of the slots is taken for now
  };
  /// @brief Whether this daemon may send a request to the server now.
  Verdict Check(TimePoint now, const Server& server) const;

 private:
  BrittleServices services_;
  const RateSenders& senders_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_BRITTLE_SERVER_LIMITER_H_
