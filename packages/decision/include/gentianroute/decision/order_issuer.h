#ifndef GENTIANROUTE_DECISION_ORDER_ISSUER_H_
#define GENTIANROUTE_DECISION_ORDER_ISSUER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/decision/lease.h"
#include "gentianroute/decision/profile.h"

namespace gentianroute {

/// @brief Which engine should run what.
///
/// Servers that a group names come first; then each group is filled up to its
/// count, first with engines that run it already, so that nothing is loaded
/// again when an engine comes or goes.
/// @param engines those that take work, with what is known of their state
/// @complexity groups times engines
std::map<std::string, EngineState> AssignEngines(
    std::span<const EngineGroup> groups,
    const std::map<std::string, std::optional<EngineState>>& engines);

/// @brief The whole desired state of one engine, under a fencing number.
struct EngineOrder {
  std::string engine;
  std::uint64_t fencing = 0;
  std::uint64_t number = 0;  ///< of this issuer; only the last may be written
  EngineState desired;
};

/// @brief Brings the engines of a pool to their declared state, if this daemon
/// holds the pool's lease: reads back what they run and orders what differs.
class OrderIssuer {
 public:
  struct Options {
    Duration read_interval = std::chrono::seconds(5);
    Duration max_order_delay = std::chrono::seconds(2);
  };
  struct Steps {
    std::vector<std::string> reads;  ///< engines whose state is asked for
    std::vector<EngineOrder> orders;
  };

  explicit OrderIssuer(Options options) : options_(options) {}

  void SetGroups(std::vector<EngineGroup> groups);
  /// @param engines of the pool that take work
  void SetEngines(std::span<const std::string> engines);

  /// @brief What to send now; CanWrite is asked as the bytes of an order go.
  Steps Advance(TimePoint now, const LeaseKeeper& lease);

  /// @brief Whether an order that was decided some time ago may be written now.
  ///
  /// Between the decision and the write the process may have been paused: the
  /// lease may be lost, or won again, or the time over in which the order
  /// counts as in flight, so that the lease is about to be given back.
  bool CanWrite(TimePoint now,
                const LeaseKeeper& lease,
                const EngineOrder& order);

  void OnState(std::string_view engine, std::optional<EngineState> state);
  /// @brief The engine took or refused the order; what it runs is read again.
  void OnOrderAnswered(std::string_view engine);

  /// @brief Whether an order may still take effect; a lease is given back only
  /// when none may.
  bool HasOrderInFlight(TimePoint now) const;

 private:
  struct Engine {
    std::optional<EngineState> state;
    TimePoint next_read{};
    std::uint64_t last_order_number = 0;  ///< number of the last one
    TimePoint
        order_pending_until{};  ///< an order in flight may arrive until then
  };

  Options options_;
  std::vector<EngineGroup> groups_;
  std::map<std::string, Engine, std::less<>> engines_;
  std::uint64_t fencing_ = 0;
  std::uint64_t last_order_number_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_ORDER_ISSUER_H_
