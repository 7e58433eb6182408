#ifndef GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_
#define GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "configuration.h"

namespace gentianroute::ctl {

/// @brief One document whose desired state differs from the configuration in
/// force.
struct PlannedChange {
  DocumentName name;
  std::string before;  ///< JSON; empty: the document is added
  std::string after;   ///< JSON; empty: the document is deleted
  /// Revision that last wrote the document; 0: it does not exist.
  std::uint64_t base_revision = 0;
};

using ChangePlan = std::vector<PlannedChange>;

/// @brief Computes the changes from the current to the desired documents.
/// Equal documents are left out, so that an apply without differences creates
/// no revision.
/// @param desired documents to write; others stay as they are
/// @param deleted documents to delete, unless they are desired
ChangePlan PlanChanges(const Documents& current,
                       const Documents& desired,
                       const std::set<DocumentName>& deleted);

/// @brief Names of current documents that are not among the desired ones.
std::set<DocumentName> FindRemovedDocuments(const Documents& current,
                                            const Documents& desired);

/// @brief Checks the references between documents as they would be after the
/// plan.
/// @param origins locations of the declared documents, for errors
/// @return SchemaError
leaf::result<void> CheckPlan(const Documents& current,
                             const ChangePlan& plan,
                             const Origins& origins);

/// @brief Checks that no document of the plan was changed after a revision.
/// @return Failure with kExitConflict that shows both versions
leaf::result<void> CheckBaseRevision(const ChangePlan& plan,
                                     const Documents& current,
                                     const std::vector<ConfigRevision>& history,
                                     std::uint64_t base_revision);

/// @brief The plan as text: each changed field before and after.
std::string PlanText(const ChangePlan& plan);
json PlanJson(const ChangePlan& plan);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_
