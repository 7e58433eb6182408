#ifndef GENTIANROUTE_DECISION_CONFIRMATION_WINDOW_H_
#define GENTIANROUTE_DECISION_CONFIRMATION_WINDOW_H_

#include <algorithm>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Time in which the crash of a server has to be confirmed.
///
/// It runs only while crashes can be confirmed at all: without the host list,
/// its silence proves nothing.
class ConfirmationWindow {
 public:
  explicit ConfirmationWindow(Duration length) : length_(length) {}

  /// @brief Sets whether the source that confirms crashes can be asked. Each
  /// crash gets the whole time once it can again.
  /// @pre what is closed has been removed: it must not open again
  void SetConfirmable(TimePoint now, bool confirmable) {
    confirmable_ = confirmable;
    confirmable_since_ = now;
  }
  bool confirmable() const { return confirmable_; }
  /// @brief Whether a crash may still be confirmed.
  bool IsOpen(TimePoint now, TimePoint crash) const {
    return !confirmable_ || now < std::max(crash, confirmable_since_) + length_;
  }

 private:
  Duration length_;
  bool confirmable_ = true;
  TimePoint confirmable_since_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIRMATION_WINDOW_H_
