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

void NoteStatus(Waited& waited, std::uint64_t wanted, const json& status) {
  Note(waited, wanted, status.at("name"), status.at("revision"), true);
  for (const json& peer : status.at("peer_revisions")) {
    Note(waited, wanted, peer.at("name"), peer.at("revision"),
         peer.at("reachable"));
  }
}

/// A daemon of --also that does not answer has not got the revision.
void NoteAlso(Waited& waited, std::uint64_t wanted, const Target& target) {
  const HttpResult result = Call(target, "GET", "/status", {});
  const json status = json::parse(result.body, nullptr, false);
  if (!result.whole || !status.is_object()) {
    Note(waited, wanted, target.Text(), 0, true);
    return;
  }
  Note(waited, wanted, status.value("name", target.Text()),
       status.value("revision", std::uint64_t{0}), true);
}

leaf::result<Waited> Look(const CommonOptions& common, std::uint64_t wanted) {
  Waited waited;
  waited.in_force = true;
  BOOST_LEAF_AUTO(status, Get(common.daemon, "/status"));
  NoteStatus(waited, wanted, status);
  for (const std::string& also : common.also) {
    BOOST_LEAF_AUTO(target, ParseTarget(also));
    NoteAlso(waited, wanted, target);
  }
  return waited;
}

}  // namespace

leaf::result<Waited> WaitInForce(const CommonOptions& common,
                                 std::uint64_t revision,
                                 std::chrono::seconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  while (true) {
    BOOST_LEAF_AUTO(waited, Look(common, revision));
    if (waited.in_force || Clock::now() >= end) {
      return waited;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

}  // namespace gentianroute::ctl
