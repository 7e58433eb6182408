#include "gentianroute/admission/held_bytes.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <list>

using gentianroute::admission::HeldBytes;

namespace {

constexpr std::size_t kLimit = 30'000'000;
constexpr std::size_t kPart = 64 * 1024;

/// Lets holders grow in turn until all have more than they may have.
std::size_t FillAll(HeldBytes& account, std::size_t holders) {
  struct Holder {
    explicit Holder(HeldBytes& account) : share(account) {}
    HeldBytes::Share share;
    std::size_t bytes = 0;
  };
  std::list<Holder> all;
  for (std::size_t i = 0; i < holders; ++i) {
    all.emplace_back(account);
  }
  std::size_t peak = 0;
  for (bool grows = true; grows;) {
    grows = false;
    for (Holder& holder : all) {
      if (!holder.share.is_excessive()) {
        grows = true;
        holder.share.Set(holder.bytes += kPart);
      }
    }
    peak = account.total() > peak ? account.total() : peak;
  }
  return peak;
}

}  // namespace

TestSuite(held_bytes);

Test(held_bytes, one_holder_gets_a_third) {
  HeldBytes account(kLimit);
  const std::size_t peak = FillAll(account, 1);
  cr_assert_geq(peak, kLimit / 3);
  cr_assert_leq(peak, kLimit / 3 + kPart);
}

// Guards against memory that is used up by many servers that send without end.
Test(held_bytes, hundred_holders_grow_sum_stays_below_the_limit) {
  HeldBytes account(kLimit);
  cr_assert_leq(FillAll(account, 100), kLimit);
}

Test(held_bytes, holder_ends_its_bytes_are_given_back) {
  HeldBytes account(kLimit);
  {
    HeldBytes::Share share(account);
    share.Set(kPart);
    cr_assert_eq(account.total(), kPart);
  }
  cr_assert_eq(account.total(), 0);
}

Test(held_bytes, small_holder_is_served_beside_large_ones) {
  HeldBytes account(kLimit);
  HeldBytes::Share large(account);
  large.Set(2 * kLimit);
  HeldBytes::Share small(account);
  small.Set(1024);
  cr_assert(large.is_excessive());
  cr_assert_not(small.is_excessive());
}
