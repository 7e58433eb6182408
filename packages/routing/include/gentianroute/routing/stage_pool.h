#ifndef GENTIANROUTE_ROUTING_STAGE_POOL_H_
#define GENTIANROUTE_ROUTING_STAGE_POOL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/admission/wait_forecast.h"
#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/result_storage.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/work_order.h"

namespace gentianroute::routing {

using StageGroupId = Id<struct StageGroupTag>;
using StageCallId = Id<struct StageCallTag>;

/// @brief All pieces of one stage of one request.
struct StageGroup {
  std::string request;  ///< the caller's request id
  std::uint32_t stage = 0;
  std::uint32_t pieces = 0;
  std::vector<std::string> inputs;  ///< results that every piece reads
  std::string key;         ///< stands in for inputs in stages without any
  std::string work_class;  ///< pieces with equal text take about the same time
  TimePoint soft_deadline{};   ///< the group is on time until then
  TimePoint deadline{};        ///< results are useless after this
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  double weight = 1;           ///< relative to the other requests of its route
  double result_bytes = 0;     ///< estimated size of one result
  bool stays = false;          ///< must not be moved to another pool
  /// First submission to any pool, so that a group that is moved to another
  /// pool keeps its place in the order; zero until Submit().
  TimePoint submitted_at{};
};

/// @brief Server time needed by queued and running work, summed over servers.
struct Backlog {
  Duration on_time{};  ///< groups that can be on time, and running calls
  Duration all{};
};

/// @brief Why a group failed.
enum class StageFailure : std::uint8_t {
  kLate,       ///< the deadline can't be met
  kInputGone,  ///< an input result no longer exists
  kFailed,     ///< its pieces failed too many times
  kNoServer,   ///< no server accepts work
  kMoved,      ///< another pool can start it sooner
};

struct StagePiece {
  StageGroupId group;
  std::uint32_t segment = 0;
  double result_bytes = 0;
};

/// @brief A call to send now.
struct StageCall {
  StageCallId id;
  ServerPtr server;
  std::vector<StagePiece> pieces;
  Duration expected{};
  Duration timeout{};
};

/// @brief Outcome of one piece of a call.
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

/// @brief Outcome of a call as a whole.
enum class CallStatus : std::uint8_t {
  kAnswered,
  kRefused,  ///< not executed: server full or replaced
  kBroken,   ///< no answer: its pieces may have run, and are run again
};

/// @brief A queued group that is expected to be late in this pool.
struct LateGroup {
  StageGroupId group;
  Duration wait{};         ///< until its pieces start here
  Duration server_time{};  ///< that its pieces need
};

/// @brief A group that was ended because it can't be done in time.
struct MissedDeadline {
  std::string request;
  Duration foreseen_wait{};  ///< until its next piece would start
  Duration time_left{};      ///< until its deadline
  Duration waited{};         ///< since it was submitted

  /// @brief Time after which such a group is foreseen to be done in time.
  Duration RoomIn() const {
    return std::max(Duration{0}, foreseen_wait - time_left);
  }
};

struct StageGroupResult {
  StageGroupId group;
  std::optional<StageFailure> failure;
  std::vector<std::string> results;
  /// Set with kLate, unless a server found the group late.
  std::optional<MissedDeadline> missed;
};

/// @brief Batches pieces into calls to the servers of one stage service in one
/// data centre.
///
/// A call has a high fixed cost and a piece a low one: calls that hold the
/// pieces of only one request overload servers that full calls would use at
/// half capacity. All daemons therefore submit their pieces to the one daemon
/// that runs this pool. Pieces queue here rather than at a server, so that they
/// can still join the next call and more urgent ones can overtake them.
class StagePool {
 public:
  explicit StagePool(StageCapacity capacity)
      : capacity_(capacity),
        storage_(capacity.result_storage_bytes, capacity.result_lifetime) {}

  void SetCapacity(StageCapacity capacity) {
    capacity_ = capacity;
    storage_.SetLimits(capacity.result_storage_bytes, capacity.result_lifetime);
  }

  /// @brief Replaces the forecast by which groups are ended that can't be done
  /// in time; the initial one assumes full calls.
  void SetForecast(std::unique_ptr<admission::WaitForecast> forecast) {
    forecast_ = std::move(forecast);
  }

  StageGroupId Submit(TimePoint now, StageGroup group);
  /// @brief Drops the queued pieces of a group whose request has ended.
  void Cancel(StageGroupId group);
  const StageGroup* Find(StageGroupId group) const;

  /// @brief Sends no new call to a server until a time.
  void Hold(std::string_view server, TimePoint until);
  /// @brief Returns the calls to send now to servers with a free slot.
  ///
  /// Without any open server, the groups that still have queued pieces end with
  /// kNoServer. Groups whose pieces all run already continue.
  std::vector<StageCall> Dispatch(TimePoint now,
                                  std::span<const ServerPtr> servers);
  /// @param results with kAnswered, one for each piece in the order of the call
  void OnCallEnd(TimePoint now,
                 StageCallId call,
                 CallStatus end,
                 std::span<const PieceResult> results);

  /// @brief Notes that nobody reads these results any more; frees their
  /// storage.
  void OnReleased(std::span<const std::string> results) {
    storage_.OnReleased(results);
  }

  /// @brief Groups that the last Dispatch() expects to be late and that may be
  /// moved to another pool: none of their pieces has started.
  std::vector<LateGroup> TakeLateGroups();
  /// @brief Groups that have ended since the previous call of this function.
  std::vector<StageGroupResult> TakeFinished();
  /// @brief Results of groups that have already ended, to be released unread.
  std::vector<std::string> TakeOrphans();

