#ifndef GENTIANROUTE_LOOP_RELAY_SERVER_H_
#define GENTIANROUTE_LOOP_RELAY_SERVER_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/admission/memory_account.h"
#include "gentianroute/base/caller_limits.h"
#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/message_text.h"
#include "gentianroute/loop/shared_body.h"

namespace gentianroute {

/// @brief Limits the memory used for a client that doesn't read its response.
inline constexpr std::size_t kMaxUnsentBytes = 8 * 1024 * 1024;

/// @brief A client's complete request and the means to send one response.
///
/// Reference-counted, since the connection and the request handler share it and
/// either may release it first.
class RelayExchange
    : public boost::intrusive_ref_counter<RelayExchange,
                                          boost::thread_unsafe_counter> {
 public:
  virtual ~RelayExchange() = default;

  const MessageHead& head() const { return head_; }
  const SharedBodyPtr& shared_body() const { return body_; }
  std::string_view body() const { return body_->view(); }
  /// @brief Whether the body was not read, or not to its end, because there is
  /// no memory for it. The request can only be refused.
  bool lacks_body() const { return lacks_body_; }
  /// @brief Gives the body up for want of memory.
  void DropBody() {
    lacks_body_ = true;
    body_->Discard();
  }
  /// @brief Time at which the first byte of the request arrived.
  TimePoint start_time() const { return start_time_; }

  /// @brief Sets a callback that runs once if the client disconnects before its
  /// response is complete.
  void SetOnDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }

  /// @brief Sends a complete response. Does nothing if the client has
  /// disconnected.
  virtual void Respond(int status,
                       const HttpHeaders& fields,
                       std::string_view body) = 0;
  /// @brief Begins a streamed response; Write() and then End() or Abort()
  /// follow.
  virtual void Begin(int status, const HttpHeaders& fields) = 0;
  virtual void Write(std::string_view part) = 0;
  virtual void End() = 0;
  /// @brief Closes the connection, so that the client sees a streamed response
  /// as truncated; resets it if the response isn't chunked.
  virtual void Abort() = 0;

 protected:
  MessageHead head_;
  SharedBodyPtr body_{new SharedBody};
  bool lacks_body_ = false;
  TimePoint start_time_{};
  std::function<void()> on_disconnect_;
};
using RelayExchangePtr = boost::intrusive_ptr<RelayExchange>;

/// @brief HTTP/1.1 server that passes requests on unchanged.
///
/// h2o's server normalises paths and doesn't read from a connection while it
/// handles a request. This one keeps the request target as sent and detects a
/// disconnect at once. Requests of one connection are handled one at a time, in
/// order.
class RelayServer {
 public:
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    std::function<CallerLimits()> limits;  ///< called for each request
    /// Charged for what is held for clients, whose bodies wait while it is
    /// full; must outlive the server. Null if none is kept.
    admission::MemoryAccount* account = nullptr;
  };
  using Handler = std::function<void(RelayExchangePtr)>;

  /// @throws std::runtime_error if the address can't be bound
  RelayServer(EventLoop& loop, Options options, Handler handler);
  ~RelayServer();

  std::uint16_t port() const;
  std::size_t connections() const;
  /// @brief Number of requests that are being read or handled, or whose
  /// response has not been sent in full.
  std::size_t active_requests() const;

  /// @brief Bytes of responses that clients have not read yet, and that are
  /// kept in memory for them.
  std::size_t unsent_bytes() const;
  /// @brief Closes connections until no more than `max_bytes` are unsent, those
  /// first for which most is kept.
  /// @return the number of closed connections
  /// @complexity n log n in the number of connections beyond the limit, linear
  /// otherwise
  std::size_t LimitUnsentBytes(std::size_t max_bytes);

  /// @brief Requests whose body had to wait for memory, and that were refused
  /// for want of it.
  std::uint64_t bodies_waited() const;
  std::uint64_t bodies_refused() const;

  /// @brief Sends `Connection: close` with the last response of a connection
  /// from now on, which is the one that no pipelined request follows, and
  /// closes the connection after it.
  void AnnounceClose();
  /// @brief Stops accepting connections, and closes each open one once it has
  /// been idle for a moment.
  ///
  /// A client whose response had begun before AnnounceClose() doesn't know that
  /// its connection closes. Its next request is still answered if it comes at
  /// once. No connection is left in the end.
  void StopAccepting();
  /// @brief Sends an error in place of a response to each request of which only
  /// a part has arrived, and closes its connection.
  void RejectIncomplete(int status);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_SERVER_H_
