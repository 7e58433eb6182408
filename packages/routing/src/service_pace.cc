#include "gentianroute/routing/service_pace.h"

#include <algorithm>
#include <cmath>

namespace gentianroute::routing {
namespace {

/// Share of an answer's logarithmic error by which it moves a figure.
constexpr double kGain = 0.25;
/// Bound on the error of one answer, as a logarithm: a factor of 4.5.
constexpr double kMostError = 1.5;
/// Bounds on what is learnt; beyond them lies no server.
constexpr double kLeastWorkMs = 0.5;
constexpr double kMostWorkMs = 20'000.0;
constexpr double kLeastTokenMs = 1e-5;
constexpr double kMostTokenMs = 10.0;
constexpr double kLeastStepMs = 0.01;
constexpr double kMostStepMs = 1000.0;

double Error(Duration taken, double expected_ms) {
  const double taken_ms = std::max(kLeastWorkMs, Milliseconds(taken));
  return std::clamp(std::log(taken_ms / std::max(kLeastWorkMs, expected_ms)),
                    -kMostError, kMostError);
}

double Moved(double value, double error, double least, double most) {
  return std::clamp(value * std::exp(kGain * error), least, most);
}

}  // namespace

void ServicePace::OnAnswer(double waves, Duration taken) {
  const double error = Error(taken, work_ms_ * std::max(1.0, waves));
  work_ms_ = Moved(work_ms_, error, kLeastWorkMs, kMostWorkMs);
}

void ServicePace::OnFirstEvent(double unread, Duration taken) {
  const double reading_ms = unread * token_ms_;
  const double expected_ms = work_ms_ + reading_ms;
  const double error = Error(taken, expected_ms);
  // Each part takes as much of the error as it has of the expectation.
  const double of_reading = reading_ms / expected_ms;
  token_ms_ = Moved(token_ms_, error * of_reading, kLeastTokenMs, kMostTokenMs);
  work_ms_ =
      Moved(work_ms_, error * (1.0 - of_reading), kLeastWorkMs, kMostWorkMs);
}

void ServicePace::OnRun(double tokens, Duration taken) {
  run_ms_ = Moved(run_ms_, Error(taken, run_ms_), kLeastWorkMs, kMostWorkMs);
  if (tokens > 0) {
    step_ms_ = Moved(step_ms_, Error(taken, step_ms_ * tokens), kLeastStepMs,
                     kMostStepMs);
  }
}

}  // namespace gentianroute::routing
