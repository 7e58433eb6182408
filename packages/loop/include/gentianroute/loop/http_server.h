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

/// @brief HTTP/1.1 and HTTP/2 by h2o, with TLS if a certificate is given.
class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string certificate_file;
    std::string key_file;
    std::size_t max_body = 1024 * 1024;
    std::size_t max_connections = 4096;
    /// Makes the answer to a request that h2o itself turns down, such as a body
    /// over the limit; null: h2o's own text.
    std::function<HttpResponse(int status)> make_error_response;
  };

  /// @throws std::runtime_error if the address or the certificate can't be
  /// used; the text says which and why
  HttpServer(EventLoop& loop, Options options, HttpHandler handler);
  ~HttpServer();

  std::uint16_t port() const;
  std::size_t connections() const;

  /// @brief Takes no new connection; those that are open go on.
  void StopAccepting();
  /// @brief Asks the other ends to close: HTTP/2 by GOAWAY, HTTP/1.1 by
  /// `Connection: close` on the next answer.
  void BeginShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_HTTP_SERVER_H_
