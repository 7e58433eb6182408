#include "fault_proxy.h"

#include <deque>
#include <string_view>
#include <utility>

#include "gentianroute/loop/stream_socket.h"

namespace gentianroute::soak {
namespace {

constexpr Duration kSweepPeriod = std::chrono::milliseconds(100);

}  // namespace

/// An accepted connection and its counterpart to the upstream.
class FaultProxy::Connection {
 public:
  Connection(FaultProxy& proxy, st_h2o_socket_t* accepted)
      : proxy_(proxy), to_upstream_(*this, true), to_client_(*this, false) {
    client_ = std::make_unique<StreamSocket>(accepted, to_upstream_);
    upstream_ = std::make_unique<StreamSocket>(
        proxy.loop_, "127.0.0.1", proxy.upstream_port_, to_client_);
  }
  ~Connection() { proxy_.loop_.Cancel(timer_); }

  void Close() {
    client_.reset();
    upstream_.reset();
    pending_.clear();
  }
  bool closed() const { return client_ == nullptr; }
  void Silence() { silenced_ = true; }

  /// Forwards the pending data that the mode allows now.
  void ForwardPending() {
    while (!pending_.empty() && !closed() && CanPass(pending_.front())) {
      const PendingData next = std::move(pending_.front());
      pending_.pop_front();
      Forward(next);
    }
  }

 private:
  struct PendingData {
    std::string data;
    TimePoint arrived{};
    bool to_upstream = false;
    bool end = false;
  };
  class SocketObserver final : public StreamSocket::Observer {
   public:
    SocketObserver(Connection& connection, bool to_upstream)
        : connection_(connection), to_upstream_(to_upstream) {}
    void OnData(std::string_view data) override {
      connection_.Enqueue({std::string(data), {}, to_upstream_, false});
    }
    void OnEnd(StreamEnd /*end*/) override {
      connection_.Enqueue({{}, {}, to_upstream_, true});
    }

   private:
    Connection& connection_;
    bool to_upstream_;
  };

  void Enqueue(PendingData pending) {
    pending.arrived = proxy_.loop_.Now();
    pending_.push_back(std::move(pending));
    // A socket must not be destroyed by its own callback.
    proxy_.loop_.Cancel(timer_);
    timer_ = proxy_.loop_.After(Duration{0}, [this] { ForwardPending(); });
  }

  bool CanPass(const PendingData& pending) {
    if (silenced_) {
      return false;
    }
    switch (proxy_.mode_) {
      case Mode::kPass:
      case Mode::kRefusing:
        return true;
      case Mode::kSilent:
        return false;
      case Mode::kOneWayCut:
        return pending.to_upstream;
      case Mode::kDelayed:
        return PassesAfterDelay(pending);
    }
    return true;
  }

  bool PassesAfterDelay(const PendingData& pending) {
    const TimePoint due = pending.arrived + proxy_.delay_;
    if (proxy_.loop_.Now() >= due) {
      return true;
    }
    proxy_.loop_.Cancel(timer_);
    timer_ = proxy_.loop_.At(due, [this] { ForwardPending(); });
    return false;
  }

  void Forward(const PendingData& pending) {
    if (pending.end) {
      Close();
      return;
    }
    (pending.to_upstream ? upstream_ : client_)->Write(pending.data);
  }

  FaultProxy& proxy_;
  SocketObserver to_upstream_;
  SocketObserver to_client_;
  std::unique_ptr<StreamSocket> client_;
  std::unique_ptr<StreamSocket> upstream_;
  std::deque<PendingData> pending_;
  TimerId timer_;
  bool silenced_ = false;
};

FaultProxy::FaultProxy(EventLoop& loop, std::uint16_t upstream_port)
    : loop_(loop), upstream_port_(upstream_port) {
  listener_ = loop.Listen("127.0.0.1", 0, [this](st_h2o_socket_t* socket) {
    connections_.push_back(std::make_unique<Connection>(*this, socket));
    if (mode_ == Mode::kRefusing) {
      connections_.back()->Close();
    }
  });
  sweep_timer_ = loop.Every(kSweepPeriod, [this] { Sweep(); });
}

FaultProxy::~FaultProxy() {
  loop_.Cancel(sweep_timer_);
}

void FaultProxy::SetMode(Mode mode, Duration delay) {
  mode_ = mode;
  delay_ = delay;
  for (const auto& connection : connections_) {
    connection->ForwardPending();
  }
}

void FaultProxy::Reset() {
  for (const auto& connection : connections_) {
    connection->Close();
  }
}

void FaultProxy::SilenceOpenConnections() {
  for (const auto& connection : connections_) {
    connection->Silence();
  }
}

void FaultProxy::Sweep() {
  connections_.remove_if(
      [](const auto& connection) { return connection->closed(); });
}

}  // namespace gentianroute::soak
