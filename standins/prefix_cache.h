#ifndef GENTIANROUTE_STANDINS_PREFIX_CACHE_H_
#define GENTIANROUTE_STANDINS_PREFIX_CACHE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianroute::standin {

/// @brief Prompt prefixes that an engine holds, least recently used out first.
/// Numbers its changes and keeps the last ones for `GET /v1/cache-events`.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Looks a prefix up, and holds it from now on.
  /// @param prefix its key, as docs/BACKENDS.md says
  /// @param lost the event takes its number but is never published
  /// @return whether it was held
  bool Touch(const std::string& prefix, bool lost) {
    const auto found = std::ranges::find(prefixes_, prefix);
    const bool cached = found != prefixes_.end();
    if (cached) {
      prefixes_.erase(found);
    }
    prefixes_.push_front(prefix);
    nlohmann::json removed = nlohmann::json::array();
    if (prefixes_.size() > capacity_) {
      removed.push_back(prefixes_.back());
      prefixes_.pop_back();
    }
    if (!cached) {
      Publish(prefix, std::move(removed), lost);
    }
    return cached;
  }

  std::uint64_t last_sequence() const { return last_sequence_; }

  /// @brief Events numbered above `after`, oldest first.
  nlohmann::json EventsAfter(std::uint64_t after) const {
    nlohmann::json events = nlohmann::json::array();
    for (const nlohmann::json& event : events_) {
      if (event.at("sequence") > after) {
        events.push_back(event);
      }
    }
    return events;
  }

 private:
  static constexpr std::size_t kMaxEvents = 256;

  void Publish(const std::string& added, nlohmann::json removed, bool lost) {
    ++last_sequence_;
    if (lost) {
      return;
    }
    events_.push_back({{"sequence", last_sequence_},
                       {"added", nlohmann::json::array({added})},
                       {"removed", std::move(removed)}});
    if (events_.size() > kMaxEvents) {
      events_.pop_front();
    }
  }

  std::size_t capacity_;
  std::list<std::string> prefixes_;
  std::deque<nlohmann::json> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_PREFIX_CACHE_H_
