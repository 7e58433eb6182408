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

/// @brief One entry host of the deployment.
struct EntryHost {
  std::string name;
  std::string data_centre;
  std::uint16_t callers_port = 0;
  std::uint16_t operators_port = 0;
  std::unique_ptr<Process> process;
};

/// @brief A deployment of examples/ on loopback: its daemons, and stand-ins for
/// the platform and for every backend server.
class ExampleDeployment {
 public:
  /// @param folder with profiles.json, hosts.json, demo.json and settings/
  /// @param logs made if it is missing; one file for each process
  /// @param tokens that each stand-in engine generates for an answer
  ExampleDeployment(std::filesystem::path folder,
                    std::filesystem::path logs,
                    int tokens = 16);

  /// @throws std::runtime_error if a process does not come up
  void Start();
  /// @brief Stops all daemons in the planned way.
  /// @return how many did not end with 0
  int Stop();

  const std::vector<EntryHost>& entry_hosts() const { return entry_hosts_; }
  const nlohmann::json& requests() const { return requests_; }
  /// @brief A caller's bearer key.
  const std::string& key() const { return key_; }
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
