#ifndef GENTIANROUTE_ROUTING_SERVICE_TIME_ESTIMATE_H_
#define GENTIANROUTE_ROUTING_SERVICE_TIME_ESTIMATE_H_

#include <map>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Estimates of the speed of the servers of one service, learned from
/// their answers.
///
/// Servers of different deployments differ by an order of magnitude. If the
/// estimate is too low, a server that processes a long prompt is mistaken for
/// an unresponsive one; if it is too high, failed servers are detected too
/// late.
///
/// Each answer changes the estimates by a bounded share of its logarithmic
/// error, so that single outliers have little effect and estimates that are off
/// by a factor of ten are corrected within about twenty answers.
class ServiceTimeEstimate {
 public:
  /// @brief Time that a server of a plain service takes for one call.
  Duration ServiceTime() const { return FromMilliseconds(service_ms_); }
  /// @brief Time to the first event of a generation.
  /// @param prefill_tokens tokens to prefill before it, including those of
  /// queued requests
  Duration TimeToFirstEvent(double prefill_tokens) const {
    return ServiceTime() + PrefillTime(prefill_tokens);
  }
  /// @brief Time that a model server takes to prefill `tokens` tokens.
  Duration PrefillTime(double tokens) const {
    return FromMilliseconds(tokens * prefill_token_ms_);
  }
  /// @brief Time from the first to the last event of a generation.
  Duration StreamTime() const { return FromMilliseconds(stream_ms_); }
  /// @brief Time that a model server takes to decode `tokens` tokens.
  Duration DecodeTime(double tokens) const {
    return FromMilliseconds(tokens * decode_token_ms_);
  }

  /// @param waves as returned by WavesAt() when the call was sent
  void OnAnswer(double waves, Duration taken);
  /// @param prefill_tokens as for TimeToFirstEvent()
  void OnFirstEvent(double prefill_tokens, Duration taken);
  /// @param tokens number expected by the caller; right for about half of the
  /// callers
  void OnStreamEnd(double tokens, Duration taken);

 private:
  /// Initial values are on the slow side, so that no server is taken for
  /// unresponsive before the first answers have been seen.
  double service_ms_ = 50.0;
  double prefill_token_ms_ = 0.02;
  double stream_ms_ = 1000.0;
  double decode_token_ms_ = 5.0;
};

/// @brief The estimates of all services.
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
