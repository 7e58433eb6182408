#include "gentianroute/admission/body_queue.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <list>
#include <random>

#include "gentianroute/admission/memory_account.h"

using namespace gentianroute;
using admission::BodyQueue;
using admission::HeldKind;
using admission::MemoryAccount;
using std::chrono::milliseconds;
using Verdict = BodyQueue::Verdict;

namespace {

constexpr std::size_t kMemory = 260'000'000;
constexpr std::size_t kLarge = 4'000'000;
constexpr std::size_t kLargeThatFit = kMemory / 2 / kLarge;

struct Body final : BodyQueue::Reader {
  explicit Body(MemoryAccount& account)
      : share(account, HeldKind::kRequestBody) {}
  void OnRoom() override { has_room = true; }
  void OnNoRoom() override { refused = true; }

  MemoryAccount::Share share;
  bool has_room = false;
  bool refused = false;
};

struct BodyQueueFixture {
  MemoryAccount account{kMemory};
  BodyQueue queue{account};
  std::list<Body> bodies;
  TimePoint now{std::chrono::seconds(100)};

  Verdict Add(std::size_t bytes) {
    Body& body = bodies.emplace_back(account);
    const Verdict verdict = queue.Add(now, body, body.share, bytes);
    body.has_room = verdict == Verdict::kRead;
    return verdict;
  }
  void AddLarge(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Add(kLarge);
    }
  }
  /// Runs the queue each 10 ms. All bodies that have room make progress if
  /// `all_send`.
  void RunFor(Duration time, bool all_send) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(10);
      for (Body& body : bodies) {
        if (all_send && body.has_room) {
          queue.OnProgress(now, body);
        }
      }
      queue.Run(now);
    }
  }
  void End(Body& body) {
    BodyQueue::Remove(body);
    body.share.Set(0);
    body.has_room = false;
  }
};

}  // namespace

TestSuite(body_queue);

Test(body_queue, bodies_that_fit_are_read_at_once) {
  BodyQueueFixture fixture;
  for (std::size_t i = 0; i < kLargeThatFit; ++i) {
    cr_assert_eq(fixture.Add(kLarge), Verdict::kRead);
  }
  cr_assert_eq(fixture.account.total(), kLargeThatFit * kLarge);
}

// Guards against a burst of bodies that takes the process over its memory.
Test(body_queue, burst_exceeds_the_memory_rest_waits_in_order) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit);
  cr_assert_eq(fixture.Add(kLarge), Verdict::kWait);
  cr_assert_eq(fixture.Add(kLarge), Verdict::kWait);
  fixture.RunFor(milliseconds(100), true);
  const auto first = std::prev(fixture.bodies.end(), 2);
  cr_assert_not(first->has_room);
  fixture.End(fixture.bodies.front());
  fixture.RunFor(milliseconds(10), true);
  cr_assert(first->has_room);
  cr_assert_not(fixture.bodies.back().has_room);
  cr_assert_leq(fixture.account.total(), fixture.account.request_watermark());
}

Test(body_queue, small_body_passes_those_that_wait) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit + 1);
  cr_assert_eq(fixture.Add(1000), Verdict::kRead);
}

// Guards against a large body that never gets room while smaller ones come.
Test(body_queue, body_that_fits_doesnt_pass_a_larger_one_that_waits) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit - 1);
  cr_assert_eq(fixture.Add(2 * kLarge), Verdict::kWait);
  cr_assert_eq(fixture.Add(kLarge / 4), Verdict::kWait);
}

// Guards against callers that stop halfway and keep all others out.
Test(body_queue, callers_that_stall_give_way_to_one_that_waits) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit + 1);
  fixture.RunFor(BodyQueue::kMaxStall + milliseconds(20), false);
  cr_assert(fixture.bodies.back().has_room);
  std::size_t refused = 0;
  for (const Body& body : fixture.bodies) {
    refused += body.refused ? 1 : 0;
  }
  cr_assert_eq(refused, 1);
}

Test(body_queue, callers_that_stall_keep_their_room_if_nobody_waits) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit);
  fixture.RunFor(2 * BodyQueue::kMaxStall, false);
  for (const Body& body : fixture.bodies) {
    cr_assert_not(body.refused);
  }
}

Test(body_queue, callers_that_send_slowly_keep_their_room) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit + 1);
  fixture.RunFor(BodyQueue::kMaxWait + milliseconds(20), true);
  cr_assert_not(fixture.bodies.front().refused);
  cr_assert(fixture.bodies.back().refused);
}

// Guards against requests that are held until their deadline without a chance.
Test(body_queue, no_room_in_time_caller_is_refused) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit + 3);
  fixture.RunFor(BodyQueue::kMaxWait - milliseconds(20), true);
  cr_assert_not(fixture.bodies.back().refused);
  fixture.RunFor(milliseconds(40), true);
  cr_assert(fixture.bodies.back().refused);
  cr_assert_not(fixture.queue.has_waiting());
  cr_assert_eq(fixture.queue.refused(), 3);
}

Test(body_queue, body_larger_than_all_the_room_is_refused_at_once) {
  BodyQueueFixture fixture;
  cr_assert_eq(fixture.Add(kMemory), Verdict::kRefuse);
}

// Guards against callers that are taken for stalled because the process itself
// was suspended.
Test(body_queue, process_was_suspended_nobody_is_refused_for_a_stall) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit + 1);
  fixture.RunFor(milliseconds(50), true);
  fixture.now += 2 * BodyQueue::kMaxStall - milliseconds(100);
  fixture.queue.Run(fixture.now);
  for (std::size_t i = 0; i < kLargeThatFit; ++i) {
    cr_assert_not(std::next(fixture.bodies.begin(), i)->refused);
  }
}

// Guards against a body that waits for room that it has itself.
Test(body_queue, body_asks_for_more_only_the_rest_needs_room) {
  BodyQueueFixture fixture;
  fixture.AddLarge(kLargeThatFit - 1);
  fixture.Add(kLarge / 2);
  Body& body = fixture.bodies.back();
  cr_assert_eq(fixture.queue.Add(fixture.now, body, body.share, kLarge),
               Verdict::kRead);
  cr_assert_eq(body.share.bytes(), kLarge);
}

// Guards against sums that drift, and holders that are lost or called twice,
// whatever the order in which bodies come, stall, end and leave.
Test(body_queue, random_histories_watermark_holds_and_everyone_is_told) {
  constexpr int kSeeds = 50;
  constexpr int kSteps = 400;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    BodyQueueFixture fixture;
    for (int step = 0; step < kSteps; ++step) {
      if (random() % 2 == 0) {
        fixture.Add(MemoryAccount::kSmallBytes + random() % kLarge);
      }
      const bool all_send = random() % 4 != 0;
      fixture.RunFor(milliseconds(10 * (random() % 5)), all_send);
      for (Body& body : fixture.bodies) {
        if (body.has_room && random() % 20 == 0) {
          fixture.End(body);
        }
      }
      cr_assert_leq(fixture.account.total(),
                    fixture.account.request_watermark(), "seed %d", seed);
    }
    fixture.RunFor(BodyQueue::kMaxWait * 2, false);
    cr_assert_not(fixture.queue.has_waiting(), "seed %d", seed);
    fixture.bodies.clear();
    cr_assert_eq(fixture.account.total(), 0, "seed %d", seed);
  }
}
