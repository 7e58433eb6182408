#ifndef GENTIANROUTE_ROUTING_SERVER_REACH_H_
#define GENTIANROUTE_ROUTING_SERVER_REACH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief Whether this daemon reaches a group of backend servers over its own
/// links: all of them, or those of one service.
///
/// A connection that is refused, breaks or stays silent fails in the same way
/// whether the server or the link to it is at fault. If several servers fail at
/// once, the daemon probes some of them: it opens connections, which any server
/// that is up accepts.
class ServerReach {
 public:
  /// How many of the probed servers have to accept a connection.
  enum class Criterion : std::uint8_t {
    /// For all servers: one that accepts shows that the links are up.
    kAny,
    /// For the servers of a service: one of many can't take the work of all. If
    /// the others are down, and not the links, no daemon reaches them.
    kHalf,
  };

  explicit ServerReach(Criterion criterion) : criterion_(criterion) {}

  /// Servers that must fail before any are probed.
  static constexpr std::size_t kMinFailedServers = 2;
  /// Servers probed at a time, in different data centres if possible. One of
  /// them may be down, and a packet to another may be lost.
  static constexpr std::size_t kProbes = 5;
  /// Several round trips between regions.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(350);
  /// Minimum time between the starts of two rounds of probes.
  static constexpr Duration kProbePeriod = std::chrono::milliseconds(500);
  /// Older failures don't count.
  static constexpr Duration kFailureMemory = std::chrono::seconds(2);

  bool is_cut_off() const { return cut_off_; }
  /// @brief Whether it will be known soon if this daemon is cut off.
  bool is_probing() const { return probing_; }

  /// @brief Records that a server refused a connection, or did not accept it in
  /// time. Only a probe refutes it: connections that are open may outlive a cut
  /// which lets no new one through.
  void OnNotConnected(TimePoint now, std::string_view server);
  /// @brief Records that an open connection broke or stayed silent.
  void OnNoAnswer(TimePoint now, std::string_view server);
  /// @brief Records an answer from any server, which refutes OnNoAnswer().
  void OnAnswer() { silent_.clear(); }

  /// @brief Whether a round of probes is due.
  /// @param servers number of servers that could be probed
  bool NeedsProbes(TimePoint now, std::size_t servers) const;
  void OnProbesStarted(TimePoint now);
  /// @brief Whether the result of a round is certain before all probes end.
  bool IsDecided(std::size_t probed,
                 std::size_t connected,
                 std::size_t failed) const;
  /// @brief Ends the round of probes.
  /// @return whether is_cut_off() has changed
  bool OnProbesEnded(std::size_t probed, std::size_t connected);

 private:
  using Failures = std::map<std::string, TimePoint, std::less<>>;

  static void Record(TimePoint now,
                     std::string_view server,
                     Failures& failures);
  static std::size_t CountSince(const Failures& failures, TimePoint since);

  /// Probes that have to succeed.
  std::size_t Needed(std::size_t probed) const;

  Criterion criterion_;
  bool cut_off_ = false;
  bool probing_ = false;
  TimePoint probed_at_{};
  /// Time of the last failure, by server.
  Failures unconnected_;
  Failures silent_;
};

/// @brief Chooses the servers of a round of probes: those of different data
/// centres first, in the order given.
/// @complexity linear in the number of servers
std::vector<ServerPtr> ChooseProbed(std::span<const ServerPtr> servers);

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_REACH_H_
