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

/// @brief LRU cache of prompt prefixes. Numbers its changes and retains the
/// latest ones for `GET /v1/cache-events`.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Looks a prefix up and inserts it if it is missing.
  /// @param prefix its key as described in docs/BACKENDS.md
  /// @param lost whether an event of this call uses up a sequence number
  /// without being published
  /// @return whether the prefix was cached before
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

  /// @brief Retained events with a sequence number above `after`, oldest first.
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
