#include "gentianroute/routing/prompt_cache.h"

#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace gentianroute;
using namespace gentianroute::routing;

namespace {

Prompt PromptAbout(const std::string& subject) {
  Prompt prompt;
  prompt.parts = {{"common", 2500}, {subject, 3800}, {"own", 2900}};
  return prompt;
}

}  // namespace

Test(prompt_cache, all_shared_parts_of_an_unknown_prompt_are_uncached) {
  cr_assert_eq(PromptCache().UncachedSharedTokens(PromptAbout("a")), 6300);
}

Test(prompt_cache, other_subject_shares_the_parts_before_it) {
  PromptCache cache;
  cache.OnPrefill(kStart, PromptAbout("a"), 1e6);
  cr_assert_eq(cache.UncachedSharedTokens(PromptAbout("a")), 0);
  cr_assert_eq(cache.UncachedSharedTokens(PromptAbout("b")), 3800);
}

// A part is cached only together with all parts before it.
Test(prompt_cache, part_after_an_unknown_one_is_uncached) {
  PromptCache cache;
  cache.OnPrefill(kStart, PromptAbout("a"), 1e6);
  Prompt prompt = PromptAbout("a");
  prompt.parts.front().id = "another";
  cr_assert_eq(cache.UncachedSharedTokens(prompt), 6300);
}

Test(prompt_cache, oldest_part_is_evicted_at_capacity) {
  PromptCache cache;
  cache.OnPrefill(kStart, PromptAbout("a"), 1e6);
  cache.OnPrefill(kStart + 1 * kMs, PromptAbout("b"), 7000);
  cr_assert_eq(cache.UncachedSharedTokens(PromptAbout("a")), 3800);
  cr_assert_eq(cache.UncachedSharedTokens(PromptAbout("b")), 0);
}
