#include "gentianroute/gateway/start_queue.h"

#include <criterion/criterion.h>

#include <chrono>

using namespace gentianroute;
using gentianroute::gateway::StartQueue;

namespace {

constexpr TimePoint kStartTime = TimePoint{} + std::chrono::seconds(5);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

/// A caller's request whose response is discarded.
class FakeExchange final : public RelayExchange {
 public:
  void Respond(int, const HttpHeaders&, std::string_view) override {}
  void Begin(int, const HttpHeaders&) override {}
  void Write(std::string_view) override {}
  void End() override {}
  void Abort() override {}

  void Disconnect() {
    if (on_disconnect_) {
      on_disconnect_();
    }
  }
};
using FakePtr = boost::intrusive_ptr<FakeExchange>;

FakePtr NewRequest() {
  return FakePtr(new FakeExchange);
}

}  // namespace

// After a restart of all daemons, callers reconnect about 0.1 s before the
// configuration has been read. If their requests were refused, each caller
// would lose one of its few retries. They are served in the order of arrival
// instead.
Test(start_queue, early_requests_are_popped_in_order) {
  StartQueue queue(kStartTime);
  const FakePtr first = NewRequest();
  const FakePtr second = NewRequest();
  cr_assert(queue.TryPush(kStartTime + 3 * kMillisecond, first));
  cr_assert(queue.TryPush(kStartTime + 90 * kMillisecond, second));
  cr_assert(queue.Pop() == first);
  cr_assert(queue.Pop() == second);
  cr_assert(queue.Pop() == nullptr);
}

// If the store is unavailable when the daemon starts, requests are refused at
// once after the maximum wait, so that callers don't wait for the end of the
// outage.
Test(start_queue, request_after_the_maximum_wait_is_rejected) {
  StartQueue queue(kStartTime);
  const TimePoint later = kStartTime + StartQueue::kMaxWait;
  cr_assert(queue.IsTimedOut(later));
  cr_assert_not(queue.TryPush(later, NewRequest()));
}

Test(start_queue, request_of_disconnected_caller_is_removed) {
  StartQueue queue(kStartTime);
  const FakePtr disconnected = NewRequest();
  const FakePtr connected = NewRequest();
  queue.TryPush(kStartTime, disconnected);
  queue.TryPush(kStartTime, connected);
  disconnected->Disconnect();
  cr_assert(queue.Pop() == connected);
  cr_assert(queue.Pop() == nullptr);
}

Test(start_queue, request_beyond_the_maximum_count_is_rejected) {
  StartQueue queue(kStartTime);
  for (std::size_t i = 0; i < StartQueue::kMaxRequests; ++i) {
    cr_assert(queue.TryPush(kStartTime, NewRequest()));
  }
  cr_assert_not(queue.TryPush(kStartTime, NewRequest()));
}

Test(start_queue, destruction_releases_queued_requests) {
  const FakePtr queued = NewRequest();
  {
    StartQueue queue(kStartTime);
    queue.TryPush(kStartTime, queued);
  }
  cr_assert_eq(queued->use_count(), 1);
  queued->Disconnect();
}
