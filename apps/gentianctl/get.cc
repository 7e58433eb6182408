#include "commands.h"
#include "configuration.h"

namespace gentianroute::ctl {

ExitCode GetDocument(const CommonOptions& common, const std::string& name) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(full_name, ParseFullName(name));
    BOOST_LEAF_AUTO(current, GetCurrentConfig(common.daemon));
    const auto found = current.documents.find(full_name);
    if (found == current.documents.end()) {
      return leaf::new_error(
          Failure{kExitFailed, name + " is not in force at revision " +
                                   std::to_string(current.revision)});
    }
    const json body = json::parse(found->second.body);
    const std::uint64_t revision = found->second.revision;
    Print(common.json,
          {{"document", name}, {"revision", revision}, {"body", body}},
          "// " + name + ", written by revision " + std::to_string(revision) +
              "\n" + body.dump(2) + "\n");
    return kExitSuccess;
  });
}

}  // namespace gentianroute::ctl
