#include "gentianroute/admission/memory_account.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <list>
#include <memory>

using gentianroute::admission::HeldKind;
using gentianroute::admission::MemoryAccount;

namespace {

constexpr std::size_t kMemory = 120'000'000;
/// Of collected answers.
constexpr std::size_t kLimit = 30'000'000;
constexpr std::size_t kPart = 64 * 1024;

struct Holder {
  Holder(MemoryAccount& account, HeldKind kind) : share(account, kind) {}
  MemoryAccount::Share share;
  std::size_t bytes = 0;
};

/// Lets holders grow in turn until all have more than they may have.
std::size_t FillAll(MemoryAccount& account, std::size_t holders) {
  std::list<Holder> all;
  for (std::size_t i = 0; i < holders; ++i) {
    all.emplace_back(account, HeldKind::kCollectedAnswer);
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

TestSuite(memory_account);

Test(memory_account, one_holder_gets_a_third) {
  MemoryAccount account(kMemory);
  const std::size_t peak = FillAll(account, 1);
  cr_assert_geq(peak, kLimit / 3);
  cr_assert_leq(peak, kLimit / 3 + kPart);
}

// Guards against memory that is used up by many servers that send without end.
Test(memory_account, hundred_holders_grow_sum_stays_below_the_limit) {
  MemoryAccount account(kMemory);
  cr_assert_leq(FillAll(account, 100), kLimit);
}

Test(memory_account, holder_ends_its_bytes_are_given_back) {
  MemoryAccount account(kMemory);
  {
    MemoryAccount::Share share(account, HeldKind::kInput);
    share.Set(kPart);
    cr_assert_eq(account.total(), kPart);
    cr_assert_eq(account.held(HeldKind::kInput), kPart);
  }
  cr_assert_eq(account.total(), 0);
  cr_assert_eq(account.held(HeldKind::kInput), 0);
}

// Guards against a read of freed memory at an orderly stop, when the loop still
// keeps a body that a peer has handed in.
Test(memory_account, holder_outlives_the_account_its_end_is_harmless) {
  auto account = std::make_unique<MemoryAccount>(kMemory);
  MemoryAccount::Share share(*account, HeldKind::kPeerRequest);
  share.Set(kPart);
  account.reset();
  share.Set(0);
  cr_assert_eq(share.bytes(), 0);
}

Test(memory_account, small_holder_is_served_beside_large_ones) {
  MemoryAccount account(kMemory);
  MemoryAccount::Share large(account, HeldKind::kCollectedAnswer);
  large.Set(2 * kLimit);
  MemoryAccount::Share small(account, HeldKind::kCollectedAnswer);
  small.Set(1024);
  cr_assert(large.is_excessive());
  cr_assert_not(small.is_excessive());
}

// Guards against a sum of kinds, each within its own bound, that exceeds the
// memory.
Test(memory_account, all_kinds_are_full_sum_leaves_a_quarter) {
  MemoryAccount account(kMemory);
  MemoryAccount::Share bodies(account, HeldKind::kRequestBody);
  bodies.Set(account.request_watermark());
  std::list<Holder> answers;
  for (std::size_t i = 0; i < 100; ++i) {
    Holder& holder = answers.emplace_back(account, HeldKind::kCollectedAnswer);
    while (!holder.share.is_excessive() &&
           account.Fits(kPart, account.collection_watermark())) {
      holder.share.Set(holder.bytes += kPart);
    }
  }
  MemoryAccount::Share unsent(account, HeldKind::kUnsentAnswer);
  unsent.Set(account.unsent_limit());
  cr_assert_eq(unsent.bytes(), account.unsent_limit());
  cr_assert_leq(account.total(), kMemory / 4 * 3);
}

Test(memory_account, bodies_are_full_answers_are_still_collected) {
  MemoryAccount account(kMemory);
  MemoryAccount::Share bodies(account, HeldKind::kRequestBody);
  bodies.Set(account.request_watermark());
  MemoryAccount::Share answer(account, HeldKind::kCollectedAnswer);
  answer.Set(kPart);
  cr_assert_not(answer.is_excessive());
  cr_assert_gt(account.unsent_limit(), kPart);
}
