#include "gentianroute/routing/service_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace gentianroute::routing {
namespace {

/// Share of the logarithmic error of an answer that is applied to an estimate.
constexpr double kLearningRate = 0.25;
/// Bound on the logarithmic error of one answer; corresponds to a factor of
/// 4.5.
constexpr double kMaxLogError = 1.5;
/// Bounds on the estimates; no real server lies outside of them.
constexpr double kMinServiceMs = 0.5;
constexpr double kMaxServiceMs = 20'000.0;
constexpr double kMinPrefillTokenMs = 1e-5;
constexpr double kMaxPrefillTokenMs = 10.0;
constexpr double kMinDecodeTokenMs = 0.01;
constexpr double kMaxDecodeTokenMs = 1000.0;

double LogError(Duration taken, double expected_ms) {
  const double taken_ms = std::max(kMinServiceMs, Milliseconds(taken));
  return std::clamp(std::log(taken_ms / std::max(kMinServiceMs, expected_ms)),
                    -kMaxLogError, kMaxLogError);
}

double Adjusted(double value, double error, double min, double max) {
  return std::clamp(value * std::exp(kLearningRate * error), min, max);
}

}  // namespace

void ServiceTimeEstimate::OnAnswer(double waves, Duration taken) {
  const double error = LogError(taken, service_ms_ * std::max(1.0, waves));
  service_ms_ = Adjusted(service_ms_, error, kMinServiceMs, kMaxServiceMs);
}

void ServiceTimeEstimate::OnFirstEvent(double prefill_tokens, Duration taken) {
  const double prefill_ms = prefill_tokens * prefill_token_ms_;
  const double expected_ms = service_ms_ + prefill_ms;
  const double error = LogError(taken, expected_ms);
  // The error is split in proportion to the two parts of the expected time.
  const double prefill_share = prefill_ms / expected_ms;
  prefill_token_ms_ = Adjusted(prefill_token_ms_, error * prefill_share,
                               kMinPrefillTokenMs, kMaxPrefillTokenMs);
  service_ms_ = Adjusted(service_ms_, error * (1.0 - prefill_share),
                         kMinServiceMs, kMaxServiceMs);
}

void ServiceTimeEstimate::OnStreamEnd(double tokens, Duration taken) {
  stream_ms_ = Adjusted(stream_ms_, LogError(taken, stream_ms_), kMinServiceMs,
                        kMaxServiceMs);
  if (tokens > 0) {
    decode_token_ms_ =
        Adjusted(decode_token_ms_, LogError(taken, decode_token_ms_ * tokens),
                 kMinDecodeTokenMs, kMaxDecodeTokenMs);
  }
}

}  // namespace gentianroute::routing
