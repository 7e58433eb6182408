#include "gentianroute/loop/rpc.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <string>
#include <utility>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"
#include "gentianroute/loop/socket_options.h"

namespace gentianroute {
namespace {

/// Larger buffers of a connection are given back once they are empty: one large
/// message on each of many connections must not keep the memory.
constexpr std::size_t kMaxKeptBytes = 256 * 1024;

/// Adapts an h2o socket to KJ's stream interface. KJ guarantees at most one
/// pending read and one pending write.
class H2oStream final : public kj::AsyncIoStream {
 public:
  explicit H2oStream(h2o_socket_t* socket) : socket_(socket) {
    socket_->data = this;
    EnableDeadPeerDetection(h2o_socket_get_fd(socket_),
                            DeadPeerTimeout::kDaemon);
    auto disconnect = kj::newPromiseAndFulfiller<void>();
    disconnect_fulfiller_ = kj::mv(disconnect.fulfiller);
    disconnect_promise_ = disconnect.promise.fork();
    h2o_socket_read_start(socket_, &H2oStream::OnReadable);
  }
  ~H2oStream() noexcept(false) { h2o_socket_close(socket_); }
  KJ_DISALLOW_COPY(H2oStream);

  kj::Promise<size_t> tryRead(void* buffer,
                              size_t min_bytes,
                              size_t max_bytes) override {
    read_buffer_ = static_cast<char*>(buffer);
    read_min_ = min_bytes;
    read_max_ = max_bytes;
    read_bytes_ = 0;
    auto promise = kj::newPromiseAndFulfiller<size_t>();
    read_fulfiller_ = kj::mv(promise.fulfiller);
    DeliverInput();
    return kj::mv(promise.promise);
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    write_buffer_.assign(static_cast<const char*>(buffer), size);
    return Flush();
  }

  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    write_buffer_.clear();
    for (const auto& piece : pieces) {
      write_buffer_.append(reinterpret_cast<const char*>(piece.begin()),
                           piece.size());
    }
    return Flush();
  }

  kj::Promise<void> whenWriteDisconnected() override {
    return disconnect_promise_.addBranch();
  }
  void shutdownWrite() override {
    shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
  }

 private:
  static void OnReadable(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<H2oStream*>(socket->data);
    if (error != nullptr) {
      self->ended_ = true;
      h2o_socket_read_stop(socket);
      self->disconnect_fulfiller_->fulfill();
    }
    self->DeliverInput();
  }

  static void OnWritten(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<H2oStream*>(socket->data);
    kj::Own<kj::PromiseFulfiller<void>> writing =
        kj::mv(self->write_fulfiller_);
    if (self->write_buffer_.capacity() > kMaxKeptBytes) {
      std::string().swap(self->write_buffer_);
    }
    if (error == nullptr) {
      writing->fulfill();
    } else {
      writing->reject(KJ_EXCEPTION(DISCONNECTED, error));
    }
  }

  kj::Promise<void> Flush() {
    if (ended_) {
      return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
    }
    auto promise = kj::newPromiseAndFulfiller<void>();
    write_fulfiller_ = kj::mv(promise.fulfiller);
    h2o_iovec_t buffer =
        h2o_iovec_init(write_buffer_.data(), write_buffer_.size());
    h2o_socket_write(socket_, &buffer, 1, &H2oStream::OnWritten);
    return kj::mv(promise.promise);
  }

  void DeliverInput() {
    if (read_fulfiller_.get() == nullptr) {
      return;
    }
    h2o_buffer_t*& input = socket_->input;
    const size_t part = std::min(read_max_ - read_bytes_, input->size);
    if (part > 0) {
      std::memcpy(read_buffer_ + read_bytes_, input->bytes, part);
      h2o_buffer_consume(&input, part);
      ReleaseIfLarge(input);
      read_bytes_ += part;
    }
    if (read_bytes_ >= read_min_ || ended_) {
      auto reading = kj::mv(read_fulfiller_);
      reading->fulfill(kj::cp(read_bytes_));
    }
  }

  static void ReleaseIfLarge(h2o_buffer_t*& input) {
    if (input->size == 0 && input->capacity > kMaxKeptBytes) {
      h2o_buffer_dispose(&input);
      h2o_buffer_init(&input, &h2o_socket_buffer_prototype);
    }
  }

  h2o_socket_t* socket_;
  bool ended_ = false;
  char* read_buffer_ = nullptr;
  size_t read_min_ = 0;
  size_t read_max_ = 0;
  size_t read_bytes_ = 0;
  std::string write_buffer_;
  kj::Own<kj::PromiseFulfiller<size_t>> read_fulfiller_;
  kj::Own<kj::PromiseFulfiller<void>> write_fulfiller_;
  kj::Own<kj::PromiseFulfiller<void>> disconnect_fulfiller_;
  kj::ForkedPromise<void> disconnect_promise_ = nullptr;
};

struct ServedConnection {
  ServedConnection(h2o_socket_t* socket, capnp::Capability::Client bootstrap)
      : stream(socket),
        network(stream, capnp::rpc::twoparty::Side::SERVER),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  H2oStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

class RpcServer::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(EventLoop& loop,
       std::string_view address,
       std::uint16_t port,
       capnp::Capability::Client bootstrap)
      : bootstrap_(kj::mv(bootstrap)), tasks_(*this) {
    listener_ = loop.Listen(address, port,
                            [this](h2o_socket_t* socket) { Serve(socket); });
    port_ = listener_->port();
  }
  std::uint16_t port() const { return port_; }
  void StopAccepting() { listener_.reset(); }

