#include "gentianroute/gateway/detail/peer_exchange.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "allocated_bytes.h"
#include "gentianroute/gateway/detail/peer_task_errors.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"

using namespace gentianroute;
using namespace gentianroute::gateway;
using gentianroute::testing::AllocatedBytes;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kPartBytes = 64 * 1024;

/// A peer that takes the parts of an answer, or stalls.
class FakeReader final : public schema::AnswerReader::Server {
 public:
  FakeReader(bool stalls, std::size_t& taken)
      : stalls_(stalls), taken_(taken) {}

  kj::Promise<void> whole(WholeContext /*context*/) override {
    return kj::READY_NOW;
  }
  kj::Promise<void> begin(BeginContext /*context*/) override {
    return kj::READY_NOW;
  }
  kj::Promise<void> part(PartContext context) override {
    if (stalls_) {
      return kj::NEVER_DONE;
    }
    taken_ += context.getParams().getBytes().size();
    return kj::READY_NOW;
  }
  kj::Promise<void> end(EndContext /*context*/) override {
    return kj::READY_NOW;
  }

 private:
  bool stalls_;
  std::size_t& taken_;
};

/// A stream for a peer, over a connection to it.
struct PeerExchangeFixture {
  EventLoop loop;
  std::size_t taken = 0;
  bool disconnected = false;
  std::size_t peak_bytes = 0;
  std::unique_ptr<RpcServer> peer;
  std::unique_ptr<RpcConnection> connection;
  detail::PeerTaskErrors errors;
  std::unique_ptr<kj::TaskSet> messages = std::make_unique<kj::TaskSet>(errors);
  RelayExchangePtr exchange;

  explicit PeerExchangeFixture(bool stalls) {
    peer = std::make_unique<RpcServer>(loop, "127.0.0.1", 0,
                                       kj::heap<FakeReader>(stalls, taken));
    connection = std::make_unique<RpcConnection>(loop, "127.0.0.1",
                                                 peer->port(), nullptr);
    RunFor(milliseconds(50));
    exchange = new PeerExchange(
        loop.Now(), {}, connection->bootstrap().castAs<schema::AnswerReader>(),
        *messages, kj::newPromiseAndFulfiller<void>().fulfiller);
    exchange->SetOnDisconnect([this] { disconnected = true; });
    exchange->Begin(200, {});
  }
  ~PeerExchangeFixture() {
    exchange = nullptr;
    messages = nullptr;
  }

  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  /// Writes for as long as the exchange takes more.
  void Write(std::size_t bytes) {
    const std::string part(kPartBytes, 'a');
    for (std::size_t i = 0; i < bytes / kPartBytes && !disconnected; ++i) {
      exchange->Write(part);
      RunFor(milliseconds(1));
      peak_bytes = std::max(peak_bytes, AllocatedBytes());
    }
  }
};

constexpr std::size_t kLongAnswer = 64 * 1024 * 1024;

}  // namespace

TestSuite(peer_exchange, .timeout = 30);

// Guards against an answer without end being kept for a peer that has stalled.
Test(peer_exchange, peer_takes_no_parts_answer_ends_and_memory_is_bounded) {
  // What may be unsent, at this end and at that of the peer, which is in this
  // process too, and as much for messages that are being copied.
  constexpr std::size_t kMaxGrowth = 4 * 8 * 1024 * 1024;
  PeerExchangeFixture fixture(true);
  const std::size_t before = AllocatedBytes();
  fixture.Write(kLongAnswer);
  cr_assert(fixture.disconnected, "grew by %zu", fixture.peak_bytes - before);
  cr_assert_leq(fixture.peak_bytes - before, kMaxGrowth, "grew by %zu",
                fixture.peak_bytes - before);
}

// Guards against a long answer being taken for one that its peer doesn't read.
Test(peer_exchange, peer_takes_all_parts_long_answer_arrives) {
  PeerExchangeFixture fixture(false);
  fixture.Write(kLongAnswer);
  fixture.RunFor(milliseconds(50));
  cr_assert_not(fixture.disconnected);
  cr_assert_eq(fixture.taken, kLongAnswer, "%zu bytes", fixture.taken);
}
