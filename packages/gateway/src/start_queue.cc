#include "gentianroute/gateway/start_queue.h"

#include <memory>

namespace gentianroute::gateway {

StartQueue::~StartQueue() {
  while (Pop() != nullptr) {
  }
}

bool StartQueue::TryPush(TimePoint now, const RelayExchangePtr& exchange) {
  if (IsTimedOut(now) || entries_.size() >= kMaxRequests) {
    return false;
  }
  auto* entry = new Entry;
  entry->exchange = exchange;
  entries_.push_back(*entry);
  exchange->SetOnDisconnect([this, entry] { Remove(*entry); });
  return true;
}

RelayExchangePtr StartQueue::Pop() {
  if (entries_.empty()) {
    return nullptr;
  }
  Entry& first = entries_.front();
  RelayExchangePtr exchange = first.exchange;
  exchange->SetOnDisconnect(nullptr);
  Remove(first);
  return exchange;
}

void StartQueue::Remove(Entry& entry) {
  entries_.erase_and_dispose(entries_.iterator_to(entry),
                             std::default_delete<Entry>());
}

}  // namespace gentianroute::gateway
