#ifndef GENTIANROUTE_LOOP_STREAM_SOCKET_H_
#define GENTIANROUTE_LOOP_STREAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief How a connection ended.
enum class StreamEnd : std::uint8_t {
  kClosed,  ///< orderly close by the peer; all its data has been received
  kBroken,  ///< reset, timed out, or not established
};

/// @brief A TCP connection that is read for as long as it is open.
///
/// Reading continues while a request is being handled, so that a disconnect is
/// detected at once and the request can be cancelled.
class StreamSocket {
 public:
  /// @brief Receives the events of a connection. Any of its functions may
  /// destroy the StreamSocket.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnConnected() {}
    virtual void OnData(std::string_view data) = 0;
    /// @brief Called when the kernel has accepted all written data.
    virtual void OnDrained() {}
    /// @brief Called last.
    virtual void OnEnd(StreamEnd end) = 0;
  };

  /// @brief Takes ownership of an accepted connection.
  StreamSocket(st_h2o_socket_t* accepted, Observer& observer);
  /// @brief Connects; data written before that is queued.
  StreamSocket(EventLoop& loop,
               std::string_view address,
               std::uint16_t port,
               Observer& observer);
  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  void Write(std::string_view data);
  /// @brief Closes the write side; the peer's data is still read.
  void ShutdownWrite();
  /// @brief Number of written bytes that the kernel has not accepted yet.
  std::size_t unsent_bytes() const {
    return queued_.size() + in_flight_.size();
  }
  bool connected() const { return connected_; }

 private:
  static void OnReadable(st_h2o_socket_t* socket, const char* error);
  static void OnWritten(st_h2o_socket_t* socket, const char* error);
  static void OnConnect(st_h2o_socket_t* socket, const char* error);
  void StartReading();
  void Flush();

  Observer& observer_;
  st_h2o_socket_t* socket_ = nullptr;
  bool connected_ = false;
  bool writing_ = false;
  std::string queued_;
  std::string in_flight_;
  /// Points to a flag of the running callback, which the destructor sets, so
  /// that the callback stops using this object. Null outside of callbacks.
  bool* destroyed_ = nullptr;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_STREAM_SOCKET_H_
