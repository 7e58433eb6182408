#include "gentianroute/decision/order_issuer.h"

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

using Assignment = std::map<std::string, EngineState>;
using KnownStates = std::map<std::string, std::optional<EngineState>>;

/// Assigns up to `vacancies` unassigned engines to a group.
/// @param only_running assigns only engines that already have the group's state
/// @return number of vacancies left
std::uint32_t FillGroup(Assignment& assignment,
                        const KnownStates& engines,
                        const EngineGroup& group,
                        std::uint32_t vacancies,
                        bool only_running) {
  for (const auto& [name, state] : engines) {
    if (vacancies == 0) {
      break;
    }
    const bool running = state.has_value() && *state == group.state;
    if ((running || !only_running) && !assignment.contains(name)) {
      assignment[name] = group.state;
      --vacancies;
    }
  }
  return vacancies;
}

}  // namespace

std::map<std::string, EngineState> AssignEngines(
    std::span<const EngineGroup> groups,
    const std::map<std::string, std::optional<EngineState>>& engines) {
  Assignment assignment;
  for (const EngineGroup& group : groups) {
    for (const std::string& server : group.servers) {
      if (engines.contains(server)) {
        assignment.try_emplace(server, group.state);
      }
    }
  }
  std::vector<std::uint32_t> vacancies;
  vacancies.reserve(groups.size());
  for (const EngineGroup& group : groups) {
    vacancies.push_back(
        FillGroup(assignment, engines, group, group.count, true));
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    FillGroup(assignment, engines, groups[i], vacancies[i], false);
  }
  return assignment;
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
    // The lease was acquired anew; other holders may have sent orders since.
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
  const Assignment assignment = AssignEngines(groups_, known);
  for (auto& [name, engine] : engines_) {
    // One order at a time: on an engine that ignores the fencing token, a
    // delayed older order would undo a newer one.
    if (now < engine.order_pending_until) {
      continue;
    }
    const auto wanted = assignment.find(name);
    if (wanted != assignment.end() && engine.state.has_value() &&
        *engine.state != wanted->second) {
      engine.order_pending_until = now + options_.max_order_delay;
      engine.state.reset();
      engine.next_read = now + options_.max_order_delay;
      engine.last_order_number = ++order_count_;
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
