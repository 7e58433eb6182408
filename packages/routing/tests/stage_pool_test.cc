#include "gentianroute/routing/stage_pool.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

Test(stage_pool, pieces_of_several_requests_share_a_call) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 4);
  fixture.Submit("r2", 4);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(calls.size(), 1);
  cr_assert_eq(calls[0].pieces.size(), 8);
}

Test(stage_pool, each_group_gets_its_own_results_in_order) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  const StageGroupId first = fixture.Submit("r1", 2);
  const StageGroupId second = fixture.Submit("r2", 3);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.Answer(calls[0], kStart + 200 * kMs);
  const auto ended = fixture.pool.TakeFinished();
  cr_assert_eq(ended.size(), 2);
  for (const StageGroupResult& end : ended) {
    const std::string name = std::to_string(end.group.value);
    cr_assert_not(end.failure.has_value());
    cr_assert_eq(end.results.size(), end.group == first ? 2 : 3);
    cr_assert(end.group == first || end.group == second);
    for (std::size_t i = 0; i < end.results.size(); ++i) {
      cr_assert(end.results[i] == name + "." + std::to_string(i));
    }
  }
}

Test(stage_pool, urgent_group_overtakes_one_that_came_first) {
  PoolFixture fixture(4);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("patient", 4, std::chrono::seconds(3), 2);
  const StageGroupId urgent =
      fixture.Submit("urgent", 4, std::chrono::seconds(2), 0);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(calls.size(), 1);
  for (const StagePiece& piece : calls[0].pieces) {
    cr_assert_eq(piece.group.value, urgent.value);
  }
}

// Overload: running first the group that can no longer be on time would make
// the other one late as well. It goes last although it was submitted first.
Test(stage_pool, burst_runs_work_that_can_be_on_time_first) {
  PoolFixture fixture(4);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("missed", 4, 50 * kMs);
  const StageGroupId timely = fixture.Submit("timely", 4, 400 * kMs);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  for (const StagePiece& piece : calls[0].pieces) {
    cr_assert_eq(piece.group.value, timely.value);
  }
}

Test(stage_pool, server_stays_free_when_one_call_holds_all) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a"), MakeServer("b")};
  fixture.Submit("r1", 4);
  cr_assert_eq(fixture.pool.Dispatch(kStart, fixture.servers).size(), 1);
}

// A server with storage for 16 results of 3 MB holds each from the start of its
// call until it is released. A call filled beyond the free storage would come
// back without most of its results, and its time would be wasted.
Test(stage_pool, call_is_limited_by_free_result_storage) {
  constexpr double kResultBytes = 3e6;
  PoolFixture fixture(10, 49e6);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 10, std::chrono::seconds(2), 0, kResultBytes);
  for (int i = 0; i < 4; ++i) {
    fixture.Submit("r2", 2, std::chrono::seconds(2), 0, kResultBytes);
  }
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(first[0].pieces.size(), 10);
  fixture.Answer(first[0], kStart + 280 * kMs);
  const auto second =
      fixture.pool.Dispatch(kStart + 280 * kMs, fixture.servers);
  cr_assert_eq(second[0].pieces.size(), 6);
}

// Results of a part of a group would occupy the storage that its rest needs,
// and delay the whole group.
Test(stage_pool, group_that_fits_into_one_call_is_not_split) {
  constexpr double kResultBytes = 3e6;
  PoolFixture fixture(10, 49e6);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 8);
  fixture.Submit("r2", 4, std::chrono::seconds(2), 0, kResultBytes);
  fixture.Submit("small", 2);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(calls[0].pieces.size(), 10);
  for (const StagePiece& piece : calls[0].pieces) {
    cr_assert(piece.result_bytes < kResultBytes);
  }
}

// In a burst, groups of eight pieces left six of the 22 places of each call
// empty, a quarter of the pool's capacity.
Test(stage_pool, burst_of_small_results_fills_calls_to_the_last_place) {
  PoolFixture fixture(22);
  fixture.servers = {MakeServer("a")};
  for (int i = 0; i < 6; ++i) {
    fixture.Submit("r" + std::to_string(i), 8);
  }
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(first[0].pieces.size(), 22);
  // The rest of the split group goes first, before a more urgent one.
  fixture.Submit("urgent", 8, std::chrono::milliseconds(700));
  const TimePoint later = kStart + 300 * kMs;
  fixture.Answer(first[0], later);
  const auto second = fixture.pool.Dispatch(later, fixture.servers);
  cr_assert_eq(second[0].pieces.size(), 22);
  cr_assert(second[0].pieces[0].group == first[0].pieces.back().group);
}

// Two servers are free and there is little work: a group that is parted between
// them would be done no sooner, and cost both of them a call.
Test(stage_pool, small_groups_are_not_split_while_servers_share_the_work) {
  PoolFixture fixture(22);
  fixture.servers = {MakeServer("a"), MakeServer("b")};
  for (int i = 0; i < 3; ++i) {
    fixture.Submit("r" + std::to_string(i), 8);
  }
  for (const StageCall& call : fixture.pool.Dispatch(kStart, fixture.servers)) {
    cr_assert_eq(call.pieces.size() % 8, 0);
  }
}

