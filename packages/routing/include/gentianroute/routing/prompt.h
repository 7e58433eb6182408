#ifndef GENTIANROUTE_ROUTING_PROMPT_H_
#define GENTIANROUTE_ROUTING_PROMPT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gentianroute::routing {

/// @brief One part of a prompt, which other requests may share.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// @brief Prompt and size of one generation.
struct Prompt {
  std::string model;
  double tokens_in = 0;
  double tokens_out = 0;       ///< upper limit
  double tokens_expected = 0;  ///< caller's estimate, often far off
  std::vector<PromptPart> parts;

  /// @brief The part that decides which server the request prefers: the last
  /// but one, since the last is unique to the request.
  /// @return null if there is no shared part
  const PromptPart* Subject() const {
    constexpr std::size_t kMinParts = 2;
    return parts.size() < kMinParts ? nullptr
                                    : &parts[parts.size() - kMinParts];
  }
  /// @brief Tokens to prefill if all shared parts are cached.
  double OwnTokens() const {
    return parts.empty() ? tokens_in : parts.back().tokens;
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PROMPT_H_
