#ifndef GENTIANROUTE_LOOP_RELAY_FETCHES_H_
#define GENTIANROUTE_LOOP_RELAY_FETCHES_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"

namespace gentianroute {

/// @brief Outcome of one call.
struct RelayFetchResult {
  bool complete = false;  ///< if false, `head` and `body` are not valid
  /// Empty if the call succeeded or reached its time limit.
  std::optional<RelayFailure> failure;
  MessageHead head;
  std::string body;
};

/// @brief Runs calls with a time limit each and delivers complete responses.
///
/// The connection of a call that reaches its time limit is closed.
class RelayFetches {
 public:
  using Done = std::function<void(RelayFetchResult)>;

  RelayFetches(EventLoop& loop, RelayClient& client);
  ~RelayFetches();

  /// @param done called once, unless this object is destroyed first
  void Start(RelayCall call, Duration time_limit, Done done);
  /// @brief Number of calls in progress.
  std::size_t running() const { return running_.size(); }

 private:
  class Fetch;

  EventLoop& loop_;
  RelayClient& client_;
  std::map<const Fetch*, std::unique_ptr<Fetch>> running_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_FETCHES_H_
