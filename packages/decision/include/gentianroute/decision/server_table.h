#ifndef GENTIANROUTE_DECISION_SERVER_TABLE_H_
#define GENTIANROUTE_DECISION_SERVER_TABLE_H_

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/decision/prefix_affinity.h"
#include "gentianroute/decision/profile.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

using Rng = std::mt19937_64;

/// @brief Network cost between this daemon and one data centre.
struct PathCost {
  Duration one_way{0};         ///< latency in one direction
  double micros_per_byte = 0;  ///< price in micro-euros per billed byte
};

/// @brief How a server is chosen. kRandom and kLeastReportedLoad are baselines
/// for benchmarks.
enum class RoutingPolicy : std::uint8_t {
  kPredictedCompletion,
  kRandom,
  kLeastReportedLoad,
};

/// @brief Constraints and estimates for the choice of a server for one call.
struct PickContext {
  std::string_view pool;
  Objective objective = Objective::kAttainment;
  bool cross_region = true;  ///< servers in other regions are allowed
  /// Expected duration of the call.
  Duration expected{std::chrono::milliseconds(50)};
  /// Expected duration of this and all later stages; zero: unknown.
  Duration expected_remaining{0};
  /// Estimated wait of a request at the back of the pool's queue.
  Duration queue_wait{0};
  /// Time left until the request's deadline.
  Duration remaining{std::chrono::seconds(6)};
  std::uint64_t prefix = 0;  ///< hash of the prompt prefix; 0: none
  std::size_t bytes = 0;     ///< estimated bytes sent and received
  /// Servers not to choose, such as those that this stage has tried.
  std::span<const ServerRef> excluded;
  /// Never choose an ejected server, even if there is no other.
  bool exclude_ejected = false;
};

/// @brief Keeps the state and health of all backend servers and balances calls
/// among them.
class ServerTable {
 public:
  struct Options {
    std::string data_centre;
    std::string region;
    RoutingPolicy policy = RoutingPolicy::kPredictedCompletion;
    /// Consecutive failures after which a server is ejected.
    std::uint32_t failures_before_ejection = 3;
    /// Length of the first ejection; doubles with each further failure.
    Duration ejection_duration = std::chrono::seconds(2);
    Duration max_ejection_duration = std::chrono::seconds(30);
  };

  ServerTable(Options options, std::map<std::string, PathCost> paths);

  /// @brief Applies a host list. A server known to be leaving stays so for the
  /// rest of its incarnation, since the list may lag.
  /// @return true if the list has a new server or a new incarnation of one
  bool ApplyHostList(TimePoint now, std::span<const HostRecord> hosts);

  /// @brief Marks an incarnation of a server as leaving, as reported by the
  /// server itself or by a peer.
  void MarkLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief Removes the leaving mark of an incarnation that is no longer in any
  /// host list.
  void RemoveLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief Handles the load that a server reported in a response.
  void OnLoadReport(TimePoint now, Server& server, std::uint32_t load);

  /// @brief Chooses an accepting server with a free slot; an ejected one only
  /// if there is no other.
  /// @return null if there is none
  /// @complexity constant in servers with kPredictedCompletion, which samples a
  /// few free servers of each tier; linear in servers with the other policies
  ServerRef Pick(TimePoint now, const PickContext& context, Rng& rng);

  /// @brief Returns the accepting server that isn't ejected and has the fewest
  /// calls from this daemon in flight, whether or not it has a free slot.
  /// @return null if there is none
  /// @complexity linear in servers
  ServerRef LeastBusy(TimePoint now, const PickContext& context) const;

  /// @brief Whether any server of the pool is accepting, with or without a free
  /// slot.
  bool HasServer(std::string_view pool) const;

  /// @brief Whether the server is in another region; traffic between regions is
  /// billed by volume.
  bool CrossesRegions(const Server& server) const {
    return server.host.region != options_.region;
  }

  /// @brief Makes Pick() prefer engines that have a prompt's prefix in cache.
  /// @param caches must outlive the table; null: no preference
  void SetPrefixAffinity(const PrefixAffinity* caches) {
    prefix_affinity_ = caches;
  }

  void OnStart(Server& server);
  void OnSuccess(TimePoint now, Server& server, Duration took);
  /// @param unreachable the connection failed: ejects the server at once
  void OnFailure(TimePoint now, Server& server, bool unreachable = false);
  /// @brief Ends a call without counting it as a success or a failure.
  void OnCancelled(Server& server);

  /// @brief Names and incarnations of the servers known to be leaving.
  const std::set<std::pair<std::string, std::uint64_t>>& leaving() const {
    return leaving_;
  }
  /// @brief All servers by name, for status reports.
  const std::map<std::string, ServerRef, std::less<>>& servers() const {
    return servers_;
  }

 private:
  /// Nearest first: same data centre, same region, other regions.
  static constexpr std::size_t kTiers = 3;
  struct Tier {
    std::vector<ServerRef> free;  ///< accepting, with a free slot; unordered
    std::size_t accepting = 0;    ///< number of accepting servers, busy or not
  };
  struct Pool {
    std::array<Tier, kTiers> tiers;
  };
  struct Candidate {
    ServerRef server;
    /// Predicted seconds; lower is better.
    double score = std::numeric_limits<double>::infinity();
  };
  struct Query {
    TimePoint now;
    const PickContext& context;
    bool exclude_ejected;
  };
  using ChooseFunction = ServerRef (ServerTable::*)(const Pool&,
                                                    const Query&,
                                                    Rng&) const;

  ServerRef ChoosePredicted(const Pool& pool,
                            const Query& query,
                            Rng& rng) const;
  ServerRef ChooseRandom(const Pool& pool, const Query& query, Rng& rng) const;
  ServerRef ChooseLeastReported(const Pool& pool,
                                const Query& query,
                                Rng& rng) const;
  void EvaluatePrefixHolders(const Query& query, Candidate& best) const;
  void EvaluateSample(const Tier& tier,
                      const Query& query,
                      Rng& rng,
                      Candidate& best) const;
  void EvaluateCandidate(const ServerRef& server,
                         const Query& query,
                         Candidate& best) const;
  static bool CanWaitForNearServer(const Pool& pool,
                                   const PickContext& context);
  double PredictedSeconds(const Server& server,
                          const PickContext& context) const;
  bool CanTake(const Server& server, const Query& query) const;

  std::size_t TierOf(const Server& server) const;
  /// Updates the free list and the accepting count of the server's tier.
  void UpdateIndex(Server& server);
  void RebuildIndex();

  Options options_;
  std::map<std::string, PathCost> paths_;
  std::map<std::string, ServerRef, std::less<>> servers_;
  std::map<std::string, Pool, std::less<>> pools_;
  const PrefixAffinity* prefix_affinity_ = nullptr;
  std::set<std::pair<std::string, std::uint64_t>> leaving_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SERVER_TABLE_H_
