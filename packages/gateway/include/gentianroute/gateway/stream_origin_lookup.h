#ifndef GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
#define GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/origin_finding.h"
#include "gentianroute/gateway/store_confirmation.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

class StreamRegistry;

/// @brief Asks the store and peers for the origin of one stream. Destroying it
/// ends the search.
class StreamOriginLookup {
 public:
  /// @brief Called once, not from the constructor. May destroy the lookup.
  using Done = std::function<void(const OriginFinding&)>;

  StreamOriginLookup(EventLoop& loop,
                     Cluster& cluster,
                     StreamRegistry& registry,
                     std::string_view stream,
                     std::string_view service,
                     Done done);
  ~StreamOriginLookup();

 private:
  void AskPeers();
  void Ask(const Membership::Peer& peer, OriginQuestion question);
  /// Has what is known confirmed by the store: by this daemon if it follows the
  /// store, and by peers if not or if the store doesn't answer.
  void AskStore();
  void AskStoreItself();
  /// @return whether there is any
  bool AskNextReaders();
  /// Whether the store can still tell the origin.
  bool MayBeOneVersion() const;
  void OnConfirmed(const routing::OriginReport& report);
  void OnReply(const routing::OriginReport& report);
  /// A question has been answered.
  void FinishIfEnough();
  void OnPeersOverdue();
  void Finish();

  EventLoop& loop_;
  Cluster& cluster_;
  StreamRegistry& registry_;
  std::string stream_;
  std::string service_;
  TimePoint started_at_;
  routing::OriginReports reports_;
  std::vector<std::unique_ptr<PeerQuestion>> questions_;
  std::unique_ptr<StoreConfirmation> confirmation_;
  std::deque<std::string> readers_;  ///< peers not yet asked to confirm
  std::size_t unanswered_ = 0;
  std::size_t unconfirmed_ = 0;  ///< unanswered questions that ask the store
  bool peers_overdue_ = false;
  Done done_;
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STREAM_ORIGIN_LOOKUP_H_
