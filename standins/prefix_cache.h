#ifndef GENTIANROUTE_STANDINS_PREFIX_CACHE_H_
#define GENTIANROUTE_STANDINS_PREFIX_CACHE_H_

#include <algorithm>
#include <cstddef>
#include <list>
#include <string>

namespace gentianroute::standin {

/// @brief Prompt prefixes that an engine holds, least recently used out first.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Looks a prefix up, and holds it from now on.
  /// @return whether it was held
  bool Touch(const std::string& prefix) {
    const auto found = std::ranges::find(prefixes_, prefix);
    const bool held = found != prefixes_.end();
    if (held) {
      prefixes_.erase(found);
    }
    prefixes_.push_front(prefix);
    if (prefixes_.size() > capacity_) {
      prefixes_.pop_back();
    }
    return held;
  }

 private:
  std::size_t capacity_;
  std::list<std::string> prefixes_;
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_PREFIX_CACHE_H_
