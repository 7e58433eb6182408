#ifndef GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_
#define GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "daemon_client.h"
#include "exit_code.h"

namespace gentianroute::ctl {

/// @brief What all commands share.
struct CommonOptions {
  DaemonAddress daemon;
  std::vector<DaemonAddress> other_daemons;  ///< more daemons
  bool json = false;                         ///< --output json
};

/// @brief How a change is submitted.
struct ChangeOptions {
  std::string author = "unknown";
  std::string change_id;     ///< empty: a new one
  std::uint32_t wait_s = 0;  ///< 0: do not wait until it is in force
};

struct ApplyOptions {
  std::vector<std::string> files;
  std::vector<std::string> deletes;  ///< `kind/name`
  bool prune = false;                ///< delete what no file names
  std::int64_t base = -1;  ///< revision that the edits began from; -1: unstated
  ChangeOptions change;
};

// One function a command, each in a file of its own. They print their result
// and return the exit code.
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
/// @param files logs of daemons; none: standard input
ExitCode Explain(const CommonOptions& common,
                 const std::string& request,
                 const std::vector<std::string>& files);
ExitCode Reference(const CommonOptions& common, const std::string& table);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_COMMANDS_H_
