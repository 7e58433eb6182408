#include "prepared_plan.h"

#include <utility>

namespace gentianroute::ctl {

leaf::result<PreparedPlan> PreparePlan(const CommonOptions& common,
                                       const ApplyOptions& options) {
  BOOST_LEAF_AUTO(declared, ReadDeclarations(options.files));
  std::set<DocumentName> deleted;
  for (const std::string& text : options.deletes) {
    BOOST_LEAF_AUTO(name, ParseFullName(text));
    if (declared.documents.contains(name)) {
      return leaf::new_error(Failure{
          kExitInvalid, "--delete " + text + ": a file declares it as well"});
    }
    deleted.insert(name);
  }
  PreparedPlan prepared;
  BOOST_LEAF_ASSIGN(prepared.current, GetCurrentConfig(common.daemon));
  const Documents& documents = prepared.current.documents;
  if (options.prune) {
    deleted.merge(FindRemovedDocuments(documents, declared.documents));
  }
  prepared.plan = PlanChanges(documents, declared.documents, deleted);
  BOOST_LEAF_CHECK(CheckPlan(documents, prepared.plan, declared.origins));
  return prepared;
}

}  // namespace gentianroute::ctl
