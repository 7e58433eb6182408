#include "wanted.h"

#include <utility>

namespace gentianroute::ctl {

leaf::result<Wanted> ReadWanted(const CommonOptions& common,
                                const ApplyOptions& options) {
  BOOST_LEAF_AUTO(declared, ReadDeclared(options.files));
  std::set<DocumentName> deleted;
  for (const std::string& text : options.deletes) {
    BOOST_LEAF_AUTO(name, ParseFullName(text));
    if (declared.documents.contains(name)) {
      return leaf::new_error(Failure{
          kExitInvalid, "--delete " + text + ": a file declares it as well"});
    }
    deleted.insert(name);
  }
  Wanted wanted;
  BOOST_LEAF_ASSIGN(wanted.in_force, GetInForce(common.daemon));
  const Documents& present = wanted.in_force.documents;
  if (options.prune) {
    deleted.merge(NotNamed(present, declared.documents));
  }
  wanted.plan = PlanChanges(present, declared.documents, deleted);
  BOOST_LEAF_CHECK(CheckPlan(present, wanted.plan, declared.origins));
  return wanted;
}

}  // namespace gentianroute::ctl
