#include "gentianroute/routing/server_directory.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

ServerRecord Record(const std::string& id,
                    std::int64_t started_at_unix_ms = 1) {
  ServerRecord record = MakeServer(id)->record();
  record.started_at_unix_ms = started_at_unix_ms;
  return record;
}

}  // namespace

Test(server_directory, leaving_server_is_closed_at_once) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  ServerRecord leaving = Record("a");
  leaving.leaving = true;
  servers.Put(kStart, leaving);
  cr_assert_not(servers.Find("a")->open());
}

// A restarted server keeps its id but has lost its state, so nothing recorded
// for the earlier incarnation may apply to it.
Test(server_directory, new_incarnation_is_another_server) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a", 1));
  const ServerPtr before(servers.Find("a"));
  before->own().calls = 3;
  servers.Put(kStart, Record("a", 2));
  cr_assert(servers.Find("a") != before.get());
  cr_assert_eq(servers.Find("a")->own().calls, 0);
  cr_assert_not(before->open());
}

Test(server_directory, address_of_another_service_is_another_server) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  ServerRecord moved = Record("a");
  moved.service = "other";
  servers.Put(kStart, moved);
  cr_assert(servers.ServersOf("stage").empty());
  cr_assert_eq(servers.ServersOf("other").size(), 1);
}

Test(server_directory, removed_server_is_not_listed) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  servers.Remove(kStart, "a");
  cr_assert(servers.ServersOf("stage").empty());
}

// Entries of live servers expire during a store outage because they can't be
// renewed. Dropping them at once would leave callers without a server; servers
// register again within two seconds of the end of the outage.
Test(server_directory, expired_server_stays_during_the_grace_period) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  servers.OnStoreRecovered(kStart);
  servers.Remove(kStart + 10 * kMs, "a");
  cr_assert_eq(servers.ServersOf("stage").size(), 1);
  servers.Put(kStart, Record("a"));
  servers.Expire(kStart + std::chrono::seconds(3));
  cr_assert_eq(servers.ServersOf("stage").size(), 1);
}

Test(server_directory, expired_server_without_renewal_is_removed) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  servers.OnStoreRecovered(kStart);
  servers.Remove(kStart + 10 * kMs, "a");
  servers.Expire(kStart + std::chrono::seconds(2));
  cr_assert(servers.ServersOf("stage").empty());
}

// Guards against what a server has asked for being forgotten with its entry,
// which expires while the store is away and is renewed later.
Test(server_directory, entry_expires_and_comes_back_server_is_the_same) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  const ServerPtr before(servers.Find("a"));
  servers.Remove(kStart, "a");
  cr_assert_not(before->open());
  servers.Put(kStart + std::chrono::seconds(30), Record("a"));
  cr_assert(servers.Find("a") == before.get());
  cr_assert(before->open());
}

// Guards against a server inheriting what another one at its address, or an
// earlier start of it, has asked for.
Test(server_directory, another_incarnation_comes_back_it_inherits_nothing) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a", 1));
  servers.Put(kStart, Record("b", 1));
  const ServerPtr a(servers.Find("a"));
  const ServerPtr b(servers.Find("b"));
  servers.Remove(kStart, "a");
  servers.Remove(kStart, "b");
  servers.Put(kStart, Record("a", 2));
  ServerRecord moved = Record("b", 1);
  moved.port = 81;
  servers.Put(kStart, moved);
  cr_assert(servers.Find("a") != a.get());
  cr_assert(servers.Find("b") != b.get());
}

Test(server_directory, entry_stays_away_for_long_server_is_forgotten) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  const ServerPtr before(servers.Find("a"));
  servers.Remove(kStart, "a");
  const TimePoint later =
      kStart + ServerDirectory::kRememberedTime + std::chrono::seconds(1);
  servers.Expire(later);
  servers.Put(later, Record("a"));
  cr_assert(servers.Find("a") != before.get());
}

// Guards against an entry that still says ready reopening a server that has
// said that it leaves, also before it is listed here.
Test(server_directory, server_has_said_that_it_leaves_no_entry_reopens_it) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a"));
  cr_assert(servers.MarkLeaving(kStart, "a", 1));
  cr_assert_not(servers.MarkLeaving(kStart, "a", 1));
  servers.Put(kStart, Record("a"));
  cr_assert_not(servers.Find("a")->open());
  servers.Remove(kStart, "a");
  servers.Put(kStart, Record("a"));
  cr_assert_not(servers.Find("a")->open());

  servers.MarkLeaving(kStart, "b", 1);
  servers.Put(kStart, Record("b"));
  cr_assert_not(servers.Find("b")->open());
}

Test(server_directory,
     earlier_start_has_said_that_it_leaves_later_one_is_open) {
  ServerDirectory servers;
  servers.Put(kStart, Record("a", 2));
  servers.MarkLeaving(kStart, "a", 1);
  cr_assert(servers.Find("a")->open());
  servers.MarkLeaving(kStart, "a", 2);
  servers.Put(kStart, Record("a", 3));
  cr_assert(servers.Find("a")->open());
}
