#ifndef GENTIANROUTE_APPS_GENTIANCTL_CONFIGURATION_H_
#define GENTIANROUTE_APPS_GENTIANCTL_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon_client.h"
#include "gentianroute/schema/declarations.h"

namespace gentianroute::ctl {

/// @brief Formats a document name as `kind/name`.
std::string FullNameText(const DocumentName& name);
/// @brief Parses `kind/name`.
/// @return Failure with kExitInvalid
leaf::result<DocumentName> ParseFullName(const std::string& text);

/// @brief The documents that profile files declare.
struct DeclaredDocuments {
  Documents documents;
  Origins origins;  ///< location of each document, for errors
};

/// @brief Reads profile files.
/// @return SchemaError, also for a document that two files declare
leaf::result<DeclaredDocuments> ReadDeclarations(
    const std::vector<std::string>& files);

/// @brief The configuration in force at a daemon.
struct CurrentConfig {
  std::uint64_t revision = 0;
  Documents documents;
};

/// @return Failure as from GetJson()
leaf::result<CurrentConfig> GetCurrentConfig(const DaemonAddress& daemon);

/// @brief Reads the revisions that a daemon retains, oldest first.
/// @return Failure as from GetJson()
leaf::result<std::vector<ConfigRevision>> GetHistory(
    const DaemonAddress& daemon);

/// @brief Computes the documents as of an earlier revision.
/// @param history retained revisions, oldest first
/// @return Failure with kExitInvalid if the history does not reach back that
/// far or the revision does not exist
leaf::result<Documents> RestoreDocuments(
    const std::vector<ConfigRevision>& history,
    const CurrentConfig& current,
    std::uint64_t revision);

/// @brief Finds the last retained revision that changed a document.
/// @return null if none did
const ConfigRevision* FindLastRevisionOf(
    const std::vector<ConfigRevision>& history,
    const DocumentName& name);

/// @brief Formats a time in UTC, like `2026-03-01 08:15:00Z`.
std::string FormatTime(UnixMicros time);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_CONFIGURATION_H_
