#ifndef GENTIANROUTE_ROUTING_STAGE_POOL_H_
#define GENTIANROUTE_ROUTING_STAGE_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/work_order.h"

namespace gentianroute::routing {

using StageGroupId = Id<struct StageGroupTag>;
using StageCallId = Id<struct StageCallTag>;

/// @brief All pieces of one stage of one request.
struct StageGroup {
  std::string request;  ///< the caller's id of the request
  std::uint32_t stage = 0;
  std::uint32_t pieces = 0;
  std::vector<std::string> inputs;  ///< results that each piece reads
  std::string key;                  ///< in place of inputs
  std::string work_class;           ///< pieces of equal work have the same text
  TimePoint soft_deadline{};        ///< done by then, the request is in time
  TimePoint deadline{};             ///< later than that it is of no use
  std::uint32_t priority = 0;       ///< 0 is worth max_pieces
  double weight = 1;                ///< among the requests of its route
  double result_bytes = 0;          ///< room that one result takes, about
};

/// @brief Server time that waits or runs, summed over servers.
struct Backlog {
  Duration in_time{};  ///< of groups that can still be in time, and of calls
  Duration all{};
};

/// @brief Why a group was given up.
enum class StageFailure : std::uint8_t {
  kLate,       ///< its deadline can't be met
  kInputGone,  ///< a result that it reads does not exist any more
  kFailed,     ///< servers failed it again and again
  kNoServer,   ///< there is no server
};

struct StagePiece {
  StageGroupId group;
  std::uint32_t segment = 0;
  double result_bytes = 0;
};

/// @brief A call to be sent now.
struct StageCall {
  StageCallId id;
  ServerPtr server;
  std::vector<StagePiece> pieces;
  Duration expected{};
  Duration timeout{};
};

/// @brief What became of one piece of a call.
enum class PieceStatus : std::uint8_t {
  kDone,
  kLate,
  kInputGone,
  kNoStorage,
  kError
};
struct PieceResult {
  PieceStatus status = PieceStatus::kError;
  std::string result;
};

/// @brief How a call ended as a whole.
enum class CallStatus : std::uint8_t {
  kAnswered,
  kRefused,  ///< not run; the server is full or another one
  kBroken,   ///< no answer; its pieces may have been made, and are made again
};

struct StageGroupResult {
  StageGroupId group;
  std::optional<StageFailure> failure;
  std::vector<std::string> results;
};

/// @brief Fills the calls of the servers of one stage service in one data
/// centre.
///
/// A call costs much and a piece little, so calls that hold one request's
/// pieces overload servers that full calls use half. All daemons hand their
/// pieces to the one that runs this pool; a piece waits here and not at a
/// server, so that it can still fill the next call and be overtaken by a more
/// urgent one.
class StagePool {
 public:
  explicit StagePool(StageCapacity capacity) : capacity_(capacity) {}

  void SetCapacity(StageCapacity capacity) { capacity_ = capacity; }

  StageGroupId Submit(TimePoint now, StageGroup group);
  /// @brief Its request has ended; pieces that wait are dropped.
  void Cancel(StageGroupId group);
  const StageGroup* Find(StageGroupId group) const;

  /// @brief Calls to send now to the servers that are free.
  std::vector<StageCall> Dispatch(TimePoint now,
                                  std::span<const ServerPtr> servers);
  /// @param results with kAnswered one for each piece, in the call's order
  void OnCallEnd(TimePoint now,
                 StageCallId call,
                 CallStatus end,
                 std::span<const PieceResult> results);

  /// @brief Nobody will read these results any more; their room is free.
  void OnReleased(std::span<const std::string> results);

  /// @brief Groups that have ended since the last call.
  std::vector<StageGroupResult> TakeFinished();
  /// @brief Results that nobody will read: their group has ended before.
  std::vector<std::string> TakeOrphans();

  routing::Backlog BacklogAt(TimePoint now) const;
  /// @brief How soon Dispatch() has to be called, if nothing else happens.
  Duration NextDispatchDelay() const;
  std::size_t waiting_pieces() const { return waiting_pieces_; }

 private:
  struct Group {
    StageGroup group;
    TimePoint submitted_at{};
    std::vector<std::uint32_t> waiting;  ///< segments, in descending order
    std::uint32_t running = 0;
    std::uint32_t done = 0;
    std::uint32_t failed_attempts = 0;  ///< of failed pieces, together
    std::vector<std::string> results;
  };
  struct Running {
    StageCall call;
    TimePoint started_at{};
  };
  struct ServerState {  ///< what the pool knows of one server
    std::uint32_t calls = 0;
    TimePoint hold_until{};
    TimePoint busy_until{};
    double used_bytes = 0;  ///< room of results that are made or being made
  };
  struct StoredResult {  ///< a result that takes up room
    std::string server;
    double bytes = 0;
    TimePoint expires_at{};
  };
  std::vector<WaitingWork> ByUrgency(TimePoint now, std::size_t servers) const;
  /// Ends the groups that what goes before them leaves no time for: their
  /// callers learn it now and not at their deadline.
  /// @return the others, the max_pieces urgent first
  std::vector<StageGroupId> EndLateGroups(TimePoint now, std::size_t servers);
  Duration RunningTime(TimePoint now) const;
  std::vector<ServerPtr> FreeServers(TimePoint now,
                                     std::span<const ServerPtr> servers);
  StageCall FillCall(TimePoint now,
                     const ServerPtr& server,
                     std::size_t max_pieces,
                     std::span<const StageGroupId> order);
  bool HasStorage(const ServerState& state, double bytes) const;
  bool HasLargeResults(const StageGroup& group) const;
  /// Whether a call may take a group's pieces. A group goes whole into one
  /// call: the results of a part of it would take up room, and help nobody,
  /// until the rest is made.
  bool CanAddToCall(const ServerState& state,
                    const Group& entry,
                    std::size_t free_pieces) const;
  void AddPieces(StageGroupId id,
                 Group& entry,
                 ServerState& state,
                 std::size_t max_pieces,
                 StageCall& call);
  void FreeStorage(std::string_view server, double bytes);
  void ExpireResults(TimePoint now);
  bool CanFinishInTime(TimePoint now, const StageGroup& group) const;
  Duration PieceTime(const StageGroup& group) const;
  /// Server time of the pieces of a group that wait, in full calls.
  Duration WaitingTime(const Group& entry) const;
  Duration ExpectedCallTime(std::span<const StagePiece> pieces) const;
  void UpdatePieceTimes(const Running& running, Duration taken);
  void ApplyPieceResult(const StagePiece& piece, const PieceResult& result);
  void RecordResult(TimePoint now,
                    const Server& server,
                    const StagePiece& piece,
                    const PieceResult& result);
  void RequeuePiece(const StagePiece& piece);
  /// Nobody will read these results.
  void AddOrphans(std::vector<std::string>& results);
  void FinishGroup(StageGroupId group, std::optional<StageFailure> failure);

  StageCapacity capacity_;
  std::map<StageGroupId, Group> groups_;
  std::map<StageCallId, Running> running_;
  std::map<std::string, ServerState, std::less<>> server_states_;
  std::unordered_map<std::string, StoredResult> stored_results_;
  /// Time of a piece of each sort of work, learnt from calls.
  std::map<std::string, Duration, std::less<>> piece_times_;
  std::vector<StageGroupResult> finished_;
  std::vector<std::string> orphans_;
  std::size_t waiting_pieces_ = 0;
  TimePoint next_expiry_at_{};
  std::uint64_t last_group_ = 0;
  std::uint64_t last_call_ = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STAGE_POOL_H_
