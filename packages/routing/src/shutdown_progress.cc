#include "gentianroute/routing/shutdown_progress.h"

namespace gentianroute::routing {

ShutdownProgress::Step ShutdownProgress::Next(TimePoint now,
                                              const OutstandingWork& work) {
  if (now >= times_.ends_at) {
    return work.empty() ? Step::kEnd : Step::kAbort;
  }
  if (now < times_.last_expected_request || !work.empty()) {
    quiet_since_.reset();
    return Step::kWait;
  }
  if (!quiet_since_) {
    quiet_since_ = now;
  }
  return now - *quiet_since_ >= kQuietTime ? Step::kEnd : Step::kWait;
}

}  // namespace gentianroute::routing
