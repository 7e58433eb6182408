#include "gentianroute/routing/stage_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianroute::routing {
namespace {

/// What a request is worth against one of the next lower priority. Operators
/// give an order only; a factor keeps the urgent first where all else is alike,
/// and lets a small piece of work go before a large one that is hardly more
/// urgent.
constexpr double kWorthOfPriority = 3.0;
/// A server this much slower than expected is left out while another is open;
/// its history fades in seconds, after which it is tried again.
constexpr double kTooSlow = 2.5;
/// A call is given up after this many times its expected time and a margin. A
/// slowed server takes five times as long, and its answer is still worth
/// having; one that is dark never answers.
constexpr int kGiveUpFactor = 4;
constexpr Duration kGiveUpMargin = std::chrono::milliseconds(300);
/// A server without room, or that refused, is not asked again for this long:
/// the time in which one more call's results are read and freed.
constexpr Duration kHold = std::chrono::milliseconds(100);
/// How often held servers are looked at while pieces wait for them.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
/// A result above this share of a server's room is worth keeping room for; all
/// others find some in any case.
constexpr double kLargeShare = 0.02;
/// How often results that have run out are looked for.
constexpr Duration kForgetPeriod = std::chrono::milliseconds(200);
/// Failed pieces that a group survives.
constexpr std::uint32_t kMostTries = 6;
/// Weight of the newest call in the learnt time of a piece.
constexpr double kLearnRate = 0.2;
/// Calls outside these bounds tell of the server and not of the work.
constexpr double kLeastUsualRatio = 0.4;
constexpr double kMostUsualRatio = 1.5;

std::size_t OpenServers(std::span<const ServerPtr> servers) {
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const ServerPtr& server) { return server->open(); }));
}

}  // namespace

StageGroupId StagePool::Submit(TimePoint now, StageGroup group) {
  const StageGroupId id{++last_group_};
  Group& entry = groups_[id];
  entry.group = std::move(group);
  entry.came = now;
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
  Orphan(found->second.results);
  groups_.erase(found);
}

