#include "gentianroute/routing/stage_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gentianroute/routing/detail/shortest_backoff.h"

namespace gentianroute::routing {
namespace {

/// Value of a request relative to one of the next lower priority. Priorities
/// only define an order. With a factor between them, the more urgent of two
/// similar requests runs first, and small work can still precede large work
/// that is slightly more urgent.
constexpr double kPriorityValueRatio = 3.0;
/// A server with a slowness above this is skipped while another one accepts
/// work. Its history decays within seconds, after which it is tried again.
constexpr double kSlownessLimit = 2.5;
/// A call times out after this many times its expected duration plus a margin.
/// A server at a fifth of its speed still gives a usable answer; one that is
/// down never answers.
constexpr int kCallTimeoutFactor = 4;
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(300);
/// A server that is out of storage or refused a call gets no call for this
/// long, the time in which the results of one more call are read and released.
constexpr Duration kServerHoldTime = std::chrono::milliseconds(100);
/// How often Dispatch() is repeated while pieces are queued, to find servers
/// whose hold has ended.
constexpr Duration kDispatchInterval = std::chrono::milliseconds(25);
/// Failed attempts that a group may have, beside one for each of its pieces.
constexpr std::uint32_t kMaxFailedAttempts = 6;
/// Weight of the newest call in the learned time of a piece.
constexpr double kLearningRate = 0.2;
/// Calls with a ratio of actual to expected time outside of these bounds
/// reflect the state of the server, not the work, and are not learned from.
constexpr double kMinLearnedRatio = 0.4;
constexpr double kMaxLearnedRatio = 1.5;

std::size_t CountOpenServers(std::span<const ServerPtr> servers) {
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const ServerPtr& server) { return server->open(); }));
}

}  // namespace

StageGroupId StagePool::Submit(TimePoint now, StageGroup group) {
  const StageGroupId id{++last_group_};
  Group& entry = groups_[id];
  entry.group = std::move(group);
  if (entry.group.submitted_at == TimePoint{}) {
    entry.group.submitted_at = now;
  }
  entry.value =
      entry.group.weight *
      std::pow(kPriorityValueRatio, -static_cast<double>(entry.group.priority));
  entry.results.resize(entry.group.pieces);
  for (std::uint32_t i = entry.group.pieces; i > 0; --i) {
    entry.waiting.push_back(i - 1);
  }
  waiting_pieces_ += entry.waiting.size();
  return id;
}

void StagePool::Cancel(StageGroupId group) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  waiting_pieces_ -= found->second.waiting.size();
  AddOrphans(found->second.results);
  groups_.erase(found);
}

void StagePool::AddOrphans(std::vector<std::string>& results) {
  for (std::string& result : results) {
    if (!result.empty()) {
      orphans_.push_back(std::move(result));
    }
  }
}

const StageGroup* StagePool::Find(StageGroupId group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : &found->second.group;
}

void StagePool::EndWaitingGroups() {
  std::vector<StageGroupId> waiting;
  for (const auto& [id, entry] : groups_) {
    if (!entry.waiting.empty()) {
      waiting.push_back(id);
    }
  }
  for (const StageGroupId id : waiting) {
    FinishGroup(id, StageFailure::kNoServer);
  }
}

void StagePool::Hold(std::string_view server, TimePoint until) {
  server_states_[std::string(server)].hold_until = until;
}

void StagePool::UpdateBackoff(TimePoint now,
                              std::span<const ServerPtr> servers) {
  open_servers_ = CountOpenServers(servers);
  backoff_until_ = now + detail::ShortestBackoff(
                             now, servers, [](const Server&) { return true; });
}

Duration StagePool::BusyTime(TimePoint now) const {
  Duration running{0};
  for (const auto& [id, state] : server_states_) {
    if (state.calls > 0 && state.busy_until > now) {
      running += state.busy_until - now;
    }
  }
  const Duration backoff = std::max(backoff_until_ - now, Duration{0});
  return std::max(running, backoff * static_cast<std::int64_t>(open_servers_));
}

