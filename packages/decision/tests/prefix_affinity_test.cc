#include "gentianroute/decision/prefix_affinity.h"

#include <vector>

#include <criterion/criterion.h>

using namespace gentianroute;

namespace {

const std::vector<std::uint64_t> kOne = {1};
const std::vector<std::uint64_t> kTwo = {2};

}  // namespace

Test(prefix_affinity, events_in_order_add_and_remove) {
  PrefixAffinity caches;
  cr_assert(caches.OnEvent({"e", 1, 5, kOne, {}}));
  cr_assert(caches.OnEvent({"e", 1, 6, kTwo, kOne}));
  cr_assert_not(caches.Holds("e", 1));
  cr_assert(caches.Holds("e", 2));
  cr_assert_eq(caches.Holders(2).count("e"), 1);
  cr_assert(caches.Holders(1).empty());
}

// The engine evicts prefix 1 with event 6, which is lost; event 7 reveals the
// gap. If prefix 1 were kept, calls would be routed to an engine that has to
// prefill the whole prompt again.
Test(prefix_affinity, gap_drops_prefixes_of_that_engine_only) {
  PrefixAffinity caches;
  caches.OnEvent({"e", 1, 5, kOne, {}});
  caches.OnEvent({"f", 1, 1, kOne, {}});
  cr_assert_not(caches.OnEvent({"e", 1, 7, kTwo, {}}));
  cr_assert_not(caches.Holds("e", 1));
  cr_assert(caches.Holds("e", 2));
  cr_assert(caches.Holds("f", 1));
}

// Event 4 is lost. It had one eviction at most, so only prefix 1, the oldest,
// may be gone. If 2 and 3 were dropped too, an engine whose events are lost now
// and then would rarely have any known prefix.
Test(prefix_affinity, gap_of_one_event_drops_the_oldest_only) {
  const std::vector<std::uint64_t> three = {3};
  PrefixAffinity caches;
  caches.OnEvent({"e", 1, 1, kOne, {}});
  caches.OnEvent({"e", 1, 2, kTwo, {}});
  caches.OnEvent({"e", 1, 3, three, {}});
  cr_assert_not(caches.OnEvent({"e", 1, 5, {}, {}}));
  cr_assert_not(caches.Holds("e", 1));
  cr_assert(caches.Holds("e", 2));
  cr_assert(caches.Holds("e", 3));
  cr_assert_not(caches.OnEvent({"e", 1, 90, {}, {}}));
  cr_assert_not(caches.Holds("e", 3));
  cr_assert(caches.Holders(3).empty());
}

Test(prefix_affinity, restart_drops_all_and_old_event_changes_nothing) {
  PrefixAffinity caches;
  caches.OnEvent({"e", 1, 5, kOne, {}});
  cr_assert_not(caches.OnEvent({"e", 2, 1, kTwo, {}}));
  cr_assert_not(caches.Holds("e", 1));
  cr_assert(caches.OnEvent({"e", 1, 6, kOne, {}}));
  cr_assert(caches.OnEvent({"e", 2, 1, kOne, kTwo}));
  cr_assert_not(caches.Holds("e", 1));
  cr_assert(caches.Holds("e", 2));
  caches.RemoveEngine("e");
  cr_assert(caches.Holders(2).empty());
}
