#include "rollout.h"

#include <thread>

namespace gentianroute::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{100};

void AddDaemon(RolloutStatus& rollout,
               std::uint64_t expected_revision,
               const std::string& name,
               std::uint64_t revision,
               bool reachable) {
  const bool has_revision = revision >= expected_revision;
  rollout.in_force_everywhere =
      rollout.in_force_everywhere && (has_revision || !reachable);
  rollout.daemons.push_back({{"name", name},
                             {"revision", revision},
                             {"in_force", has_revision},
                             {"reachable", reachable}});
  rollout.text += "  " + name + ": revision " + std::to_string(revision) +
                  (has_revision ? " in force" : " still") +
                  (reachable ? "" : ", out of reach") + "\n";
}

/// Polls one daemon; without an answer it counts as reachable and lagging.
void QueryDaemon(RolloutStatus& rollout,
                 std::uint64_t expected_revision,
                 const DaemonAddress& daemon,
                 bool with_peers) {
  const HttpResult result = CallDaemon(daemon, "GET", "/status", {});
  const json status = json::parse(result.body, nullptr, false);
  if (!result.complete || !status.is_object()) {
    AddDaemon(rollout, expected_revision, daemon.Text(), 0, true);
    return;
  }
  AddDaemon(rollout, expected_revision, status.at("name"),
            status.at("revision"), true);
  if (!with_peers) {
    return;
  }
  for (const json& peer : status.at("peer_revisions")) {
    AddDaemon(rollout, expected_revision, peer.at("name"), peer.at("revision"),
              peer.at("reachable"));
  }
}

RolloutStatus QueryRollout(const CommonOptions& common,
                           std::uint64_t expected_revision) {
  RolloutStatus rollout;
  rollout.in_force_everywhere = true;
  QueryDaemon(rollout, expected_revision, common.daemon, true);
  for (const DaemonAddress& daemon : common.other_daemons) {
    QueryDaemon(rollout, expected_revision, daemon, false);
  }
  return rollout;
}

}  // namespace

RolloutStatus WaitForRollout(const CommonOptions& common,
                             std::uint64_t revision,
                             std::chrono::seconds timeout) {
  const Clock::time_point deadline = Clock::now() + timeout;
  while (true) {
    RolloutStatus rollout = QueryRollout(common, revision);
    if (rollout.in_force_everywhere || Clock::now() >= deadline) {
      return rollout;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace gentianroute::ctl
