#include "gentianroute/observe/service_level.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace gentianroute {
namespace {

constexpr auto kFirstServerSideError = ErrorKind::kOverloaded;

}  // namespace

double Attainment::Share() const {
  return total == 0
             ? 1
             : static_cast<double>(attained) / static_cast<double>(total);
}

double Attainment::BurnRate(double target) const {
  constexpr double kMinErrorBudget = 1e-6;
  return (1 - Share()) / std::max(1 - target, kMinErrorBudget);
}

bool CountsForServiceLevel(std::optional<ErrorKind> error) {
  // Error kinds with lower numbers are errors of the caller, such as a
  // malformed request, which no daemon could answer.
  return !error.has_value() || *error >= kFirstServerSideError;
}

void ServiceLevels::Observe(TimePoint now,
                            std::string_view service,
                            bool attained) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.try_emplace(std::string(service)).first;
  }
  Rings& rings = found->second;
  ++rings.since_start.total;
  rings.since_start.attained += attained ? 1 : 0;
  rings.short_ring.Add(now, attained);
  rings.long_ring.Add(now, attained);
}

std::string ServiceLevels::Export() const {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, rings] : services_) {
    nlohmann::json slots = nlohmann::json::array();
    for (const auto& slot : rings.long_ring.Export()) {
      slots.push_back({slot.number, slot.sum.total, slot.sum.attained});
    }
    services[name] = std::move(slots);
  }
  return services.dump();
}

bool ServiceLevels::Import(TimePoint now, std::string_view text) {
  std::map<std::string, Rings, std::less<>> merged = services_;
  try {
    const nlohmann::json services = nlohmann::json::parse(text);
    for (const auto& [name, slots] : services.items()) {
      Rings& rings = merged.try_emplace(name).first->second;
      for (const nlohmann::json& slot : slots) {
        rings.long_ring.Import(now, {slot.at(0), {slot.at(1), slot.at(2)}});
      }
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  services_ = std::move(merged);
  return true;
}

std::vector<ServiceLevels::Service> ServiceLevels::Report(TimePoint now) const {
  std::vector<Service> report;
  for (const auto& [name, rings] : services_) {
    Service service{name, rings.since_start, {}};
    for (std::size_t i = 0; i < kWindows.size(); ++i) {
      const Duration window = kWindows[i];
      service.windows[i] = window <= kShortSlot * kShortSlots
                               ? rings.short_ring.Sum(now, window)
                               : rings.long_ring.Sum(now, window);
    }
    report.push_back(std::move(service));
  }
  return report;
}

}  // namespace gentianroute
