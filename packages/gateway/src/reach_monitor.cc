#include "gentianroute/gateway/reach_monitor.h"

#include <algorithm>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {

/// Probes that were started together.
struct ReachMonitor::Round {
  ReachMonitor* monitor = nullptr;  ///< null once it is destroyed
  Group* group = nullptr;
  std::size_t probed = 0;
  std::size_t connected = 0;
  std::size_t failed = 0;
  bool ended = false;
};

ReachMonitor::ReachMonitor(EventLoop& loop,
                           RelayClient& client,
                           routing::ServerDirectory& servers,
                           const routing::Evacuations& evacuations)
    : loop_(loop),
      client_(client),
      servers_(servers),
      evacuations_(evacuations),
      random_(static_cast<std::uint64_t>(loop.WallTime())) {
  timer_ = loop_.Every(routing::ServerReach::kProbePeriod,
                       [this] { ProbeAllIfNeeded(); });
}

ReachMonitor::~ReachMonitor() {
  loop_.Cancel(timer_);
  const auto abandon = [](const Group& group) {
    if (group.round != nullptr) {
      group.round->monitor = nullptr;
    }
  };
  abandon(all_);
  for (const auto& [service, group] : groups_) {
    abandon(group);
  }
}

ReachMonitor::Group& ReachMonitor::GroupOf(std::string_view service) {
  const auto found = groups_.find(service);
  if (found != groups_.end()) {
    return found->second;
  }
  using routing::ServerReach;
  const std::string name(service);
  return groups_
      .emplace(name,
               Group{ServerReach(ServerReach::Criterion::kHalf), name, nullptr})
      .first->second;
}

const ReachMonitor::Group* ReachMonitor::FindGroup(
    std::string_view service) const {
  const auto found = groups_.find(service);
  return found == groups_.end() ? nullptr : &found->second;
}

bool ReachMonitor::IsCutOff(std::string_view service) const {
  const Group* group = FindGroup(service);
  return is_cut_off() || (group != nullptr && group->reach.is_cut_off());
}

bool ReachMonitor::IsProbing(std::string_view service) const {
  const Group* group = FindGroup(service);
  return all_.reach.is_probing() ||
         (group != nullptr && group->reach.is_probing());
}

std::vector<std::string> ReachMonitor::Unreached() const {
  std::vector<std::string> services;
  for (const auto& [service, group] : groups_) {
    if (group.reach.is_cut_off()) {
      services.push_back(service);
    }
  }
  return services;
}

void ReachMonitor::OnNotConnected(const routing::ServerRecord& server) {
  OnFailure(server, &routing::ServerReach::OnNotConnected);
}

void ReachMonitor::OnNoAnswer(const routing::ServerRecord& server) {
  OnFailure(server, &routing::ServerReach::OnNoAnswer);
}

void ReachMonitor::OnFailure(const routing::ServerRecord& server,
                             Failure failure) {
  for (Group* group : {&all_, &GroupOf(server.service)}) {
    (group->reach.*failure)(loop_.Now(), server.id);
    ProbeIfNeeded(*group);
  }
}

void ReachMonitor::OnAnswer(const routing::ServerRecord& server) {
  all_.reach.OnAnswer();
  GroupOf(server.service).reach.OnAnswer();
}

std::vector<routing::ServerPtr> ReachMonitor::ServersInRandomOrder(
    const Group& group) {
  std::vector<routing::ServerPtr> servers;
  servers_.ForEach([&](routing::Server& server) {
    const bool belongs =
        group.service.empty() || group.service == server.record().service;
    if (belongs && server.open() &&
        !evacuations_.Contains(server.record().data_centre)) {
      servers.emplace_back(&server);
    }
  });
  std::ranges::shuffle(servers, random_);
  return servers;
}

void ReachMonitor::ProbeAllIfNeeded() {
  ProbeIfNeeded(all_);
  for (auto& [service, group] : groups_) {
    ProbeIfNeeded(group);
  }
}

void ReachMonitor::ProbeIfNeeded(Group& group) {
  const TimePoint now = loop_.Now();
  const std::size_t servers = group.service.empty()
                                  ? servers_.size()
                                  : servers_.ServersOf(group.service).size();
  if (!group.reach.NeedsProbes(now, servers)) {
    return;
  }
  const auto probed = routing::ChooseProbed(ServersInRandomOrder(group));
  if (probed.empty()) {
    return;
  }
  group.reach.OnProbesStarted(now);
  group.round = std::make_shared<Round>(Round{this, &group, probed.size()});
  for (const routing::ServerPtr& server : probed) {
    const routing::ServerRecord& record = server->record();
    client_.Probe({record.address, record.port},
                  routing::ServerReach::kProbeTimeout,
                  [round = group.round](bool connected) {
                    if (round->monitor != nullptr) {
                      round->monitor->OnProbeEnded(*round, connected);
                    }
                  });
  }
}

void ReachMonitor::OnProbeEnded(Round& round, bool connected) {
  ++(connected ? round.connected : round.failed);
  Group& group = *round.group;
  if (round.ended ||
      !group.reach.IsDecided(round.probed, round.connected, round.failed)) {
    return;
  }
  round.ended = true;
  if (!group.reach.OnProbesEnded(round.probed, round.connected)) {
    return;
  }
  const bool cut_off = group.reach.is_cut_off();
  LogEvent(cut_off ? "servers_out_of_reach" : "servers_reached_again",
           LogLevel::kWarning)
      .Field("service", group.service.empty() ? "all" : group.service)
      .Field("probed", round.probed)
      .Field("connected", round.connected);
  on_changed_(group.service, cut_off);
}

}  // namespace gentianroute::gateway
