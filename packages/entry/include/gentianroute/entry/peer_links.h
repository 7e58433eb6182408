#ifndef GENTIANROUTE_ENTRY_PEER_LINKS_H_
#define GENTIANROUTE_ENTRY_PEER_LINKS_H_

#include <peer.capnp.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/decision/action.h"
#include "gentianroute/decision/config.h"
#include "gentianroute/decision/server_table.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"

namespace gentianroute {

/// @brief Address of another daemon, from the host list or from the seeds in
/// the settings.
struct PeerAddress {
  std::string name;
  std::string data_centre;
  std::string address;
  std::uint16_t port = 0;
};

/// @brief Handles messages and requests of peers.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void FillDigest(schema::Digest::Builder digest) = 0;
  virtual void OnDigest(schema::Digest::Reader digest) = 0;
  virtual std::vector<ConfigRevision> RevisionsAfter(std::uint64_t revision,
                                                     std::size_t limit) = 0;
  /// @brief Handles the response to PeerLinks::FetchRevisions().
  virtual void OnRevisions(const std::vector<ConfigRevision>& revisions) = 0;
  virtual ConfigSnapshot Snapshot() = 0;
  virtual void OnSnapshot(const ConfigSnapshot& snapshot) = 0;
  virtual std::span<const HostRecord> Hosts() const = 0;
  virtual void OnHosts(const std::vector<HostRecord>& hosts) = 0;
  /// @brief Handles a peer's query for the outcome of a claim.
  /// @param token token of the claim
  virtual void OnJoin(std::string_view token,
                      std::function<void(JoinOutcome)> done) = 0;
};

/// @brief Exchanges state with other daemons over Cap'n Proto RPC.
///
/// Each gossip round contacts a fixed number of random peers, so that the load
/// of a daemon does not grow with the number of peers. Changes are sent at
/// once, in extra rounds.
class PeerLinks {
 public:
  struct Options {
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::size_t fanout = 1;              ///< peers in a periodic round
    std::size_t extra_round_fanout = 2;  ///< peers in an extra round
    std::uint32_t max_extra_rounds = 1;  ///< limit of extra rounds in a period
    Duration call_timeout = std::chrono::seconds(1);
    std::uint64_t seed = 1;
  };

  /// @throws std::runtime_error if the address can't be bound
  PeerLinks(EventLoop& loop, Options options, PeerHandler& handler);
  ~PeerLinks();

  std::uint16_t port() const;
  void SetPeers(std::vector<PeerAddress> peers);
  std::size_t peer_count() const { return peers_.size(); }

  /// @brief Starts a periodic round; to be called once in each period.
  void Gossip();
  /// @brief Starts an extra round to spread a change at once. Does nothing once
  /// the period's limit is reached, so that bursts of changes don't add
  /// unlimited load.
  void StartExtraRound();

  /// @brief Requests the revisions after `after`; calls OnRevisions() with
  /// them. If the peer no longer keeps all of them, requests a snapshot instead
  /// and calls OnSnapshot().
  void FetchRevisions(const std::string& peer, std::uint64_t after);

  /// @brief Requests the host list that a peer uses; calls OnHosts() with it.
  void FetchHosts(const std::string& peer);

  /// @brief Asks a daemon for the outcome of a claim. The query is repeated if
  /// its connection breaks.
  /// @param done called once; with kUnknown if the daemon did not respond in
  /// time or refuses connections
  void QueryOutcome(std::string_view daemon,
                    const Claim& claim,
                    Duration timeout,
                    std::function<void(JoinOutcome)> done);

  /// @brief Stops accepting connections.
  void Stop();

 private:
  class Service;
  struct Link;
  /// A pending query for the outcome of a claim.
  struct OutcomeQuery {
    std::string daemon;
    Claim claim;
    TimePoint deadline;
    std::function<void(JoinOutcome)> done;
  };

  void SendOutcomeQuery(const std::shared_ptr<OutcomeQuery>& query,
                        std::uint32_t attempts_left);
  Link* GetOrCreateLink(const PeerAddress& peer);
  const PeerAddress* FindPeer(std::string_view name) const;
  void StartRound(std::size_t fanout);
  void StartExchange(const PeerAddress& peer);
  void SendDigest(Link& link);
  void RequestRevisions(Link& link, std::uint64_t after);
  void RequestSnapshot(Link& link);
  void RequestHosts(Link& link);
  /// Calls `done` once the link is connected. Drops the link without calling
  /// `done` if it is not connected after `polls_left` checks.
  void WhenConnected(const std::string& peer,
                     std::uint32_t polls_left,
                     const std::function<void(Link&)>& done);
  void DropIdleLinks();
  void DropLink(const std::string& peer);
  /// Cancels a call after `timeout`. Drops the link to the peer if the call
  /// fails or times out.
  kj::Promise<void> AddTimeout(kj::Promise<void> call,
                               const std::string& peer,
                               Duration timeout);

  EventLoop& loop_;
  Options options_;
  PeerHandler& handler_;
  Rng rng_;
  std::vector<PeerAddress> peers_;
  std::map<std::string, std::unique_ptr<Link>, std::less<>> links_;
  std::uint64_t round_ = 0;  ///< number of the current periodic round
  std::uint32_t extra_rounds_left_ = 0;
  std::unique_ptr<RpcServer> server_;
  struct Tasks;
  std::unique_ptr<Tasks> tasks_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PEER_LINKS_H_
