#ifndef GENTIANROUTE_GATEWAY_START_QUEUE_H_
#define GENTIANROUTE_GATEWAY_START_QUEUE_H_

#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstddef>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/relay_server.h"

namespace gentianroute::gateway {

/// @brief Requests that reach a daemon in the first moments of its life.
///
/// After all daemons of a data centre were lost, callers are back as soon as
/// the sockets are. The configuration and the host list are known a tenth of a
/// second later. Refused in between, each caller would have spent one of its
/// few tries; so its request waits for that moment. When the store does not
/// answer in time, what waits is refused, and what comes later at once.
class StartQueue {
 public:
  /// Bound on the wait. What takes longer is an outage, and nobody waits for
  /// that.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(800);
  /// Bound on what waits, for the memory that it takes.
  static constexpr std::size_t kMaxRequests = 400;

  explicit StartQueue(TimePoint started) : started_(started) {}
  ~StartQueue();
  StartQueue(const StartQueue&) = delete;
  StartQueue& operator=(const StartQueue&) = delete;

  /// @brief Keeps a request until the daemon is ready.
  /// @return false if it is to be answered now
  bool TryPush(TimePoint now, const RelayExchangePtr& exchange);
  /// @brief Whether what waits is to be taken out, ready or not.
  bool IsTimedOut(TimePoint now) const { return now >= started_ + kMaxWait; }
  /// @brief The request that has waited longest; null if none waits.
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
