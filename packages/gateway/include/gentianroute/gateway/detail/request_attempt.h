#ifndef GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_
#define GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_

#include <optional>
#include <string_view>
#include <utility>

#include "gentianroute/gateway/request_flow.h"

namespace gentianroute::gateway {

/// One attempt to have a request answered.
class RequestFlow::Attempt {
 public:
  virtual ~Attempt() = default;
  /// Ends the attempt; no more callbacks follow.
  virtual void Cancel() = 0;
};

/// An attempt at a backend server.
class RequestFlow::ServerAttempt final : public Attempt, RelayCallObserver {
 public:
  ServerAttempt(RequestFlow& flow, RelayCall call) : flow_(&flow) {
    id_ = flow.context_.client.Call(std::move(call), *this);
  }
  ~ServerAttempt() override { ServerAttempt::Cancel(); }

  /// Closes the connection.
  void Cancel() override {
    if (RequestFlow* flow = std::exchange(flow_, nullptr)) {
      flow->context_.client.Cancel(id_);
    }
  }

  void OnHead(MessageHead head) override {
    const Ptr flow(flow_);
    flow->OnHead(flow->context_.translator.ReadAnswer(head),
                 head.ends_with_connection);
  }
  void OnBody(std::string_view part) override {
    const Ptr flow(flow_);
    flow->OnBody(part);
  }
  void OnDone() override {
    const Ptr flow(std::exchange(flow_, nullptr));
    flow->OnAnswered();
  }
  void OnFailure(RelayFailure failure) override {
    const Ptr flow(std::exchange(flow_, nullptr));
    flow->OnAttemptFailure(failure);
  }

 private:
  RequestFlow* flow_;
  RelayCallId id_;
};

/// An attempt through a peer, which sends the request to servers in place of
/// this daemon.
class RequestFlow::PeerAttempt final : public Attempt, PeerAnswerObserver {
 public:
  PeerAttempt(RequestFlow& flow, const Membership::Peer& peer)
      : flow_(&flow),
        message_share_(flow.context_.memory, admission::HeldKind::kPeerRequest),
        handle_(flow.context_.cluster.HandOverTo(peer,
                                                 flow.HandedToPeer(),
                                                 *this)) {
    message_share_.Set(flow.exchange_->body().size());
  }
  ~PeerAttempt() override { PeerAttempt::Cancel(); }

  void Cancel() override {
    flow_ = nullptr;
    handle_.reset();
    message_share_.Set(0);
  }

  void OnWholeAnswer(int status,
                     const HttpHeaders& fields,
                     std::string_view body,
                     const AnswerSource& source) override {
    const Ptr flow(flow_);
    flow->OnPeerAnswer(status, fields, body, source);
  }
  void OnAnswerBegun(int status,
                     const HttpHeaders& fields,
                     const AnswerSource& source) override {
    const Ptr flow(flow_);
    flow->OnPeerAnswerBegun(status, fields, source);
  }
  void OnAnswerPart(std::string_view part) override {
    const Ptr flow(flow_);
    flow->OnPeerPart(part);
  }
  void OnAnswerEnded() override {
    const Ptr flow(flow_);
    flow->OnPeerAnswerEnded();
  }
  void OnPeerFailed() override {
    const Ptr flow(flow_);
    flow->OnPeerFailed();
  }

 private:
  RequestFlow* flow_;
  admission::MemoryAccount::Share message_share_;  ///< copy for the peer
  std::unique_ptr<HandedRequestHandle> handle_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_
