#ifndef GENTIANROUTE_LOOP_RELAY_FETCHES_H_
#define GENTIANROUTE_LOOP_RELAY_FETCHES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"

namespace gentianroute {

/// @brief What one call came back with.
struct RelayFetchResult {
  bool complete = false;  ///< else `head` and `body` say nothing
  /// How it broke; empty if no answer came in time.
  std::optional<RelayFailure> failure;
  MessageHead head;
  std::string body;
};

/// @brief Calls of which only the whole answer is wanted, each under a time
/// limit. A call that is given up is closed.
class RelayFetches {
 public:
  using Done = std::function<void(RelayFetchResult)>;

  RelayFetches(EventLoop& loop, RelayClient& client);
  ~RelayFetches();

  /// @param done called once, unless this is destroyed before
  void Start(RelayCall call, Duration time_limit, Done done);

 private:
  class Fetch;

  EventLoop& loop_;
  RelayClient& client_;
  std::map<const Fetch*, std::unique_ptr<Fetch>> running_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_FETCHES_H_
