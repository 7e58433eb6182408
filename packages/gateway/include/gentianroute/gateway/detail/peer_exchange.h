#ifndef GENTIANROUTE_GATEWAY_DETAIL_PEER_EXCHANGE_H_
#define GENTIANROUTE_GATEWAY_DETAIL_PEER_EXCHANGE_H_

#include <cluster.capnp.h>
#include <kj/async.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/handed_request.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// A request that a peer has handed over; the answer goes to the peer.
class PeerExchange final : public RelayExchange {
 public:
  /// @param messages keeps the messages to the peer until they have arrived;
  /// must outlive this object
  /// @param done fulfilled once the peer has received the whole answer
  PeerExchange(TimePoint now,
               HandedRequest request,
               schema::AnswerReader::Client reader,
               kj::TaskSet& messages,
               kj::Own<kj::PromiseFulfiller<void>> done);
  ~PeerExchange() noexcept override;

  const RequestProgress& progress() const { return progress_; }
  /// Sets the source of the answer that is about to begin.
  void SetSource(AnswerSource source) { source_ = std::move(source); }
  /// Handles the end of the peer's call. If the answer is not complete, the
  /// caller or the peer is gone.
  void OnCallEnded();

  void Respond(int status,
               const HttpHeaders& fields,
               std::string_view body) override;
  void Begin(int status, const HttpHeaders& fields) override;
  void Write(std::string_view part) override;
  void End() override;
  void Abort() override;

 private:
  /// Ends the call once the peer has received the last message.
  void EndAfter(kj::Promise<void> last);
  /// Ends an answer that the peer doesn't take.
  void GiveUp();
  void NotifyDisconnect();

  RequestProgress progress_;
  AnswerSource source_;
  schema::AnswerReader::Client reader_;
  kj::TaskSet& messages_;
  std::shared_ptr<kj::Own<kj::PromiseFulfiller<void>>> done_;
  /// Of the parts that the peer has not taken yet. Counted by their messages,
  /// which may outlive this object.
  std::shared_ptr<std::size_t> unsent_bytes_ = std::make_shared<std::size_t>(0);
  bool answered_ = false;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_PEER_EXCHANGE_H_
