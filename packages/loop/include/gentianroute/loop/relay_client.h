#ifndef GENTIANROUTE_LOOP_RELAY_CLIENT_H_
#define GENTIANROUTE_LOOP_RELAY_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/shared_body.h"

namespace gentianroute {

/// @brief An IPv4 address and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  std::string ToString() const { return address + ":" + std::to_string(port); }
};

/// Most bytes in the body of an answer that is collected before it is used. A
/// server in trouble may send bytes without end.
inline constexpr std::size_t kMaxCollectedBodyBytes = 4 * 1024 * 1024;

/// @brief Whether a connection has carried a request before. Bytes that a
/// faulty server sends after a complete response may then arrive where the next
/// one is expected.
enum class ConnectionUse : std::uint8_t { kFirst, kReused };

/// @brief One HTTP request in serialised form, with its connection options.
struct RelayCall {
  Endpoint endpoint;
  std::string message;  ///< the request, without `body`
  SharedBodyPtr body;   ///< sent after `message`; null: nothing more
  bool response_has_no_body = false;  ///< the request was a HEAD
  /// An idle connection is reused only if it has been idle for less than this.
  /// Zero forces a new connection, which can't fail because the server closed
  /// it as idle while the request was on its way.
  Duration max_idle = std::chrono::seconds(4);
  /// Whether the connection may be reused for a later request.
  bool keep_connection = true;
  /// An answer with a longer body is malformed, and its connection is closed.
  std::size_t max_body_bytes = kMaxCollectedBodyBytes;
  /// Identifies the request to its server; empty if it has no id. No connection
  /// carries the same one twice: a second, late response to the first sending
  /// would pass for the response to the next one.
  std::string request_id;
  /// Returns whether a response belongs to this request; others are discarded.
  /// Null accepts the first response.
  std::function<bool(const MessageHead&, ConnectionUse)> matches_response;
};

using RelayCallId = Id<struct RelayCallTag>;

enum class RelayFailure : std::uint8_t {
  kNotSent,    ///< not connected, so no byte was sent
  kReset,      ///< connection lost before the response head was complete
  kTruncated,  ///< connection lost within the response body
  kMalformed,  ///< the received bytes are not a valid response
};

/// @brief Receives the events of one request; OnDone() or OnFailure() is the
/// last.
class RelayCallObserver {
 public:
  virtual ~RelayCallObserver() = default;
  /// @brief Called when connected, before the first byte is sent.
  virtual void OnConnected() {}
  virtual void OnHead(MessageHead head) = 0;
  virtual void OnBody(std::string_view part) = 0;
  virtual void OnDone() = 0;
  virtual void OnFailure(RelayFailure failure) = 0;
};

/// @brief HTTP/1.1 client with a connection pool per server.
///
/// It distinguishes an orderly close from a reset, detects unexpected bytes
/// after a response, and limits the idle time of a reused connection per
/// request. It bounds what it reads: the head and the body of an answer, and
/// the bytes of answers that belong to no call.
class RelayClient {
 public:
  /// @brief Returns the endpoint to connect to in place of another, which lets
  /// a test impair the links of one client.
  using Redirect = std::function<Endpoint(const Endpoint&)>;

  /// @param redirect null if every call connects to its own endpoint
  explicit RelayClient(EventLoop& loop, Redirect redirect = nullptr);
  ~RelayClient();

  /// @param observer must outlive the call or cancel it
  RelayCallId Call(RelayCall call, RelayCallObserver& observer);
  /// @brief Cancels a call and closes its connection; its observer isn't called
  /// again.
  void Cancel(RelayCallId call);

  /// @brief Opens a connection and closes it at once, without sending anything.
  /// @param done called once, from the event loop, unless this object is
  /// destroyed first
  void Probe(const Endpoint& endpoint,
             Duration time_limit,
             std::function<void(bool connected)> done);

  /// @brief Closes idle connections to a server, and lets no connection that
  /// is open now be reused.
  void DiscardConnections(const Endpoint& endpoint);

  /// @brief Number of connections to one server, busy and idle.
  std::size_t connections(const Endpoint& endpoint) const;
  /// @brief Number of connections opened since this was constructed.
  std::uint64_t opened() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_CLIENT_H_
