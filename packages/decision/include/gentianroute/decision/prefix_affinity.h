#ifndef GENTIANROUTE_DECISION_PREFIX_AFFINITY_H_
#define GENTIANROUTE_DECISION_PREFIX_AFFINITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gentianroute {

/// @brief One event of an engine's prefix cache, as the engine numbers them.
struct CacheEvent {
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< one more than the event before
  std::span<const std::uint64_t> added;
  std::span<const std::uint64_t> removed;
};

/// @brief What is believed of the engines' prefix caches.
///
/// Events come late and with gaps. In a gap evictions may have been missed, and
/// a call sent for a prefix that is gone loads the engine for nothing. Engines
/// evict what they hold longest, so as many of the oldest prefixes as the gap
/// may have evicted are discarded. Discarding all of them would leave nearly
/// nothing to prefer by once a fifth of the events is lost; a wrong belief that
/// is left costs one prompt's reading, and no promise.
class PrefixAffinity {
 public:
  /// @brief Takes an event in; an old one changes nothing.
  /// @return false if a gap or a restart discarded something
  /// @complexity logarithmic in prefixes and holders, plus what is discarded
  bool OnEvent(const CacheEvent& event);

  /// @brief Forgets an engine that is gone.
  void RemoveEngine(std::string_view engine);

  bool Holds(std::string_view engine, std::uint64_t prefix) const;

  /// @brief Engines believed to hold a prefix, by name.
  const std::set<std::string, std::less<>>& Holders(std::uint64_t prefix) const;

 private:
  struct Cache {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::size_t max_removed = 1;  ///< by one event
    std::uint64_t next_age = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> ages;  ///< by prefix
    std::map<std::uint64_t, std::uint64_t> prefixes;        ///< by age
  };

  void Add(const std::string& engine, Cache& cache, std::uint64_t prefix);
  void Drop(const std::string& engine, Cache& cache, std::uint64_t prefix);
  void DropOldest(const std::string& engine, Cache& cache, std::size_t count);
  void DropAll(const std::string& engine, Cache& cache);
  void RemoveHolder(const std::string& engine, std::uint64_t prefix);

  std::map<std::string, Cache, std::less<>> caches_;
  std::unordered_map<std::uint64_t, std::set<std::string, std::less<>>>
      holders_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_PREFIX_AFFINITY_H_
