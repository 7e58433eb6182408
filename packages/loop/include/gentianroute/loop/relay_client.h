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

namespace gentianroute {

/// @brief An IP number with a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  std::string ToString() const { return address + ":" + std::to_string(port); }
};

/// @brief One call, as the bytes that go out.
struct RelayCall {
  Endpoint endpoint;
  std::string message;                ///< the whole request, head and body
  bool response_has_no_body = false;  ///< the request was a HEAD
  /// An idle connection is used only if it has been idle for less; zero: a
  /// fresh connection, whose failure is never a close that crossed the call.
  Duration max_idle = std::chrono::seconds(4);
  /// Whether the connection may serve another call later.
  bool keep_connection = true;
  /// Tells the answer of this call from a stray one of a call before it; a
  /// stray one is dropped. Null: the first answer is taken.
  std::function<bool(const MessageHead&)> matches_response;
};

using RelayCallId = Id<struct RelayCallTag>;

enum class RelayFailure : std::uint8_t {
  kNotSent,    ///< no connection stood, so no byte has gone out
  kReset,      ///< broke before the head of the answer was whole
  kTruncated,  ///< broke in the body
  kMalformed,  ///< bytes that are no answer
};

/// @brief Hears of one call; OnDone() or OnFailure() is the last.
class RelayCallObserver {
 public:
  virtual ~RelayCallObserver() = default;
  virtual void OnHead(MessageHead head) = 0;
  virtual void OnBody(std::string_view part) = 0;
  virtual void OnDone() = 0;
  virtual void OnFailure(RelayFailure failure) = 0;
};

/// @brief HTTP/1.1 calls that tell a close from a reset, see bytes after an
/// answer, and know how old a connection is.
class RelayClient {
 public:
  explicit RelayClient(EventLoop& loop);
  ~RelayClient();

  /// @param observer outlives the call, or cancels it
  RelayCallId Call(RelayCall call, RelayCallObserver& observer);
  /// @brief Ends a call by closing its connection; nothing more is heard.
  void Cancel(RelayCallId call);

  /// @brief Connections to one server, busy and idle.
  std::size_t connections(const Endpoint& endpoint) const;
  /// @brief Connections opened since the start.
  std::uint64_t opened() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_CLIENT_H_
