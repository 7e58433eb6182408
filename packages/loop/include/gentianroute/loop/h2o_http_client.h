#ifndef GENTIANROUTE_LOOP_H2O_HTTP_CLIENT_H_
#define GENTIANROUTE_LOOP_H2O_HTTP_CLIENT_H_

#include <memory>
#include <string_view>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief HTTP/1.1 client based on h2o, with a connection pool per server.
class H2oHttpClient final : public HttpClient {
 public:
  struct Options {
    /// Connections that have been idle for longer are closed, since a middlebox
    /// such as a NAT may have dropped their state without notifying either end.
    Duration max_idle = std::chrono::seconds(2);
    /// Maximum time without I/O; callers enforce shorter limits with timers.
    Duration io_timeout = std::chrono::seconds(60);
    /// Interval between removals of pools that have no connection left.
    Duration sweep_period = std::chrono::seconds(30);
  };

  H2oHttpClient(EventLoop& loop, Options options);
  explicit H2oHttpClient(EventLoop& loop) : H2oHttpClient(loop, Options{}) {}
  ~H2oHttpClient() override;

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

#endif  // GENTIANROUTE_LOOP_H2O_HTTP_CLIENT_H_
