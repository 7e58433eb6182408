#include <peer.capnp.h>

#include <memory>
#include <string>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// Answers an exchange at once, and a join never.
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
  const auto answer =
      fixture.peer().exchangeRequest().send().wait(fixture.loop.wait_scope());
  cr_assert_eq(answer.getYours().getRevision(), 7);
}

// The caller of a join waits for a peer that dies: the call must fail, so that
// the caller is told, and the link must say once that it is broken.
Test(rpc, peer_gone_during_a_call_fails_it_and_breaks_the_link) {
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

// A daemon gives a silent link up while a call waits on it: the call ends, and
// nothing of the link is touched after it is gone.
Test(rpc, link_destroyed_during_a_call_ends_the_call) {
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

// The first work for a peer is handed over in the moment in which the link to
// it is made. It must not come back as failed: the peer lives, and would take
// it.
Test(rpc, call_made_while_connecting_is_sent_once_connected) {
  RpcFixture fixture;
  RpcConnection connection(fixture.loop, "127.0.0.1", fixture.server->port(),
                           nullptr);
  const auto answer = connection.bootstrap()
                          .castAs<schema::Peer>()
                          .exchangeRequest()
                          .send()
                          .wait(fixture.loop.wait_scope());
  cr_assert_eq(answer.getYours().getRevision(), 7);
}

Test(rpc, call_made_while_connecting_fails_with_the_link) {
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

Test(rpc, nobody_listens_breaks_once_and_calls_fail) {
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

// A daemon ended by itself: a peer had gone, the call to it had failed, and the
// next call to it was made before the link said that it was broken. Such a call
// has to fail like any other; an exception out of a timer ends the process.
Test(rpc, call_between_a_peers_end_and_the_links_does_not_throw) {
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
