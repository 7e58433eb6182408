#include "gentianroute/decision/order_issuer.h"

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

using Assigned = std::map<std::string, EngineState>;
using Known = std::map<std::string, std::optional<EngineState>>;

/// Takes up to `room` free engines; only those that run the state already, or
/// any.
std::uint32_t Fill(Assigned& assigned,
                   const Known& engines,
                   const EngineGroup& group,
                   std::uint32_t room,
                   bool running_only) {
  for (const auto& [name, state] : engines) {
    if (room == 0) {
      break;
    }
    const bool running = state.has_value() && *state == group.state;
    if ((running || !running_only) && !assigned.contains(name)) {
      assigned[name] = group.state;
      --room;
    }
  }
  return room;
}

}  // namespace

std::map<std::string, EngineState> AssignEngines(
    std::span<const EngineGroup> groups,
    const std::map<std::string, std::optional<EngineState>>& engines) {
  Assigned assigned;
  for (const EngineGroup& group : groups) {
    for (const std::string& server : group.servers) {
      if (engines.contains(server)) {
        assigned.try_emplace(server, group.state);
      }
    }
  }
  std::vector<std::uint32_t> room;
  room.reserve(groups.size());
  for (const EngineGroup& group : groups) {
    room.push_back(Fill(assigned, engines, group, group.count, true));
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    Fill(assigned, engines, groups[i], room[i], false);
  }
  return assigned;
}

void OrderIssuer::SetGroups(std::vector<EngineGroup> groups) {
  groups_ = std::move(groups);
}

void OrderIssuer::SetEngines(std::span<const std::string> engines) {
  std::erase_if(engines_, [engines](const auto& item) {
    return std::ranges::find(engines, item.first) == engines.end();
  });
  for (const std::string& engine : engines) {
    engines_.try_emplace(engine);
  }
}

OrderIssuer::Steps OrderIssuer::Advance(TimePoint now,
                                        const LeaseKeeper& lease) {
  Steps steps;
  if (!lease.MaySend(now) || groups_.empty()) {
    return steps;
  }
  if (lease.fencing() != fencing_) {
    // A new term: another holder may have changed anything meanwhile.
    GR_INVARIANT(lease.fencing() > fencing_);
    fencing_ = lease.fencing();
    for (auto& [name, engine] : engines_) {
      engine.state.reset();
      engine.next_read = now;
    }
  }
  Known known;
  for (const auto& [name, engine] : engines_) {
    known[name] = engine.state;
  }
  const Assigned assigned = AssignEngines(groups_, known);
  for (auto& [name, engine] : engines_) {
    // One order at a time: an older one that is slow would otherwise undo a
    // newer one on an engine that ignores the number.
    if (now < engine.order_until) {
      continue;
    }
    const auto wanted = assigned.find(name);
    if (wanted != assigned.end() && engine.state.has_value() &&
        *engine.state != wanted->second) {
      engine.order_until = now + options_.longest_order;
      engine.state.reset();
      engine.next_read = now + options_.longest_order;
      engine.order = ++orders_;
      steps.orders.push_back({name, fencing_, engine.order, wanted->second});
    } else if (now >= engine.next_read) {
      engine.next_read = now + options_.read_every;
      steps.reads.push_back(name);
    }
  }
  return steps;
}

bool OrderIssuer::MayWrite(TimePoint now,
                           const LeaseKeeper& lease,
                           const EngineOrder& order) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end() || !lease.MaySend(now, order.fencing)) {
    return false;
  }
  Engine& engine = found->second;
  if (engine.order != order.number || now >= engine.order_until) {
    return false;
  }
  engine.order_until = now + options_.longest_order;
  engine.next_read = engine.order_until;
  return true;
}

void OrderIssuer::OnState(std::string_view engine,
                          std::optional<EngineState> state) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.state = std::move(state);
  }
}

void OrderIssuer::OnOrderAnswered(std::string_view engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.order_until = {};
    found->second.next_read = {};
  }
}

bool OrderIssuer::InFlight(TimePoint now) const {
  return std::ranges::any_of(engines_, [now](const auto& item) {
    return now < item.second.order_until;
  });
}

}  // namespace gentianroute
