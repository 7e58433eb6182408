#include "gentianroute/loop/event_loop.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <string>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"

namespace gentianroute {
namespace {

constexpr int kBacklog = 1024;
constexpr std::int32_t kMaxWaitMilliseconds = 1000;

std::int64_t NanosOf(clockid_t clock) {
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  timespec now{};
  clock_gettime(clock, &now);
  return now.tv_sec * kNanosPerSecond + now.tv_nsec;
}

}  // namespace

class EventLoop::H2oEventPort final : public kj::EventPort {
 public:
  explicit H2oEventPort(EventLoop& loop) : loop_(loop) {}

  bool wait() override {
    RunWriteCallbacks();
    RunOnce(loop_.MaxWaitMilliseconds());
    return false;
  }
  bool poll() override {
    RunWriteCallbacks();
    RunOnce(0);
    return false;
  }

 private:
  void RunOnce(std::int32_t max_wait_ms) {
    h2o_evloop_run(loop_.h2o_, max_wait_ms);
    loop_.RunDueTimers();
  }
  /// Runs the pending callbacks of writes made by timers and promises.
  ///
  /// h2o frees closed sockets at the start of each loop iteration and assumes
  /// that none of them has a pending write callback, since its own callbacks
  /// all run within an iteration. A timer that writes to a socket and closes it
  /// would leave a dangling pointer in the list of pending callbacks, which
  /// causes an infinite loop or a crash once the memory is reused. Emptying the
  /// list before each iteration prevents that.
  void RunWriteCallbacks() { h2o_timeout__do_post_callback(loop_.h2o_); }

  EventLoop& loop_;
};

namespace {

class H2oListener final : public EventLoop::Listener {
 public:
  H2oListener(h2o_loop_t* loop,
              int fd,
              std::function<void(st_h2o_socket_t*)> on_accept)
      : on_accept_(std::move(on_accept)) {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    socket_ = h2o_evloop_socket_create(loop, fd, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, &H2oListener::OnReadable);
  }
  ~H2oListener() override { h2o_socket_close(socket_); }

  std::uint16_t port() const override { return port_; }

 private:
  static void OnReadable(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) {
      return;
    }
    auto* self = static_cast<H2oListener*>(listener->data);
    constexpr int kMaxAcceptsPerEvent = 32;
    for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
      h2o_socket_t* accepted = h2o_evloop_socket_accept(listener);
      if (accepted == nullptr) {
        return;
      }
      self->on_accept_(accepted);
    }
  }

  h2o_socket_t* socket_ = nullptr;
  std::uint16_t port_ = 0;
  std::function<void(st_h2o_socket_t*)> on_accept_;
};

int BindAndListen(std::string_view address, std::uint16_t port) {
  const std::string host(address);
  auto target = ParseIpv4Address(address, port);
  if (!target) {
    throw std::runtime_error("'" + host + "' is not an IPv4 address");
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const bool ready =
      bind(fd, reinterpret_cast<sockaddr*>(&*target), sizeof(*target)) == 0 &&
      listen(fd, kBacklog) == 0;
  if (!ready) {
    const std::string reason = std::strerror(errno);
    close(fd);
    throw std::runtime_error("cannot listen on " + host + ":" +
                             std::to_string(port) + ": " + reason);
  }
  return fd;
}

struct SignalWatch {
  EventLoop::Callback callback;
};

void OnSignalReadable(h2o_socket_t* socket, const char* /*error*/) {
  signalfd_siginfo info{};
  while (read(h2o_socket_get_fd(socket), &info, sizeof(info)) == sizeof(info)) {
    static_cast<SignalWatch*>(socket->data)->callback();
  }
}

}  // namespace

