// Who may go where: dispatch, and the isolation of requests that may crash
// servers.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

/// Waiters asked per dispatch before the pool counts as busy.
constexpr std::size_t kMaxAsked = 16;

void Append(std::vector<ServerRef>& to, const std::vector<ServerRef>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

void Coordinator::Dispatch(TimePoint now, std::string_view pool) {
  const auto found = queues_.find(pool);
  if (found == queues_.end()) {
    return;
  }
  StartReserved(now, pool, found->second);
  while (!found->second.empty()) {
    ServerRef server;
    std::vector<RequestId> refused;
    const auto may_go = [&](const FairQueue::Waiter& candidate) {
      Request& request = requests_.at(candidate.request);
      if (IsPastHope(now, request)) {
        refused.push_back(request.id);
        return false;
      }
      return MayGo(now, request, server);
    };
    // Held suspects are not counted as asked: many of them at the front would
    // else stop everyone behind them.
    const auto held = [&](const FairQueue::Waiter& candidate) {
      const Request& request = requests_.at(candidate.request);
      return !IsPastHope(now, request) && IsHeld(now, request);
    };
    const auto waiter = found->second.Pop(now, may_go, kMaxAsked, held);
    if (waiter.has_value()) {
      paces_[std::string(pool)].OnStart(now, !found->second.empty());
      Start(now, requests_.at(waiter->request), std::move(server));
    }
    for (const RequestId request : refused) {
      Refuse(now, request);
    }
    if (!waiter.has_value()) {
      return;
    }
  }
}

void Coordinator::DispatchFreed(TimePoint now) {
  while (!freed_pools_.empty()) {
    const std::set<std::string> pools = std::exchange(freed_pools_, {});
    for (const std::string& pool : pools) {
      Dispatch(now, pool);
    }
  }
}

bool Coordinator::IsPastHope(TimePoint now, const Request& request) const {
  // Quarantine may have come from a peer, or from a twin, while it waited. A
  // daemon that was paused may dispatch before its deadline timers have run.
  return now >= request.deadline ||
         suspects_.IsQuarantined(now, request.submission.fingerprint);
}

void Coordinator::Refuse(TimePoint now, RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (now >= request.deadline) {
    OnDeadline(now, id.value);
    return;
  }
  const ErrorKind kind =
      request.MayHaveRun() ? KindOfFailure(request) : ErrorKind::kQuarantined;
  Finish(now, request, kind,
         "this request crashed the backend servers that ran it", {}, false);
}

bool Coordinator::IsHeld(TimePoint now, const Request& request) const {
  // An accused request waits for the proof. Twins of a suspect go one at a
  // time: side by side they would crash several servers before the first crash
  // is known.
  const Fingerprint fingerprint = request.submission.fingerprint;
  return suspects_.IsQuarantinePending(now, fingerprint) ||
         (running_.contains(fingerprint) &&
          suspects_.IsSuspect(now, fingerprint));
}

ServerRef Coordinator::Listed(const ServerRef& server) const {
  const auto found = servers_.servers().find(server->host.name);
  return found == servers_.servers().end() ? server : found->second;
}

std::vector<ServerRef> Coordinator::BusyServers() const {
  std::vector<ServerRef> busy;
  busy.reserve(at_server_.size());
  for (const auto& [server, attempts] : at_server_) {
    busy.push_back(Listed(attempts.front().server));
  }
  return busy;
}

std::vector<ServerRef> Coordinator::SuspectServers() const {
  std::vector<ServerRef> servers;
  servers.reserve(suspect_servers_.size());
  for (const ServerRef& server : suspect_servers_) {
    servers.push_back(Listed(server));
  }
  return servers;
}

std::vector<ServerRef> Coordinator::IsolatedServers(
    TimePoint now,
    std::string_view pool) const {
  std::vector<ServerRef> servers = SuspectServers();
  if (const Reservation* reservation = ReservationAt(now, pool)) {
    servers.push_back(reservation->server);
  }
  return servers;
}

std::vector<ServerRef> Coordinator::ServersWithEffects() const {
  std::vector<ServerRef> servers;
  for (const auto& [id, attempt] : attempts_) {
    const Request& request = requests_.at(attempt.request);
    if (!request.profile->stages[attempt.stage_index].MayRepeat()) {
      servers.push_back(Listed(attempt.server));
    }
  }
  return servers;
}

PickContext Coordinator::ContextOf(TimePoint now, const Request& request) {
  const StageSpec& stage = request.stage();
  PickContext context;
  context.pool = stage.pool;
  context.objective = request.profile->objective;
  context.cross_region = request.profile->cross_region;
  context.expected = Expected(stage);
  context.expected_remaining = ExpectedRest(request);
  context.queue_wait =
      paces_[stage.pool].WaitFor(queues_.at(stage.pool).size());
  context.remaining = request.deadline - now;
  context.prefix = stage.streams ? request.submission.prefix : 0;
  context.bytes = request.submission.body.size();
  return context;
}

bool Coordinator::Pick(TimePoint now,
                       PickContext& context,
                       const std::vector<ServerRef>& avoid,
                       ServerRef& server) {
  context.excluded = avoid;
  server = servers_.Pick(now, context, rng_);
  context.excluded = {};
  return server != nullptr;
}

bool Coordinator::MayGo(TimePoint now, Request& request, ServerRef& server) {
  const StageSpec& stage = request.stage();
  PickContext context = ContextOf(now, request);
  if (suspects_.IsSuspect(now, request.submission.fingerprint)) {
    return MayGoSuspect(now, request, context, server);
  }
  const std::vector<ServerRef> isolated = IsolatedServers(now, stage.pool);
  std::vector<ServerRef> best = isolated;
  Append(best, request.tried);
  if (Pick(now, context, best, server) ||
      Pick(now, context, isolated, server)) {
    return true;
  }
  if (isolated.empty() || !stage.MayRepeat() ||
      request.phase != RequestPhase::kQueued) {
    // Beside a suspect a call could be cut off: one that can't be made again,
    // or a hedge, gains nothing there.
    return false;
  }
  if (now >= request.isolate_until) {
    return Pick(now, context, request.tried, server) ||
           Pick(now, context, {}, server);
  }
  WaitForIsolation(request);
  context.excluded = isolated;
  const bool others_work = servers_.LeastBusy(now, context) != nullptr;
  return !others_work && ReservationAt(now, stage.pool) == nullptr &&
         Pick(now, context, {}, server);
}

bool Coordinator::MayGoSuspect(TimePoint now,
                               Request& request,
                               PickContext& context,
                               ServerRef& server) {
  const std::string& pool = request.stage().pool;
  if (!MoreSuspectsMayRun(pool)) {
    return false;
  }
  // Best is an idle server, where the crash hits nobody else. One that has just
  // died looks idle too, hence only one in favour at first.
  const std::vector<ServerRef> busy = BusyServers();
  std::vector<ServerRef> best = busy;
  Append(best, request.tried);
  context.exclude_ejected = true;
  if (Pick(now, context, best, server)) {
    return true;
  }
  if (now < request.isolate_until) {
    WaitForIsolation(request);
    if (ReservationAt(now, pool) != nullptr) {
      return false;
    }
    std::vector<ServerRef> avoid = SuspectServers();
    Append(avoid, request.tried);
    context.excluded = avoid;
    const ServerRef quiet = servers_.LeastBusy(now, context);
    if (quiet != nullptr) {
      reservations_[pool] = {quiet, request.id};
      return false;
    }
  }
  // Never two suspects on one server, or its crash would name neither, and
  // never beside a call whose outcome a crash would leave unknown.
  std::vector<ServerRef> last = IsolatedServers(now, pool);
  Append(last, ServersWithEffects());
  context.exclude_ejected = false;
  return Pick(now, context, busy, server) || Pick(now, context, last, server);
}

const Coordinator::Reservation* Coordinator::ReservationAt(
    TimePoint now,
    std::string_view pool) const {
  const auto found = reservations_.find(pool);
  if (found == reservations_.end()) {
    return nullptr;
  }
  const auto& [server, holder] = found->second;
  const auto request = requests_.find(holder);
  const bool lasts =
      request != requests_.end() &&
      request->second.phase == RequestPhase::kQueued &&
      now < request->second.isolate_until && !IsHeld(now, request->second) &&
      suspects_.IsSuspect(now, request->second.submission.fingerprint) &&
      server->IsAccepting() && now >= server->ejected_until;
  return lasts ? &found->second : nullptr;
}

void Coordinator::StartReserved(TimePoint now,
                                std::string_view pool,
                                FairQueue& queue) {
  const Reservation* reservation = ReservationAt(now, pool);
  if (reservation == nullptr || reservation->server->in_flight > 0) {
    return;
  }
  // In its turn it could come after more waiters than are asked, and the server
  // would stand idle.
  const RequestId holder = reservation->holder;
  ServerRef server = reservation->server;
  const auto may_go = [&](const FairQueue::Waiter& candidate) {
    Request& request = requests_.at(candidate.request);
    return !IsPastHope(now, request) && MayGo(now, request, server);
  };
  const auto others = [holder](const FairQueue::Waiter& candidate) {
    return candidate.request != holder;
  };
  if (queue.Pop(now, may_go, 1, others).has_value()) {
    paces_[std::string(pool)].OnStart(now, !queue.empty());
    Start(now, requests_.at(holder), std::move(server));
  }
}

void Coordinator::WaitForIsolation(Request& request) {
  if (!request.isolation_timed && request.phase == RequestPhase::kQueued) {
    request.isolation_timed = true;
    Arm(request.isolate_until, TimerKind::kIsolation, request.id.value);
  }
}

void Coordinator::OnIsolationOver(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found != requests_.end() &&
      found->second.phase == RequestPhase::kQueued) {
    const std::string pool = found->second.stage().pool;
    Dispatch(now, pool);
  }
}

