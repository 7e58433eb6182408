#include "commands.h"
#include "configuration.h"

namespace gentianroute::ctl {

ExitCode History(const CommonOptions& common) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(value, GetJson(common.daemon, "/v1/history"));
    BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
    std::string text;
    for (const ConfigRevision& revision : history) {
      text += "revision " + std::to_string(revision.revision) + "  " +
              FormatTime(revision.applied_at) + "  " + revision.author + "  " +
              revision.change_id + "\n";
      for (const DocumentChange& change : revision.changes) {
        text += std::string(change.body.empty() ? "  deleted " : "  wrote ") +
                FullNameText(change.FullName()) + "\n";
      }
    }
    Print(common.json, value, text);
    return kExitSuccess;
  });
}

}  // namespace gentianroute::ctl