  routing::Backlog BacklogAt(TimePoint now) const;
  /// @brief Time after which Dispatch() must be called if nothing else happens.
  Duration NextDispatchDelay() const;
  std::size_t waiting_pieces() const { return waiting_pieces_; }

 private:
  struct Group {
    StageGroup group;
    double value = 0;                    ///< to its caller if it is on time
    bool is_promised = false;            ///< was foreseen to be on time once
    bool yields = false;                 ///< is foreseen to be late now
    bool was_let_in = false;             ///< by a dispatch before
    std::vector<std::uint32_t> waiting;  ///< segments, descending
    std::uint32_t running = 0;
    std::uint32_t done = 0;
    std::uint32_t failed_attempts = 0;  ///< summed over all pieces
    std::vector<std::string> results;
  };
  struct Running {
    StageCall call;
    TimePoint started_at{};
  };
  struct ServerState {  ///< what the pool knows about one server
    std::uint32_t calls = 0;
    TimePoint hold_until{};
    TimePoint busy_until{};
  };
  std::vector<WaitingWork> ByUrgency(TimePoint now, std::size_t servers) const;
  /// A group's queued pieces as an item of the order.
  WaitingWork WorkOf(TimePoint now,
                     StageGroupId id,
                     const Group& entry,
                     std::size_t servers) const;
  /// Gives work that was foreseen to be on time its advantage over new work.
  void ApplyPromise(TimePoint now,
                    const admission::Promise& promise,
                    const Group& entry,
                    WaitingWork& work) const;
  struct ForeseenWait {
    Duration until_start{};
    Duration if_it_held{};  ///< if no later work went ahead of it
  };
  /// @param running time until the running calls have ended
  ForeseenWait ForeseeWait(TimePoint now,
                           const Group& entry,
                           const admission::QueuedWork& ahead,
                           std::size_t servers,
                           Duration running) const;
  bool IsTooLate(TimePoint now,
                 const Group& entry,
                 const ForeseenWait& wait) const;
  /// Ends the groups whose deadline can't be met behind the work ahead of them,
  /// so that their callers learn it now and not at the deadline.
  /// @return the remaining groups, the most urgent first
  std::vector<StageGroupId> EndLateGroups(TimePoint now, std::size_t servers);
  /// Ends the groups that have queued pieces because no server is open.
  void EndWaitingGroups();
  /// Server time that is taken before any queued piece can run.
  Duration BusyTime(TimePoint now) const;
  /// Records until when all servers have asked for a backoff.
  void UpdateBackoff(TimePoint now, std::span<const ServerPtr> servers);
  std::vector<ServerPtr> FreeServers(TimePoint now,
                                     std::span<const ServerPtr> servers);
  StageCall FillCall(TimePoint now,
                     const ServerPtr& server,
                     std::size_t max_pieces,
                     std::span<const StageGroupId> order);
  static bool MayMove(const Group& entry);
  /// Moves the groups that have been started to the front of an order: the
  /// results of their first pieces occupy storage until the last one is done.
  void PutStartedFirst(std::vector<StageGroupId>& order) const;
  /// Whether a call may take pieces of a group. A group with large results that
  /// fits into one call is not split: the results of a part of it would occupy
  /// storage without use until the rest is computed. Other groups are split to
  /// fill a call, since the places left over would be a large part of a pool's
  /// capacity.
  /// @param fills whether the call has as many pieces as the server takes
  bool CanAddToCall(std::string_view server,
                    const Group& entry,
                    std::size_t free_pieces,
                    bool fills) const;
  void AddPieces(StageGroupId id,
                 Group& entry,
                 std::string_view server,
                 std::size_t max_pieces,
                 StageCall& call);
  bool CanFinishOnTime(TimePoint now, const StageGroup& group) const;
  Duration PieceTime(const StageGroup& group) const;
  /// The pool as a number of open servers.
  admission::ServerGroup ServersOf(std::size_t servers) const;
  /// What a number of pieces of a group need.
  admission::ResourceNeed NeedOf(const Group& entry, std::size_t pieces) const;
  /// What all queued pieces wait for: storage only while it is used up.
  admission::QueuedWork Queued() const;
  Duration ExpectedCallTime(std::span<const StagePiece> pieces) const;
  void UpdatePieceTimes(const Running& running, Duration taken);
  void ApplyPieceResult(const StagePiece& piece, const PieceResult& result);
  void RecordResult(TimePoint now,
                    const Server& server,
                    const StagePiece& piece,
                    const PieceResult& result);
  void RequeuePiece(const StagePiece& piece);
  /// Adds results that nobody will read to the orphans.
  void AddOrphans(std::vector<std::string>& results);
  void FinishGroup(StageGroupId group, std::optional<StageFailure> failure);

  StageCapacity capacity_;
  ResultStorage storage_;
  std::unique_ptr<admission::WaitForecast> forecast_ =
      std::make_unique<admission::FullCallsForecast>();
  std::map<StageGroupId, Group> groups_;
  std::map<StageCallId, Running> running_;
  std::map<std::string, ServerState, std::less<>> server_states_;
  /// Time of one piece by work class, learned from calls.
  std::map<std::string, Duration, std::less<>> piece_times_;
  std::vector<LateGroup> late_groups_;
  std::vector<StageGroupResult> finished_;
  std::vector<std::string> orphans_;
  std::size_t waiting_pieces_ = 0;
  admission::QueuedWork taken_;  ///< out of the queue by this dispatch
  /// Whether the last free server lacked the storage for a group.
  bool storage_blocks_ = false;
  /// Until then, no open server may be sent a call.
  TimePoint backoff_until_{};
  std::size_t open_servers_ = 0;
  /// Next search for late groups if no server is free before.
  TimePoint next_late_check_at_{};
  std::uint64_t last_group_ = 0;
  std::uint64_t last_call_ = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STAGE_POOL_H_
