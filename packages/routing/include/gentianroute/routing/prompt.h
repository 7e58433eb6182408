#ifndef GENTIANROUTE_ROUTING_PROMPT_H_
#define GENTIANROUTE_ROUTING_PROMPT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gentianroute::routing {

/// @brief One part of a prompt that requests share.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// @brief What a generation asks of a model server.
struct Prompt {
  std::string model;
  double tokens_in = 0;
  double tokens_out = 0;       ///< at most
  double tokens_expected = 0;  ///< the caller's guess; often far off
  std::vector<PromptPart> parts;

  /// @brief The part by which requests are brought together: the last but one,
  /// as the last belongs to the request itself.
  /// @return null if it has no shared part
  const PromptPart* Subject() const {
    constexpr std::size_t kFewest = 2;
    return parts.size() < kFewest ? nullptr : &parts[parts.size() - kFewest];
  }
  /// @brief What is read where all shared parts are kept.
  double OwnTokens() const {
    return parts.empty() ? tokens_in : parts.back().tokens;
  }
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PROMPT_H_
