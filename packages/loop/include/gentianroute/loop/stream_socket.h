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

/// @brief How the far end of a connection ended it.
enum class StreamEnd : std::uint8_t {
  kClosed,  ///< in order; everything that it sent has arrived
  kBroken,  ///< reset, timed out, or never connected
};

/// @brief One TCP connection that reads for as long as it is open.
///
/// Reading never stops while an answer is being made, so that a caller's close
/// is noticed at once and its work can be cancelled.
class StreamSocket {
 public:
  /// @brief Hears of a connection; may destroy it in any of its functions.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnConnected() {}
    virtual void OnData(std::string_view data) = 0;
    /// @brief All that was written has gone to the kernel.
    virtual void OnDrained() {}
    /// @brief The last that is heard.
    virtual void OnEnd(StreamEnd end) = 0;
  };

  /// @brief Takes over an accepted connection.
  StreamSocket(st_h2o_socket_t* accepted, Observer& observer);
  /// @brief Connects; what is written meanwhile waits for it.
  StreamSocket(EventLoop& loop,
               std::string_view address,
               std::uint16_t port,
               Observer& observer);
  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  void Write(std::string_view data);
  /// @brief Ends this direction; the far end's is still read.
  void ShutdownWrite();
  /// @brief Bytes that the kernel has not taken yet.
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
  /// Set by the destructor, so that a callback knows that it has run.
  bool* destroyed_ = nullptr;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_STREAM_SOCKET_H_
