#include "gentianroute/loop/stream_socket.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
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

/// A connection whose accepted side reads nothing, so that a part of what the
/// other side writes stays unsent.
struct UnsentBytesFixture {
  struct Client final : StreamSocket::Observer {
    void OnData(std::string_view data) override { received += data; }
    void OnEnd(StreamEnd stream_end) override { end = stream_end; }

    std::string received;
    std::optional<StreamEnd> end;
  };

  static constexpr std::string_view kAnswer = "part of an answer";

  EventLoop loop;
  NullObserver observer;
  Client client;
  std::unique_ptr<StreamSocket> accepted;
  std::unique_ptr<EventLoop::Listener> listener =
      loop.Listen("127.0.0.1", 0, [this](st_h2o_socket_t* socket) {
        accepted = std::make_unique<StreamSocket>(socket, observer);
        accepted->PauseReading();
      });
  StreamSocket connected{loop, "127.0.0.1", listener->port(), client};

  UnsentBytesFixture() {
    constexpr std::size_t kMoreThanTheSystemBuffers = 32 * 1024 * 1024;
    connected.WriteOwned(std::string(kMoreThanTheSystemBuffers, 'a'));
    RunFor(milliseconds(100));
    accepted->Write(kAnswer);
    RunFor(milliseconds(100));
    cr_assert(client.received == kAnswer);
    cr_assert_gt(connected.unsent_bytes(), 0);
  }
  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  std::optional<StreamEnd> AwaitEnd() {
    RunFor(milliseconds(200));
    return client.end;
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

// Guards against a reset that a pending write takes off the socket: reading
// then ends as after an orderly close, and a part of an answer passes for all.
Test(stream_socket, reset_while_a_part_is_unsent_end_is_broken) {
  UnsentBytesFixture fixture;
  fixture.accepted->ResetOnClose();
  fixture.accepted.reset();
  cr_assert(fixture.AwaitEnd() == StreamEnd::kBroken);
}

// Guards against the same where the last bytes come together with the reset.
Test(stream_socket, bytes_and_reset_while_a_part_is_unsent_end_is_broken) {
  UnsentBytesFixture fixture;
  fixture.accepted->Write(UnsentBytesFixture::kAnswer);
  fixture.accepted->ResetOnClose();
  fixture.accepted.reset();
  cr_assert(fixture.AwaitEnd() == StreamEnd::kBroken);
}

// Guards against a whole answer being lost because its request is still unsent.
Test(stream_socket, orderly_close_while_a_part_is_unsent_end_is_closed) {
  UnsentBytesFixture fixture;
  fixture.accepted->ShutdownWrite();
  cr_assert(fixture.AwaitEnd() == StreamEnd::kClosed);
}

// Guards against a reset being missed while the reader is paused.
Test(stream_socket, reset_while_paused_and_a_part_is_unsent_end_is_broken) {
  UnsentBytesFixture fixture;
  fixture.connected.PauseReading();
  fixture.accepted->ResetOnClose();
  fixture.accepted.reset();
  cr_assert(fixture.AwaitEnd() == StreamEnd::kBroken);
}

// Guards against an answer that this side ended, as its peer took nothing more
// of the request, passing for a whole one.
Test(stream_socket, peer_stops_reading_until_the_timeout_end_is_broken) {
  constexpr int kMaxPeriods = 100;  // several times the timeout of dead peers
  UnsentBytesFixture fixture;
  for (int i = 0; i < kMaxPeriods && !fixture.client.end; ++i) {
    fixture.AwaitEnd();
  }
  cr_assert(fixture.client.end == StreamEnd::kBroken);
}