 private:
  void Serve(h2o_socket_t* socket) {
    auto connection = kj::heap<ServedConnection>(socket, bootstrap_);
    auto disconnected = connection->network.onDisconnect();
    tasks_.add(disconnected.attach(kj::mv(connection)));
  }
  void taskFailed(kj::Exception&& /*exception*/) override {}

  capnp::Capability::Client bootstrap_;
  std::unique_ptr<EventLoop::Listener> listener_;
  std::uint16_t port_ = 0;
  kj::TaskSet tasks_;
};

RpcServer::RpcServer(EventLoop& loop,
                     std::string_view address,
                     std::uint16_t port,
                     capnp::Capability::Client bootstrap)
    : impl_(std::make_unique<Impl>(loop, address, port, kj::mv(bootstrap))) {}
RpcServer::~RpcServer() = default;
std::uint16_t RpcServer::port() const {
  return impl_->port();
}
void RpcServer::StopAccepting() {
  impl_->StopAccepting();
}

/// Time limit for connecting to a host that is down, after which callers use
/// another host. Ten times the longest round-trip time.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

class RpcConnection::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(EventLoop& loop,
       std::string_view address,
       std::uint16_t port,
       std::function<void()> on_broken)
      : loop_(loop), on_broken_(std::move(on_broken)), tasks_(*this) {
    if (auto target = ParseIpv4Address(address, port)) {
      connecting_ =
          h2o_socket_connect(loop.h2o(), reinterpret_cast<sockaddr*>(&*target),
                             sizeof(*target), &Impl::OnConnected);
    }
    if (connecting_ != nullptr) {
      connecting_->data = this;
    }
    const Duration connect_timeout =
        connecting_ == nullptr ? Duration{0} : kConnectTimeout;
    connect_timer_ =
        loop_.After(connect_timeout, [this] { OnConnectTimeout(); });
  }
  ~Impl() {
    loop_.Cancel(connect_timer_);
    CloseConnecting();
  }

  bool was_connected() const { return session_.get() != nullptr; }
  bool connected() const { return was_connected() && !broken_; }
  capnp::Capability::Client bootstrap() {
    if (broken_) {
      return KJ_EXCEPTION(DISCONNECTED, "not connected");
    }
    return connected() ? session_->bootstrap : pending_bootstrap_;
  }

 private:
  struct Session {
    explicit Session(h2o_socket_t* socket)
        : stream(socket),
          network(stream, capnp::rpc::twoparty::Side::CLIENT),
          rpc(capnp::makeRpcClient(network)),
          bootstrap(RequestBootstrap()) {}

    H2oStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    /// Requested once, on connecting. Requesting it after a disconnect would
    /// open a new connection on the same VatNetwork, which throws because that
    /// is shut down. Calls on this capability merely fail then.
    capnp::Capability::Client bootstrap;

   private:
    capnp::Capability::Client RequestBootstrap() {
      capnp::MallocMessageBuilder message;
      auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
      vat.setSide(capnp::rpc::twoparty::Side::SERVER);
      return rpc.bootstrap(vat);
    }
  };

  static void OnConnected(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<Impl*>(socket->data);
    self->connecting_ = nullptr;
    self->loop_.Cancel(self->connect_timer_);
    if (error != nullptr) {
      h2o_socket_close(socket);
      self->MarkBroken();
      return;
    }
    self->session_ = kj::heap<Session>(socket);
    self->bootstrap_promise_.fulfiller->fulfill(
        kj::cp(self->session_->bootstrap));
    self->tasks_.add(self->session_->network.onDisconnect().then(
        [self] { self->MarkBroken(); }));
  }
  void CloseConnecting() {
    if (connecting_ != nullptr) {
      h2o_socket_close(std::exchange(connecting_, nullptr));
    }
  }
  void OnConnectTimeout() {
    CloseConnecting();
    MarkBroken();
  }
  void MarkBroken() {
    if (std::exchange(broken_, true)) {
      return;
    }
    bootstrap_promise_.fulfiller->reject(
        KJ_EXCEPTION(DISCONNECTED, "no connection"));
    if (on_broken_) {
      on_broken_();
    }
  }
  void taskFailed(kj::Exception&& /*exception*/) override { MarkBroken(); }

  EventLoop& loop_;
  std::function<void()> on_broken_;
  /// Queues calls until the connection is established. If they failed instead,
  /// the first work for each scheduler would return to its daemon, which would
  /// then call the servers itself, at startup and after each loss of a
  /// scheduler.
  kj::PromiseFulfillerPair<capnp::Capability::Client> bootstrap_promise_ =
      kj::newPromiseAndFulfiller<capnp::Capability::Client>();
  capnp::Capability::Client pending_bootstrap_{
      kj::mv(bootstrap_promise_.promise)};
  TimerId connect_timer_;
  h2o_socket_t* connecting_ = nullptr;
  bool broken_ = false;
  kj::Own<Session> session_;
  kj::TaskSet tasks_;
};

RpcConnection::RpcConnection(EventLoop& loop,
                             std::string_view address,
                             std::uint16_t port,
                             std::function<void()> on_broken)
    : impl_(std::make_unique<Impl>(loop, address, port, std::move(on_broken))) {
}
RpcConnection::~RpcConnection() = default;
bool RpcConnection::connected() const {
  return impl_->connected();
}
bool RpcConnection::was_connected() const {
  return impl_->was_connected();
}
capnp::Capability::Client RpcConnection::bootstrap() {
  return impl_->bootstrap();
}

}  // namespace gentianroute
