#ifndef GENTIANROUTE_GATEWAY_RESULT_RELEASER_H_
#define GENTIANROUTE_GATEWAY_RESULT_RELEASER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gentianroute/gateway/server_notices.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/loop/relay_fetches.h"

namespace gentianroute::gateway {

/// @brief Tells stage servers which results nobody reads any more.
///
/// A result occupies storage at the server that computed it until it is
/// released or expires some seconds later. Without releases, a server with
/// large results is full after a few calls and rejects pieces. Releases are
/// batched per server. They wait while their server has asked for a backoff or
/// has several calls to answer.
class ResultReleaser {
 public:
  ResultReleaser(EventLoop& loop,
                 RelayClient& client,
                 const Translator& translator,
                 ServerNotices& notices);
  ~ResultReleaser();

  void Release(std::vector<std::string> results);
  /// @brief Number of calls in progress.
  std::size_t calls() const { return fetches_.running(); }

 private:
  void Flush();
  void Send(const Endpoint& server, std::vector<std::string> results);
  std::size_t CallsAt(const Endpoint& server) const;
  void OnCallEnd(const Endpoint& server);

  EventLoop& loop_;
  RelayFetches fetches_;
  const Translator& translator_;
  ServerNotices& notices_;
  std::map<Endpoint, std::vector<std::string>> pending_;
  std::map<Endpoint, std::size_t> calls_in_progress_;  ///< without zeros
  TimerId timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_RESULT_RELEASER_H_
