#include "gentianroute/loop/relay_server.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "gentianroute/loop/stream_socket.h"

using namespace gentianroute;

namespace {

/// A client that sends a request and, if it is slow, reads nothing.
class Client final : public StreamSocket::Observer {
 public:
  Client(EventLoop& loop, std::uint16_t port, std::string_view target)
      : socket_(loop, "127.0.0.1", port, *this) {
    socket_.Write("GET " + std::string(target) +
                  " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  void OnData(std::string_view data) override { received += data.size(); }
  void OnEnd(StreamEnd /*end*/) override { ended = true; }

  std::size_t received = 0;
  bool ended = false;

 private:
  StreamSocket socket_;
};

/// A server that streams answers without end to the requests for /large.
struct ServerFixture {
  static constexpr std::size_t kPart = 1 << 20;

  EventLoop loop;
  std::vector<RelayExchangePtr> large;
  RelayServer server{loop,
                     {"127.0.0.1", 0, [] { return CallerLimits{}; }},
                     [this](const RelayExchangePtr& exchange) {
                       if (exchange->head().target == "/large") {
                         exchange->Begin(200, {});
                         large.push_back(exchange);
                         return;
                       }
                       exchange->Respond(200, {}, "small");
                     }};

  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  /// Adds to each answer in one go, so that no client can have read it yet.
  void WriteToAll(std::size_t parts) {
    for (const RelayExchangePtr& exchange : large) {
      for (std::size_t i = 0; i < parts; ++i) {
        exchange->Write(std::string(kPart, 'x'));
      }
    }
  }
};

constexpr Duration kExchangeTime = std::chrono::milliseconds(100);

}  // namespace

// Clients that read slowly made the daemon keep up to 8 MB for each of them;
// fifteen of them were the whole memory of a small host.
Test(relay_server, unsent_answers_beyond_the_limit_close_the_largest_first) {
  ServerFixture fixture;
  constexpr std::size_t kClients = 6;
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(
        fixture.loop, fixture.server.port(), "/large"));
  }
  fixture.RunFor(kExchangeTime);
  cr_assert_eq(fixture.large.size(), kClients);
  fixture.WriteToAll(4);
  fixture.large.front()->Write(std::string(ServerFixture::kPart, 'x'));
  const std::size_t unsent = fixture.server.unsent_bytes();
  cr_assert_gt(unsent, kClients * ServerFixture::kPart);
  const std::size_t limit = unsent - ServerFixture::kPart;
  cr_assert_eq(fixture.server.LimitUnsentBytes(limit), 1);
  cr_assert_leq(fixture.server.unsent_bytes(), limit);
  fixture.RunFor(kExchangeTime);
  std::size_t ended = 0;
  for (const auto& client : clients) {
    ended += client->ended ? 1 : 0;
  }
  cr_assert_eq(ended, 1);
}

Test(relay_server, readers_within_the_limit_get_their_whole_answers) {
  ServerFixture fixture;
  Client reader(fixture.loop, fixture.server.port(), "/small");
  Client large(fixture.loop, fixture.server.port(), "/large");
  fixture.RunFor(kExchangeTime);
  fixture.WriteToAll(6);
  cr_assert_eq(fixture.server.LimitUnsentBytes(ServerFixture::kPart), 1);
  Client later(fixture.loop, fixture.server.port(), "/small");
  fixture.RunFor(kExchangeTime);
  cr_assert_gt(reader.received, 0);
  cr_assert_gt(later.received, 0);
  cr_assert(!reader.ended);
}
