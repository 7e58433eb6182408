#include "gentianroute/routing/request_weight.h"

#include <criterion/criterion.h>

using gentianroute::routing::RequestWeights;

Test(request_weight, mean_prompt_weighs_one) {
  RequestWeights weights;
  for (int i = 0; i < 100; ++i) {
    weights.Of("drafts", i % 2 == 0 ? 1000 : 3000);
  }
  const double weight = weights.Of("drafts", 2000);
  cr_assert_gt(weight, 0.95);
  cr_assert_lt(weight, 1.05);
}

Test(request_weight, long_prompt_weighs_more_up_to_a_bound) {
  RequestWeights weights;
  for (int i = 0; i < 100; ++i) {
    weights.Of("drafts", 1000);
  }
  cr_assert_gt(weights.Of("drafts", 3000), 2.0);
  cr_assert_leq(weights.Of("drafts", 1e9), 4.0);
}

Test(request_weight, routes_have_means_of_their_own) {
  RequestWeights weights;
  weights.Of("drafts", 100000);
  cr_assert_eq(weights.Of("chat", 10), 1.0);
}

Test(request_weight, prompt_without_tokens_weighs_one) {
  RequestWeights weights;
  cr_assert_eq(weights.Of("drafts", 0), 1.0);
}
