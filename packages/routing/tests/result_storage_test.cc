#include "gentianroute/routing/result_storage.h"

#include <criterion/criterion.h>

#include <string>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

constexpr Duration kLifetime = std::chrono::seconds(4);

}  // namespace

TestSuite(result_storage);

Test(result_storage, full_server_has_room_again_after_a_release) {
  ResultStorage storage(10, kLifetime);
  storage.Reserve("a", 8);
  cr_assert_not(storage.HasRoom("a", 3));
  cr_assert(storage.HasRoom("b", 3));
  storage.OnStored(kStart, "r", "a", 8);
  const std::string released = "r";
  storage.OnReleased({&released, 1});
  cr_assert(storage.HasRoom("a", 10));
}

Test(result_storage, result_is_not_made_its_room_is_free) {
  ResultStorage storage(10, kLifetime);
  storage.Reserve("a", 8);
  storage.Free("a", 8);
  cr_assert(storage.HasRoom("a", 10));
}

// Guards against a server counting as full for good when a release gets lost.
Test(result_storage, release_is_lost_room_is_free_after_the_lifetime) {
  ResultStorage storage(10, kLifetime);
  storage.Reserve("a", 8);
  storage.OnStored(kStart, "r", "a", 8);
  storage.Expire(kStart + kLifetime - 300 * kMs);
  cr_assert_not(storage.HasRoom("a", 3));
  storage.Expire(kStart + kLifetime);
  cr_assert(storage.HasRoom("a", 3));
}

Test(result_storage, no_limit_everything_fits) {
  ResultStorage storage(0, kLifetime);
  storage.Reserve("a", 1e12);
  cr_assert(storage.HasRoom("a", 1e12));
  cr_assert(storage.FitsOneServer(1e15));
  cr_assert_not(storage.IsLarge(1e15));
}