bool Coordinator::MoreSuspectsMayRun(std::string_view pool) const {
  // After a crash of a large batch its neighbours would else take all servers,
  // one each, and every newcomer would run beside some suspect.
  constexpr std::ptrdiff_t kServersPerSuspect = 4;
  const auto running = std::ranges::count_if(
      suspect_servers_,
      [pool](const ServerRef& server) { return server->host.pool == pool; });
  const auto live =
      std::ranges::count_if(servers_.servers(), [pool](const auto& item) {
        return item.second->host.pool == pool && item.second->IsAccepting();
      });
  return running < std::max<std::ptrdiff_t>(1, live / kServersPerSuspect);
}

void Coordinator::OnReset(TimePoint now, const Attempt& attempt) {
  // One crash breaks every connection at once: the second that breaks confirms
  // it, and those that follow are no new crash.
  constexpr Duration kAtOnce = std::chrono::milliseconds(200);
  const bool follows =
      attempt.crash_at != TimePoint{} && now < attempt.crash_at + kAtOnce;
  if (follows) {
    suspects_.OnServerDown(now, attempt.server->host.name);
  } else {
    OnCrash(now, *attempt.server);
  }
}

void Coordinator::OnCrash(TimePoint now, const Server& server) {
  // By name: a process that restarted before the list said so has calls under
  // the record of its last incarnation too, and dies with all of them.
  // Twins share a fingerprint and count once: else one crash of a batch with
  // three equal letters in it would be three crashes of that letter.
  std::set<Fingerprint> in_flight;
  std::set<Fingerprint> suspects;
  for (auto& [record, attempts] : at_server_) {
    if (record->host.name != server.host.name) {
      continue;
    }
    for (const Attempt& other : attempts) {
      if (other.suspect && other.written) {
        suspects.insert(other.fingerprint);
      }
    }
  }
  for (auto& [record, attempts] : at_server_) {
    if (record->host.name != server.host.name) {
      continue;
    }
    for (Attempt& other : attempts) {
      other.crash_at = now;
      other.crashed_beside_suspect =
          suspects.size() > suspects.count(other.fingerprint);
      if (other.written) {
        in_flight.insert(other.fingerprint);
      }
    }
  }
  const auto listed = servers_.servers().find(server.host.name);
  const std::uint64_t incarnation = listed == servers_.servers().end()
                                        ? server.host.incarnation
                                        : listed->second->host.incarnation;
  suspects_.OnCrash(now, server.host.name, incarnation,
                    std::vector(in_flight.begin(), in_flight.end()));
  MarkRunningTwins(in_flight);
}

void Coordinator::MarkRunningTwins(const std::set<Fingerprint>& suspects) {
  // Equal requests run elsewhere already. Unless they count as suspects too,
  // the guilty one is sent beside them and each of its crashes is held against
  // them.
  for (auto& [id, attempt] : attempts_) {
    if (!attempt.suspect && suspects.contains(attempt.fingerprint)) {
      attempt.suspect = true;
      suspect_servers_.push_back(attempt.server);
    }
  }
}

void Coordinator::OnSignOfLife(TimePoint now, Attempt& attempt) {
  // Had the server crashed, this call would have broken with the other one.
  if (attempt.crash_at != TimePoint{} && now > attempt.crash_at) {
    suspects_.OnServerAlive(now, attempt.server->host.name);
    attempt.crash_at = {};
  }
}

}  // namespace gentianroute
