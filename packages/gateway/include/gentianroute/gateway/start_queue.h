#ifndef GENTIANROUTE_GATEWAY_START_QUEUE_H_
#define GENTIANROUTE_GATEWAY_START_QUEUE_H_

#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstddef>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/relay_server.h"

namespace gentianroute::gateway {

/// @brief Queues requests that reach a daemon before it is configured.
///
/// When all daemons of a data centre restart, callers reconnect as soon as the
/// sockets are open, about 0.1 s before the configuration and the host list
/// have been read. If a request were refused in this time, its caller would
/// lose one of its few retries. If the store does not answer in time, the
/// queued requests are refused, and later ones are refused at once.
class StartQueue {
 public:
  /// Maximum time after the start of the daemon. A longer delay is an outage of
  /// the store, for which requests are not kept waiting.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(800);
  /// Maximum number of queued requests, to limit their memory.
  static constexpr std::size_t kMaxRequests = 400;

  explicit StartQueue(TimePoint started) : started_(started) {}
  ~StartQueue();
  StartQueue(const StartQueue&) = delete;
  StartQueue& operator=(const StartQueue&) = delete;

  /// @brief Queues a request, which is removed if its caller disconnects.
  /// @return false if it can't be queued and must be handled now
  bool TryPush(TimePoint now, const RelayExchangePtr& exchange);
  /// @brief Whether the queue must be emptied even if the daemon is not
  /// configured.
  bool IsTimedOut(TimePoint now) const { return now >= started_ + kMaxWait; }
  /// @brief Removes and returns the oldest request.
  /// @return null if the queue is empty
  RelayExchangePtr Pop();

 private:
  struct Entry : boost::intrusive::list_base_hook<> {
    RelayExchangePtr exchange;
  };

  void Remove(Entry& entry);

  TimePoint started_;
  boost::intrusive::list<Entry> entries_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_START_QUEUE_H_
