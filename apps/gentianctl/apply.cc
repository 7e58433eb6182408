#include "commands.h"
#include "submit.h"
#include "wanted.h"

namespace gentianroute::ctl {

ExitCode Apply(const CommonOptions& common, const ApplyOptions& options) {
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(wanted, ReadWanted(common, options));
    if (options.base >= 0) {
      BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
      // A change that stands already is settled, whatever came after it.
      if (RevisionOfChange(history, options.change.change_id) == 0) {
        BOOST_LEAF_CHECK(CheckBase(wanted.plan, wanted.in_force.documents,
                                   history,
                                   static_cast<std::uint64_t>(options.base)));
      }
    }
    return Submit(common, wanted.plan, wanted.in_force, options.change);
  });
}

}  // namespace gentianroute::ctl
