#ifndef GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_
#define GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "configuration.h"

namespace gentianroute::ctl {

/// @brief One document that differs from what is in force.
struct PlannedChange {
  DocumentName name;
  std::string before;  ///< empty: it is added
  std::string after;   ///< empty: it is deleted
  std::uint64_t base_revision = 0;
};

using ChangePlan = std::vector<PlannedChange>;

/// @brief What takes the documents in force to the wanted ones. Documents that
/// are equal are left out, so that nothing new makes no new revision.
/// @param wanted documents to be in force
/// @param deleted documents to be deleted, unless they are wanted
ChangePlan PlanChanges(const Documents& current,
                       const Documents& desired,
                       const std::set<DocumentName>& deleted);

/// @brief Names of documents in force that are not wanted.
std::set<DocumentName> FindRemovedDocuments(const Documents& current,
                                            const Documents& desired);

/// @brief Checks that what would be in force names only what is declared.
/// @return SchemaError
leaf::result<void> CheckPlan(const Documents& current,
                             const ChangePlan& plan,
                             const Origins& origins);

/// @brief Documents of the plan that somebody changed after a revision.
/// @return Failure with kExitConflict, which shows both sides
leaf::result<void> CheckBaseRevision(const ChangePlan& plan,
                                     const Documents& current,
                                     const std::vector<ConfigRevision>& history,
                                     std::uint64_t base_revision);

/// @brief The plan for a person: each field before and after.
std::string PlanText(const ChangePlan& plan);
json PlanJson(const ChangePlan& plan);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_CHANGE_PLAN_H_
