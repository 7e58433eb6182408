#ifndef GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_
#define GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_

#include <cstddef>
#include <future>
#include <memory>
#include <string>

#include "harness.h"

namespace gentianroute::testing {

/// @brief A deployment with a service of each sort: `chat` runs one stage that
/// may repeat, `drafting` streams after it, `ordering` runs one that may not.
struct PipelineFixture {
  /// @param daemons,encoders,engines how many of each; one order server;
  /// without daemons nothing is declared
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

/// @brief Whether an answer is a problem of this kind.
bool IsProblem(const ClientResponse& response, const std::string& kind);

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_PIPELINE_FIXTURE_H_
