#ifndef GENTIANROUTE_ROUTING_SENDER_SHARE_H_
#define GENTIANROUTE_ROUTING_SENDER_SHARE_H_

#include <chrono>
#include <cstddef>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

struct ServerRecord;

/// @brief Tolerance of a rate that a server bears: in any `window`, all daemons
/// together may send the requests of that time times `overshoot` plus `slack`.
struct RateTolerance {
  double overshoot = 1.5;
  double slack = 5;
  Duration window = std::chrono::seconds(1);
};

/// @brief How the daemons that may send to a server divide its rate.
struct SenderShare {
  /// More senders would each send less often than a server gets requests
  /// without a limit, and would burst higher after a common pause.
  static constexpr std::size_t kMaxSenders = 3;

  std::size_t senders = 1;
  Duration interval{};  ///< between two requests of one sender

  /// @param requests_per_second what the server bears
  static SenderShare Of(double requests_per_second,
                        const RateTolerance& tolerance,
                        std::size_t max_senders = kMaxSenders);
};

/// @brief Chooses the daemons that may send to a server with a limited rate.
class RateSenders {
 public:
  virtual ~RateSenders() = default;
  /// @brief Whether this daemon is one of the `count` senders.
  virtual bool IsSender(const ServerRecord& server,
                        std::size_t count) const = 0;
  /// @brief Number of daemons in the server's data centre that may be senders,
  /// as far as this daemon knows.
  virtual std::size_t CountBeside(const ServerRecord& server) const = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SENDER_SHARE_H_
