#ifndef GENTIANROUTE_TESTS_SOAK_SOAK_CALLERS_H_
#define GENTIANROUTE_TESTS_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gentianroute/loop/relay_client.h"
#include "invariant_checker.h"
#include "soak_daemon.h"

namespace gentianroute::soak {

/// @brief State of the stored configuration that callers need to know.
struct OperatorState {
  std::uint64_t version = 1;  ///< of the newest stored configuration
};
/// Each version from this one on adds a route and a key of its own.
inline constexpr std::uint64_t kFirstVersion = 1;
/// @brief Key that a version adds to the organisation whose keys change.
std::string ChangingKey(std::uint64_t version);
/// @brief Version that removes the key that `version` added.
constexpr std::uint64_t RemovalVersion(std::uint64_t version) {
  return version + 2;
}

/// @brief Callers that each send one request at a time over reused connections.
class SoakCallers {
 public:
  using Daemons = std::vector<std::unique_ptr<SoakDaemon>>;

  SoakCallers(EventLoop& loop,
              InvariantChecker& checker,
              std::mt19937_64& random,
              const Daemons& daemons,
              const OperatorState& state);
  ~SoakCallers();

  void Start(std::size_t callers);

  /// @brief Sends no further requests; open calls continue.
  void Stop() { stopped_ = true; }
  std::size_t open() const;
  /// @brief Sends one idempotent request to a daemon, for the newest route.
  void SendOnce(SoakDaemon& daemon, std::function<void(bool served)> done);

 private:
  class Caller;
  struct PlannedCall;

  struct DrawnRequest;

  DrawnRequest Draw();
  DrawnRequest DrawProbe();
  SentRequest DrawRegularRequest();
  static DrawnRequest RequestForRoute(std::uint64_t version);
  PlannedCall PlanCall(const SoakDaemon& daemon, DrawnRequest drawn);
  /// @brief Plans the request that takes up a stream after the last whole event
  /// that its caller has.
  PlannedCall PlanTakingUp(const SoakDaemon& daemon,
                           const PlannedCall& broken,
                           TimePoint deadline);
  std::string RequestText(const std::string& id,
                          const SentRequest& request,
                          const std::string& key,
                          Duration time_limit) const;

  EventLoop& loop_;
  InvariantChecker& checker_;
  std::mt19937_64& random_;
  const Daemons& daemons_;
  const OperatorState& state_;
  RelayClient client_;
  std::uint64_t last_id_ = 0;
  bool stopped_ = false;
  std::vector<std::unique_ptr<Caller>> callers_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_CALLERS_H_
