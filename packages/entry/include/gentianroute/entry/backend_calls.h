#ifndef GENTIANROUTE_ENTRY_BACKEND_CALLS_H_
#define GENTIANROUTE_ENTRY_BACKEND_CALLS_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "gentianroute/decision/coordinator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief Executes the coordinator's backend calls over HTTP;
/// docs/BACKENDS.md describes the protocol.
class BackendCalls {
 public:
  /// @param request_advance called after each input to the coordinator
  BackendCalls(EventLoop& loop,
               HttpClient& client,
               Coordinator& coordinator,
               std::function<void()> request_advance);

  void Start(const StartAttempt& start);
  void Cancel(const CancelAttempt& cancel);

 private:
  class Observer;
  class PlainObserver;
  class StreamObserver;

  void ReportFailure(AttemptId attempt,
                     HttpCallError error,
                     std::string_view detail);

  EventLoop& loop_;
  HttpClient& client_;
  Coordinator& coordinator_;
  std::function<void()> request_advance_;
  std::unordered_map<AttemptId, HttpCallId> calls_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_BACKEND_CALLS_H_
