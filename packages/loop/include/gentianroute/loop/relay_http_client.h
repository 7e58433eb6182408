#ifndef GENTIANROUTE_LOOP_RELAY_HTTP_CLIENT_H_
#define GENTIANROUTE_LOOP_RELAY_HTTP_CLIENT_H_

#include <memory>
#include <string_view>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief HttpClient on top of RelayClient, so that responses are read and
/// checked in one place.
///
/// Responses without a length or chunks fail: their truncation can't be
/// detected.
class RelayHttpClient final : public HttpClient {
 public:
  struct Options {
    /// Connections that have been idle for longer aren't reused, since a
    /// middlebox such as a NAT may have dropped their state without notifying
    /// either end.
    Duration max_idle = std::chrono::seconds(2);
    /// Maximum time without data; callers enforce shorter limits with timers.
    Duration io_timeout = std::chrono::seconds(60);
  };

  RelayHttpClient(EventLoop& loop, Options options);
  explicit RelayHttpClient(EventLoop& loop)
      : RelayHttpClient(loop, Options{}) {}
  ~RelayHttpClient() override;

  HttpCallId Call(HttpCall call,
                  std::unique_ptr<HttpCallObserver> observer) override;
  void Cancel(HttpCallId call) override;
  void DiscardIdleConnections(std::string_view address,
                              std::uint16_t port) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_HTTP_CLIENT_H_
