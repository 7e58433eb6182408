#include "gentianroute/decision/server_table.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{} + seconds(10);

HostRecord Host(const std::string& name,
                const std::string& region,
                std::uint32_t slots = 2) {
  HostRecord host;
  host.name = name;
  host.pool = "pool";
  host.region = region;
  host.data_centre = region + "-1";
  host.incarnation = 1;
  host.slots = slots;
  return host;
}

struct Bench {
  explicit Bench(std::vector<HostRecord> list,
                 RoutingPolicy policy = RoutingPolicy::kPredictedCompletion)
      : hosts(std::move(list)),
        table(Options(policy),
              {{"near-1", {milliseconds(1), 0}},
               {"far-1", {milliseconds(20), 0.01}}}) {
    context.pool = "pool";
    table.ApplyHostList(kStart, hosts);
  }

  static ServerTable::Options Options(RoutingPolicy policy) {
    ServerTable::Options options;
    options.data_centre = "near-1";
    options.region = "near";
    options.policy = policy;
    return options;
  }

  std::string Pick() {
    const ServerRef server = table.Pick(kStart, context, rng);
    return server == nullptr ? "" : server->host.name;
  }
  Server& At(const std::string& name) { return *table.servers().at(name); }

  std::vector<HostRecord> hosts;
  ServerTable table;
  PickContext context;
  Rng rng{1};
};

}  // namespace

Test(server_table, full_server_is_skipped_until_slot_is_free) {
  Bench bench({Host("a", "near", 1), Host("b", "far", 1)});
  cr_assert_eq(bench.Pick(), "a");
  bench.table.OnStart(bench.At("a"));
  cr_assert_eq(bench.Pick(), "b");
  bench.table.OnStart(bench.At("b"));
  cr_assert_eq(bench.Pick(), "");
  bench.table.OnSuccess(kStart, bench.At("a"), milliseconds(5));
  cr_assert_eq(bench.Pick(), "a");
}

// A server is marked as leaving while it runs a call. Neither the slot that is
// freed when the call ends nor a stale host list may make the server eligible
// again.
Test(server_table, freed_slot_of_leaving_server_gets_no_call) {
  Bench bench({Host("a", "near")});
  bench.table.OnStart(bench.At("a"));
  bench.table.MarkLeaving("a", 1);
  cr_assert_eq(bench.Pick(), "", "its other slot is no longer available");
  bench.table.OnSuccess(kStart, bench.At("a"), milliseconds(5));
  cr_assert_eq(bench.Pick(), "");
  bench.table.ApplyHostList(kStart, bench.hosts);
  cr_assert_eq(bench.Pick(), "");
  cr_assert_not(bench.table.HasServer("pool"));
}

// A server restarts while a call to its old incarnation is in flight. When that
// call ends, the old record must not be added to the free list, where the new
// record already is.
Test(server_table, old_incarnation_ends_call_is_not_chosen) {
  Bench bench({Host("a", "near", 1)});
  const ServerRef old = bench.table.servers().at("a");
  bench.table.OnStart(*old);
  bench.hosts[0].incarnation = 2;
  bench.table.ApplyHostList(kStart, bench.hosts);
  bench.table.OnCancelled(*old);
  bench.table.OnStart(bench.At("a"));
  cr_assert_eq(bench.Pick(), "");
}

Test(server_table,
     cost_objective_waits_for_near_server_until_deadline_is_close) {
  Bench bench({Host("a", "near", 1), Host("b", "far", 1)});
  bench.table.OnStart(bench.At("a"));
  bench.context.objective = Objective::kCost;
  bench.context.expected = milliseconds(100);
  bench.context.remaining = seconds(6);
  cr_assert_eq(bench.Pick(), "");
  bench.context.remaining = milliseconds(300);
  cr_assert_eq(bench.Pick(), "b");
  bench.context.remaining = seconds(6);
  bench.context.queue_wait = seconds(5);
  cr_assert_eq(bench.Pick(), "b", "near servers can't clear the backlog");
  bench.context.queue_wait = {};
  cr_assert_eq(bench.Pick(), "");
  bench.table.MarkLeaving("a", 1);
  cr_assert_eq(bench.Pick(), "b", "no near server is left to wait for");
}

// A server has become so slow that calls miss their deadline. As its calls time
// out, its slots become free, so without a check it would get call after call,
// and each would fail.
Test(server_table, server_slower_than_deadline_gets_one_call_at_a_time) {
  Bench bench({Host("slow", "near", 4)});
  bench.context.remaining = seconds(1);
  bench.table.OnStart(bench.At("slow"));
  bench.table.OnSuccess(kStart, bench.At("slow"), seconds(2));
  cr_assert_eq(bench.Pick(), "slow", "one call probes for recovery");
  bench.table.OnStart(bench.At("slow"));
  cr_assert_eq(bench.Pick(), "");
}

// A load report that was made before this daemon's last calls arrives after
// them. If the reported load replaced the count of own calls, the server would
// look idle.
Test(server_table, stale_report_does_not_hide_own_calls) {
  Bench bench({Host("a", "near", 8), Host("b", "near", 8)});
  for (int i = 0; i < 4; ++i) {
    bench.table.OnStart(bench.At("a"));
  }
  bench.table.OnStart(bench.At("b"));
  bench.table.OnLoadReport(kStart, bench.At("a"), 0);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(bench.Pick(), "b");
  }
}

Test(server_table, engine_with_cached_prefix_is_preferred_among_many) {
  std::vector<HostRecord> hosts;
  hosts.reserve(40);
  for (int i = 0; i < 40; ++i) {
    hosts.push_back(Host("e" + std::to_string(i), "near"));
  }
  Bench bench(hosts);
  PrefixAffinity caches;
  const std::vector<std::uint64_t> added = {7};
  caches.OnEvent({"e23", 1, 1, added, {}});
  bench.table.SetPrefixAffinity(&caches);
  bench.context.prefix = 7;
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(bench.Pick(), "e23");
  }
  bench.table.OnStart(bench.At("e23"));
  bench.table.OnStart(bench.At("e23"));
  cr_assert_neq(bench.Pick(), "e23", "calls don't wait for a full engine");
}

// A dead server refuses connections at once and has no calls in flight. If it
// were ejected only after three refusals, it would have the best predicted
// completion time until then and attract many calls.
Test(server_table, one_refused_connection_ejects_server) {
  Bench bench({Host("a", "near"), Host("b", "near")});
  bench.table.OnStart(bench.At("a"));
  bench.table.OnFailure(kStart, bench.At("a"), true);
  bench.table.OnStart(bench.At("b"));
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(bench.Pick(), "b");
  }
  bench.table.OnStart(bench.At("b"));
  cr_assert_eq(bench.Pick(), "a", "an ejected server is better than none");
}
