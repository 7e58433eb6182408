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

/// @brief A header field; names are lower case.
struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// @brief The first field with this name.
/// @return empty if there is none
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// @brief A whole request as the server read it.
struct HttpRequest {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< without the question mark
  HttpHeaders headers;
  std::string body;
  std::uint64_t connection_id = 0;  ///< rises with each new connection
  /// Came over one connection more than the server takes; to be refused.
  bool over_limit = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// @brief Answers one request, now or later, whole or as a stream.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// @brief The whole answer. Nothing happens if the caller has gone.
  virtual void Send(HttpResponse response) = 0;
  /// @brief Begins a streamed answer; Write() and then End() follow.
  virtual void Begin(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view text) = 0;
  virtual void End() = 0;
  /// @brief Closes the connection at once, whatever was sent so far.
  virtual void Abort() = 0;
  /// @brief Called once if the connection closes before the answer is sent.
  virtual void SetOnDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// @brief One call to another server.
struct HttpCall {
  std::string address;  ///< IP number
  std::uint16_t port = 0;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  /// A connection of its own, neither taken from the pool nor returned to it.
  bool fresh_connection = false;
};

using HttpCallId = Id<struct HttpCallTag>;

/// @brief How a call ended without a whole answer.
enum class HttpCallError : std::uint8_t {
  kConnect,    ///< nothing was written
  kReset,      ///< broke before the head of the answer was whole
  kTruncated,  ///< broke in the body, or the body had no framing
};

/// @brief Hears of one call. Exactly one of OnDone and OnError ends it.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  /// @brief The connection stands and the first byte is about to go.
  virtual void OnConnected() {}
  virtual void OnHead(int status, const HttpHeaders& headers) = 0;
  virtual void OnBody(std::string_view part) = 0;
  virtual void OnDone() = 0;
  virtual void OnError(HttpCallError error, std::string_view detail) = 0;
};

/// @brief Calls to other servers; faked in tests.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual HttpCallId Call(HttpCall call,
                          std::unique_ptr<HttpCallObserver> observer) = 0;
  /// @brief Ends a call; its observer is destroyed and hears nothing more.
  virtual void Cancel(HttpCallId call) = 0;
  /// @brief Uses none of the present idle connections to a server again.
  virtual void DiscardIdleConnections(std::string_view address,
                                      std::uint16_t port) = 0;
};

/// @brief Collects a whole answer and hands it on in one piece.
/// @param done called once; `error` is null for a whole answer
struct HttpResult {
  bool complete = false;
  HttpCallError error = HttpCallError::kConnect;
  std::string detail;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};
std::unique_ptr<HttpCallObserver> CollectResponse(
    std::function<void(HttpResult)> done);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_HTTP_H_
