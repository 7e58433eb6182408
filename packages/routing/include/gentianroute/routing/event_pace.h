#ifndef GENTIANROUTE_ROUTING_EVENT_PACE_H_
#define GENTIANROUTE_ROUTING_EVENT_PACE_H_

#include <optional>
#include <string_view>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Measures the time between the events of one stream as it is relayed.
class EventPace {
 public:
  /// Several events and the time that they took.
  struct Sample {
    double events = 0;
    Duration taken{};
  };

  /// @brief Records received bytes of the stream.
  /// @return a sample, once enough events have arrived since the last one
  std::optional<Sample> OnPart(TimePoint now, std::string_view part) {
    const double ended = CountEventEnds(part);
    if (ended == 0) {
      return std::nullopt;
    }
    if (since_ == TimePoint{}) {
      // The first events include the wait and the prefill.
      since_ = now;
      last_ = now;
      return std::nullopt;
    }
    events_ += ended;
    last_ = now;
    return events_ < kEventsPerSample ? std::nullopt : Take();
  }
  /// @brief Returns a sample of the remaining events at the end of the stream.
  std::optional<Sample> OnEnd() {
    return events_ < kMinEvents ? std::nullopt : Take();
  }

 private:
  static constexpr double kEventsPerSample = 4;
  static constexpr double kMinEvents = 2;

  std::optional<Sample> Take() {
    const Sample sample{events_, last_ - since_};
    events_ = 0;
    since_ = last_;
    return sample;
  }
  /// Number of empty lines, which end events.
  double CountEventEnds(std::string_view part) {
    double ends = 0;
    for (const char c : part) {
      if (c == '\n') {
        ends += at_line_start_ ? 1 : 0;
        at_line_start_ = true;
      } else if (c != '\r') {
        at_line_start_ = false;
      }
    }
    return ends;
  }

  double events_ = 0;  ///< since the last sample
  TimePoint since_{};  ///< zero before the first event
  TimePoint last_{};
  bool at_line_start_ = false;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_EVENT_PACE_H_
