#ifndef GENTIANROUTE_LOOP_HTTP_SERVER_H_
#define GENTIANROUTE_LOOP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief h2o server for HTTP/1.1 and HTTP/2, with TLS if a certificate is set.
class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string certificate_file;
    std::string key_file;
    std::size_t max_body = 1024 * 1024;
    std::size_t max_connections = 4096;
    /// Creates the response to a request that h2o itself rejects, for example
    /// because its body exceeds `max_body`. Null sends h2o's default response.
    std::function<HttpResponse(int status)> make_error_response;
  };

  /// @throws std::runtime_error if the address can't be bound or the
  /// certificate can't be loaded; the message says which and why
  HttpServer(EventLoop& loop, Options options, HttpHandler handler);
  ~HttpServer();

  std::uint16_t port() const;
  std::size_t connections() const;

  /// @brief Stops accepting connections; open ones continue.
  void StopAccepting();
  /// @brief Asks clients to close their connections, by GOAWAY for HTTP/2 and
  /// by `Connection: close` in the next response for HTTP/1.1.
  void BeginShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_HTTP_SERVER_H_
