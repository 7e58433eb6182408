#ifndef GENTIANROUTE_TESTS_DEMO_EXAMPLE_DEPLOYMENT_H_
#define GENTIANROUTE_TESTS_DEMO_EXAMPLE_DEPLOYMENT_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process.h"

namespace gentianroute::testing {

/// @brief One entry host of the deployment with its daemon.
struct EntryHost {
  std::string name;
  std::string data_centre;
  std::uint16_t callers_port = 0;
  std::uint16_t operators_port = 0;
  std::unique_ptr<Process> process;
};

/// @brief A deployment of examples/ on loopback: its daemons and stand-ins for
/// the platform and the backend servers.
class ExampleDeployment {
 public:
  /// @param folder contains profiles.json, hosts.json, demo.json and settings/
  /// @param logs folder for one log file per process; created if missing
  /// @param tokens number of tokens that an engine generates per response
  ExampleDeployment(std::filesystem::path folder,
                    std::filesystem::path logs,
                    int tokens = 16);

  /// @brief Starts all processes and applies the profiles.
  /// @throws std::runtime_error if a daemon does not start or the apply fails
  void Start();
  /// @brief Stops all daemons gracefully with SIGTERM.
  /// @return number of daemons with an exit status other than 0
  int Stop();

  const std::vector<EntryHost>& entry_hosts() const { return entry_hosts_; }
  /// @brief The example requests of demo.json.
  const nlohmann::json& requests() const { return requests_; }
  /// @brief Bearer key of a caller.
  const std::string& key() const { return key_; }
  /// @brief File that receives the standard error of a process.
  std::string LogPath(const std::string& name) const;

 private:
  void StartPlatform(std::uint16_t port);
  void StartBackends();
  void StartDaemons();
  void Apply();

  std::filesystem::path folder_;
  std::filesystem::path logs_;
  int tokens_;
  std::string key_;
  nlohmann::json requests_;
  std::uint16_t platform_port_ = 0;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> backends_;
  std::vector<EntryHost> entry_hosts_;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_DEMO_EXAMPLE_DEPLOYMENT_H_
