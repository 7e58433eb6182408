#include <unistd.h>

#include <cstdint>
#include <set>
#include <utility>

#include <criterion/criterion.h>

#include "harness.h"
#include "process.h"

using namespace gentianroute;
using gentianroute::testing::FreePort;

// Guards against a daemon that does not start since the same port was allocated
// for two of its addresses.
Test(ports, no_port_is_allocated_twice) {
  constexpr int kPorts = 3000;
  std::set<std::uint16_t> allocated;
  for (int i = 0; i < kPorts; ++i) {
    cr_assert(allocated.insert(FreePort()).second);
  }
}

namespace {

/// A child process that allocates ports and holds them until this is destroyed.
class PortHolder {
 public:
  explicit PortHolder(std::size_t ports) {
    if (pipe(ports_pipe_) != 0 || pipe(release_pipe_) != 0) {
      _exit(1);
    }
    if (fork() == 0) {
      close(release_pipe_[1]);
      AllocatePorts(ports);
      _exit(0);
    }
    close(release_pipe_[0]);
  }
  ~PortHolder() { close(release_pipe_[1]); }

  std::uint16_t NextPort() const {
    std::uint16_t port = 0;
    return read(ports_pipe_[0], &port, sizeof(port)) == sizeof(port) ? port : 0;
  }

 private:
  void AllocatePorts(std::size_t ports) const {
    for (std::size_t i = 0; i < ports; ++i) {
      const std::uint16_t port = FreePort();
      if (write(ports_pipe_[1], &port, sizeof(port)) != sizeof(port)) {
        return;
      }
    }
    char c = 0;
    while (read(release_pipe_[0], &c, 1) > 0) {
    }
  }

  int ports_pipe_[2];
  int release_pipe_[2];
};

}  // namespace

// Guards against a daemon that does not start since a test that ran at the same
// time had allocated the same port before any daemon listened on it.
Test(ports, no_port_is_allocated_to_two_processes) {
  constexpr std::size_t kPorts = 1500;
  const PortHolder first(kPorts);
  const PortHolder second(kPorts);
  std::set<std::uint16_t> allocated;
  for (const PortHolder* process : {&first, &second}) {
    for (std::size_t i = 0; i < kPorts; ++i) {
      const std::uint16_t port = process->NextPort();
      cr_assert_neq(port, 0);
      cr_assert(allocated.insert(port).second, "%u was allocated twice", port);
    }
  }
}

// Another program takes a port before the daemon listens on it: the daemon
// exits, and the harness starts it again with other ports.
Test(ports, daemon_whose_port_was_taken_gets_others) {
  testing::Deployment deployment;
  std::uint16_t taken = deployment.platform_port();
  deployment.SetPortAllocator(
      [&taken] { return taken == 0 ? FreePort() : std::exchange(taken, 0); });
  const std::size_t daemon = deployment.AddDaemon();
  cr_assert_neq(deployment.caller_port(daemon), deployment.platform_port());
}
