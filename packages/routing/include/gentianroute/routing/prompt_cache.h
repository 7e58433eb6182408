#ifndef GENTIANROUTE_ROUTING_PROMPT_CACHE_H_
#define GENTIANROUTE_ROUTING_PROMPT_CACHE_H_

#include <map>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/prompt.h"

namespace gentianroute::routing {

/// @brief Model of a model server's prefix cache: the shared prompt parts that
/// the server has prefilled for requests of this daemon, with
/// least-recently-used eviction.
///
/// Lives as long as the server's incarnation. Prompts sent by other daemons are
/// unknown, but all daemons send a subject to the same server, so the cached
/// parts are mostly the same.
class PromptCache {
 public:
  /// @brief Number of tokens of shared parts that are not cached. All parts
  /// after the first uncached one count as uncached.
  double UncachedSharedTokens(const Prompt& prompt) const;
  /// @brief Records that the server has prefilled a prompt.
  /// @param capacity of the cache in tokens; the oldest parts beyond it are
  /// evicted
  void OnPrefill(TimePoint now, const Prompt& prompt, double capacity);

 private:
  struct Part {
    double tokens = 0;
    TimePoint last_used{};
  };

  void EvictLeastRecentlyUsed();

  std::map<std::string, Part, std::less<>> parts_;
  double tokens_ = 0;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PROMPT_CACHE_H_