std::vector<ServerPtr> StagePool::FreeServers(
    TimePoint now,
    std::span<const ServerPtr> servers) {
  std::vector<ServerPtr> healthy;
  std::vector<ServerPtr> slow;
  bool has_healthy = false;
  for (const ServerPtr& server : servers) {
    if (!server->open() || !server->backoff().MaySend(now) ||
        server->history().IsAvoided(now)) {
      continue;
    }
    const bool is_slow = server->history().Slowness(now) > kSlownessLimit;
    has_healthy |= !is_slow;
    const ServerState& state = server_states_[server->record().id];
    if (state.calls >= capacity_.slots || now < state.hold_until) {
      continue;
    }
    (is_slow ? slow : healthy).push_back(server);
  }
  return has_healthy ? healthy : slow;
}

std::vector<StageCall> StagePool::Dispatch(TimePoint now,
                                           std::span<const ServerPtr> servers) {
  std::vector<StageCall> calls;
  late_groups_.clear();
  storage_.Expire(now);
  UpdateBackoff(now, servers);
  if (waiting_pieces_ == 0) {
    forecast_->OnDispatch(now, {}, {});
    return calls;
  }
  if (open_servers_ == 0) {
    EndWaitingGroups();
    return calls;
  }
  const std::vector<ServerPtr> free = FreeServers(now, servers);
  if (free.empty() && now < next_late_check_at_) {
    // Groups arrive every millisecond under load, and ordering a long queue
    // for each of them would take most of a small daemon's processor.
    return calls;
  }
  next_late_check_at_ = now + kDispatchInterval;
  taken_ = {};
  std::vector<StageGroupId> order = EndLateGroups(now, open_servers_);
  PutStartedFirst(order);
  storage_blocks_ &= free.empty();
  for (std::size_t i = 0; i < free.size() && waiting_pieces_ > 0; ++i) {
    // Free servers share the queued pieces, but no call gets less than half a
    // batch: a server that stays free serves the next request immediately.
    const std::size_t free_left = free.size() - i;
    const std::size_t share = (waiting_pieces_ + free_left - 1) / free_left;
    const std::size_t half = (capacity_.batch + 1) / 2;
    const std::size_t max_pieces =
        std::min<std::size_t>(capacity_.batch, std::max(share, half));
    StageCall call = FillCall(now, free[i], max_pieces, order);
    if (!call.pieces.empty()) {
      calls.push_back(std::move(call));
    }
  }
  forecast_->OnDispatch(now, taken_, Queued());
  return calls;
}

StageCall StagePool::FillCall(TimePoint now,
                              const ServerPtr& server,
                              std::size_t max_pieces,
                              std::span<const StageGroupId> order) {
  StageCall call;
  call.server = server;
  ServerState& state = server_states_[server->record().id];
  bool reserves_storage = false;
  for (const StageGroupId id : order) {
    Group& entry = groups_.at(id);
    const bool large = storage_.IsLarge(entry.group.result_bytes);
    if (entry.waiting.empty() || (reserves_storage && large)) {
      continue;
    }
    if (!CanAddToCall(server->record().id, entry,
                      max_pieces - call.pieces.size(),
                      max_pieces == capacity_.batch)) {
      const double bytes =
          entry.group.result_bytes * static_cast<double>(entry.waiting.size());
      storage_blocks_ |= large && !storage_.HasRoom(server->record().id, bytes);
      // Less urgent large groups must not take the storage that this one waits
      // for.
      reserves_storage = reserves_storage || large;
      continue;
    }
    AddPieces(id, entry, server->record().id, max_pieces, call);
  }
  if (call.pieces.empty()) {
    return call;
  }
  call.id = StageCallId{++last_call_};
  const Duration expected = ExpectedCallTime(call.pieces);
  call.expected = std::chrono::duration_cast<Duration>(
      expected * std::max(1.0, server->history().Slowness(now)));
  call.timeout = expected * kCallTimeoutFactor + kCallTimeoutMargin;
  ++state.calls;
  state.busy_until = now + call.expected;
  running_[call.id] = {call, now};
  return call;
}

