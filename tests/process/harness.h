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

/// @brief A platform, backend servers and daemons, all as processes.
class Deployment {
 public:
  Deployment();

  /// @brief Starts a backend server and lists it under a pool.
  /// @return its index
  std::size_t AddBackend(const std::string& pool,
                         const std::vector<std::string>& options = {},
                         const std::string& data_centre = "dc-1",
                         const std::string& region = "region-1");
  /// @brief Starts a daemon and waits until it answers.
  std::size_t AddDaemon(const std::string& data_centre = "dc-1",
                        const std::string& region = "region-1");
  /// @brief Where the ports of daemons that are added from now on come from.
  void SetPortAllocator(std::function<std::uint16_t()> allocator) {
    allocate_port_ = std::move(allocator);
  }
  /// @brief Merged over the settings of daemons that are added from now on.
  void SetDaemonSettings(const std::string& patch) { daemon_settings_ = patch; }
  /// @brief Starts a backend server again on its port, as a new incarnation.
  void RestartBackend(std::size_t index);
  /// @brief Sets fault switches of a backend server, or of the platform.
  void SetFaults(std::size_t backend, const std::string& faults) const;
  void SetPlatformFaults(const std::string& faults) const;
  /// @brief How often a backend server ran requests with this marker in them.
  std::uint64_t RunCount(std::size_t backend, const std::string& marker) const;
  /// @brief What a daemon has logged so far.
  std::string ReadLog(std::size_t daemon) const;
  /// @brief Applies declarations through a daemon, and waits until all have
  /// them in force.
  void Apply(const std::string& declarations);
  /// @brief One try to apply declarations through a daemon.
  /// @return the exit status of gentianctl; -1 if it goes on for long
  int TryApply(const std::string& declarations);
  /// @brief Puts the present hosts into the platform's list.
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
  /// @brief Posts to a service as the test's subscriber.
  ClientResponse Post(std::size_t daemon,
                      const std::string& service,
                      const std::string& body,
                      std::vector<std::string> headers = {}) const;
  /// @brief Path below this test's own folder for files.
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

  /// @return whether the daemon answers; it does not if another program has
  /// taken one of its ports meanwhile
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
