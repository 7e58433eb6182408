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

/// @brief `kind/name`, as operators write it.
std::string FullNameText(const DocumentName& name);
/// @return Failure with kExitInvalid
leaf::result<DocumentName> ParseFullName(const std::string& text);

/// @brief The content of profile files.
struct DeclaredDocuments {
  Documents documents;
  Origins origins;
};

/// @brief Reads profile files; a document may stand in one of them only.
/// @return SchemaError
leaf::result<DeclaredDocuments> ReadDeclarations(
    const std::vector<std::string>& files);

/// @brief All documents at one revision.
struct CurrentConfig {
  std::uint64_t revision = 0;
  Documents documents;
};
leaf::result<CurrentConfig> GetCurrentConfig(const DaemonAddress& daemon);

/// @brief Revisions that a daemon keeps, oldest first.
leaf::result<std::vector<ConfigRevision>> GetHistory(
    const DaemonAddress& daemon);

/// @brief The documents as they were at an earlier revision.
/// @param history revisions that are kept, oldest first
/// @return Failure with kExitInvalid if the history does not reach that far
leaf::result<Documents> RestoreDocuments(
    const std::vector<ConfigRevision>& history,
    const CurrentConfig& current,
    std::uint64_t revision);

/// @brief The last kept revision that changed a document.
/// @return null if none did
const ConfigRevision* FindLastRevisionOf(
    const std::vector<ConfigRevision>& history,
    const DocumentName& name);

/// @brief UTC time of a revision, like `2026-03-01 08:15:00Z`.
std::string FormatTime(UnixMicros time);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_CONFIGURATION_H_
