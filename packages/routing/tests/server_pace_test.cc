#include "gentianroute/routing/server_pace.h"

#include <criterion/criterion.h>

#include "gentianroute/routing/event_pace.h"
#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

/// Three servers of a service; the last one takes four times as long.
struct PaceFixture {
  std::vector<ServerPace> servers{3};

  void Observe(double events, Duration event_time) {
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const Duration time = i == 2 ? event_time * 4 : event_time;
      servers[i].OnEvents(kStart, events,
                          time * static_cast<std::int64_t>(events));
    }
  }
  double Factor(std::size_t i, TimePoint now = kStart) const {
    PaceSample average;
    for (const ServerPace& server : servers) {
      average += server.All(now);
    }
    return ServerPace::Factor(servers[i].All(now), average);
  }
};

}  // namespace

Test(server_pace, unobserved_server_is_average) {
  const PaceFixture fixture;
  cr_assert_eq(fixture.Factor(0), 1.0);
}

Test(server_pace, slow_server_is_recognised_after_a_few_streams) {
  PaceFixture fixture;
  fixture.Observe(100, 20 * kMs);
  cr_assert_gt(fixture.Factor(2), 1.8);
  cr_assert_lt(fixture.Factor(0), 0.8);
}

Test(server_pace, few_observations_count_little) {
  PaceFixture fixture;
  fixture.Observe(2, 20 * kMs);
  cr_assert_lt(fixture.Factor(2), 1.2);
}

Test(server_pace, observations_fade) {
  PaceFixture fixture;
  fixture.Observe(100, 20 * kMs);
  cr_assert_lt(fixture.Factor(2, kStart + std::chrono::seconds(300)), 1.1);
}

// A daemon sends each server a request every few seconds, so that its own
// observations never tell which one is slow.
Test(server_pace, reports_of_peers_add_up) {
  PaceFixture fixture;
  fixture.Observe(2, 20 * kMs);
  for (ServerPace& server : fixture.servers) {
    const PaceSample own = server.Own(kStart);
    for (int peer = 0; peer < 40; ++peer) {
      server.peers() += own;
    }
  }
  cr_assert_gt(fixture.Factor(2), 1.8);
  for (ServerPace& server : fixture.servers) {
    server.peers() -= server.Own(kStart).ScaledBy(40);
  }
  cr_assert_lt(fixture.Factor(2), 1.2);
}

Test(event_pace, events_split_over_parts_are_counted_once) {
  EventPace pace;
  cr_assert(!pace.OnPart(kStart, "id: 1\ndata: a\n\n"));
  cr_assert(!pace.OnPart(kStart + 30 * kMs, "id: 2\ndata: b\n"));
  cr_assert(!pace.OnPart(kStart + 40 * kMs, "\nid: 3\r\ndata: c\r\n\r\n"));
  cr_assert(!pace.OnPart(kStart + 60 * kMs, "id: 4\ndata: d\n\n"));
  const auto sample = pace.OnPart(kStart + 80 * kMs, "id: 5\ndata: e\n\nid: 6");
  cr_assert(sample.has_value());
  cr_assert_eq(sample->events, 4);
  cr_assert_eq(sample->taken.count(), Duration(80 * kMs).count());
}

Test(event_pace, wait_for_the_first_event_does_not_count) {
  EventPace pace;
  pace.OnPart(kStart, "data: a\n\n");
  pace.OnPart(kStart + 20 * kMs, "data: b\n\n");
  pace.OnPart(kStart + 40 * kMs, "data: c\n\n");
  const auto sample = pace.OnEnd();
  cr_assert(sample.has_value());
  cr_assert_eq(sample->taken.count(), Duration(40 * kMs).count());
  cr_assert(!pace.OnEnd().has_value());
}
