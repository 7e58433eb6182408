#include <peer.capnp.h>

#include <memory>
#include <string>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// Responds to exchange() at once and never to join().
class FakePeer final : public schema::Peer::Server {
 public:
  kj::Promise<void> exchange(ExchangeContext context) override {
    context.getResults().initYours().setRevision(7);
    return kj::READY_NOW;
  }
  kj::Promise<void> join(JoinContext /*context*/) override {
    return kj::NEVER_DONE;
  }
};

struct RpcFixture {
  RpcFixture()
      : server(std::make_unique<RpcServer>(loop,
                                           "127.0.0.1",
                                           0,
                                           kj::heap<FakePeer>())),
        connection(std::make_unique<RpcConnection>(loop,
                                                   "127.0.0.1",
                                                   server->port(),
                                                   [this] { ++broken; })) {
    RunFor(milliseconds(50));
  }
  void RunFor(Duration duration) {
    loop.After(duration, [this] { loop.Stop(); });
    loop.Run();
  }
  schema::Peer::Client peer() const {
    return connection->bootstrap().castAs<schema::Peer>();
  }

  EventLoop loop;
  int broken = 0;
  std::unique_ptr<RpcServer> server;
  std::unique_ptr<RpcConnection> connection;
};

}  // namespace

TestSuite(rpc);

Test(rpc, call_over_loopback_is_answered) {
  RpcFixture fixture;
  cr_assert(fixture.connection->connected());
  const auto response =
      fixture.peer().exchangeRequest().send().wait(fixture.loop.wait_scope());
  cr_assert_eq(response.getYours().getRevision(), 7);
}

// A peer dies while a call to it is pending. The call must fail, and the
// connection must report once that it is broken.
Test(rpc, peer_death_during_a_call_fails_it_and_breaks_the_connection) {
  RpcFixture fixture;
  bool failed = false;
  auto call = fixture.peer().joinRequest().send().then(
      [](auto&&) {}, [&failed](kj::Exception&&) { failed = true; });
  auto running = call.eagerlyEvaluate(nullptr);
  fixture.RunFor(milliseconds(50));
  cr_assert_not(failed);
  fixture.server.reset();
  fixture.RunFor(milliseconds(100));
  cr_assert(failed);
  cr_assert_eq(fixture.broken, 1);
  cr_assert_not(fixture.connection->connected());
}

// The owner destroys an unresponsive connection while a call on it is pending.
// The call must end, and nothing may use the connection afterwards.
Test(rpc, connection_destroyed_during_a_call_ends_the_call) {
  RpcFixture fixture;
  bool ended = false;
  auto call = fixture.peer().joinRequest().send().then(
      [](auto&&) {}, [&ended](kj::Exception&&) { ended = true; });
  auto running = call.eagerlyEvaluate(nullptr);
  fixture.RunFor(milliseconds(30));
  fixture.connection.reset();
  fixture.RunFor(milliseconds(50));
  cr_assert(ended);
}

// A call made while the connection to a live peer is being established must be
// queued and not fail.
Test(rpc, call_made_while_connecting_is_sent_once_connected) {
  RpcFixture fixture;
  RpcConnection connection(fixture.loop, "127.0.0.1", fixture.server->port(),
                           nullptr);
  const auto response = connection.bootstrap()
                            .castAs<schema::Peer>()
                            .exchangeRequest()
                            .send()
                            .wait(fixture.loop.wait_scope());
  cr_assert_eq(response.getYours().getRevision(), 7);
}

Test(rpc, call_made_while_connecting_fails_if_refused) {
  RpcFixture fixture;
  const std::uint16_t port = fixture.server->port();
  fixture.server.reset();
  RpcConnection connection(fixture.loop, "127.0.0.1", port, nullptr);
  bool failed = false;
  auto call =
      connection.bootstrap()
          .castAs<schema::Peer>()
          .exchangeRequest()
          .send()
          .then([](auto&&) {}, [&failed](kj::Exception&&) { failed = true; })
          .eagerlyEvaluate(nullptr);
  fixture.RunFor(milliseconds(50));
  cr_assert(failed);
}

Test(rpc, refused_connection_breaks_once) {
  RpcFixture fixture;
  const std::uint16_t port = fixture.server->port();
  fixture.server.reset();
  int broken = 0;
  RpcConnection connection(fixture.loop, "127.0.0.1", port,
                           [&broken] { ++broken; });
  fixture.RunFor(milliseconds(50));
  cr_assert_eq(broken, 1);
  cr_assert_not(connection.connected());
}

// After a peer has died and a call to it has failed, another call may be made
// before the connection reports that it is broken. It must fail like any other:
// an exception thrown out of a timer would terminate the process.
Test(rpc, call_after_peer_death_before_break_is_reported_does_not_throw) {
  RpcFixture fixture;
  bool threw = false;
  bool failed_again = false;
  kj::Promise<void> second = kj::READY_NOW;
  auto first = fixture.peer().joinRequest().send().then(
      [](auto&&) {},
      [&](kj::Exception&&) {
        const auto thrown = kj::runCatchingExceptions([&] {
          second = fixture.peer().exchangeRequest().send().then(
              [](auto&&) {},
              [&failed_again](kj::Exception&&) { failed_again = true; });
        });
        threw = thrown != nullptr;
      });
  auto running = first.eagerlyEvaluate(nullptr);
  fixture.server.reset();
  fixture.RunFor(milliseconds(100));
  auto ended = kj::mv(second).eagerlyEvaluate(nullptr);
  fixture.RunFor(milliseconds(50));
  cr_assert_not(threw);
  cr_assert(failed_again);
}
