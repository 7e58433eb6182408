#include "gentianroute/loop/stream_socket.h"

#include <sys/socket.h>

#include <utility>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"
#include "gentianroute/loop/socket_options.h"

namespace gentianroute {

StreamSocket::StreamSocket(h2o_socket_t* accepted, Observer& observer)
    : observer_(observer), socket_(accepted) {
  StartReading();
}

StreamSocket::StreamSocket(EventLoop& loop,
                           std::string_view address,
                           std::uint16_t port,
                           Observer& observer)
    : observer_(observer) {
  auto target = ParseIpv4Address(address, port);
  if (!target) {
    return;
  }
  socket_ =
      h2o_socket_connect(loop.h2o(), reinterpret_cast<sockaddr*>(&*target),
                         sizeof(*target), &StreamSocket::OnConnect);
  if (socket_ != nullptr) {
    socket_->data = this;
  }
}

StreamSocket::~StreamSocket() {
  if (destroyed_ != nullptr) {
    *destroyed_ = true;
  }
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

void StreamSocket::StartReading() {
  socket_->data = this;
  connected_ = true;
  EnableDeadPeerDetection(h2o_socket_get_fd(socket_), DeadPeerTimeout::kServer);
  h2o_socket_read_start(socket_, &StreamSocket::OnReadable);
}

void StreamSocket::OnConnect(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  if (error != nullptr) {
    self->observer_.OnEnd(StreamEnd::kBroken);
    return;
  }
  self->StartReading();
  bool destroyed = false;
  self->destroyed_ = &destroyed;
  self->observer_.OnConnected();
  if (destroyed) {
    return;
  }
  self->destroyed_ = nullptr;
  self->Flush();
}

void StreamSocket::OnReadable(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  bool destroyed = false;
  self->destroyed_ = &destroyed;
  if (socket->input->size > 0) {
    const std::string data(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    self->observer_.OnData(data);
  }
  if (destroyed) {
    return;
  }
  self->destroyed_ = nullptr;
  if (error != nullptr) {
    h2o_socket_read_stop(socket);
    self->observer_.OnEnd(error == h2o_socket_error_closed
                              ? StreamEnd::kClosed
                              : StreamEnd::kBroken);
  }
}

void StreamSocket::OnWritten(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<StreamSocket*>(socket->data);
  self->writing_ = false;
  self->in_flight_.clear();
  if (error != nullptr) {
    // OnReadable receives the same error and reports the end exactly once.
    self->queued_.clear();
    return;
  }
  if (!self->queued_.empty()) {
    self->Flush();
    return;
  }
  self->observer_.OnDrained();
}

void StreamSocket::Write(std::string_view data) {
  queued_.append(data);
  Flush();
}

void StreamSocket::ShutdownWrite() {
  if (socket_ != nullptr) {
    shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
  }
}

void StreamSocket::Flush() {
  if (!connected_ || writing_ || queued_.empty()) {
    return;
  }
  in_flight_ = std::move(queued_);
  queued_.clear();
  writing_ = true;
  h2o_iovec_t buffer = h2o_iovec_init(in_flight_.data(), in_flight_.size());
  h2o_socket_write(socket_, &buffer, 1, &StreamSocket::OnWritten);
}

}  // namespace gentianroute
