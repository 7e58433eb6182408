#include "gentianroute/routing/route_table.h"

#include <criterion/criterion.h>

using namespace gentianroute::routing;

namespace {

Route RouteTo(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.hostname = host;
  route.prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

RouteTable TableOf(std::vector<Route> routes) {
  Deployment deployment;
  deployment.routes = std::move(routes);
  deployment.organisations =
      std::vector<Organisation>{{"family", {"k1", "k2"}, std::nullopt}};
  return RouteTable(std::move(deployment));
}

}  // namespace

Test(route_table, longest_prefix_wins) {
  const RouteTable table =
      TableOf({RouteTo("a.example", "/x/"), RouteTo("a.example", "/x/y/")});
  cr_assert_str_eq(table.Find("a.example", "/x/y/z")->name.c_str(),
                   "a.example/x/y/");
  cr_assert_str_eq(table.Find("a.example", "/x/z?q=/x/y/")->name.c_str(),
                   "a.example/x/");
}

Test(route_table, prefix_ends_at_its_slash) {
  const RouteTable table = TableOf({RouteTo("a.example", "/x/")});
  cr_assert_null(table.Find("a.example", "/xy"));
  cr_assert_null(table.Find("b.example", "/x/"));
}

Test(route_table, host_is_compared_without_case_and_port) {
  const RouteTable table = TableOf({RouteTo("a.example", "/x/")});
  cr_assert_not_null(table.Find("A.Example:8080", "/x/1"));
}

Test(route_table, key_names_its_organisation) {
  const RouteTable table = TableOf({});
  cr_assert_str_eq(table.FindOrganisation("k2")->name.c_str(), "family");
  cr_assert_null(table.FindOrganisation("k3"));
  cr_assert_null(table.FindOrganisation(""));
}

Test(route_table, services_share_a_route_by_weight) {
  Route route = RouteTo("a.example", "/x/");
  route.services = {{"most", 90}, {"rest", 10}};
  cr_assert(PickService(route, 0.0) == "most");
  cr_assert(PickService(route, 0.89) == "most");
  cr_assert(PickService(route, 0.91) == "rest");
}
