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

/// @brief A change of an engine's prefix cache, as the engine reports it.
struct CacheEvent {
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;            ///< consecutive within an incarnation
  std::span<const std::uint64_t> added;  ///< hashes of prefixes
  std::span<const std::uint64_t> removed;  ///< hashes of prefixes
};

/// @brief Approximate contents of the engines' prefix caches.
///
/// Events arrive late, and some are lost. A lost event may have been an
/// eviction, and a call routed to an engine for an evicted prefix loads that
/// engine for no gain. Engines evict the oldest prefixes first, so after a gap
/// as many of the oldest prefixes are dropped as the lost events may have
/// evicted. Dropping all of the engine's prefixes would leave almost nothing to
/// route by if a fifth of the events is lost. A stale entry costs one prefill
/// and breaks no guarantee.
class PrefixAffinity {
 public:
  /// @brief Applies an event; ignores one that is older than the last.
  /// @return false after a gap or a restart of the engine, when prefixes may
  /// have been dropped
  /// @complexity logarithmic in prefixes and holders for each prefix added,
  /// removed or dropped
  bool OnEvent(const CacheEvent& event);

  /// @brief Removes an engine that no longer exists, with all its prefixes.
  void RemoveEngine(std::string_view engine);

  /// @brief Whether the engine probably has the prefix in its cache.
  bool Holds(std::string_view engine, std::uint64_t prefix) const;

  /// @brief Returns the names of the engines that probably have a prefix
  /// cached.
  const std::set<std::string, std::less<>>& Holders(std::uint64_t prefix) const;

 private:
  struct Cache {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::size_t max_removed = 1;  ///< most prefixes removed by one event
    std::uint64_t next_insertion = 0;
    /// Insertion number of each prefix.
    std::unordered_map<std::uint64_t, std::uint64_t> insertions;
    /// Prefix of each insertion number; the oldest prefix comes first.
    std::map<std::uint64_t, std::uint64_t> prefixes;
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