Test(stage_pool, result_storage_is_reserved_for_an_urgent_group) {
  constexpr double kResultBytes = 3e6;
  PoolFixture fixture(10, 30e6);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 8, std::chrono::seconds(1), 0, kResultBytes);
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.Answer(first[0], kStart + 280 * kMs);
  fixture.Submit("urgent", 6, std::chrono::seconds(1), 0, kResultBytes);
  fixture.Submit("behind", 1, std::chrono::seconds(2), 0, kResultBytes);
  cr_assert(fixture.pool.Dispatch(kStart + 290 * kMs, fixture.servers).empty());
}

Test(stage_pool, group_larger_than_a_call_is_split) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 16);
  cr_assert_eq(fixture.pool.Dispatch(kStart, fixture.servers)[0].pieces.size(),
               10);
}

Test(stage_pool, released_results_free_storage) {
  constexpr double kResultBytes = 3e6;
  PoolFixture fixture(10, 30e6);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 10, std::chrono::seconds(2), 0, kResultBytes);
  fixture.Submit("r2", 10, std::chrono::seconds(2), 0, kResultBytes);
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.Answer(first[0], kStart + 280 * kMs);
  cr_assert(fixture.pool.Dispatch(kStart + 280 * kMs, fixture.servers).empty());
  const auto ended = fixture.pool.TakeFinished();
  fixture.pool.OnReleased(ended[0].results);
  const auto second =
      fixture.pool.Dispatch(kStart + 300 * kMs, fixture.servers);
  cr_assert_eq(second[0].pieces.size(), 10);
}

Test(stage_pool, unreleased_results_expire) {
  constexpr double kResultBytes = 3e6;
  PoolFixture fixture(10, 30e6);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 10, std::chrono::seconds(2), 0, kResultBytes);
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.Answer(first[0], kStart + 280 * kMs);
  const TimePoint later = kStart + std::chrono::seconds(5);
  fixture.Submit("r2", 10, std::chrono::seconds(2), 0, kResultBytes, later);
  cr_assert_eq(fixture.pool.Dispatch(later, fixture.servers)[0].pieces.size(),
               10);
}

// A server fails during a call. The pieces have no side effects, so they are
// run again on another server, and the failed one is avoided.
Test(stage_pool, broken_call_is_repeated_on_another_server) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a"), MakeServer("b")};
  fixture.Submit("r1", 3);
  const auto first = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.pool.OnCallEnd(kStart + 10 * kMs, first[0].id, CallStatus::kBroken,
                         {});
  const auto again = fixture.pool.Dispatch(kStart + 11 * kMs, fixture.servers);
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0].pieces.size(), 3);
  cr_assert(again[0].server != first[0].server);
}

Test(stage_pool, slow_server_is_skipped_while_another_is_open) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("slow"), MakeServer("sound")};
  for (int i = 0; i < 30; ++i) {
    fixture.servers[0]->history().OnAnswer(kStart, true, 5.0);
  }
  fixture.Submit("r1", 3);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert_eq(calls.size(), 1);
  cr_assert(calls[0].server == fixture.servers[1]);
}

Test(stage_pool, group_that_can_not_meet_its_deadline_fails_at_once) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  const StageGroupId group = fixture.Submit("r1", 3);
  const TimePoint late = kStart + std::chrono::milliseconds(5900);
  cr_assert(fixture.pool.Dispatch(late, fixture.servers).empty());
  const auto ended = fixture.pool.TakeFinished();
  cr_assert_eq(ended.size(), 1);
  cr_assert_eq(ended[0].group.value, group.value);
  cr_assert(ended[0].failure == StageFailure::kLate);
}

// The work ahead of the group takes longer than its deadline allows. The caller
// must learn this at once, while it still has time to retry.
Test(stage_pool, group_behind_too_much_work_fails_at_once) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  for (int i = 0; i < 30; ++i) {
    fixture.Submit("before", 10, std::chrono::seconds(2));
  }
  const StageGroupId last =
      fixture.Submit("last", 10, std::chrono::seconds(2), 1);
  fixture.pool.Dispatch(kStart, fixture.servers);
  const auto ended = fixture.pool.TakeFinished();
  bool rejected = false;
  for (const StageGroupResult& end : ended) {
    cr_assert(end.failure == StageFailure::kLate);
    rejected |= end.group == last;
  }
  cr_assert(rejected);
  // Each group takes 280 ms of the only server, and all deadlines are 6 s away.
  cr_assert_geq(ended.size(), 9);
}

Test(stage_pool, group_without_servers_fails_at_once) {
  PoolFixture fixture(10);
  fixture.Submit("r1", 3);
  fixture.pool.Dispatch(kStart, fixture.servers);
  const auto ended = fixture.pool.TakeFinished();
  cr_assert(ended.at(0).failure == StageFailure::kNoServer);
}

Test(stage_pool, results_of_a_cancelled_group_are_orphaned) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  const StageGroupId group = fixture.Submit("r1", 2);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  fixture.pool.Cancel(group);
  fixture.Answer(calls[0], kStart + 200 * kMs);
  cr_assert_eq(fixture.pool.TakeOrphans().size(), 2);
  cr_assert(fixture.pool.TakeFinished().empty());
}

