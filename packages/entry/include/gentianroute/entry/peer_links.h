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

/// @brief Another daemon, from the host list or the settings' seeds.
struct PeerAddress {
  std::string name;
  std::string data_centre;
  std::string address;
  std::uint16_t port = 0;
};

/// @brief What the daemon does with what peers say and ask.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void FillDigest(schema::Digest::Builder digest) = 0;
  virtual void OnDigest(schema::Digest::Reader digest) = 0;
  virtual std::vector<ConfigRevision> RevisionsAfter(std::uint64_t revision,
                                                     std::size_t limit) = 0;
  virtual void OnRevisions(const std::vector<ConfigRevision>& revisions) = 0;
  virtual ConfigSnapshot Snapshot() = 0;
  virtual void OnSnapshot(const ConfigSnapshot& snapshot) = 0;
  virtual std::span<const HostRecord> Hosts() const = 0;
  virtual void OnHosts(const std::vector<HostRecord>& hosts) = 0;
  virtual void OnJoin(std::string_view token,
                      std::function<void(JoinOutcome)> done) = 0;
};

/// @brief Talks to other daemons over Cap'n Proto RPC.
///
/// Each round reaches a fixed number of peers picked at random, so that the
/// work of a daemon does not grow with their number; what is new travels on as
/// a rumour, at once.
class PeerLinks {
 public:
  struct Options {
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::size_t fanout = 1;           ///< peers in a round
    std::size_t rumour_fanout = 2;    ///< peers that hear news at once
    std::uint32_t rumour_rounds = 1;  ///< extra rounds in a period
    Duration call_timeout = std::chrono::seconds(1);
    std::uint64_t seed = 1;
  };

  /// @throws std::runtime_error if the address can't be used
  PeerLinks(EventLoop& loop, Options options, PeerHandler& handler);
  ~PeerLinks();

  std::uint16_t port() const;
  void SetPeers(std::vector<PeerAddress> peers);
  std::size_t peer_count() const { return peers_.size(); }

  /// @brief One round with a few peers; called once a period.
  void Gossip();
  /// @brief A round at once, for news; only a few in each period, so that a
  /// burst of news costs no more than the period's rounds do.
  void SpreadRumour();

  /// @brief Asks a peer for what follows a revision; OnRevisions() hears it.
  /// A peer that no longer keeps all of it is asked for a snapshot instead.
  void FetchRevisions(const std::string& peer, std::uint64_t after);

  /// @brief Asks a peer for the host list that it goes by; OnHosts() hears it.
  void FetchHosts(const std::string& peer);

  /// @brief Asks a daemon for the outcome of a claim.
  /// @param done called once; kUnknown if it is not reached in time
  void QueryOutcome(std::string_view daemon,
                    const Claim& claim,
                    Duration timeout,
                    std::function<void(JoinOutcome)> done);

  void Stop();

 private:
  class Service;
  struct Link;

  Link* GetOrCreateLink(const PeerAddress& peer);
  const PeerAddress* FindPeer(std::string_view name) const;
  void StartRound(std::size_t fanout);
  void StartExchange(const PeerAddress& peer);
  void SendDigest(Link& link);
  void RequestRevisions(Link& link, std::uint64_t after);
  void RequestSnapshot(Link& link);
  void RequestHosts(Link& link);
  /// Calls back once the link is connected; never if it does not come up.
  void WhenConnected(const std::string& peer,
                     std::uint32_t polls_left,
                     const std::function<void(Link&)>& done);
  void DropIdleLinks();
  void DropLink(const std::string& peer);
  kj::Promise<void> AddTimeout(kj::Promise<void> call,
                               const std::string& peer,
                               Duration timeout);

  EventLoop& loop_;
  Options options_;
  PeerHandler& handler_;
  Rng rng_;
  std::vector<PeerAddress> peers_;
  std::map<std::string, std::unique_ptr<Link>, std::less<>> links_;
  std::uint64_t round_ = 0;
  std::uint32_t rumour_rounds_left_ = 0;
  std::unique_ptr<RpcServer> server_;
  struct Tasks;
  std::unique_ptr<Tasks> tasks_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PEER_LINKS_H_
