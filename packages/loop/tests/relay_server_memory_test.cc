// What a server holds for clients that send large bodies, and who waits, is
// refused or gives way when the memory is short.

// Before Criterion, whose macros don't go with Boost.Intrusive.
#include "gentianroute/admission/body_queue.h"
#include "gentianroute/loop/relay_server.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "allocated_bytes.h"
#include "kept_connection.h"

using namespace gentianroute;
using admission::BodyQueue;
using admission::MemoryAccount;
using gentianroute::testing::AllocatedBytes;
using gentianroute::testing::KeptConnection;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMemory = 64'000'000;
constexpr std::size_t kBody = 1'900'000;
/// Bodies that have room at the same time.
constexpr std::size_t kFit = kMemory / 2 / kBody;
/// Beside the bodies, a connection has a part of 64 KB that is being parsed,
/// and what the parser has made of it.
constexpr std::size_t kPerConnection = 128 * 1024;
constexpr int kUnavailable = 503;

SharedBodyPtr BodyOf(std::string_view bytes) {
  SharedBodyPtr body(new SharedBody);
  body->Append(bytes);
  return body;
}

/// The body that all clients send. They share it, so that what they hold
/// doesn't hide what the server does.
const SharedBodyPtr& CommonBody() {
  static const SharedBodyPtr kShared = BodyOf(std::string(kBody, 'b'));
  return kShared;
}

std::string HeadOf(std::size_t body_bytes, std::string_view fields = "") {
  return "POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(fields) +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

/// A server that answers each request after a while.
struct LargeBodiesFixture {
  EventLoop loop;
  MemoryAccount account{kMemory};
  Duration work_time = milliseconds(40);
  std::vector<std::size_t> lengths;  ///< of the bodies that were handled
  std::vector<std::unique_ptr<KeptConnection>> clients;
  std::size_t peak = 0;
  RelayServer server{
      loop,
      {"127.0.0.1", 0, [] { return Limits(); }, &account},
      [this](const RelayExchangePtr& exchange) { Handle(exchange); }};
  /// Taken when all else has been allocated.
  std::size_t allocated_before = (CommonBody(), AllocatedBytes());

  static CallerLimits Limits() {
    CallerLimits limits;
    limits.body_bytes = kBody;
    return limits;
  }
  void Handle(const RelayExchangePtr& exchange) {
    if (exchange->lacks_body()) {
      exchange->Respond(kUnavailable, {}, "");
      return;
    }
    lengths.push_back(exchange->body().size());
    loop.After(work_time, [exchange] { exchange->Respond(200, {}, "done"); });
  }

  KeptConnection& AddClient(std::string head, SharedBodyPtr body = nullptr) {
    clients.push_back(std::make_unique<KeptConnection>(loop, server.port()));
    clients.back()->SendOwned(std::move(head), std::move(body));
    return *clients.back();
  }
  void AddLarge(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      AddClient(HeadOf(kBody), CommonBody());
    }
  }
  void RunFor(Duration time) {
    const TimerId sampling = loop.Every(
        milliseconds(1), [this] { peak = std::max(peak, AllocatedBytes()); });
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(sampling);
  }
  /// Runs until all clients have an answer, or are disconnected.
  void AwaitAll() {
    constexpr int kMaxSteps = 400;
    for (int i = 0; i < kMaxSteps && !HaveAllEnded(); ++i) {
      RunFor(milliseconds(10));
    }
    cr_assert(HaveAllEnded());
  }
  bool HaveAllEnded() const {
    return std::ranges::all_of(
        clients, [](const auto& client) { return client->HasAnswersOrEnd(1); });
  }
  std::size_t CountOf(int status) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients, [status](const auto& client) {
          return !client->answers().empty() &&
                 client->answers().front().head.status == status;
        }));
  }
  std::size_t MaxGrowth() const {
    return account.request_watermark() + clients.size() * kPerConnection;
  }
  std::size_t growth() const {
    return peak > allocated_before ? peak - allocated_before : 0;
  }
};

}  // namespace