EventLoop::EventLoop()
    : h2o_(h2o_evloop_create()),
      started_nanos_(NanosOf(CLOCK_MONOTONIC)),
      event_port_(std::make_unique<H2oEventPort>(*this)),
      kj_loop_(std::make_unique<kj::EventLoop>(*event_port_)),
      wait_scope_(std::make_unique<kj::WaitScope>(*kj_loop_)) {
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::Now() const {
  constexpr std::int64_t kNanosPerMicro = 1000;
  return TimePoint(
      Duration((NanosOf(CLOCK_MONOTONIC) - started_nanos_) / kNanosPerMicro));
}

UnixMicros EventLoop::WallTime() const {
  constexpr std::int64_t kNanosPerMicro = 1000;
  return NanosOf(CLOCK_REALTIME) / kNanosPerMicro;
}

TimerId EventLoop::At(TimePoint due, Callback callback) {
  const TimerId id{next_timer_++};
  timer_index_[id] = timers_.insert({due, {id, std::move(callback)}});
  return id;
}

TimerId EventLoop::After(Duration delay, Callback callback) {
  return At(Now() + delay, std::move(callback));
}

TimerId EventLoop::Every(Duration period, Callback callback) {
  const TimerId id{next_timer_++};
  periodic_[id] = {period, std::move(callback)};
  timer_index_[id] = timers_.insert({Now() + period, {id, nullptr}});
  return id;
}

void EventLoop::Cancel(TimerId timer) {
  periodic_.erase(timer);
  const auto found = timer_index_.find(timer);
  if (found != timer_index_.end()) {
    timers_.erase(found->second);
    timer_index_.erase(found);
  }
}

void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    auto [id, callback] = std::move(timers_.begin()->second);
    timer_index_.erase(id);
    timers_.erase(timers_.begin());
    const auto periodic = periodic_.find(id);
    if (periodic == periodic_.end()) {
      callback();
      continue;
    }
    timer_index_[id] =
        timers_.insert({now + periodic->second.first, {id, nullptr}});
    const Callback again = periodic->second.second;
    again();
  }
}

std::int32_t EventLoop::MaxWaitMilliseconds() const {
  // A write from a timer or a promise that completes at once leaves its
  // callback pending, and h2o polls before it runs pending callbacks. Without
  // this check the end of a response would wait for the next event, up to
  // kMaxWaitMilliseconds.
  const bool pending = h2o_->_pending_as_client != nullptr ||
                       h2o_->_pending_as_server != nullptr;
  if (pending) {
    return 0;
  }
  if (timers_.empty()) {
    return kMaxWaitMilliseconds;
  }
  const Duration left = timers_.begin()->first - Now();
  if (left.count() <= 0) {
    return 0;
  }
  const auto rounded_up =
      std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<std::int32_t>(
      std::min<std::int64_t>(rounded_up, kMaxWaitMilliseconds));
}

void EventLoop::BlockSignals(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : signals) {
    sigaddset(&set, number);
  }
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

void EventLoop::OnSignal(int number, Callback callback) {
  BlockSignals({number});
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, number);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  h2o_socket_t* socket =
      h2o_evloop_socket_create(h2o_, fd, H2O_SOCKET_FLAG_DONT_READ);
  // Never freed: signal callbacks are registered once, at startup, and stay for
  // the lifetime of the process.
  socket->data = new SignalWatch{std::move(callback)};
  h2o_socket_read_start(socket, &OnSignalReadable);
}

std::unique_ptr<EventLoop::Listener> EventLoop::Listen(
    std::string_view address,
    std::uint16_t port,
    std::function<void(st_h2o_socket_t*)> on_accept) {
  const int fd = BindAndListen(address, port);
  return std::make_unique<H2oListener>(h2o_, fd, std::move(on_accept));
}

void EventLoop::Run() {
  auto stop = kj::newPromiseAndFulfiller<void>();
  stop_ = kj::mv(stop.fulfiller);
  stop.promise.wait(*wait_scope_);
}

void EventLoop::Stop() {
  stop_->fulfill();
}

}  // namespace gentianroute
