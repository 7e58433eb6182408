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

#include "gentianroute/base/caller_limits.h"
#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/message_text.h"

namespace gentianroute {

/// @brief A caller's whole request and the way to answer it, once.
///
/// Shared by count between the connection and whoever makes the answer; either
/// may let go first.
class RelayExchange
    : public boost::intrusive_ref_counter<RelayExchange,
                                          boost::thread_unsafe_counter> {
 public:
  virtual ~RelayExchange() = default;

  const MessageHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  /// @brief When the first byte of the request arrived.
  TimePoint start_time() const { return start_time_; }

  /// @brief Called once if the caller closes before it has its answer.
  void SetOnDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }

  /// @brief The whole answer. Nothing happens if the caller has gone.
  virtual void Respond(int status,
                       const HttpHeaders& fields,
                       std::string_view body) = 0;
  /// @brief Begins an answer in parts; Write() and End() or Abort() follow.
  virtual void Begin(int status, const HttpHeaders& fields) = 0;
  virtual void Write(std::string_view part) = 0;
  virtual void End() = 0;
  /// @brief Closes the connection; an answer in parts can't look whole then.
  virtual void Abort() = 0;

 protected:
  MessageHead head_;
  std::string body_;
  TimePoint start_time_{};
  std::function<void()> on_disconnect_;
};
using RelayExchangePtr = boost::intrusive_ptr<RelayExchange>;

/// @brief HTTP/1.1 towards callers, byte for byte.
///
/// h2o's own server normalises paths and stops reading while a request is
/// answered; here the target stays as sent and a close is heard at once. One
/// request of a connection is answered at a time, in order.
class RelayServer {
 public:
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    std::function<CallerLimits()> limits;  ///< asked for each request
  };
  using Handler = std::function<void(RelayExchangePtr)>;

  /// @throws std::runtime_error if the address can't be used
  RelayServer(EventLoop& loop, Options options, Handler handler);
  ~RelayServer();

  std::uint16_t port() const;
  std::size_t connections() const;
  /// @brief Requests that are being read or answered.
  std::size_t active_requests() const;

  /// @brief Every answer from now on ends its connection.
  void AnnounceClose();
  /// @brief Takes no new connection and closes those that are idle.
  void StopAccepting();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_RELAY_SERVER_H_