TestSuite(relay_server_memory);

// Guards against bodies that are held several times over.
Test(relay_server_memory, bodies_that_fit_are_held_once_and_answered) {
  LargeBodiesFixture fixture;
  fixture.AddLarge(kFit);
  fixture.AwaitAll();
  cr_assert_eq(fixture.CountOf(200), kFit);
  cr_assert_eq(fixture.server.bodies_waited(), 0);
  cr_assert_leq(fixture.growth(), kFit * (kBody + kPerConnection),
                "grew by %zu", fixture.growth());
}

// Guards against a burst of bodies that takes the process over its memory.
Test(relay_server_memory, burst_exceeds_the_memory_rest_waits_and_is_answered) {
  LargeBodiesFixture fixture;
  fixture.AddLarge(3 * kFit);
  fixture.AwaitAll();
  cr_assert_eq(fixture.CountOf(200), 3 * kFit);
  cr_assert_gt(fixture.server.bodies_waited(), 0);
  cr_assert_leq(fixture.growth(), fixture.MaxGrowth(), "grew by %zu",
                fixture.growth());
}

// Guards against connections that keep the memory of a body they once sent.
Test(relay_server_memory, connections_stay_open_their_memory_is_given_back) {
  LargeBodiesFixture fixture;
  fixture.AddLarge(kFit);
  fixture.AwaitAll();
  fixture.RunFor(milliseconds(20));
  cr_assert_eq(fixture.account.total(), 0);
  cr_assert_eq(fixture.server.connections(), kFit);
  const std::size_t left = AllocatedBytes();
  cr_assert_leq(left, fixture.allocated_before + kFit * kPerConnection,
                "kept %zu", left - fixture.allocated_before);
}

// Guards against small requests that wait behind large ones.
Test(relay_server_memory, large_bodies_wait_small_one_is_answered) {
  LargeBodiesFixture fixture;
  fixture.work_time = milliseconds(300);
  fixture.AddLarge(2 * kFit);
  fixture.RunFor(milliseconds(100));
  fixture.work_time = milliseconds(1);
  const KeptConnection& small = fixture.AddClient(HeadOf(2) + "hi");
  fixture.RunFor(milliseconds(50));
  cr_assert_eq(small.answers().size(), 1);
}

// Guards against callers that stop halfway and keep all others out.
Test(relay_server_memory, clients_stall_halfway_one_that_waits_is_answered) {
  LargeBodiesFixture fixture;
  const std::string half(kBody / 2, 'b');
  const SharedBodyPtr part = BodyOf(half);
  for (std::size_t i = 0; i < kFit; ++i) {
    fixture.AddClient(HeadOf(kBody), part);
  }
  fixture.RunFor(milliseconds(100));
  const KeptConnection& waiting =
      fixture.AddClient(HeadOf(kBody), CommonBody());
  fixture.RunFor(BodyQueue::kMaxStall + milliseconds(300));
  cr_assert_eq(waiting.answers().size(), 1);
  cr_assert_eq(waiting.answers().front().head.status, 200);
  cr_assert_eq(fixture.CountOf(kUnavailable), 1, "refused %zu",
               fixture.CountOf(kUnavailable));
}

// Guards against requests that are held until their deadline without a chance.
Test(relay_server_memory, no_room_in_time_request_is_refused_unrun) {
  LargeBodiesFixture fixture;
  fixture.work_time = BodyQueue::kMaxWait + milliseconds(500);
  fixture.AddLarge(kFit + 2);
  fixture.RunFor(BodyQueue::kMaxWait + milliseconds(200));
  cr_assert_eq(fixture.CountOf(kUnavailable), 2);
  cr_assert_eq(fixture.lengths.size(), kFit);
  fixture.AwaitAll();
  cr_assert_eq(fixture.CountOf(200), kFit);
}

