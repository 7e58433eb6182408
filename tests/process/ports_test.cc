#include <unistd.h>

#include <cstdint>
#include <set>
#include <utility>

#include <criterion/criterion.h>

#include "harness.h"
#include "process.h"

using namespace gentianroute;
using gentianroute::testing::FreePort;

// A test fails now and then with "the daemon did not come up": one port had
// been drawn for two of the daemon's addresses, and it could not listen on the
// second.
Test(ports, no_port_is_given_twice) {
  constexpr int kPorts = 3000;
  std::set<std::uint16_t> allocated;
  for (int i = 0; i < kPorts; ++i) {
    cr_assert(allocated.insert(FreePort()).second);
  }
}

namespace {

/// Another process that draws ports and holds them until it is let go.
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

// A test fails now and then with "the daemon did not come up": another test ran
// beside it and had drawn the same port. Both found it free, and the daemon
// that came second could not listen on it.
Test(ports, no_port_is_given_to_two_processes) {
  constexpr std::size_t kPorts = 1500;
  const PortHolder first(kPorts);
  const PortHolder second(kPorts);
  std::set<std::uint16_t> allocated;
  for (const PortHolder* process : {&first, &second}) {
    for (std::size_t i = 0; i < kPorts; ++i) {
      const std::uint16_t port = process->NextPort();
      cr_assert_neq(port, 0);
      cr_assert(allocated.insert(port).second, "%u was given twice", port);
    }
  }
}

// The same, with a port that another program took meanwhile: the daemon ends,
// and the test goes on with other ports.
Test(ports, daemon_whose_port_was_taken_gets_others) {
  testing::Deployment deployment;
  std::uint16_t taken = deployment.platform_port();
  deployment.SetPortAllocator(
      [&taken] { return taken == 0 ? FreePort() : std::exchange(taken, 0); });
  const std::size_t daemon = deployment.AddDaemon();
  cr_assert_neq(deployment.caller_port(daemon), deployment.platform_port());
}
