#include "gentianroute/routing/prompt_cache.h"

#include <algorithm>

namespace gentianroute::routing {

double PromptCache::UncachedSharedTokens(const Prompt& prompt) const {
  double uncached = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    if (uncached > 0 || !parts_.contains(part.id)) {
      uncached += part.tokens;
    }
  }
  return uncached;
}

void PromptCache::OnPrefill(TimePoint now,
                            const Prompt& prompt,
                            double capacity) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    const auto [found, is_new] = parts_.try_emplace(part.id);
    found->second.last_used = now;
    if (is_new) {
      found->second.tokens = part.tokens;
      tokens_ += part.tokens;
    }
  }
  while (tokens_ > capacity && parts_.size() > 1) {
    EvictLeastRecentlyUsed();
  }
}

void PromptCache::EvictLeastRecentlyUsed() {
  const auto oldest = std::min_element(
      parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      });
  tokens_ -= oldest->second.tokens;
  parts_.erase(oldest);
}

}  // namespace gentianroute::routing
