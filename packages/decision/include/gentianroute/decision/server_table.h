#ifndef GENTIANROUTE_DECISION_SERVER_TABLE_H_
#define GENTIANROUTE_DECISION_SERVER_TABLE_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
  Duration remaining{std::chrono::seconds(6)};
  std::uint64_t prefix = 0;  ///< hash of the prompt prefix; 0: none
  std::size_t bytes = 0;     ///< estimate of what the call moves both ways
  std::span<const ServerRef> avoid;  ///< servers that this stage tried already
};

/// @brief All backend servers, which of them may get work, and how they fare.
class ServerTable {
 public:
  struct Options {
    std::string data_centre;
    std::string region;
    RoutingPolicy policy = RoutingPolicy::kPredictedCompletion;
    std::uint32_t failures_out_of_favour = 3;
    Duration out_of_favour = std::chrono::seconds(2);
    Duration longest_out_of_favour = std::chrono::seconds(30);
  };

  ServerTable(Options options, std::map<std::string, PathCost> paths);

  /// @brief Takes over a list. A lagging list never brings back a server that
  /// said that it leaves: leaving is final for that incarnation.
  /// @return true if a server may get work that could not before
  bool ApplyHostList(TimePoint now, std::span<const HostRecord> hosts);

  /// @brief Heard from the server itself, or from a peer.
  void MarkLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief Drops what is known of an incarnation that no list names any more.
  void ForgetLeaving(std::string_view server, std::uint64_t incarnation);

  /// @brief A load report that came back with an answer.
  void OnLoadReport(TimePoint now, Server& server, std::uint32_t load);

  /// @brief Chooses a server that accepts work and has a free slot.
  /// @return null if there is none
  /// @complexity see docs/CAPACITY.md: flat in the servers of the pool
  ServerRef Pick(TimePoint now, const PickContext& context, Rng& rng);

  /// @brief Whether any server of the pool accepts work, busy or not.
  bool HasServer(std::string_view pool) const;

  void OnStart(Server& server);
  void OnSuccess(TimePoint now, Server& server, Duration took);
  void OnFailure(TimePoint now, Server& server);
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
  struct Pool {
    std::vector<ServerRef> servers;
  };
  using Score = double (ServerTable::*)(TimePoint,
                                        const Server&,
                                        const PickContext&) const;

  double ScorePredicted(TimePoint now,
                        const Server& server,
                        const PickContext& context) const;
  double ScoreNothing(TimePoint now,
                      const Server& server,
                      const PickContext& context) const;
  double ScoreReported(TimePoint now,
                       const Server& server,
                       const PickContext& context) const;
  static Score ScoreOf(RoutingPolicy policy);

  bool MayTake(TimePoint now,
               const Server& server,
               const PickContext& context,
               bool in_favour_only) const;
  void Rebuild();

  Options options_;
  std::map<std::string, PathCost> paths_;
  std::map<std::string, ServerRef, std::less<>> servers_;
  std::map<std::string, Pool, std::less<>> pools_;
  std::set<std::pair<std::string, std::uint64_t>> leaving_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SERVER_TABLE_H_