bool StagePool::CanAddToCall(std::string_view server,
                             const Group& entry,
                             std::size_t free_pieces,
                             bool fills) const {
  const std::size_t pieces = entry.waiting.size();
  const double bytes = entry.group.result_bytes * static_cast<double>(pieces);
  const bool is_started = pieces < entry.group.pieces;
  const bool fits_nowhere =
      pieces > capacity_.batch || !storage_.FitsOneServer(bytes);
  const bool may_split = fills && !storage_.IsLarge(entry.group.result_bytes);
  if (is_started || fits_nowhere || may_split) {
    return free_pieces > 0 &&
           storage_.HasRoom(server, entry.group.result_bytes);
  }
  return pieces <= free_pieces && storage_.HasRoom(server, bytes);
}

void StagePool::AddPieces(StageGroupId id,
                          Group& entry,
                          std::string_view server,
                          std::size_t max_pieces,
                          StageCall& call) {
  const double bytes = entry.group.result_bytes;
  const std::size_t before = call.pieces.size();
  while (!entry.waiting.empty() && call.pieces.size() < max_pieces &&
         storage_.HasRoom(server, bytes)) {
    call.pieces.push_back({id, entry.waiting.back(), bytes});
    storage_.Reserve(server, bytes);
    entry.waiting.pop_back();
    ++entry.running;
    --waiting_pieces_;
  }
  taken_.Of(!entry.yields) += NeedOf(entry, call.pieces.size() - before);
}

void StagePool::RecordResult(TimePoint now,
                             const Server& server,
                             const StagePiece& piece,
                             const PieceResult& result) {
  if (result.result.empty()) {
    storage_.Free(server.record().id, piece.result_bytes);
    return;
  }
  storage_.OnStored(now, result.result, server.record().id, piece.result_bytes);
}

bool StagePool::CanFinishOnTime(TimePoint now, const StageGroup& group) const {
  return now + capacity_.TypicalCallTime() <= group.soft_deadline;
}

Duration StagePool::PieceTime(const StageGroup& group) const {
  const auto found = piece_times_.find(group.work_class);
  return found == piece_times_.end() ? capacity_.piece_time : found->second;
}

Duration StagePool::ExpectedCallTime(std::span<const StagePiece> pieces) const {
  Duration time = capacity_.call_overhead;
  for (const StagePiece& piece : pieces) {
    const auto found = groups_.find(piece.group);
    time += found == groups_.end() ? capacity_.piece_time
                                   : PieceTime(found->second.group);
  }
  return time;
}

void StagePool::UpdatePieceTimes(const Running& running, Duration taken) {
  const Duration expected = ExpectedCallTime(running.call.pieces);
  const Duration pieces_time = expected - capacity_.call_overhead;
  const double whole = Seconds(taken) / Seconds(expected);
  if (pieces_time.count() <= 0 || whole < kMinLearnedRatio ||
      whole > kMaxLearnedRatio) {
    return;
  }
  const double ratio = std::clamp(
      Seconds(taken - capacity_.call_overhead) / Seconds(pieces_time), 0.2,
      2.0);
  for (const StagePiece& piece : running.call.pieces) {
    const auto found = groups_.find(piece.group);
    if (found == groups_.end()) {
      continue;
    }
    // Each piece shifts the estimate of its work class by its share of the
    // learning rate of the call.
    const double rate =
        kLearningRate / static_cast<double>(running.call.pieces.size());
    const Duration before = PieceTime(found->second.group);
    piece_times_[found->second.group.work_class] =
        std::chrono::duration_cast<Duration>(before *
                                             (1.0 + rate * (ratio - 1.0)));
  }
}

