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

/// @brief The path from this daemon to one data centre.
struct PathCost {
  Duration one_way{0};
  double micros_per_byte = 0;  ///< price in micro-euros of a billed byte
};

/// @brief How a server is chosen; the last two are baselines to measure with.
enum class RoutingPolicy : std::uint8_t {
  kPredictedCompletion,
  kRandom,
  kLeastReportedLoad,
};

/// @brief What one call needs of a server.
struct PickContext {
  std::string_view pool;
  Objective objective = Objective::kAttainment;
  bool cross_region = true;
  Duration expected{std::chrono::milliseconds(50)};
  Duration expected_remaining{
      0};                  ///< of this and all later stages; zero: unknown
  Duration queue_wait{0};  ///< wait of the last in line, as measured
  Duration remaining{std::chrono::seconds(6)};
  std::uint64_t prefix = 0;  ///< hash of the prompt prefix; 0: none
  std::size_t bytes = 0;     ///< estimate of what the call moves both ways
  std::span<const ServerRef>
      excluded;                  ///< servers that this stage tried already
  bool exclude_ejected = false;  ///< none at all rather than a failing one
};

/// @brief All backend servers, which of them may get work, and how they fare.
class ServerTable {
 public:
  struct Options {
    std::string data_centre;
    std::string region;
    RoutingPolicy policy = RoutingPolicy::kPredictedCompletion;
    std::uint32_t failures_before_ejection = 3;
    Duration ejection_duration = std::chrono::seconds(2);
    Duration max_ejection_duration = std::chrono::seconds(30);
  };

  ServerTable(Options options, std::map<std::string, PathCost> paths);

  /// @brief Takes over a list. A lagging list never brings back a server that
  /// said that it leaves: leaving is final for that incarnation.
  /// @return true if a server may get work that could not before
  bool ApplyHostList(TimePoint now, std::span<const HostRecord> hosts);

  /// @brief Heard from the server itself, or from a peer.
  void MarkLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief Drops what is known of an incarnation that no list names any more.
  void RemoveLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief A load report that came back with an answer.
  void OnLoadReport(TimePoint now, Server& server, std::uint32_t load);

  /// @brief Chooses a server that accepts work and has a free slot.
  /// @return null if there is none
  /// @complexity constant in servers: a few draws from the free ones of each
  /// tier; the baselines may look at all
  ServerRef Pick(TimePoint now, const PickContext& context, Rng& rng);

  /// @brief The accepting server in favour, free slot or not, with the fewest
  /// calls of this daemon.
  /// @return null if there is none
  /// @complexity linear in servers
  ServerRef LeastBusy(TimePoint now, const PickContext& context) const;

  /// @brief Whether any server of the pool accepts work, busy or not.
  bool HasServer(std::string_view pool) const;

  /// @brief Whether bytes to and from this server are billed by volume.
  bool CrossesRegions(const Server& server) const {
    return server.host.region != options_.region;
  }

  /// @brief Lets engines that hold a prompt's prefix be preferred.
  /// @param caches outlives the table; null: no preference
  void SetPrefixAffinity(const PrefixAffinity* caches) {
    prefix_affinity_ = caches;
  }

  void OnStart(Server& server);
  void OnSuccess(TimePoint now, Server& server, Duration took);
  /// @param unreachable no connection: out of favour at once
  void OnFailure(TimePoint now, Server& server, bool unreachable = false);
  /// @brief Ends a call that says nothing about the server's health.
  void OnCancelled(Server& server);

  /// @brief Servers known to leave, to tell peers.
  const std::set<std::pair<std::string, std::uint64_t>>& leaving() const {
    return leaving_;
  }
  /// @brief Every server by name, for reports.
  const std::map<std::string, ServerRef, std::less<>>& servers() const {
    return servers_;
  }

 private:
  /// Nearest first: own data centre, own region, all others.
  static constexpr std::size_t kTiers = 3;
  struct Tier {
    std::vector<ServerRef> free;
    std::size_t accepting = 0;  ///< busy or not
  };
  struct Pool {
    std::array<Tier, kTiers> tiers;
  };
  struct Candidate {
    ServerRef server;
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
  void ConsiderPrefixHolders(const Query& query, Candidate& best) const;
  void ConsiderSample(const Tier& tier,
                      const Query& query,
                      Rng& rng,
                      Candidate& best) const;
  void Consider(const ServerRef& server,
                const Query& query,
                Candidate& best) const;
  static bool CanWaitForNearServer(const Pool& pool,
                                   const PickContext& context);
  double PredictedSeconds(const Server& server,
                          const PickContext& context) const;
  bool CanTake(const Server& server, const Query& query) const;

  std::size_t TierOf(const Server& server) const;
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
