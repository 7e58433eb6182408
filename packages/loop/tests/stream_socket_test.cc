#include "gentianroute/loop/stream_socket.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "gentianroute/loop/event_loop.h"

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

struct NullObserver final : StreamSocket::Observer {
  void OnData(std::string_view /*data*/) override {}
  void OnEnd(StreamEnd /*end*/) override {}
};

/// A listener that keeps all accepted connections, and clients connected to it.
struct SocketsFixture {
  EventLoop loop;
  NullObserver observer;
  std::vector<std::unique_ptr<StreamSocket>> accepted;
  std::unique_ptr<EventLoop::Listener> listener =
      loop.Listen("127.0.0.1", 0, [this](st_h2o_socket_t* socket) {
        accepted.push_back(std::make_unique<StreamSocket>(socket, observer));
      });
  std::vector<std::unique_ptr<StreamSocket>> connected;

  void Connect(std::size_t sockets) {
    for (std::size_t i = 0; i < sockets; ++i) {
      connected.push_back(std::make_unique<StreamSocket>(
          loop, "127.0.0.1", listener->port(), observer));
    }
  }
  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
};

}  // namespace

// A timer writes to a connection and closes it at once, as at the time limit of
// a graceful shutdown, while new connections arrive. h2o freed the socket
// before its write callback had run, so the loop spun at full CPU load or
// crashed.
Test(stream_socket,
     write_and_close_in_one_timer_keep_the_loop_running,
     .timeout = 20) {
  constexpr int kRounds = 30;
  constexpr std::size_t kSockets = 10;
  SocketsFixture fixture;
  for (int i = 0; i < kRounds; ++i) {
    fixture.Connect(kSockets);
    fixture.RunFor(milliseconds(10));
    fixture.loop.After(milliseconds(1), [&fixture] {
      for (const auto& socket : fixture.accepted) {
        socket->Write("answer");
      }
      fixture.accepted.clear();
      fixture.connected.clear();
      fixture.Connect(kSockets);
    });
    fixture.RunFor(milliseconds(10));
    fixture.connected.clear();
    fixture.accepted.clear();
  }
}
