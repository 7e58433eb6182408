#ifndef GENTIANROUTE_LOADTOOL_LOAD_RUN_H_
#define GENTIANROUTE_LOADTOOL_LOAD_RUN_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_http_client.h"
#include "load_result.h"

namespace gentianroute::load {

/// @brief One service that receives requests.
struct TargetService {
  std::string service;
  double weight = 1;       ///< share of the requests, relative to the others
  bool sends_key = false;  ///< sends a unique Idempotency-Key
  bool streamed = false;   ///< asks for a streamed response
};

/// @brief Parameters of one run.
struct LoadOptions {
  std::vector<std::uint16_t> ports;  ///< callers' ports, used round robin
  std::vector<std::string> keys;     ///< bearer keys, used round robin
  std::vector<TargetService> targets;
  double rate = 10;  ///< requests per second over all services
  Duration duration = std::chrono::seconds(5);  ///< time of sending
  Duration deadline = std::chrono::seconds(6);  ///< of each request
  std::uint64_t seed = 1;
};

/// @brief Open-loop load generator: sends requests as a Poisson process whose
/// rate does not depend on the responses, so that a slow system gets the same
/// load as a fast one.
class LoadRun {
 public:
  LoadRun(EventLoop& loop, LoadOptions options);

  /// @brief Runs until the last response, or until shortly after its deadline.
  LoadResult Run();

 private:
  class Observer;

  void ScheduleNext();
  void Send();
  const TargetService& PickTarget();
  void OnRequestEnd(const RequestOutcome& outcome);

  EventLoop& loop_;
  LoadOptions options_;
  RelayHttpClient client_;
  std::mt19937_64 rng_;
  std::exponential_distribution<double> interarrival_s_;  ///< seconds
  TimePoint send_until_{};
  TimePoint next_send_{};
  LoadResult result_;
  std::uint64_t sent_ = 0;
  std::uint64_t pending_ = 0;
  bool sending_ = true;
};

}  // namespace gentianroute::load

#endif  // GENTIANROUTE_LOADTOOL_LOAD_RUN_H_
