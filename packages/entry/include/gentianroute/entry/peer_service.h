#ifndef GENTIANROUTE_ENTRY_PEER_SERVICE_H_
#define GENTIANROUTE_ENTRY_PEER_SERVICE_H_

#include <settings.capnp.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/decision/config_follower.h"
#include "gentianroute/decision/coordinator.h"
#include "gentianroute/decision/leaving_server_gossip.h"
#include "gentianroute/decision/poll_schedule.h"
#include "gentianroute/entry/peer_links.h"
#include "gentianroute/entry/peer_revisions.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief Builds the digests that are sent to peers, and applies what peers
/// send.
class PeerService final : public PeerHandler {
 public:
  /// @brief The state that is shared with peers; must outlive the service.
  struct Dependencies {
    schema::Settings::Reader settings;
    std::uint64_t incarnation;
    ServerTable& servers;
    LeavingServerGossip& leaving_server_gossip;
    UsageLedger& usage;
    SuspectTable& suspects;
    ConfigFollower& follower;
    PollSchedule& poll_schedule;
    PeerRevisions& peer_revisions;
    Coordinator& coordinator;
  };

  using HostsCallback = std::function<void(const std::vector<HostRecord>&)>;

  /// @param on_config_changed called after a newer revision from a peer was
  /// applied
  /// @param on_hosts_received called with a peer's host list as long as this
  /// daemon has none
  /// @param request_advance called after each input to the coordinator
  PeerService(EventLoop& loop,
              const Dependencies& dependencies,
              std::function<void()> on_config_changed,
              HostsCallback on_hosts_received,
              std::function<void()> request_advance);

  /// @brief Sets the links to the peers; to be called once, before any
  /// other function.
  void SetLinks(PeerLinks& links) { links_ = &links; }
  /// @brief Sets the current host list, which peers may request.
  void SetHosts(const std::vector<HostRecord>& hosts);
  /// @brief Whether a host list was received from the platform or a peer.
  bool knows_hosts() const { return knows_hosts_; }
  void StartDrain() { draining_ = true; }
  /// @brief Adds the servers that are leaving to the digests, and spreads new
  /// ones in an extra gossip round.
  void AnnounceLeaving();
  /// @brief Answers a peer's OnJoin() query.
  void Answer(const AnswerJoin& answer);

  // PeerHandler.
  void FillDigest(schema::Digest::Builder digest) override;
  void OnDigest(schema::Digest::Reader digest) override;
  std::vector<ConfigRevision> RevisionsAfter(std::uint64_t revision,
                                             std::size_t limit) override;
  void OnRevisions(const std::vector<ConfigRevision>& revisions) override;
  ConfigSnapshot Snapshot() override {
    return dependencies_.follower.Snapshot();
  }
  void OnSnapshot(const ConfigSnapshot& snapshot) override;
  std::span<const HostRecord> Hosts() const override { return hosts_; }
  void OnHosts(const std::vector<HostRecord>& hosts) override;
  void OnJoin(std::string_view token,
              std::function<void(JoinOutcome)> done) override;

 private:
  EventLoop& loop_;
  Dependencies dependencies_;
  std::function<void()> on_config_changed_;
  HostsCallback on_hosts_received_;
  std::function<void()> request_advance_;
  std::vector<HostRecord> hosts_;
  bool knows_hosts_ = false;
  PeerLinks* links_ = nullptr;
  std::unordered_map<JoinId, std::function<void(JoinOutcome)>> joins_;
  std::size_t quarantine_offset_ = 0;
  bool draining_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_PEER_SERVICE_H_
