#ifndef GENTIANROUTE_LOOP_H2O_HTTP_CLIENT_H_
#define GENTIANROUTE_LOOP_H2O_HTTP_CLIENT_H_

#include <memory>
#include <string_view>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief HTTP/1.1 calls by h2o's client, with a pool per server.
class H2oHttpClient final : public HttpClient {
 public:
  struct Options {
    /// Idle connections older than this are closed: something between the two
    /// ends may lose track of them without telling either.
    Duration max_idle = std::chrono::seconds(2);
    /// Upper bound on silence; callers set tighter ones with their own timers.
    Duration io_timeout = std::chrono::seconds(60);
    /// Between looks for pools that hold no connection any more.
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
