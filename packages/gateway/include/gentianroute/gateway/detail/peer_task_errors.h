#ifndef GENTIANROUTE_GATEWAY_DETAIL_PEER_TASK_ERRORS_H_
#define GENTIANROUTE_GATEWAY_DETAIL_PEER_TASK_ERRORS_H_

#include <kj/async.h>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway::detail {

/// Logs the failures of messages to peers that nothing waits for.
struct PeerTaskErrors final : kj::TaskSet::ErrorHandler {
  void taskFailed(kj::Exception&& exception) override {
    LogEvent("peer_call_failed", LogLevel::kWarning)
        .Field("reason", exception.getDescription().cStr());
  }
};

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_PEER_TASK_ERRORS_H_
