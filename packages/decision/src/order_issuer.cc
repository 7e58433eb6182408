#include "gentianroute/decision/order_issuer.h"

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

using Assignment = std::map<std::string, EngineState>;
using KnownStates = std::map<std::string, std::optional<EngineState>>;

/// Takes up to `vacancies` free engines; only those that run the state already,
/// or any.
std::uint32_t FillGroup(Assignment& assigned,
                        const KnownStates& engines,
                        const EngineGroup& group,
                        std::uint32_t vacancies,
                        bool running_only) {
  for (const auto& [name, state] : engines) {
    if (vacancies == 0) {
      break;
    }
    const bool running = state.has_value() && *state == group.state;
    if ((running || !running_only) && !assigned.contains(name)) {
      assigned[name] = group.state;
      --vacancies;
    }
  }
  return vacancies;
}

}  // namespace

std::map<std::string, EngineState> AssignEngines(
    std::span<const EngineGroup> groups,
    const std::map<std::string, std::optional<EngineState>>& engines) {
  Assignment assigned;
  for (const EngineGroup& group : groups) {
    for (const std::string& server : group.servers) {
      if (engines.contains(server)) {
        assigned.try_emplace(server, group.state);
      }
    }
  }
  std::vector<std::uint32_t> vacancies;
  vacancies.reserve(groups.size());
  for (const EngineGroup& group : groups) {
    vacancies.push_back(FillGroup(assigned, engines, group, group.count, true));
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    FillGroup(assigned, engines, groups[i], vacancies[i], false);
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
  if (!lease.CanSend(now) || groups_.empty()) {
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
  KnownStates known;
  for (const auto& [name, engine] : engines_) {
    known[name] = engine.state;
  }
  const Assignment assigned = AssignEngines(groups_, known);
  for (auto& [name, engine] : engines_) {
    // One order at a time: an older one that is slow would otherwise undo a
    // newer one on an engine that ignores the number.
    if (now < engine.order_pending_until) {
      continue;
    }
    const auto wanted = assigned.find(name);
    if (wanted != assigned.end() && engine.state.has_value() &&
        *engine.state != wanted->second) {
      engine.order_pending_until = now + options_.max_order_delay;
      engine.state.reset();
      engine.next_read = now + options_.max_order_delay;
      engine.last_order_number = ++last_order_number_;
      steps.orders.push_back(
          {name, fencing_, engine.last_order_number, wanted->second});
    } else if (now >= engine.next_read) {
      engine.next_read = now + options_.read_interval;
      steps.reads.push_back(name);
    }
  }
  return steps;
}

bool OrderIssuer::CanWrite(TimePoint now,
                           const LeaseKeeper& lease,
                           const EngineOrder& order) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end() || !lease.CanSend(now, order.fencing)) {
    return false;
  }
  Engine& engine = found->second;
  if (engine.last_order_number != order.number ||
      now >= engine.order_pending_until) {
    return false;
  }
  engine.order_pending_until = now + options_.max_order_delay;
  engine.next_read = engine.order_pending_until;
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
    found->second.order_pending_until = {};
    found->second.next_read = {};
  }
}

bool OrderIssuer::HasOrderInFlight(TimePoint now) const {
  return std::ranges::any_of(engines_, [now](const auto& item) {
    return now < item.second.order_pending_until;
  });
}

}  // namespace gentianroute
