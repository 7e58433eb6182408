#ifndef GENTIANROUTE_LOOP_SCOPED_CALLBACKS_H_
#define GENTIANROUTE_LOOP_SCOPED_CALLBACKS_H_

#include <memory>
#include <utility>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute {

/// @brief Schedules callbacks that run only while this object exists.
///
/// For callbacks that refer to the owner of this object, which may be gone
/// before the event loop is.
class ScopedCallbacks {
 public:
  /// @param loop must outlive this object
  explicit ScopedCallbacks(EventLoop& loop) : loop_(loop) {}
  ScopedCallbacks(const ScopedCallbacks&) = delete;
  ScopedCallbacks& operator=(const ScopedCallbacks&) = delete;

  /// @brief Runs the callback once after a delay, unless this object is
  /// destroyed before.
  void After(Duration delay, EventLoop::Callback callback) {
    loop_.After(
        delay, [alive = std::weak_ptr(alive_), callback = std::move(callback)] {
          if (!alive.expired()) {
            callback();
          }
        });
  }

 private:
  EventLoop& loop_;
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_SCOPED_CALLBACKS_H_
