#include "soak_daemon.h"

#include <signal.h>
#include <stdlib.h>

#include <fstream>
#include <utility>
#include <vector>

namespace gentianroute::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSignalHandlerDelay = milliseconds(150);
constexpr Duration kDownTime = milliseconds(300);
/// Grace period of a planned stop. The limit adds 10 s for a busy machine.
constexpr int kGraceSeconds = 4;
constexpr Duration kStopLimit = std::chrono::seconds(kGraceSeconds + 10);

}  // namespace

SoakDaemon::SoakDaemon(EventLoop& loop,
                       InvariantChecker& checker,
                       std::size_t index,
                       std::string data_centre,
                       std::uint16_t store_port,
                       std::string folder)
    : loop_(loop),
      checker_(checker),
      index_(index),
      data_centre_(std::move(data_centre)),
      folder_(std::move(folder)),
      store_link_(loop, store_port),
      frontend_port_(testing::FreePort()),
      readiness_port_(testing::FreePort()),
      peer_port_(testing::FreePort()),
      metrics_port_(testing::FreePort()) {}

SoakDaemon::~SoakDaemon() = default;

void SoakDaemon::WriteSettings(const std::string& path) const {
  const auto at = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  std::ofstream file(path);
  file << "nodeName=edge-" << index_ << "\nzone=" << data_centre_
       << "\nzones.north=region-1\nzones.south=region-2\nip=127.0.0.1\n"
       << "listen.frontend=" << at(frontend_port_) << "\n"
       << "listen.readiness=" << at(readiness_port_) << "\n"
       << "portRange=" << peer_port_ << "," << peer_port_ << "\n"
       << "platform.address=" << store_link_.address() << "\n"
       << "bounds.graceS=" << kGraceSeconds << "\n"
       << "bootstrap=" << (start_ == 0 ? "true" : "false") << "\n";
}

void SoakDaemon::Start() {
  const std::string name = folder_ + "/edge-" + std::to_string(index_);
  WriteSettings(name + ".conf");
  setenv("GENTIANROUTE_SETTINGS", (name + ".conf").c_str(), 1);
  process_ = std::make_unique<testing::Process>(
      std::vector<std::string>{testing::BinaryPath("apps/gentianroute"),
                               "--platform", "--metrics-port",
                               std::to_string(metrics_port_)},
      name + ".errors", name + ".log");
  ++start_;
  started_ = loop_.Now();
  state_ = State::kUp;
  checker_.OnDaemonStarts(index_, start_);
}

void SoakDaemon::ScheduleStart() {
  state_ = State::kDown;
  process_.reset();
  loop_.After(kDownTime, [this] { Start(); });
}

void SoakDaemon::Kill() {
  if (state_ == State::kDown) {
    return;
  }
  checker_.OnDaemonEnds(index_, true);
  process_->Signal(SIGKILL);
  ScheduleStart();
}

void SoakDaemon::Stop() {
  // Before main() has installed its handlers, a signal would terminate the
  // process.
  if (state_ != State::kUp || loop_.Now() - started_ < kSignalHandlerDelay) {
    return;
  }
  checker_.OnDaemonEnds(index_, false);
  process_->Signal(SIGTERM);
  state_ = State::kStopping;
  stop_limit_ = loop_.Now() + kStopLimit;
}

void SoakDaemon::Pause(Duration time) {
  if (state_ != State::kUp) {
    return;
  }
  process_->Signal(SIGSTOP);
  state_ = State::kPaused;
  loop_.After(time, [this, start = start_] {
    if (start == start_ && state_ == State::kPaused) {
      process_->Signal(SIGCONT);
      state_ = State::kUp;
    }
  });
}

void SoakDaemon::ReloadSettings() {
  if (state_ == State::kUp && loop_.Now() - started_ >= kSignalHandlerDelay) {
    process_->Signal(SIGHUP);
  }
}

void SoakDaemon::CheckProcess() {
  if (state_ == State::kDown) {
    return;
  }
  const std::string name = "daemon " + std::to_string(index_);
  const int status = process_->Wait(0);
  if (status < 0) {
    if (state_ == State::kStopping && loop_.Now() > stop_limit_) {
      checker_.AddViolation(
          name + " has not ended within the limit of a planned stop");
      Kill();
    }
    return;
  }
  if (state_ != State::kStopping) {
    checker_.AddViolation(name + " ended unexpectedly with status " +
                          std::to_string(status));
    checker_.OnDaemonEnds(index_, true);
  } else if (status != 0) {
    checker_.AddViolation(name + " ended a planned stop with status " +
                          std::to_string(status));
  }
  ScheduleStart();
}

}  // namespace gentianroute::soak
