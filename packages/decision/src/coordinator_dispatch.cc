// Dispatch of waiting requests to servers, and isolation of requests that may
// crash them.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

/// Waiters checked per dispatch before the pool is taken to be busy.
constexpr std::size_t kMaxWaitersChecked = 16;

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
    const auto can_start = [&](const FairQueue::Waiter& candidate) {
      Request& request = requests_.at(candidate.request);
      if (MustRefuse(now, request)) {
        refused.push_back(request.id);
        return false;
      }
      return TryPickServer(now, request, server);
    };
    // Suspects on hold don't count as checked; otherwise many of them at the
    // front would block all requests behind them.
    const auto skip = [&](const FairQueue::Waiter& candidate) {
      const Request& request = requests_.at(candidate.request);
      return !MustRefuse(now, request) && IsHeld(now, request);
    };
    const auto waiter =
        found->second.Pop(now, can_start, kMaxWaitersChecked, skip);
    if (waiter.has_value()) {
      wait_estimators_[std::string(pool)].OnStart(now, !found->second.empty());
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

void Coordinator::DispatchFreedPools(TimePoint now) {
  while (!freed_pools_.empty()) {
    const std::set<std::string> pools = std::exchange(freed_pools_, {});
    for (const std::string& pool : pools) {
      Dispatch(now, pool);
    }
  }
}

bool Coordinator::MustRefuse(TimePoint now, const Request& request) const {
  // A peer or a request with the same fingerprint may have caused a quarantine
  // while this one waited. A daemon that was paused may dispatch before its
  // deadline timers have run.
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
  // A request whose quarantine is pending waits until the crash is confirmed or
  // ruled out. Suspects with the same fingerprint run one at a time: in
  // parallel they could crash several servers before the first crash is
  // noticed.
  const Fingerprint fingerprint = request.submission.fingerprint;
  return suspects_.IsQuarantinePending(now, fingerprint) ||
         (running_.contains(fingerprint) &&
          suspects_.IsSuspect(now, fingerprint));
}

ServerRef Coordinator::CurrentRecordOf(const ServerRef& server) const {
  const auto found = servers_.servers().find(server->host.name);
  return found == servers_.servers().end() ? server : found->second;
}

std::vector<ServerRef> Coordinator::BusyServers() const {
  std::vector<ServerRef> busy;
  busy.reserve(attempts_by_server_.size());
  for (const auto& [server, attempts] : attempts_by_server_) {
    busy.push_back(CurrentRecordOf(attempts.front().server));
  }
  return busy;
}

std::vector<ServerRef> Coordinator::SuspectServers() const {
  std::vector<ServerRef> servers;
  servers.reserve(suspect_servers_.size());
  for (const ServerRef& server : suspect_servers_) {
    servers.push_back(CurrentRecordOf(server));
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

std::vector<ServerRef> Coordinator::ServersWithUnrepeatableCalls() const {
  std::vector<ServerRef> servers;
  for (const auto& [id, attempt] : attempts_) {
    const Request& request = requests_.at(attempt.request);
    if (!request.profile->stages[attempt.stage_index].MayRepeat()) {
      servers.push_back(CurrentRecordOf(attempt.server));
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
  context.expected = ExpectedDuration(stage);
  context.expected_remaining = ExpectedRemaining(request);
  context.queue_wait =
      wait_estimators_[stage.pool].EstimateWait(queues_.at(stage.pool).size());
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

bool Coordinator::TryPickServer(TimePoint now,
                                Request& request,
                                ServerRef& server) {
  const StageSpec& stage = request.stage();
  PickContext context = ContextOf(now, request);
  if (suspects_.IsSuspect(now, request.submission.fingerprint)) {
    return TryPickServerForSuspect(now, request, context, server);
  }
  const std::vector<ServerRef> isolated = IsolatedServers(now, stage.pool);
  std::vector<ServerRef> preferably_avoided = isolated;
  Append(preferably_avoided, request.tried_servers);
  if (Pick(now, context, preferably_avoided, server) ||
      Pick(now, context, isolated, server)) {
    return true;
  }
  if (isolated.empty() || !stage.MayRepeat() ||
      request.phase != RequestPhase::kQueued) {
    // A crash caused by the suspect would end this call too, so a call that
    // must not be repeated, or a hedge, doesn't run beside one.
    return false;
  }
  if (now >= request.isolation_deadline) {
    return Pick(now, context, request.tried_servers, server) ||
           Pick(now, context, {}, server);
  }
  ArmIsolationTimer(request);
  context.excluded = isolated;
  const bool can_run_elsewhere = servers_.LeastBusy(now, context) != nullptr;
  return !can_run_elsewhere && ReservationAt(now, stage.pool) == nullptr &&
         Pick(now, context, {}, server);
}

bool Coordinator::TryPickServerForSuspect(TimePoint now,
                                          Request& request,
                                          PickContext& context,
                                          ServerRef& server) {
  const std::string& pool = request.stage().pool;
  if (!CanRunMoreSuspects(pool)) {
    return false;
  }
  // An idle server comes first, since a crash there affects no other request. A
  // server that has just crashed looks idle as well, hence at first only
  // servers without recent failures.
  const std::vector<ServerRef> busy = BusyServers();
  std::vector<ServerRef> preferably_avoided = busy;
  Append(preferably_avoided, request.tried_servers);
  context.exclude_ejected = true;
  if (Pick(now, context, preferably_avoided, server)) {
    return true;
  }
  if (now < request.isolation_deadline) {
    ArmIsolationTimer(request);
    if (ReservationAt(now, pool) != nullptr) {
      return false;
    }
    std::vector<ServerRef> avoid = SuspectServers();
    Append(avoid, request.tried_servers);
    context.excluded = avoid;
    const ServerRef least_busy = servers_.LeastBusy(now, context);
    if (least_busy != nullptr) {
      reservations_[pool] = {least_busy, request.id};
      return false;
    }
  }
  // Never two suspects on one server, since its crash would not tell which one
  // caused it, and never beside a call whose outcome a crash would leave
  // unknown.
  std::vector<ServerRef> always_avoided = IsolatedServers(now, pool);
  Append(always_avoided, ServersWithUnrepeatableCalls());
  context.exclude_ejected = false;
  return Pick(now, context, busy, server) ||
         Pick(now, context, always_avoided, server);
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
  const bool valid =
      request != requests_.end() &&
      request->second.phase == RequestPhase::kQueued &&
      now < request->second.isolation_deadline &&
      !IsHeld(now, request->second) &&
      suspects_.IsSuspect(now, request->second.submission.fingerprint) &&
      server->IsAccepting() && now >= server->ejected_until;
  return valid ? &found->second : nullptr;
}

void Coordinator::StartReserved(TimePoint now,
                                std::string_view pool,
                                FairQueue& queue) {
  const Reservation* reservation = ReservationAt(now, pool);
  if (reservation == nullptr || reservation->server->in_flight > 0) {
    return;
  }
  // Popped in queue order, the holder could come after more waiters than are
  // checked, and the server would stay idle.
  const RequestId holder = reservation->holder;
  ServerRef server = reservation->server;
  const auto can_start = [&](const FairQueue::Waiter& candidate) {
    Request& request = requests_.at(candidate.request);
    return !MustRefuse(now, request) && TryPickServer(now, request, server);
  };
  const auto skip = [holder](const FairQueue::Waiter& candidate) {
    return candidate.request != holder;
  };
  if (queue.Pop(now, can_start, 1, skip).has_value()) {
    wait_estimators_[std::string(pool)].OnStart(now, !queue.empty());
    Start(now, requests_.at(holder), std::move(server));
  }
}

void Coordinator::ArmIsolationTimer(Request& request) {
  if (!request.isolation_timer_armed &&
      request.phase == RequestPhase::kQueued) {
    request.isolation_timer_armed = true;
    Arm(request.isolation_deadline, TimerKind::kIsolation, request.id.value);
  }
}

void Coordinator::OnIsolationTimeout(TimePoint now, std::uint64_t id) {
  const auto found = requests_.find(RequestId{id});
  if (found != requests_.end() &&
      found->second.phase == RequestPhase::kQueued) {
    const std::string pool = found->second.stage().pool;
    Dispatch(now, pool);
  }
}

bool Coordinator::CanRunMoreSuspects(std::string_view pool) const {
  // Without the limit, the requests of a large batch that crashed would occupy
  // all servers, one each, and every new request would run beside a suspect.
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
  // A crash resets all connections at once: the second reset confirms the
  // crash, and further ones within the window are not counted as new crashes.
  constexpr Duration kSameCrashWindow = std::chrono::milliseconds(200);
  const bool same_crash = attempt.suspected_crash_at != TimePoint{} &&
                          now < attempt.suspected_crash_at + kSameCrashWindow;
  if (same_crash) {
    suspects_.OnServerDown(now, attempt.server->host.name);
  } else {
    OnCrash(now, *attempt.server);
  }
}

void Coordinator::OnCrash(TimePoint now, const Server& server) {
  // Servers are compared by name: if the process restarted before the list of
  // hosts showed it, calls are recorded under its previous incarnation too, and
  // a crash ends all of them. Requests with the same fingerprint count once;
  // otherwise one crash of a batch with three equal requests would count as
  // three crashes.
  std::set<Fingerprint> in_flight;
  std::set<Fingerprint> suspects;
  for (auto& [record, attempts] : attempts_by_server_) {
    if (record->host.name != server.host.name) {
      continue;
    }
    for (const Attempt& other : attempts) {
      if (other.suspect && other.written) {
        suspects.insert(other.fingerprint);
      }
    }
  }
  for (auto& [record, attempts] : attempts_by_server_) {
    if (record->host.name != server.host.name) {
      continue;
    }
    for (Attempt& other : attempts) {
      other.suspected_crash_at = now;
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
  MarkRunningDuplicates(in_flight);
}

void Coordinator::MarkRunningDuplicates(const std::set<Fingerprint>& suspects) {
  // Requests with the same fingerprint may run on other servers. Unless they
  // are marked too, the request that causes the crashes may be sent beside
  // them, and each of its crashes would count against them.
  for (auto& [id, attempt] : attempts_) {
    if (!attempt.suspect && suspects.contains(attempt.fingerprint)) {
      attempt.suspect = true;
      suspect_servers_.push_back(attempt.server);
    }
  }
}

void Coordinator::OnServerResponding(TimePoint now, Attempt& attempt) {
  // If the server had crashed, this call's connection would have been reset
  // too.
  if (attempt.suspected_crash_at != TimePoint{} &&
      now > attempt.suspected_crash_at) {
    suspects_.OnServerAlive(now, attempt.server->host.name);
    attempt.suspected_crash_at = {};
  }
}

}  // namespace gentianroute
