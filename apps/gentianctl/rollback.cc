#include "commands.h"
#include "submit.h"

namespace gentianroute::ctl {

ExitCode Rollback(const CommonOptions& common,
                  std::uint64_t revision,
                  const ChangeOptions& options) {
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(in_force, GetInForce(common.daemon));
    BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
    BOOST_LEAF_AUTO(wanted, DocumentsAt(history, in_force, revision));
    const ChangePlan plan = PlanChanges(in_force.documents, wanted,
                                        NotNamed(in_force.documents, wanted));
    return Submit(common, plan, in_force, options);
  });
}

}  // namespace gentianroute::ctl
