#ifndef GENTIANROUTE_TESTS_SOAK_SOAK_DAEMON_H_
#define GENTIANROUTE_TESTS_SOAK_SOAK_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>

#include "fault_proxy.h"
#include "invariant_checker.h"
#include "process.h"

namespace gentianroute::soak {

/// @brief A daemon process with its own proxied link to the store.
class SoakDaemon {
 public:
  SoakDaemon(EventLoop& loop,
             InvariantChecker& checker,
             std::size_t index,
             std::string data_centre,
             std::uint16_t store_port,
             std::string folder);
  ~SoakDaemon();

  void Start();
  void Kill();
  /// @brief Starts a planned stop; the daemon is restarted once it has ended.
  void Stop();
  void Pause(Duration time);
  void ReloadSettings();

  /// @brief Restarts the daemon if its process has ended; an end that was not
  /// requested, or a planned stop that fails, is a violation.
  void CheckProcess();
  /// @brief Whether it should accept requests, judged by the signals sent to
  /// it.
  bool serves() const { return state_ == State::kUp; }
  /// @brief Whether its sockets accept connections; a paused process answers
  /// once it continues.
  bool listens() const { return serves() || state_ == State::kPaused; }
  std::size_t index() const { return index_; }
  std::uint64_t start() const { return start_; }
  std::uint16_t frontend_port() const { return frontend_port_; }
  FaultProxy& store_link() { return store_link_; }

 private:
  enum class State : std::uint8_t { kUp, kPaused, kStopping, kDown };

  void WriteSettings(const std::string& path) const;
  void ScheduleStart();

  EventLoop& loop_;
  InvariantChecker& checker_;
  std::size_t index_;
  std::string data_centre_;
  std::string folder_;
  FaultProxy store_link_;
  std::uint16_t frontend_port_;
  std::uint16_t readiness_port_;
  std::uint16_t peer_port_;
  std::uint16_t metrics_port_;
  State state_ = State::kDown;
  std::uint64_t start_ = 0;
  TimePoint started_{};
  TimePoint stop_limit_{};
  std::unique_ptr<testing::Process> process_;
};

}  // namespace gentianroute::soak

#endif  // GENTIANROUTE_TESTS_SOAK_SOAK_DAEMON_H_
