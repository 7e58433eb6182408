#ifndef GENTIANROUTE_ROUTING_PROMPT_CACHE_H_
#define GENTIANROUTE_ROUTING_PROMPT_CACHE_H_

#include <map>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/prompt.h"

namespace gentianroute::routing {

/// @brief Shared parts of prompts that one model server has read for requests
/// of this daemon, and keeps until they are the least recently last_used.
///
/// It ends with the server's incarnation. What other daemons sent there is not
/// in it; by the homes of subjects, it is mostly the same.
class PromptCache {
 public:
  /// @brief Tokens of the shared parts that have to be read: those from the
  /// first on that is not kept.
  double UncachedSharedTokens(const Prompt& prompt) const;
  /// @brief The server has read a prompt.
  /// @param capacity tokens that it can keep; older parts go beyond that
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
