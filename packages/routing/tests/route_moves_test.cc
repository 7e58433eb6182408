#include "gentianroute/routing/route_moves.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr Duration kMemory = std::chrono::seconds(40);

Route RouteTo(const std::string& prefix,
              std::vector<WeightedService> services) {
  Route route;
  route.name = prefix;
  route.hostname = "h.example";
  route.prefix = prefix;
  route.services = std::move(services);
  return route;
}

RouteTable TableOf(std::vector<Route> routes) {
  Deployment deployment;
  deployment.routes = std::move(routes);
  return RouteTable(std::move(deployment));
}

struct RouteMovesFixture {
  RouteMoves moves{kMemory};
  RouteTable before =
      TableOf({RouteTo("/chat/", {{"a", 1}}), RouteTo("/draft/", {{"b", 1}})});

  /// Moves a route from service a to c.
  void MoveChat() {
    moves.OnDeployment(kStart, before,
                       TableOf({RouteTo("/chat/", {{"c", 1}}),
                                RouteTo("/draft/", {{"b", 1}})}));
  }
  bool ConcernsAt(TimePoint now, std::string_view service) const {
    return moves.Concerns(now, service);
  }
};

}  // namespace

TestSuite(route_moves);

Test(route_moves, nothing_changes_no_service_is_concerned) {
  RouteMovesFixture fixture;
  fixture.moves.OnDeployment(kStart, fixture.before, fixture.before);
  cr_assert_not(fixture.ConcernsAt(kStart, "a"));
  cr_assert_not(fixture.ConcernsAt(kStart, "b"));
}

// Guards against a stream of the old service that goes on at the new one.
Test(route_moves, route_moves_both_services_are_concerned) {
  RouteMovesFixture fixture;
  fixture.MoveChat();
  cr_assert(fixture.ConcernsAt(kStart, "a"));
  cr_assert(fixture.ConcernsAt(kStart, "c"));
  cr_assert_not(fixture.ConcernsAt(kStart, "b"));
}

Test(route_moves, weights_change_all_its_services_are_concerned) {
  RouteMovesFixture fixture;
  const RouteTable split = TableOf({RouteTo("/chat/", {{"a", 9}, {"c", 1}}),
                                    RouteTo("/draft/", {{"b", 1}})});
  const RouteTable other_split =
      TableOf({RouteTo("/chat/", {{"a", 1}, {"c", 9}}),
               RouteTo("/draft/", {{"b", 1}})});
  fixture.moves.OnDeployment(kStart, split, other_split);
  cr_assert(fixture.ConcernsAt(kStart, "a"));
  cr_assert(fixture.ConcernsAt(kStart, "c"));
  cr_assert_not(fixture.ConcernsAt(kStart, "b"));
}

// Guards against streams of a path whose longer route is new, or was dropped.
Test(route_moves, longer_route_takes_paths_over_services_are_concerned) {
  RouteMovesFixture fixture;
  const RouteTable longer =
      TableOf({RouteTo("/chat/", {{"a", 1}}), RouteTo("/draft/", {{"b", 1}}),
               RouteTo("/chat/new/", {{"c", 1}})});
  fixture.moves.OnDeployment(kStart, fixture.before, longer);
  cr_assert(fixture.ConcernsAt(kStart, "a"));
  cr_assert(fixture.ConcernsAt(kStart, "c"));

  RouteMoves dropped(kMemory);
  dropped.OnDeployment(kStart, longer, fixture.before);
  cr_assert(dropped.Concerns(kStart, "a"));
  cr_assert(dropped.Concerns(kStart, "c"));
}

Test(route_moves, route_is_new_no_stream_can_have_begun_elsewhere) {
  RouteMovesFixture fixture;
  fixture.moves.OnDeployment(
      kStart, fixture.before,
      TableOf({RouteTo("/chat/", {{"a", 1}}), RouteTo("/draft/", {{"b", 1}}),
               RouteTo("/other/", {{"c", 1}})}));
  cr_assert_not(fixture.ConcernsAt(kStart, "c"));
}

// Guards against callers of long streams who come back when the move, or the
// version that began their stream, is forgotten.
Test(route_moves, route_has_a_long_timeout_memory_covers_its_streams) {
  constexpr Duration kPropagation = std::chrono::seconds(3);
  constexpr Duration kLongTimeout = std::chrono::seconds(60);
  Route route = RouteTo("/chat/", {{"a", 1}});
  cr_assert_eq(StreamMemory(TableOf({route}), kPropagation).count(),
               Duration(std::chrono::seconds(33)).count());
  route.timeout = kLongTimeout;
  cr_assert_eq(StreamMemory(TableOf({route}), kPropagation).count(),
               Duration(std::chrono::seconds(33)).count());
  route.resumable = true;
  cr_assert_eq(StreamMemory(TableOf({route}), kPropagation).count(),
               Duration(2 * kLongTimeout + kPropagation).count());
}

Test(route_moves, time_has_passed_the_move_is_forgotten) {
  RouteMovesFixture fixture;
  fixture.MoveChat();
  cr_assert(fixture.ConcernsAt(kStart + kMemory - Duration(1), "a"));
  cr_assert_not(fixture.ConcernsAt(kStart + kMemory, "a"));
}
