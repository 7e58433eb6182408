#ifndef GENTIANROUTE_LOOP_STREAM_SOCKET_H_
#define GENTIANROUTE_LOOP_STREAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/shared_body.h"

namespace gentianroute {

/// @brief How a connection ended.
enum class StreamEnd : std::uint8_t {
  kClosed,  ///< orderly close by the peer; all its data has been received
  kBroken,  ///< reset, timed out, or not established
};

/// @brief A TCP connection that is read for as long as it is open.
///
/// Reading continues while a request is being handled, so that a disconnect is
/// detected at once and the request can be cancelled. Its owner may pause it
/// when there is no memory for what comes; the sender then has to wait. Input
/// is read in parts of bounded size, and none of it is kept here.
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
  /// @brief Writes `data` and then `body` without copies. The body is kept
  /// until the kernel has it; null: nothing follows `data`.
  void WriteOwned(std::string data, SharedBodyPtr body = nullptr);
  /// @brief Lets the destructor reset the connection instead of closing it in
  /// order, so that the peer doesn't take the end for one that was meant. Data
  /// that it hasn't read yet may be lost.
  void ResetOnClose();
  /// @brief Closes the write side; the peer's data is still read.
  void ShutdownWrite();
  /// @brief Stops reading. The end of the connection is not noticed either,
  /// unless a write fails.
  void PauseReading();
  void ResumeReading();
  /// @brief Number of written bytes that the kernel has not accepted yet.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  bool connected() const { return connected_; }

 private:
  static void OnReadable(st_h2o_socket_t* socket, const char* error);
  static void OnWritten(st_h2o_socket_t* socket, const char* error);
  static void OnConnect(st_h2o_socket_t* socket, const char* error);
  void StartReading();
  void OnNothingLeft();
  void OnReadEnd(StreamEnd end);
  void Flush();

  /// Bytes to be written, either its own or a shared body.
  struct Piece {
    std::string_view view() const {
      return body == nullptr ? std::string_view(bytes) : body->view();
    }

    std::string bytes;
    SharedBodyPtr body;
  };

  Observer& observer_;
  st_h2o_socket_t* socket_ = nullptr;
  bool connected_ = false;
  bool writing_ = false;
  bool paused_ = false;
  bool write_failed_ = false;
  bool awaits_write_result_ = false;  ///< to tell how the connection has ended
  std::vector<Piece> queued_;
  std::vector<Piece> in_flight_;
  std::size_t unsent_bytes_ = 0;  ///< in both
  /// Points to a flag of the running callback, which the destructor sets, so
  /// that the callback stops using this object. Null outside of callbacks.
  bool* destroyed_ = nullptr;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_STREAM_SOCKET_H_
