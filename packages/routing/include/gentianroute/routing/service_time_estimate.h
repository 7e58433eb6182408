#ifndef GENTIANROUTE_ROUTING_SERVICE_TIME_ESTIMATE_H_
#define GENTIANROUTE_ROUTING_SERVICE_TIME_ESTIMATE_H_

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
class ServiceTimeEstimate {
 public:
  /// @brief Time that a plain service's server takes for a call.
  Duration ServiceTime() const { return FromMilliseconds(service_ms_); }
  /// @brief Time until the first event of a generation.
  /// @param prefill_tokens tokens that the server reads before, other requests'
  /// too
  Duration TimeToFirstEvent(double prefill_tokens) const {
    return ServiceTime() + PrefillTime(prefill_tokens);
  }
  /// @brief Time that a model server takes to read so many tokens.
  Duration PrefillTime(double tokens) const {
    return FromMilliseconds(tokens * prefill_token_ms_);
  }
  /// @brief Time from the first event of a generation to its last.
  Duration StreamTime() const { return FromMilliseconds(stream_ms_); }
  /// @brief Time that a model server takes to make so many tokens.
  Duration DecodeTime(double tokens) const {
    return FromMilliseconds(tokens * decode_token_ms_);
  }

  /// @param waves how many calls' work the call waited for, its own included
  void OnAnswer(double waves, Duration taken);
  /// @param prefill_tokens as for TimeToFirstEvent()
  void OnFirstEvent(double prefill_tokens, Duration taken);
  /// @param tokens that the caller expected; right for half of the callers
  void OnStreamEnd(double tokens, Duration taken);

 private:
  /// Safe starts: rather too slow, so that nothing is taken for silent before
  /// the first answers are seen.
  double service_ms_ = 50.0;
  double prefill_token_ms_ = 0.02;
  double stream_ms_ = 1000.0;
  double decode_token_ms_ = 5.0;
};

/// @brief The paces of all services.
class ServiceTimeEstimates {
 public:
  ServiceTimeEstimate& Of(std::string_view service) {
    const auto found = estimates_.find(service);
    return found != estimates_.end()
               ? found->second
               : estimates_.emplace(std::string(service), ServiceTimeEstimate{})
                     .first->second;
  }

 private:
  std::map<std::string, ServiceTimeEstimate, std::less<>> estimates_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVICE_TIME_ESTIMATE_H_
