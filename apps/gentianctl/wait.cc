#include "wait.h"

#include <thread>

namespace gentianroute::ctl {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollPeriod{100};

void Note(Waited& waited,
          std::uint64_t wanted,
          const std::string& name,
          std::uint64_t revision,
          bool reachable) {
  const bool has = revision >= wanted;
  waited.in_force = waited.in_force && (has || !reachable);
  waited.daemons.push_back({{"name", name},
                            {"revision", revision},
                            {"in_force", has},
                            {"reachable", reachable}});
  waited.text += "  " + name + ": revision " + std::to_string(revision) +
                 (has ? " in force" : " still") +
                 (reachable ? "" : ", out of reach") + "\n";
}

/// A daemon that is asked and does not answer has not got the revision.
void NoteTarget(Waited& waited,
                std::uint64_t wanted,
                const Target& target,
                bool with_peers) {
  const HttpResult result = Call(target, "GET", "/status", {});
  const json status = json::parse(result.body, nullptr, false);
  if (!result.complete || !status.is_object()) {
    Note(waited, wanted, target.Text(), 0, true);
    return;
  }
  Note(waited, wanted, status.at("name"), status.at("revision"), true);
  if (!with_peers) {
    return;
  }
  for (const json& peer : status.at("peer_revisions")) {
    Note(waited, wanted, peer.at("name"), peer.at("revision"),
         peer.at("reachable"));
  }
}

Waited Look(const CommonOptions& common, std::uint64_t wanted) {
  Waited waited;
  waited.in_force = true;
  NoteTarget(waited, wanted, common.daemon, true);
  for (const Target& target : common.also) {
    NoteTarget(waited, wanted, target, false);
  }
  return waited;
}

}  // namespace

Waited WaitInForce(const CommonOptions& common,
                   std::uint64_t revision,
                   std::chrono::seconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  while (true) {
    Waited waited = Look(common, revision);
    if (waited.in_force || Clock::now() >= end) {
      return waited;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

}  // namespace gentianroute::ctl
