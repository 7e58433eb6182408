#ifndef GENTIANROUTE_ROUTING_BRITTLE_SERVICES_H_
#define GENTIANROUTE_ROUTING_BRITTLE_SERVICES_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/named_value.h"

namespace gentianroute::routing {

/// @brief The services whose servers are brittle: one that has to turn away
/// more requests in a second than it bears, for want of room, falls over. All
/// servers of a service are brittle at the same time and say so in all answers.
class BrittleServices {
 public:
  /// @brief See NamedValue; the value is the number of rejections a second that
  /// a server bears.
  bool OnAnswer(TimePoint now,
                TimePoint sent_at,
                std::string_view service,
                std::optional<double> rejections_per_second) {
    const auto found = services_.find(service);
    if (found == services_.end() && !rejections_per_second) {
      return false;
    }
    return Of(service).OnAnswer(now, sent_at, rejections_per_second);
  }
  bool OnPeerReport(TimePoint now,
                    std::string_view service,
                    const NamedValueReport& report) {
    return Of(service).OnPeerReport(now, report);
  }

  bool Contains(std::string_view service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.value();
  }
  /// @brief Calls `visit` for each service that peers have to be told of.
  void ForEachReport(
      TimePoint now,
      const std::function<void(std::string_view, const NamedValueReport&)>&
          visit) const {
    for (const auto& [service, named] : services_) {
      if (const auto report = named.Report(now)) {
        visit(service, *report);
      }
    }
  }

 private:
  NamedValue& Of(std::string_view service) {
    const auto found = services_.find(service);
    return found != services_.end() ? found->second
                                    : services_[std::string(service)];
  }

  /// Services that were brittle once; as few as the deployment has.
  std::map<std::string, NamedValue, std::less<>> services_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_BRITTLE_SERVICES_H_
