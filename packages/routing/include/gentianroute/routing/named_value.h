#ifndef GENTIANROUTE_ROUTING_NAMED_VALUE_H_
#define GENTIANROUTE_ROUTING_NAMED_VALUE_H_

#include <chrono>
#include <optional>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief What servers say of a value in their answers, as one daemon tells
/// others.
struct NamedValueReport {
  std::optional<double> value;  ///< empty: it is no longer named
  Duration age{};
};

/// @brief A value that is in force for as long as servers name it in their
/// answers, learnt from own answers and from peers.
class NamedValue {
 public:
  /// Time for which peers are told that a value is no longer named.
  static constexpr Duration kEndReportTime = std::chrono::seconds(10);

  /// @brief Records what an answer says.
  /// @param sent_at time of its request: an answer to a request from before the
  /// value was named doesn't end it
  /// @return whether the value has changed
  bool OnAnswer(TimePoint now, TimePoint sent_at, std::optional<double> value) {
    if (!value && (!value_ || sent_at < named_since_)) {
      return false;
    }
    seen_here_ = true;
    return Set(now, now, value);
  }
  /// @brief Records what a peer says. Older news than the known ones are
  /// ignored.
  /// @return whether the value has changed
  bool OnPeerReport(TimePoint now, const NamedValueReport& report) {
    const TimePoint observed_at = now - report.age;
    if (observed_at <= observed_at_) {
      return false;
    }
    seen_here_ = false;
    return Set(now, observed_at, report.value);
  }

  /// @brief Empty if no value is named.
  const std::optional<double>& value() const { return value_; }
  /// @brief Since when a value has been named, as far as this daemon knows.
  TimePoint named_since() const { return named_since_; }
  /// @brief What to tell peers; empty if this daemon has not observed it or it
  /// is no news.
  std::optional<NamedValueReport> Report(TimePoint now) const {
    const bool is_news = value_ || now - observed_at_ < kEndReportTime;
    if (!seen_here_ || !is_news) {
      return std::nullopt;
    }
    return NamedValueReport{value_, now - observed_at_};
  }

 private:
  bool Set(TimePoint now, TimePoint observed_at, std::optional<double> value) {
    if (!value_ && value) {
      named_since_ = now;
    }
    observed_at_ = observed_at;
    const bool changed = value_ != value;
    value_ = value;
    return changed;
  }

  std::optional<double> value_;
  bool seen_here_ = false;  ///< the last news come from an answer, not a peer
  TimePoint observed_at_{};
  TimePoint named_since_{};
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_NAMED_VALUE_H_
