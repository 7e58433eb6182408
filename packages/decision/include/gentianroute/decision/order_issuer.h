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

/// @brief Computes the desired state of each engine.
///
/// Engines that a group names are assigned first. Each group is then filled up
/// to its count, first with engines that already have the desired state, so
/// that a change in the set of engines doesn't make others reload a model.
/// @param engines accepting engines with their state, if known
/// @complexity number of groups times number of engines
std::map<std::string, EngineState> AssignEngines(
    std::span<const EngineGroup> groups,
    const std::map<std::string, std::optional<EngineState>>& engines);

/// @brief Order to an engine: its complete desired state and the fencing token
/// of the lease under which the order was made.
struct EngineOrder {
  std::string engine;
  std::uint64_t fencing = 0;
  std::uint64_t number = 0;  ///< issuer's sequence number of the order
  EngineState desired;
};

/// @brief Reconciles the engines of a pool with their declared state while this
/// daemon holds the pool's lease: reads the state of each engine and sends an
/// order where it differs.
class OrderIssuer {
 public:
  struct Options {
    Duration read_interval = std::chrono::seconds(5);
    /// Time within which an order reaches its engine or is lost.
    Duration max_order_delay = std::chrono::seconds(2);
  };
  struct Steps {
    std::vector<std::string> reads;  ///< engines whose state is to be read
    std::vector<EngineOrder> orders;
  };

  explicit OrderIssuer(Options options) : options_(options) {}

  void SetGroups(std::vector<EngineGroup> groups);
  /// @param engines the accepting engines of the pool
  void SetEngines(std::span<const std::string> engines);

  /// @brief Returns what to send now. Call CanWrite() immediately before an
  /// order is written to the connection.
  Steps Advance(TimePoint now, const LeaseKeeper& lease);

  /// @brief Whether an order returned by Advance() earlier may be written now.
  ///
  /// The process may have been paused in the meantime. The lease may have been
  /// lost or acquired again, or the order may no longer count as in flight, so
  /// that the lease may be released.
  bool CanWrite(TimePoint now,
                const LeaseKeeper& lease,
                const EngineOrder& order);

  /// @param state empty if the engine's state could not be read
  void OnState(std::string_view engine, std::optional<EngineState> state);
  /// @brief Handles an engine's response to an order, whether it accepted the
  /// order or rejected it; the engine's state is read again.
  void OnOrderAnswered(std::string_view engine);

  /// @brief Whether an order that was sent may still take effect. The lease
  /// must not be released while one may.
  bool HasOrderInFlight(TimePoint now) const;

 private:
  struct Engine {
    std::optional<EngineState> state;
    TimePoint next_read{};
    std::uint64_t last_order_number = 0;
    TimePoint order_pending_until{};  ///< the last order may arrive until then
  };

  Options options_;
  std::vector<EngineGroup> groups_;
  std::map<std::string, Engine, std::less<>> engines_;
  std::uint64_t fencing_ = 0;
  std::uint64_t order_count_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_ORDER_ISSUER_H_
