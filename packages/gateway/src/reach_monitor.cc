#include "gentianroute/gateway/reach_monitor.h"

#include <algorithm>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {

/// Probes that were started together.
struct ReachMonitor::Round {
  ReachMonitor* monitor = nullptr;  ///< null once it is destroyed
  std::size_t pending = 0;
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
                       [this] { ProbeIfNeeded(); });
}

ReachMonitor::~ReachMonitor() {
  loop_.Cancel(timer_);
  if (round_ != nullptr) {
    round_->monitor = nullptr;
  }
}

void ReachMonitor::OnNotConnected(std::string_view server) {
  reach_.OnNotConnected(loop_.Now(), server);
  ProbeIfNeeded();
}

void ReachMonitor::OnNoAnswer(std::string_view server) {
  reach_.OnNoAnswer(loop_.Now(), server);
  ProbeIfNeeded();
}

std::vector<routing::ServerPtr> ReachMonitor::ServersInRandomOrder() {
  std::vector<routing::ServerPtr> servers;
  servers_.ForEach([&](routing::Server& server) {
    if (server.open() && !evacuations_.Contains(server.record().data_centre)) {
      servers.emplace_back(&server);
    }
  });
  std::ranges::shuffle(servers, random_);
  return servers;
}

void ReachMonitor::ProbeIfNeeded() {
  const TimePoint now = loop_.Now();
  if (!reach_.NeedsProbes(now, servers_.size())) {
    return;
  }
  const auto probed = routing::ChooseProbed(ServersInRandomOrder());
  if (probed.empty()) {
    return;
  }
  reach_.OnProbesStarted(now);
  round_ = std::make_shared<Round>(Round{this, probed.size()});
  for (const routing::ServerPtr& server : probed) {
    const routing::ServerRecord& record = server->record();
    client_.Probe({record.address, record.port},
                  routing::ServerReach::kProbeTimeout,
                  [round = round_](bool connected) {
                    if (round->monitor != nullptr) {
                      round->monitor->OnProbeEnded(*round, connected);
                    }
                  });
  }
}

void ReachMonitor::OnProbeEnded(Round& round, bool connected) {
  --round.pending;
  const bool ends_round = connected || round.pending == 0;
  if (round.ended || !ends_round) {
    return;
  }
  round.ended = true;
  if (!reach_.OnProbesEnded(connected)) {
    return;
  }
  LogEvent(connected ? "servers_reached_again" : "servers_out_of_reach",
           LogLevel::kWarning)
      .Field("servers", servers_.size());
  on_changed_(reach_.is_cut_off());
}

}  // namespace gentianroute::gateway