// Guards against room that is kept for a caller who has gone.
Test(relay_server_memory, clients_leave_their_room_is_given_to_others) {
  LargeBodiesFixture fixture;
  const SharedBodyPtr part = BodyOf(std::string(kBody / 2, 'b'));
  for (std::size_t i = 0; i < kFit; ++i) {
    fixture.AddClient(HeadOf(kBody), part);
  }
  fixture.RunFor(milliseconds(50));
  const KeptConnection& waiting =
      fixture.AddClient(HeadOf(kBody), CommonBody());
  fixture.RunFor(milliseconds(50));
  cr_assert(waiting.answers().empty());
  fixture.clients.front().reset();
  fixture.clients.erase(fixture.clients.begin());
  fixture.RunFor(milliseconds(200));
  cr_assert_eq(waiting.answers().size(), 1);
}

// Guards against a body without a length that has room for nothing, or for all
// that others need.
Test(relay_server_memory, chunked_bodies_are_answered_within_the_memory) {
  LargeBodiesFixture fixture;
  std::string chunked = "1cfde0\r\n";  // kBody
  chunked += CommonBody()->view();
  chunked += "\r\n0\r\n\r\n";
  const SharedBodyPtr body = BodyOf(chunked);
  fixture.allocated_before = AllocatedBytes();
  for (std::size_t i = 0; i < 2 * kFit; ++i) {
    fixture.AddClient(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        body);
  }
  fixture.AwaitAll();
  cr_assert_eq(fixture.CountOf(200), 2 * kFit);
  cr_assert(std::ranges::all_of(
      fixture.lengths, [](std::size_t length) { return length == kBody; }));
  cr_assert_leq(fixture.growth(), fixture.MaxGrowth(), "grew by %zu",
                fixture.growth());
}

Test(relay_server_memory, body_larger_than_all_room_is_refused_at_once) {
  LargeBodiesFixture fixture;
  MemoryAccount small(kBody);
  RelayServer server(
      fixture.loop, {"127.0.0.1", 0, [] { return CallerLimits{}; }, &small},
      [&](const RelayExchangePtr& exchange) { fixture.Handle(exchange); });
  KeptConnection client(fixture.loop, server.port());
  client.SendOwned(HeadOf(kBody), CommonBody());
  fixture.RunFor(milliseconds(100));
  cr_assert_eq(client.answers().size(), 1);
  cr_assert_eq(client.answers().front().head.status, kUnavailable);
  cr_assert(fixture.lengths.empty());
}

// Guards against a client that is told to send a body nobody can take.
Test(relay_server_memory,
     client_asks_before_it_sends_it_is_told_when_there_is_room) {
  LargeBodiesFixture fixture;
  fixture.work_time = milliseconds(300);
  fixture.AddLarge(kFit);
  fixture.RunFor(milliseconds(100));
  const KeptConnection& asking =
      fixture.AddClient(HeadOf(kBody, "Expect: 100-continue\r\n"));
  fixture.RunFor(milliseconds(50));
  cr_assert(asking.answers().empty());
  fixture.RunFor(milliseconds(400));
  cr_assert_eq(asking.answers().size(), 1);
  cr_assert_eq(asking.answers().front().head.status, 100);
}

// Guards against requests that pile up behind one that is being answered.
Test(relay_server_memory,
     pipelined_bodies_wait_in_the_socket_all_are_answered) {
  LargeBodiesFixture fixture;
  constexpr std::size_t kRequests = 8;
  const std::string body(500'000, 'p');
  std::string all;
  for (std::size_t i = 0; i < kRequests; ++i) {
    all += HeadOf(body.size()) + body;
  }
  const SharedBodyPtr sent = BodyOf(all);
  fixture.allocated_before = AllocatedBytes();
  const KeptConnection& client = fixture.AddClient("", sent);
  for (int i = 0; i < 200 && client.answers().size() < kRequests; ++i) {
    fixture.RunFor(milliseconds(10));
  }
  cr_assert_eq(client.answers().size(), kRequests);
  cr_assert_leq(fixture.growth(), 2 * body.size(), "grew by %zu",
                fixture.growth());
}
