#ifndef GENTIANROUTE_ROUTING_SERVICE_PACE_H_
#define GENTIANROUTE_ROUTING_SERVICE_PACE_H_

#include <map>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief How fast the servers of one service are, learnt from their answers.
///
/// Deployments differ by an order of magnitude in what their servers read and
/// answer. An expectation that is too short takes a long prompt for a silent
/// server; one that is too long waits for a server that is gone.
///
/// Each answer moves the figures by a bounded share of its logarithmic error,
/// so a few odd answers move them little and figures that are ten times off are
/// right after some twenty answers.
class ServicePace {
 public:
  /// @brief Time that a plain service's server takes for a call.
  Duration Work() const { return FromMilliseconds(work_ms_); }
  /// @brief Time until the first event of a generation.
  /// @param unread tokens that the server reads before, other requests' too
  Duration FirstEvent(double unread) const { return Work() + Reading(unread); }
  /// @brief Time that a model server takes to read so many tokens.
  Duration Reading(double tokens) const {
    return FromMilliseconds(tokens * token_ms_);
  }
  /// @brief Time from the first event of a generation to its last.
  Duration Run() const { return FromMilliseconds(run_ms_); }
  /// @brief Time that a model server takes to make so many tokens.
  Duration Making(double tokens) const {
    return FromMilliseconds(tokens * step_ms_);
  }

  /// @param waves how many calls' work the call waited for, its own included
  void OnAnswer(double waves, Duration taken);
  /// @param unread as for FirstEvent()
  void OnFirstEvent(double unread, Duration taken);
  /// @param tokens that the caller expected; right for half of the callers
  void OnRun(double tokens, Duration taken);

 private:
  /// Safe starts: rather too slow, so that nothing is taken for silent before
  /// the first answers are seen.
  double work_ms_ = 50.0;
  double token_ms_ = 0.02;
  double run_ms_ = 1000.0;
  double step_ms_ = 5.0;
};

/// @brief The paces of all services.
class PaceBook {
 public:
  ServicePace& Of(std::string_view service) {
    const auto found = paces_.find(service);
    return found != paces_.end()
               ? found->second
               : paces_.emplace(std::string(service), ServicePace{})
                     .first->second;
  }

 private:
  std::map<std::string, ServicePace, std::less<>> paces_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVICE_PACE_H_
