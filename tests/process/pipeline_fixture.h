#ifndef GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_
#define GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_

#include <cstddef>
#include <future>
#include <memory>
#include <string>

#include "harness.h"

namespace gentianroute::testing {

/// @brief A deployment with three services: `chat` has one repeatable stage,
/// `drafting` has that stage and one that streams, `ordering` has one stage
/// that is not repeatable.
struct PipelineFixture {
  /// @param daemons,encoders,engines number of each; there is one order server.
  /// Declarations are applied only if there are daemons.
  PipelineFixture(std::size_t daemons,
                  std::size_t encoders,
                  std::size_t engines,
                  const std::string& settings = "{}");

  /// @brief Posts from another thread.
  std::future<ClientResponse> Post(std::size_t daemon,
                                   const std::string& service,
                                   const std::string& marker,
                                   const std::string& key = "") const;

  Deployment deployment;
  std::vector<std::size_t> encoders;
  std::vector<std::size_t> engines;
  std::size_t orders = 0;
};

/// @brief Whether a response is a problem document of this kind.
bool IsProblem(const ClientResponse& response, const std::string& kind);

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_
