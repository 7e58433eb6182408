#include "gentianroute/routing/brittle_server_limiter.h"

#include <algorithm>
#include <cstddef>

namespace gentianroute::routing {

BrittleServerLimiter::Verdict BrittleServerLimiter::Check(
    TimePoint now,
    const Server& server) const {
  if (!services_.Contains(server.record().service)) {
    return Verdict::kMaySend;
  }
  const std::size_t slots = std::max<std::size_t>(1, server.record().slots);
  const std::size_t beside = senders_.CountBeside(server.record());
  const std::size_t senders = std::clamp<std::size_t>(beside, 1, slots);
  if (!senders_.IsSender(server.record(), senders)) {
    return Verdict::kNotSender;
  }
  const std::size_t part = slots / senders;
  const bool has_room = server.own().calls < static_cast<double>(part) &&
                        server.calls() < static_cast<double>(slots) &&
                        !server.WasRejectedSince(now - kRejectionHold);
  return has_room ? Verdict::kMaySend : Verdict::kNoRoom;
}

}  // namespace gentianroute::routing
