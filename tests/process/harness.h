#ifndef GENTIANROUTE_TESTS_PROCESS_HARNESS_H_
#define GENTIANROUTE_TESTS_PROCESS_HARNESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process.h"

namespace gentianroute::testing {

/// @brief A stand-in platform, backend servers and daemons, each a process.
class Deployment {
 public:
  Deployment();

  /// @brief Starts a backend server and adds it to the host list under a pool.
  /// @return its index
  std::size_t AddBackend(const std::string& pool,
                         const std::vector<std::string>& options = {},
                         const std::string& data_centre = "dc-1",
                         const std::string& region = "region-1");
  /// @brief Starts a daemon and waits until its /healthz returns 200.
  /// @return its index
  /// @throws std::runtime_error if it does not start
  std::size_t AddDaemon(const std::string& data_centre = "dc-1",
                        const std::string& region = "region-1");
  /// @brief Sets the source of the ports of daemons that are added later.
  void SetPortAllocator(std::function<std::uint16_t()> allocator) {
    allocate_port_ = std::move(allocator);
  }
  /// @brief Sets a JSON merge patch for the settings of daemons that are added
  /// later.
  void SetDaemonSettings(const std::string& patch) { daemon_settings_ = patch; }
  /// @brief Restarts a backend server on its port, as a new incarnation.
  void RestartBackend(std::size_t index);
  /// @brief Sets the simulated faults of a backend server.
  void SetFaults(std::size_t backend, const std::string& faults) const;
  /// @brief Sets the simulated faults of the platform.
  void SetPlatformFaults(const std::string& faults) const;
  /// @brief Number of requests with this marker that a backend server has run.
  std::uint64_t RunCount(std::size_t backend, const std::string& marker) const;
  /// @brief Contents of the log of a daemon so far.
  std::string ReadLog(std::size_t daemon) const;
  /// @brief Applies declarations through the first daemon and waits until all
  /// daemons have a configuration and know a server.
  /// @throws std::runtime_error if that fails
  void Apply(const std::string& declarations);
  /// @brief Tries once to apply declarations through the first daemon.
  /// @return the exit status of gentianctl; -1 if it runs for more than 10 s
  int TryApply(const std::string& declarations);
  /// @brief Publishes the current hosts in the platform's host list.
  void PublishHosts();

  Process& platform() { return *platform_; }
  Process& backend(std::size_t index) { return *backends_[index].process; }
  Process& daemon(std::size_t index) { return *daemons_[index].process; }
  std::uint16_t platform_port() const { return platform_port_; }
  std::uint16_t backend_port(std::size_t index) const {
    return backends_[index].port;
  }
  std::uint16_t caller_port(std::size_t index) const {
    return daemons_[index].caller_port;
  }
  std::uint16_t operator_port(std::size_t index) const {
    return daemons_[index].operator_port;
  }
  /// @brief Posts to a service with the API key of the tests.
  ClientResponse Post(std::size_t daemon,
                      const std::string& service,
                      const std::string& body,
                      std::vector<std::string> headers = {}) const;
  /// @brief Path of a file in the directory of this test.
  std::string FilePath(const std::string& name) const;

 private:
  struct BackendServer {
    std::unique_ptr<Process> process;
    std::vector<std::string> command;
    std::uint64_t incarnation = 1;
    std::uint16_t port = 0;
    std::string name;
    std::string pool;
    std::string data_centre;
    std::string region;
  };
  struct Daemon {
    std::unique_ptr<Process> process;
    std::string name;
    std::string data_centre;
    std::string region;
    std::uint16_t caller_port = 0;
    std::uint16_t operator_port = 0;
    std::uint16_t peer_port = 0;
  };

  /// @return whether the daemon started; it does not if another program has
  /// taken one of its ports in the meantime
  bool StartDaemon(Daemon& daemon) const;

  std::function<std::uint16_t()> allocate_port_ = &FreePort;
  std::string folder_;
  std::string daemon_settings_ = "{}";
  std::unique_ptr<Process> platform_;
  std::uint16_t platform_port_ = 0;
  std::vector<BackendServer> backends_;
  std::vector<Daemon> daemons_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_PROCESS_HARNESS_H_
