#ifndef GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_
#define GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "daemon_client.h"
#include "exit_code.h"

namespace gentianroute::ctl {

/// @brief Options of all commands.
struct CommonOptions {
  DaemonAddress daemon;
  std::vector<DaemonAddress> other_daemons;  ///< from --also
  bool json = false;                         ///< from --output json
};

/// @brief Options of the commands that change the configuration.
struct ChangeOptions {
  std::string author = "unknown";
  std::string change_id;     ///< empty: a generated one
  std::uint32_t wait_s = 0;  ///< for the rollout; 0: do not wait
};

/// @brief Options of apply and diff.
struct ApplyOptions {
  std::vector<std::string> files;
  std::vector<std::string> deletes;  ///< `kind/name`
  bool prune = false;                ///< delete documents that no file declares
  std::int64_t base = -1;  ///< revision that was edited; -1: not given
  ChangeOptions change;
};

// One function per command, each in its own file. Each prints its result and
// returns the exit code.
ExitCode Validate(const CommonOptions& common,
                  const std::vector<std::string>& files);
ExitCode Diff(const CommonOptions& common, const ApplyOptions& options);
ExitCode Apply(const CommonOptions& common, const ApplyOptions& options);
ExitCode History(const CommonOptions& common);
ExitCode Rollback(const CommonOptions& common,
                  std::uint64_t revision,
                  const ChangeOptions& options);
ExitCode GetDocument(const CommonOptions& common, const std::string& name);
ExitCode Status(const CommonOptions& common);
ExitCode Drain(const CommonOptions& common);
ExitCode Report(const CommonOptions& common, const std::string& html_file);
/// @param request id of the request to explain
/// @param files logs of daemons; empty: standard input
ExitCode Explain(const CommonOptions& common,
                 const std::string& request,
                 const std::vector<std::string>& files);
/// @param table `settings`, `profiles` or `errors`
ExitCode Reference(const CommonOptions& common, const std::string& table);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_
