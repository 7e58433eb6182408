#ifndef GENTIANROUTE_LOADTOOL_LOAD_RUN_H_
#define GENTIANROUTE_LOADTOOL_LOAD_RUN_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/h2o_http_client.h"
#include "load_result.h"

namespace gentianroute::load {

/// @brief One service in the mix.
struct TargetService {
  std::string service;
  double weight = 1;
  bool sends_key = false;  ///< each request gets an Idempotency-Key of its own
  bool streamed = false;   ///< asks for a streamed answer
};

struct LoadOptions {
  std::vector<std::uint16_t> ports;  ///< callers' ports, used in turn
  std::vector<std::string> keys;     ///< bearer keys, used in turn
  std::vector<TargetService> targets;
  double rate = 10;  ///< requests a second in all
  Duration duration = std::chrono::seconds(5);
  Duration deadline = std::chrono::seconds(6);
  std::uint64_t seed = 1;
};

/// @brief Sends requests at random moments, at a rate that does not depend on
/// the answers: a slow system meets the same load as a fast one.
class LoadRun {
 public:
  LoadRun(EventLoop& loop, LoadOptions options);

  /// @brief Runs to the end of the last answer, or its deadline.
  LoadResult Run();

 private:
  class Observer;

  void ScheduleNext();
  void Send();
  const TargetService& PickTarget();
  void OnRequestEnd(const RequestOutcome& outcome);

  EventLoop& loop_;
  LoadOptions options_;
  H2oHttpClient client_;
  std::mt19937_64 rng_;
  std::exponential_distribution<double> interarrival_s_;
  TimePoint send_until_{};
  TimePoint next_send_{};
  LoadResult result_;
  std::uint64_t sent_ = 0;
  std::uint64_t pending_ = 0;
  bool sending_ = true;
};

}  // namespace gentianroute::load

#endif  // GENTIANROUTE_LOADTOOL_LOAD_RUN_H_
