#ifndef GENTIANROUTE_LOOP_HTTP_H_
#define GENTIANROUTE_LOOP_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/id.h"

namespace gentianroute {

/// @brief A header field. HttpServer and HttpClient deliver names in lower
/// case, MessageParser as sent.
struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// @brief Value of the first field with this name; case-sensitive.
/// @return empty if there is none
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// @brief Whether a status belongs to one of the classes 1xx to 5xx. A response
/// with another one is malformed.
constexpr bool IsStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast;
}

/// @brief A complete request as received by HttpServer.
struct HttpRequest {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< without the question mark
  HttpHeaders headers;
  std::string body;
  std::uint64_t connection_id = 0;  ///< increases with each connection
  /// The connection exceeds the server's limit; the handler must reject the
  /// request.
  bool over_limit = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// @brief Sends the response to one request, at once or later, in one piece or
/// streamed.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// @brief Sends a complete response. Does nothing if the client has
  /// disconnected.
  virtual void Send(HttpResponse response) = 0;
  /// @brief Begins a streamed response; Write() and then End() follow.
  virtual void Begin(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view text) = 0;
  virtual void End() = 0;
  /// @brief Closes the connection at once, even within a response.
  virtual void Abort() = 0;
  /// @brief Sets a callback that runs once if the connection closes before the
  /// response is sent.
  virtual void SetOnDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// @brief One request to another server.
struct HttpCall {
  std::string address;  ///< IPv4 address
  std::uint16_t port = 0;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  /// Whether to use a new connection that is not returned to the pool.
  bool fresh_connection = false;
};

using HttpCallId = Id<struct HttpCallTag>;

/// @brief Why a call ended without a complete response.
enum class HttpCallError : std::uint8_t {
  kConnect,    ///< not connected, so no byte was sent
  kReset,      ///< connection lost before the response head was complete
  kTruncated,  ///< body incomplete, or its end can't be determined
};

/// @brief Receives the events of one call. The last is either OnDone or
/// OnError.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  /// @brief Called when connected, before the first byte is written.
  virtual void OnConnected() {}
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnBody(std::string_view part) = 0;
  virtual void OnDone() = 0;
  virtual void OnError(HttpCallError error, std::string_view detail) = 0;
};

/// @brief HTTP client interface; tests substitute a fake.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual HttpCallId Call(HttpCall call,
                          std::unique_ptr<HttpCallObserver> observer) = 0;
  /// @brief Cancels a call and destroys its observer without calling it again.
  virtual void Cancel(HttpCallId call) = 0;
  /// @brief Stops reusing the current idle connections to a server.
  virtual void DiscardIdleConnections(std::string_view address,
                                      std::uint16_t port) = 0;
};

/// @brief Outcome of a call.
struct HttpResult {
  bool complete = false;  ///< if false, `error` and `detail` are valid
  HttpCallError error = HttpCallError::kConnect;
  std::string detail;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};
/// @brief Creates an observer that collects the response and delivers it in one
/// piece.
/// @param done called once
std::unique_ptr<HttpCallObserver> CollectResponse(
    std::function<void(HttpResult)> done);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_HTTP_H_
