#include "gentianroute/routing/pool_choice.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

PoolState Pool(const std::string& data_centre,
               std::uint32_t servers,
               Duration backlog) {
  return {"stage", data_centre, servers, {backlog, backlog}};
}

const StageCapacity kCapacity = PoolFixture::CapacityOf(10, 0);

}  // namespace

Test(pool_choice, near_pool_is_taken_when_both_are_idle) {
  const std::vector<PoolState> pools = {Pool("south", 2, {}),
                                        Pool("north", 2, {})};
  const PoolState* pool =
      ChoosePool(pools, {4, 13 * kMs}, kCapacity, TwoRegions());
  cr_assert_str_eq(pool->data_centre.c_str(), "north");
}

// A burst reaches the data centre with the fewest servers. Work goes to another
// region once the wait is longer than the round trip.
Test(pool_choice, burst_spills_to_another_region) {
  const std::vector<PoolState> pools = {
      Pool("south", 2, {}), Pool("north", 1, std::chrono::seconds(1))};
  const PoolState* pool =
      ChoosePool(pools, {4, 13 * kMs}, kCapacity, TwoRegions());
  cr_assert_str_eq(pool->data_centre.c_str(), "south");
}

Test(pool_choice, large_results_are_made_beside_their_reader) {
  const std::vector<PoolState> pools = {Pool("south", 2, {}),
                                        Pool("north", 2, {})};
  PoolWork work{3, 13 * kMs};
  work.result_bytes = 9e6;
  work.reader_data_centre = "south";
  cr_assert_str_eq(
      ChoosePool(pools, work, kCapacity, TwoRegions())->data_centre.c_str(),
      "south");
}

// The last stage of a chain has many pieces, each of which fetches all results
// of the stage before. Moving the group to another data centre for a small
// difference in backlog would transfer a multiple of the size of the results.
Test(pool_choice, group_of_many_pieces_stays_with_what_each_of_them_reads) {
  constexpr double kResultBytes = 60e3;
  constexpr std::uint32_t kResults = 6;
  const std::vector<PoolState> pools = {Pool("south", 2, 500 * kMs),
                                        Pool("north", 2, {})};
  PoolWork narrow{1, 2 * kMs};
  narrow.inputs = {
      InputTransfer("south", kResultBytes, kResults, narrow.pieces)};
  cr_assert_str_eq(
      ChoosePool(pools, narrow, kCapacity, TwoRegions())->data_centre.c_str(),
      "north");
  PoolWork wide{16, 2 * kMs};
  wide.inputs = {InputTransfer("south", kResultBytes, kResults, wide.pieces)};
  cr_assert_str_eq(
      ChoosePool(pools, wide, kCapacity, TwoRegions())->data_centre.c_str(),
      "south");
}

// A burst of requests with large results that are read in one data centre. The
// queue there is longer than the time left, and servers elsewhere are idle; the
// transfer costs less than late answers.
Test(pool_choice, large_results_cross_where_their_request_would_be_late) {
  const std::vector<PoolState> pools = {Pool("south", 1, 900 * kMs),
                                        Pool("north", 1, {})};
  PoolWork work{4, 16 * kMs};
  work.result_bytes = 12e6;
  work.reader_data_centre = "south";
  work.time_left = 2000 * kMs;
  cr_assert_str_eq(
      ChoosePool(pools, work, kCapacity, TwoRegions())->data_centre.c_str(),
      "south");
  work.time_left = 800 * kMs;
  cr_assert_str_eq(
      ChoosePool(pools, work, kCapacity, TwoRegions())->data_centre.c_str(),
      "north");
}

Test(pool_choice, pool_without_servers_is_not_taken) {
  const std::vector<PoolState> pools = {Pool("north", 0, {})};
  cr_assert_null(ChoosePool(pools, {4, 13 * kMs}, kCapacity, TwoRegions()));
}

Test(pool_state_table, submitted_work_counts_until_the_next_report) {
  PoolStateTable board;
  board.SetServers("stage", "north", 1);
  board.Report(kStart, Pool("north", 0, 100 * kMs));
  board.OnWorkSubmitted("stage", "north", 200 * kMs);
  cr_assert_eq(board.PoolsOf(kStart, "stage")[0].backlog.on_time.count(),
               Duration(300 * kMs).count());
  board.Report(kStart, Pool("north", 0, 50 * kMs));
  cr_assert_eq(board.PoolsOf(kStart, "stage")[0].backlog.on_time.count(),
               Duration(50 * kMs).count());
}

Test(pool_state_table, backlog_is_worked_off_between_reports) {
  PoolStateTable board;
  board.SetServers("stage", "north", 2);
  board.Report(kStart, Pool("north", 0, 300 * kMs));
  cr_assert_eq(
      board.PoolsOf(kStart + 100 * kMs, "stage")[0].backlog.on_time.count(),
      Duration(100 * kMs).count());
}

// A burst has filled the pool of one data centre with late work while the pool
// beside it is idle again: the late work has to move, and not back once the
// queues are about equal.
Test(pool_choice, late_group_of_a_full_pool_moves_to_an_idle_one) {
  const std::vector<PoolState> pools = {
      Pool("north", 3, std::chrono::seconds(9)),
      Pool("north-b", 2, 200 * kMs),
      Pool("south", 2, 100 * kMs),
  };
  const PoolState* faster = FasterPool(pools, "north", std::chrono::seconds(3),
                                       kCapacity, TwoRegions());
  cr_assert_str_eq(faster->data_centre.c_str(), "south");
  cr_assert_null(
      FasterPool(pools, "north", 300 * kMs, kCapacity, TwoRegions()));
}

Test(pool_choice, late_group_does_not_move_to_a_pool_without_servers) {
  const std::vector<PoolState> pools = {
      Pool("north", 3, std::chrono::seconds(9)), Pool("north-b", 0, {})};
  cr_assert_null(FasterPool(pools, "north", std::chrono::seconds(3), kCapacity,
                            TwoRegions()));
}