Test(stage_pool, lost_input_ends_the_group) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 1);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  const PieceResult gone{PieceStatus::kInputGone, ""};
  fixture.pool.OnCallEnd(kStart + 160 * kMs, calls[0].id, CallStatus::kAnswered,
                         {&gone, 1});
  cr_assert(fixture.pool.TakeFinished().at(0).failure ==
            StageFailure::kInputGone);
}

Test(stage_pool, backlog_counts_late_work_apart) {
  PoolFixture fixture(10);
  fixture.Submit("late", 10, 10 * kMs);
  fixture.Submit("timely", 5, std::chrono::seconds(2));
  const Backlog backlog = fixture.pool.BacklogAt(kStart);
  cr_assert_eq(backlog.on_time.count(), Duration(215 * kMs).count());
  cr_assert_gt(backlog.all.count(), backlog.on_time.count());
}

// The data centre of a pool is evacuated while a call runs there. The call ends
// there; groups that wait for the pool are returned at once, so that their
// requests can use another one.
Test(stage_pool, pool_without_servers_running_groups_end_and_others_return) {
  PoolFixture fixture(4);
  fixture.servers = {MakeServer("a")};
  const StageGroupId running = fixture.Submit("r1", 4);
  const auto calls = fixture.pool.Dispatch(kStart, fixture.servers);
  const StageGroupId waiting = fixture.Submit("r2", 4);
  fixture.pool.Dispatch(kStart + 10 * kMs, {});
  const auto returned = fixture.pool.TakeFinished();
  cr_assert_eq(returned.size(), 1);
  cr_assert(returned[0].group == waiting);
  cr_assert(returned[0].failure == StageFailure::kNoServer);
  fixture.Answer(calls[0], kStart + 200 * kMs);
  const auto ended = fixture.pool.TakeFinished();
  cr_assert_eq(ended.size(), 1);
  cr_assert(ended[0].group == running);
  cr_assert_not(ended[0].failure.has_value());
}

// Guards against a group that is moved from another pool losing its place among
// late groups, which run by value and age.
Test(stage_pool, late_group_is_moved_here_it_keeps_its_age) {
  PoolFixture fixture(4);
  fixture.servers = {MakeServer("a")};
  const TimePoint now = kStart + std::chrono::seconds(3);
  StageGroup moved;
  moved.request = "moved";
  moved.pieces = 4;
  moved.work_class = "route:0";
  moved.soft_deadline = kStart;
  moved.deadline = now + std::chrono::seconds(6);
  moved.submitted_at = kStart;
  StageGroup fresh = moved;
  fresh.request = "fresh";
  fresh.submitted_at = {};
  fixture.pool.Submit(now, fresh);
  const StageGroupId first = fixture.pool.Submit(now, moved);
  const auto calls = fixture.pool.Dispatch(now, fixture.servers);
  cr_assert(calls[0].pieces[0].group == first);
}

// Guards against calls to a server that is cold and may get none now.
Test(stage_pool, held_server_gets_no_call_until_its_time) {
  PoolFixture fixture(4);
  fixture.servers = {MakeServer("a")};
  fixture.Submit("r1", 4);
  fixture.pool.Hold("a", kStart + 50 * kMs);
  cr_assert(fixture.pool.Dispatch(kStart, fixture.servers).empty());
  cr_assert_eq(fixture.pool.Dispatch(kStart + 50 * kMs, fixture.servers).size(),
               1);
}

// A burst of more than the pool can do on time: the groups that will be late
// are offered to other pools, with the time that they wait here. Groups that
// have started, that were moved before, or whose results are large stay.
Test(stage_pool, burst_beyond_capacity_late_groups_may_move) {
  constexpr double kLargeResult = 3e6;
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  for (int i = 0; i < 12; ++i) {
    fixture.Submit("r", 10, std::chrono::seconds(1));
  }
  fixture.Submit("large", 10, std::chrono::seconds(1), 0, kLargeResult);
  fixture.pool.Dispatch(kStart, fixture.servers);
  const auto late = fixture.pool.TakeLateGroups();
  cr_assert_geq(late.size(), 6);
  cr_assert_leq(late.size(), 10);
  for (const LateGroup& group : late) {
    cr_assert(fixture.pool.Find(group.group)->request == "r");
    cr_assert_geq(group.wait, 500 * kMs);
  }
}

Test(stage_pool, group_was_moved_before_it_stays) {
  PoolFixture fixture(10);
  fixture.servers = {MakeServer("a")};
  StageGroup group;
  group.request = "moved";
  group.pieces = 4;
  group.stays = true;
  group.soft_deadline = kStart;
  group.deadline = kStart + std::chrono::seconds(6);
  fixture.pool.Submit(kStart, group);
  fixture.pool.Submit(kStart, group);
  fixture.pool.Submit(kStart, group);
  fixture.pool.Dispatch(kStart, fixture.servers);
  cr_assert(fixture.pool.TakeLateGroups().empty());
}
