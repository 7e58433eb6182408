#ifndef GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_
#define GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_

#include <string_view>
#include <utility>

#include "gentianroute/gateway/request_flow.h"

namespace gentianroute::gateway {

/// One attempt to have a request answered by a server.
class RequestFlow::Attempt final : public RelayCallObserver {
 public:
  Attempt(RequestFlow& flow, RelayCall call) : flow_(&flow) {
    id_ = flow.context_.client.Call(std::move(call), *this);
  }
  ~Attempt() override { Cancel(); }

  /// Closes the connection; no more callbacks follow.
  void Cancel() {
    if (RequestFlow* flow = std::exchange(flow_, nullptr)) {
      flow->context_.client.Cancel(id_);
    }
  }

  void OnHead(MessageHead head) override {
    const Ptr flow(flow_);
    flow->OnHead(flow->context_.translator.ReadAnswer(head));
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

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_DETAIL_REQUEST_ATTEMPT_H_
