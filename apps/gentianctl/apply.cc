#include "commands.h"
#include "prepared_plan.h"
#include "submit.h"

namespace gentianroute::ctl {

ExitCode Apply(const CommonOptions& common, const ApplyOptions& options) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(prepared, PreparePlan(common, options));
    if (options.base >= 0) {
      BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
      // A change that was already applied can't conflict with later ones.
      if (FindRevisionByChangeId(history, options.change.change_id) == 0) {
        BOOST_LEAF_CHECK(CheckBaseRevision(
            prepared.plan, prepared.current.documents, history,
            static_cast<std::uint64_t>(options.base)));
      }
    }
    return Submit(common, prepared.plan, prepared.current, options.change);
  });
}

}  // namespace gentianroute::ctl