void StagePool::OnCallEnd(TimePoint now,
                          StageCallId call,
                          CallStatus end,
                          std::span<const PieceResult> results) {
  const auto found = running_.find(call);
  if (found == running_.end()) {
    return;
  }
  const Running running = std::move(found->second);
  running_.erase(found);
  Server& server = *running.call.server;
  ServerState& state = server_states_[server.record().id];
  state.calls -= state.calls > 0 ? 1 : 0;
  state.busy_until = now;
  if (end == CallStatus::kRefused) {
    state.hold_until = now + kServerHoldTime;
  }
  if (end == CallStatus::kBroken) {
    server.history().OnConnectionFailure(now);
  }
  if (end == CallStatus::kAnswered) {
    const Duration taken = now - running.started_at;
    server.history().OnAnswer(
        now, true,
        Seconds(taken) / Seconds(ExpectedCallTime(running.call.pieces)));
    UpdatePieceTimes(running, taken);
  }
  for (std::size_t i = 0; i < running.call.pieces.size(); ++i) {
    const StagePiece& piece = running.call.pieces[i];
    const bool answered = end == CallStatus::kAnswered && i < results.size();
    RecordResult(now, server, piece, answered ? results[i] : PieceResult{});
    if (answered) {
      if (results[i].status == PieceStatus::kNoStorage) {
        state.hold_until = now + kServerHoldTime;
      }
      ApplyPieceResult(piece, results[i]);
    } else {
      const bool counts_as_failure = end != CallStatus::kRefused;
      ApplyPieceResult(piece, {counts_as_failure ? PieceStatus::kError
                                                 : PieceStatus::kNoStorage,
                               {}});
    }
  }
}

void StagePool::ApplyPieceResult(const StagePiece& piece,
                                 const PieceResult& result) {
  const auto found = groups_.find(piece.group);
  if (found == groups_.end()) {
    if (!result.result.empty()) {
      orphans_.push_back(result.result);
    }
    return;
  }
  Group& entry = found->second;
  --entry.running;
  switch (result.status) {
    case PieceStatus::kDone:
      entry.results[piece.segment] = result.result;
      ++entry.done;
      if (entry.done == entry.group.pieces) {
        FinishGroup(piece.group, std::nullopt);
      }
      return;
    case PieceStatus::kLate:
      FinishGroup(piece.group, StageFailure::kLate);
      return;
    case PieceStatus::kInputGone:
      FinishGroup(piece.group, StageFailure::kInputGone);
      return;
    case PieceStatus::kNoStorage:
      RequeuePiece(piece);
      return;
    case PieceStatus::kError:
      ++entry.failed_attempts;
      RequeuePiece(piece);
      if (entry.failed_attempts > kMaxFailedAttempts + entry.group.pieces) {
        FinishGroup(piece.group, StageFailure::kFailed);
      }
      return;
  }
}

void StagePool::RequeuePiece(const StagePiece& piece) {
  Group& entry = groups_.at(piece.group);
  entry.waiting.push_back(piece.segment);
  std::sort(entry.waiting.rbegin(), entry.waiting.rend());
  ++waiting_pieces_;
}

void StagePool::FinishGroup(StageGroupId group,
                            std::optional<StageFailure> failure) {
  const auto found = groups_.find(group);
  Group& entry = found->second;
  waiting_pieces_ -= entry.waiting.size();
  StageGroupResult end{group, failure, {}, {}};
  if (failure) {
    AddOrphans(entry.results);
  } else {
    end.results = std::move(entry.results);
  }
  groups_.erase(found);
  finished_.push_back(std::move(end));
}

std::vector<StageGroupResult> StagePool::TakeFinished() {
  return std::exchange(finished_, {});
}

std::vector<LateGroup> StagePool::TakeLateGroups() {
  return std::exchange(late_groups_, {});
}

std::vector<std::string> StagePool::TakeOrphans() {
  return std::exchange(orphans_, {});
}

Backlog StagePool::BacklogAt(TimePoint now) const {
  Duration pieces_on_time{0};
  Duration pieces_late{0};
  std::size_t on_time = 0;
  for (const auto& [id, entry] : groups_) {
    const Duration time = PieceTime(entry.group) * entry.waiting.size();
    const bool can = CanFinishOnTime(now, entry.group);
    (can ? pieces_on_time : pieces_late) += time;
    on_time += can ? entry.waiting.size() : 0;
  }
  const auto calls_for = [this](std::size_t pieces) {
    return capacity_.call_overhead *
           ((pieces + capacity_.batch - 1) / capacity_.batch);
  };
  const Duration running = BusyTime(now);
  return {running + pieces_on_time + calls_for(on_time),
          running + pieces_on_time + pieces_late + calls_for(waiting_pieces_)};
}

Duration StagePool::NextDispatchDelay() const {
  return waiting_pieces_ == 0 ? Duration::max() : kDispatchInterval;
}

}  // namespace gentianroute::routing
