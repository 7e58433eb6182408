#include "gentianroute/routing/prompt_memory.h"

#include <algorithm>

namespace gentianroute::routing {

double PromptMemory::SharedUnread(const Prompt& prompt) const {
  double unread = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    if (unread > 0 || !parts_.contains(part.id)) {
      unread += part.tokens;
    }
  }
  return unread;
}

void PromptMemory::OnRead(TimePoint now, const Prompt& prompt, double room) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptPart& part = prompt.parts[i];
    const auto [found, is_new] = parts_.try_emplace(part.id);
    found->second.used = now;
    if (is_new) {
      found->second.tokens = part.tokens;
      tokens_ += part.tokens;
    }
  }
  while (tokens_ > room && parts_.size() > 1) {
    DropOldest();
  }
}

void PromptMemory::DropOldest() {
  const auto oldest = std::min_element(parts_.begin(), parts_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.used < b.second.used;
                                       });
  tokens_ -= oldest->second.tokens;
  parts_.erase(oldest);
}

}  // namespace gentianroute::routing
