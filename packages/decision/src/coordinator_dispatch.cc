// Who may go where: dispatch, and the isolation of requests that may crash
// servers.

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"
#include "gentianroute/decision/coordinator.h"

namespace gentianroute {
namespace {

/// Waiters asked per dispatch before the pool counts as busy.
constexpr int kMaxAsked = 16;

void Append(std::vector<ServerRef>& to, const std::vector<ServerRef>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

void Coordinator::Dispatch(TimePoint now, std::string_view pool) {
  const auto found = queues_.find(pool);
  if (found == queues_.end()) {
    return;
  }
  while (!found->second.empty()) {
    ServerRef server;
    int asked = 0;
    std::vector<RequestId> refused;
    const auto waiter =
        found->second.Pop(now, [&](const FairQueue::Waiter& candidate) {
          const Request& request = requests_.at(candidate.request);
          if (IsPastHope(now, request)) {
            refused.push_back(request.id);
            return false;
          }
          // Held suspects are not counted as asked: many of them at the front
          // would else stop everyone behind them.
          return !IsHeld(now, request) && ++asked <= kMaxAsked &&
                 MayGo(now, request, server);
        });
    if (waiter.has_value()) {
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
  const ErrorKind kind = request.MayHaveRun()
                             ? KindOfFailure(request, AttemptFailure::kReset)
                             : ErrorKind::kQuarantined;
  Finish(now, request, kind,
         "this request crashed the backend servers that ran it", {}, false);
}

bool Coordinator::IsHeld(TimePoint now, const Request& request) const {
  // Twins of a suspect go one at a time: side by side they would crash several
  // servers before the first crash is known.
  const Fingerprint fingerprint = request.submission.fingerprint;
  return running_.contains(fingerprint) &&
         suspects_.IsSuspect(now, fingerprint);
}

std::vector<ServerRef> Coordinator::BusyServers() const {
  std::vector<ServerRef> busy;
  for (const auto& [server, attempts] : at_server_) {
    busy.push_back(attempts.front().server);
  }
  return busy;
}

bool Coordinator::MayGo(TimePoint now,
                        const Request& request,
                        ServerRef& server) {
  const StageSpec& stage = request.stage();
  const bool suspect = suspects_.IsSuspect(now, request.submission.fingerprint);
  PickContext context;
  context.pool = stage.pool;
  context.objective = request.profile->objective;
  context.cross_region = request.profile->cross_region;
  context.expected = Expected(stage);
  context.remaining = request.deadline - now;
  context.prefix = stage.streams ? request.submission.prefix : 0;
  context.bytes = request.submission.body.size();
  const auto pick = [&](std::vector<ServerRef> avoid) {
    context.avoid = avoid;
    server = servers_.Pick(now, context, rng_);
    context.avoid = {};
    return server != nullptr;
  };
  // Best: a server that this stage has not tried and that no call which could
  // crash it, or be hit by the crash, shares.
  std::vector<ServerRef> best = suspect ? BusyServers() : suspect_servers_;
  Append(best, request.tried);
  if (pick(std::move(best)) || pick(suspect_servers_)) {
    return true;
  }
  // Never two suspects on one server, or its crash would name neither; and no
  // call that must not repeat beside one, since it could not be tried again.
  return !suspect && stage.MayRepeat() && pick({});
}

void Coordinator::OnCrash(TimePoint now, const Server& server) {
  std::vector<Fingerprint> suspects;
  std::vector<Fingerprint> everyone;
  for (Attempt& other : at_server_.at(&server)) {
    // One crash resets every connection: those that follow are no new crash.
    other.crash_counted = true;
    if (!other.written) {
      continue;
    }
    everyone.push_back(other.fingerprint);
    if (suspects_.IsSuspect(now, other.fingerprint)) {
      suspects.push_back(other.fingerprint);
    }
  }
  const bool alone = everyone.size() == 1;
  suspects_.OnCrash(now, suspects.empty() ? everyone : suspects, alone);
}

}  // namespace gentianroute
