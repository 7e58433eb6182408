#include "gentianroute/entry/peer_links.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/rpc.h"
#include "gentianroute/loop/stream_socket.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// Answers queries for outcomes after a delay, and does what a test asks when a
/// peer requests a digest.
class FakePeerHandler final : public PeerHandler {
 public:
  explicit FakePeerHandler(EventLoop& loop) : loop_(loop) {}
  void FillDigest(schema::Digest::Builder /*digest*/) override {
    if (on_fill_digest) {
      std::exchange(on_fill_digest, nullptr)();
    }
  }
  void OnDigest(schema::Digest::Reader /*digest*/) override {}
  std::vector<ConfigRevision> RevisionsAfter(std::uint64_t /*revision*/,
                                             std::size_t /*limit*/) override {
    return {};
  }
  void OnRevisions(const std::vector<ConfigRevision>& /*revisions*/) override {}
  ConfigSnapshot Snapshot() override { return {}; }
  void OnSnapshot(const ConfigSnapshot& /*snapshot*/) override {}
  std::span<const HostRecord> Hosts() const override { return {}; }
  void OnHosts(const std::vector<HostRecord>& /*hosts*/) override {}
  void OnJoin(std::string_view /*token*/,
              std::function<void(JoinOutcome)> done) override {
    ++queries;
    loop_.After(answer_delay, [done = std::move(done)] {
      JoinOutcome outcome;
      outcome.state = JoinState::kFinished;
      outcome.body = "the answer";
      done(outcome);
    });
  }

  int queries = 0;
  Duration answer_delay{0};
  std::function<void()> on_fill_digest;

 private:
  EventLoop& loop_;
};

struct OutcomeQueryFixture {
  explicit OutcomeQueryFixture(Duration call_timeout = std::chrono::seconds(1))
      : asker(loop,
              {.name = "asker",
               .address = "127.0.0.1",
               .call_timeout = call_timeout},
              asker_handler),
        holder(std::make_unique<PeerLinks>(
            loop,
            PeerLinks::Options{.name = "holder", .address = "127.0.0.1"},
            holder_handler)) {
    asker.SetPeers({{"holder", "north", "127.0.0.1", holder->port()}});
  }
  void Query() {
    const Claim claim{.organisation = "family",
                      .key = "order-1",
                      .token = "t1",
                      .daemon = "holder"};
    asker.QueryOutcome(
        "holder", claim, std::chrono::seconds(2),
        [this](JoinOutcome answer) { outcome = std::move(answer); });
  }
  /// Blocks the loop, as when the processor is busy with other programs.
  static void BlockFor(Duration time) { std::this_thread::sleep_for(time); }
  /// Sends the query while input from another socket is handled, as the store's
  /// answer is, and blocks the loop before it returns: the timers that are due
  /// then run before the loop sees that the connection is established.
  void QueryAndBlockFor(Duration time) {
    listener = loop.Listen("127.0.0.1", 0, [this, time](st_h2o_socket_t* peer) {
      accepted = std::make_unique<StreamSocket>(peer, ignore_data);
      Query();
      BlockFor(time);
    });
    trigger = std::make_unique<RpcConnection>(loop, "127.0.0.1",
                                              listener->port(), [] {});
  }
  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  struct IgnoreData final : StreamSocket::Observer {
    void OnData(std::string_view /*data*/) override {}
    void OnEnd(StreamEnd /*end*/) override {}
  };

  EventLoop loop;
  IgnoreData ignore_data;
  std::unique_ptr<EventLoop::Listener> listener;
  std::unique_ptr<StreamSocket> accepted;
  std::unique_ptr<RpcConnection> trigger;
  FakePeerHandler asker_handler{loop};
  FakePeerHandler holder_handler{loop};
  std::optional<JoinOutcome> outcome;
  PeerLinks asker;
  std::unique_ptr<PeerLinks> holder;
};

}  // namespace

TestSuite(peer_links);

// Guards against reporting a claim's holder as gone because the asking daemon
// was too busy to notice for 250 ms that its connection had been established.
Test(peer_links, loop_blocked_while_connecting_outcome_is_returned) {
  OutcomeQueryFixture fixture;
  fixture.QueryAndBlockFor(milliseconds(250));
  fixture.RunFor(milliseconds(600));
  cr_assert(fixture.outcome.has_value());
  cr_assert(fixture.outcome->state == JoinState::kFinished);
}

// Guards against the same after a block that is longer than the time limit for
// connecting.
Test(peer_links, loop_blocked_beyond_connect_timeout_outcome_is_returned) {
  OutcomeQueryFixture fixture;
  fixture.QueryAndBlockFor(milliseconds(500));
  fixture.RunFor(milliseconds(900));
  cr_assert(fixture.outcome.has_value());
  cr_assert(fixture.outcome->state == JoinState::kFinished);
}

// Guards against losing a query because a digest on the same connection timed
// out and closed it.
Test(peer_links, digest_times_out_during_query_outcome_is_returned) {
  OutcomeQueryFixture fixture(milliseconds(20));
  fixture.holder_handler.answer_delay = milliseconds(300);
  fixture.asker.Gossip();
  fixture.RunFor(milliseconds(100));
  fixture.Query();
  fixture.RunFor(milliseconds(50));
  cr_assert_eq(fixture.holder_handler.queries, 1);
  fixture.holder_handler.on_fill_digest = [] {
    OutcomeQueryFixture::BlockFor(milliseconds(60));
  };
  fixture.asker.Gossip();
  fixture.RunFor(milliseconds(900));
  cr_assert(fixture.outcome.has_value());
  cr_assert(fixture.outcome->state == JoinState::kFinished);
}

// Guards against callers waiting for the whole time limit when the holder of
// the claim has ended.
Test(peer_links, holder_ended_outcome_is_unknown_at_once) {
  OutcomeQueryFixture fixture;
  fixture.holder.reset();
  fixture.Query();
  fixture.RunFor(milliseconds(700));
  cr_assert(fixture.outcome.has_value());
  cr_assert(fixture.outcome->state == JoinState::kUnknown);
}