void StagePool::Orphan(std::vector<std::string>& results) {
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

std::vector<WaitingWork> StagePool::ByUrgency(TimePoint now,
                                              std::size_t servers) const {
  std::vector<WaitingWork> waiting;
  for (const auto& [id, entry] : groups_) {
    if (entry.waiting.empty()) {
      continue;
    }
    const StageGroup& group = entry.group;
    const double value =
        group.weight *
        std::pow(kWorthOfPriority, -static_cast<double>(group.priority));
    waiting.push_back({id.value, entry.came, group.wanted, WaitingTime(entry),
                       capacity_.UsualCall(), value});
  }
  return OrderWork(now, std::move(waiting), RunningTime(now), servers);
}

Duration StagePool::WaitingTime(const Group& entry) const {
  const auto waiting = static_cast<std::int64_t>(entry.waiting.size());
  return PieceTime(entry.group) * waiting +
         capacity_.call * waiting / capacity_.batch;
}

std::vector<StageGroupId> StagePool::GiveUpLate(TimePoint now,
                                                std::size_t servers) {
  std::vector<StageGroupId> kept;
  Duration ahead = RunningTime(now);
  for (const WaitingWork& next : ByUrgency(now, servers)) {
    const StageGroupId id{next.id};
    const Group& entry = groups_.at(id);
    const TimePoint end = now + ahead / static_cast<std::int64_t>(servers) +
                          capacity_.call + PieceTime(entry.group);
    if (end > entry.group.deadline) {
      End(id, StageFailure::kLate);
    } else {
      ahead += next.server_time;
      kept.push_back(id);
    }
  }
  return kept;
}

Duration StagePool::RunningTime(TimePoint now) const {
  Duration running{0};
  for (const auto& [id, desk] : desks_) {
    if (desk.calls > 0 && desk.busy_until > now) {
      running += desk.busy_until - now;
    }
  }
  return running;
}

std::vector<ServerPtr> StagePool::FreeServers(
    TimePoint now,
    std::span<const ServerPtr> servers) {
  std::vector<ServerPtr> sound;
  std::vector<ServerPtr> slow;
  bool has_sound = false;
  for (const ServerPtr& server : servers) {
    if (!server->open() || server->history().IsAvoided(now)) {
      continue;
    }
    const bool is_slow = server->history().Slowness(now) > kTooSlow;
    has_sound |= !is_slow;
    const Desk& desk = desks_[server->record().id];
    if (desk.calls >= capacity_.slots || now < desk.hold_until) {
      continue;
    }
    (is_slow ? slow : sound).push_back(server);
  }
  return has_sound ? sound : slow;
}

std::vector<StageCall> StagePool::Dispatch(TimePoint now,
                                           std::span<const ServerPtr> servers) {
  std::vector<StageCall> calls;
  ForgetOldResults(now);
  if (waiting_pieces_ == 0) {
    return calls;
  }
  const std::size_t open = OpenServers(servers);
  if (open == 0) {
    while (!groups_.empty()) {
      End(groups_.begin()->first, StageFailure::kNoServer);
    }
    return calls;
  }
  const std::vector<StageGroupId> order = GiveUpLate(now, open);
  const std::vector<ServerPtr> free = FreeServers(now, servers);
  for (std::size_t i = 0; i < free.size() && waiting_pieces_ > 0; ++i) {
    // Free servers share what waits, but no call is split below half of its
    // size: a server that stays free serves the next request at once.
    const std::size_t free_left = free.size() - i;
    const std::size_t share = (waiting_pieces_ + free_left - 1) / free_left;
    const std::size_t half = (capacity_.batch + 1) / 2;
    const std::size_t most =
        std::min<std::size_t>(capacity_.batch, std::max(share, half));
    StageCall call = Fill(now, free[i], most, order);
    if (!call.pieces.empty()) {
      calls.push_back(std::move(call));
    }
  }
  return calls;
}

StageCall StagePool::Fill(TimePoint now,
                          const ServerPtr& server,
                          std::size_t most,
                          std::span<const StageGroupId> order) {
  StageCall call;
  call.server = server;
  Desk& desk = desks_[server->record().id];
  bool keeps_room = false;
  for (const StageGroupId id : order) {
    Group& entry = groups_.at(id);
    const bool large = IsLarge(entry.group);
    if (entry.waiting.empty() || (keeps_room && large)) {
      continue;
    }
    if (!FitsWhole(desk, entry, most - call.pieces.size())) {
      // The room that it lacks is not given to those behind it.
      keeps_room = keeps_room || large;
      continue;
    }
    TakePieces(id, entry, desk, most, call);
  }
  if (call.pieces.empty()) {
    return call;
  }
  call.id = StageCallId{++last_call_};
  const Duration usual = TimeOf(call.pieces);
  call.expected = std::chrono::duration_cast<Duration>(
      usual * std::max(1.0, server->history().Slowness(now)));
  call.give_up_after = usual * kGiveUpFactor + kGiveUpMargin;
  ++desk.calls;
  desk.busy_until = now + call.expected;
  running_[call.id] = {call, now};
  return call;
}

bool StagePool::IsLarge(const StageGroup& group) const {
  return capacity_.room_bytes > 0 &&
         group.result_bytes > capacity_.room_bytes * kLargeShare;
}

bool StagePool::FitsWhole(const Desk& desk,
                          const Group& entry,
                          std::size_t places) const {
  const std::size_t pieces = entry.waiting.size();
  const double bytes = entry.group.result_bytes * static_cast<double>(pieces);
  const bool is_begun = pieces < entry.group.pieces;
  const bool fits_nowhere =
      pieces > capacity_.batch ||
      (capacity_.room_bytes > 0 && bytes > capacity_.room_bytes);
  if (is_begun || fits_nowhere) {
    return places > 0 && HasRoom(desk, entry.group.result_bytes);
  }
  return pieces <= places && HasRoom(desk, bytes);
}

void StagePool::TakePieces(StageGroupId id,
                           Group& entry,
                           Desk& desk,
                           std::size_t most,
                           StageCall& call) {
  const double bytes = entry.group.result_bytes;
  while (!entry.waiting.empty() && call.pieces.size() < most &&
         HasRoom(desk, bytes)) {
    call.pieces.push_back({id, entry.waiting.back(), bytes});
    desk.used_bytes += bytes;
    entry.waiting.pop_back();
    ++entry.running;
    --waiting_pieces_;
  }
}

bool StagePool::HasRoom(const Desk& desk, double bytes) const {
  // A server without any result takes one of any size.
  return capacity_.room_bytes <= 0 || desk.used_bytes <= 0 ||
         desk.used_bytes + bytes <= capacity_.room_bytes;
}

void StagePool::FreeRoom(std::string_view server, double bytes) {
  const auto found = desks_.find(server);
  if (found != desks_.end()) {
    found->second.used_bytes = std::max(0.0, found->second.used_bytes - bytes);
  }
}

void StagePool::NoteMade(TimePoint now,
                         const Server& server,
                         const StagePiece& piece,
                         const PieceResult& result) {
  if (result.result.empty()) {
    FreeRoom(server.record().id, piece.result_bytes);
    return;
  }
  made_[result.result] = {server.record().id, piece.result_bytes,
                          now + capacity_.result_life};
}

void StagePool::OnReleased(std::span<const std::string> results) {
  for (const std::string& result : results) {
    const auto found = made_.find(result);
    if (found != made_.end()) {
      FreeRoom(found->second.server, found->second.bytes);
      made_.erase(found);
    }
  }
}

void StagePool::ForgetOldResults(TimePoint now) {
  if (now < forget_at_) {
    return;
  }
  forget_at_ = now + kForgetPeriod;
  std::vector<std::string> old;
  for (const auto& [result, made] : made_) {
    if (made.runs_out <= now) {
      old.push_back(result);
    }
  }
  OnReleased(old);
}

bool StagePool::CanBeInTime(TimePoint now, const StageGroup& group) const {
  return now + capacity_.UsualCall() <= group.wanted;
}

Duration StagePool::PieceTime(const StageGroup& group) const {
  const auto found = piece_time_.find(group.work);
  return found == piece_time_.end() ? capacity_.piece : found->second;
}

Duration StagePool::TimeOf(std::span<const StagePiece> pieces) const {
  Duration time = capacity_.call;
  for (const StagePiece& piece : pieces) {
    const auto found = groups_.find(piece.group);
    time += found == groups_.end() ? capacity_.piece
                                   : PieceTime(found->second.group);
  }
  return time;
}

void StagePool::Learn(const Running& running, Duration taken) {
  const Duration usual = TimeOf(running.call.pieces);
  const Duration of_pieces = usual - capacity_.call;
  const double whole = Seconds(taken) / Seconds(usual);
  if (of_pieces.count() <= 0 || whole < kLeastUsualRatio ||
      whole > kMostUsualRatio) {
    return;
  }
  const double ratio = std::clamp(
      Seconds(taken - capacity_.call) / Seconds(of_pieces), 0.2, 2.0);
  for (const StagePiece& piece : running.call.pieces) {
    const auto found = groups_.find(piece.group);
    if (found == groups_.end()) {
      continue;
    }
    // Each piece of a call moves its work by its part of the call's lesson.
    const double rate =
        kLearnRate / static_cast<double>(running.call.pieces.size());
    const Duration before = PieceTime(found->second.group);
    piece_time_[found->second.group.work] =
        std::chrono::duration_cast<Duration>(before *
                                             (1.0 + rate * (ratio - 1.0)));
  }
}

void StagePool::OnCallEnd(TimePoint now,
                          StageCallId call,
                          CallEnd end,
                          std::span<const PieceResult> results) {
  const auto found = running_.find(call);
  if (found == running_.end()) {
    return;
  }
  const Running running = std::move(found->second);
  running_.erase(found);
  Server& server = *running.call.server;
  Desk& desk = desks_[server.record().id];
  desk.calls -= desk.calls > 0 ? 1 : 0;
  desk.busy_until = now;
  if (end == CallEnd::kRefused) {
    desk.hold_until = now + kHold;
  }
  if (end == CallEnd::kBroken) {
    server.history().OnBreak(now);
  }
  if (end == CallEnd::kAnswered) {
    const Duration taken = now - running.began;
    server.history().OnAnswer(
        now, true, Seconds(taken) / Seconds(TimeOf(running.call.pieces)));
    Learn(running, taken);
  }
  for (std::size_t i = 0; i < running.call.pieces.size(); ++i) {
    const StagePiece& piece = running.call.pieces[i];
    const bool answered = end == CallEnd::kAnswered && i < results.size();
    NoteMade(now, server, piece, answered ? results[i] : PieceResult{});
    if (answered) {
      if (results[i].end == PieceEnd::kNoRoom) {
        desk.hold_until = now + kHold;
      }
      ApplyPiece(piece, results[i]);
    } else {
      const bool costs_a_try = end != CallEnd::kRefused;
      ApplyPiece(piece,
                 {costs_a_try ? PieceEnd::kError : PieceEnd::kNoRoom, {}});
    }
  }
}

void StagePool::ApplyPiece(const StagePiece& piece, const PieceResult& result) {
  const auto found = groups_.find(piece.group);
  if (found == groups_.end()) {
    if (!result.result.empty()) {
      orphans_.push_back(result.result);
    }
    return;
  }
  Group& entry = found->second;
  --entry.running;
  switch (result.end) {
    case PieceEnd::kDone:
      entry.results[piece.segment] = result.result;
      ++entry.done;
      if (entry.done == entry.group.pieces) {
        End(piece.group, std::nullopt);
      }
      return;
    case PieceEnd::kLate:
      End(piece.group, StageFailure::kLate);
      return;
    case PieceEnd::kInputGone:
      End(piece.group, StageFailure::kInputGone);
      return;
    case PieceEnd::kNoRoom:
      ReturnPiece(piece);
      return;
    case PieceEnd::kError:
      ++entry.tries;
      ReturnPiece(piece);
      if (entry.tries > kMostTries + entry.group.pieces) {
        End(piece.group, StageFailure::kFailed);
      }
      return;
  }
}

void StagePool::ReturnPiece(const StagePiece& piece) {
  Group& entry = groups_.at(piece.group);
  entry.waiting.push_back(piece.segment);
  std::sort(entry.waiting.rbegin(), entry.waiting.rend());
  ++waiting_pieces_;
}

void StagePool::End(StageGroupId group, std::optional<StageFailure> failure) {
  const auto found = groups_.find(group);
  Group& entry = found->second;
  waiting_pieces_ -= entry.waiting.size();
  StageGroupEnd end{group, failure, {}};
  if (failure) {
    Orphan(entry.results);
  } else {
    end.results = std::move(entry.results);
  }
  groups_.erase(found);
  ended_.push_back(std::move(end));
}

std::vector<StageGroupEnd> StagePool::TakeEnded() {
  return std::exchange(ended_, {});
}

std::vector<std::string> StagePool::TakeOrphans() {
  return std::exchange(orphans_, {});
}

Backlog StagePool::BacklogAt(TimePoint now) const {
  Duration pieces_in_time{0};
  Duration pieces_late{0};
  std::size_t in_time = 0;
  for (const auto& [id, entry] : groups_) {
    const Duration time = PieceTime(entry.group) * entry.waiting.size();
    const bool can = CanBeInTime(now, entry.group);
    (can ? pieces_in_time : pieces_late) += time;
    in_time += can ? entry.waiting.size() : 0;
  }
  const auto calls_for = [this](std::size_t pieces) {
    return capacity_.call * ((pieces + capacity_.batch - 1) / capacity_.batch);
  };
  const Duration running = RunningTime(now);
  return {running + pieces_in_time + calls_for(in_time),
          running + pieces_in_time + pieces_late + calls_for(waiting_pieces_)};
}

Duration StagePool::LookAgainIn() const {
  return waiting_pieces_ == 0 ? Duration::max() : kLookAgain;
}

}  // namespace gentianroute::routing
