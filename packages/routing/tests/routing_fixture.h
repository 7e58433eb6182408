#ifndef GENTIANROUTE_ROUTING_TESTS_ROUTING_FIXTURE_H_
#define GENTIANROUTE_ROUTING_TESTS_ROUTING_FIXTURE_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/routing/placement.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/stage_pool.h"
#include "gentianroute/routing/topology.h"

namespace gentianroute::routing {

inline constexpr TimePoint kStart = TimePoint{} + std::chrono::seconds(10);
inline constexpr Duration kMs = std::chrono::milliseconds(1);

inline ServerPtr MakeServer(const std::string& id,
                            const std::string& data_centre = "north",
                            std::uint32_t slots = 1) {
  ServerRecord record;
  record.id = id;
  record.service = "stage";
  record.address = "10.0.0.1";
  record.port = 80;
  record.data_centre = data_centre;
  record.slots = slots;
  return ServerPtr(new Server(record));
}

inline Topology TwoRegions() {
  return Topology("north", {{"north", "N"}, {"north-b", "N"}, {"south", "S"}});
}

/// Tolerance of the limits that servers name.
inline constexpr RateTolerance kLimitTolerance{1.5, 5, std::chrono::seconds(4)};

/// Chooses this daemon as a sender of all cold servers, or of none.
struct FixedSenders final : RateSenders {
  bool is_sender = true;
  bool IsSender(const ServerRecord& /*server*/,
                std::size_t /*count*/) const override {
    return is_sender;
  }
  std::size_t beside = 1;
  std::size_t CountBeside(const ServerRecord& /*server*/) const override {
    return beside;
  }
};

/// Rules and a placement of a request, without limits unless a test adds some.
struct PlacementFixture {
  Topology topology = TwoRegions();
  FixedSenders senders;
  PlacementRules rules{topology,
                       {},
                       ColdServerLimiter({}, senders),
                       RequestRateLimiter(kLimitTolerance, senders),
                       BrittleServerLimiter(senders)};
  Placement placement{rules, {}};

  void PermitOnly(std::vector<std::string> regions) {
    placement = Placement(rules, PermittedRegions(std::move(regions)));
  }
};

/// A stage pool with the call and piece times specified for the target
/// deployments.
struct PoolFixture {
  StageCapacity capacity;
  StagePool pool;
  std::vector<ServerPtr> servers;

  explicit PoolFixture(std::uint32_t batch = 10,
                       double result_storage_bytes = 0)
      : capacity(CapacityOf(batch, result_storage_bytes)), pool(capacity) {}

  static StageCapacity CapacityOf(std::uint32_t batch,
                                  double result_storage_bytes) {
    StageCapacity capacity;
    capacity.batch = batch;
    capacity.call_overhead = 150 * kMs;
    capacity.piece_time = 13 * kMs;
    capacity.result_storage_bytes = result_storage_bytes;
    capacity.result_lifetime = std::chrono::seconds(4);
    return capacity;
  }

  StageGroupId Submit(const std::string& request,
                      std::uint32_t pieces,
                      Duration due_in = std::chrono::seconds(2),
                      std::uint32_t priority = 0,
                      double result_bytes = 0,
                      TimePoint now = kStart) {
    StageGroup group;
    group.request = request;
    group.pieces = pieces;
    group.work_class = "route:0";
    group.soft_deadline = now + due_in;
    group.deadline = now + std::chrono::seconds(6);
    group.priority = priority;
    group.result_bytes = result_bytes;
    return pool.Submit(now, group);
  }

  /// Completes a call with one result for each piece, named "group.segment".
  void Answer(const StageCall& call, TimePoint now) {
    std::vector<PieceResult> results;
    for (const StagePiece& piece : call.pieces) {
      results.push_back(
          {PieceStatus::kDone, std::to_string(piece.group.value) + "." +
                                   std::to_string(piece.segment)});
    }
    pool.OnCallEnd(now, call.id, CallStatus::kAnswered, results);
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_TESTS_ROUTING_FIXTURE_H_
