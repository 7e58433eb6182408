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

/// A accepted end that keeps all connections, and some connected ends.
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

// A timer answers on a connection and closes it at once, as at a time limit in
// a planned stop; new connections come at the same moment. The daemon stood
// still with a whole core in use, or crashed: h2o had freed the socket while
// its write's end was still to be told.
Test(stream_socket,
     write_and_close_in_one_timer_leave_the_loop_whole,
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
