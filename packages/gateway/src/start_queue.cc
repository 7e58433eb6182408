#include "gentianroute/gateway/start_queue.h"

#include <memory>

namespace gentianroute::gateway {

StartQueue::~StartQueue() {
  while (Take() != nullptr) {
  }
}

bool StartQueue::Keep(TimePoint now, const RelayExchangePtr& exchange) {
  if (IsOver(now) || waiting_.size() >= kMost) {
    return false;
  }
  auto* waiting = new Waiting;
  waiting->exchange = exchange;
  waiting_.push_back(*waiting);
  exchange->SetOnDisconnect([this, waiting] { Drop(*waiting); });
  return true;
}

RelayExchangePtr StartQueue::Take() {
  if (waiting_.empty()) {
    return nullptr;
  }
  Waiting& first = waiting_.front();
  RelayExchangePtr exchange = first.exchange;
  exchange->SetOnDisconnect(nullptr);
  Drop(first);
  return exchange;
}

void StartQueue::Drop(Waiting& waiting) {
  waiting_.erase_and_dispose(waiting_.iterator_to(waiting),
                             std::default_delete<Waiting>());
}

}  // namespace gentianroute::gateway
