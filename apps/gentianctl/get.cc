#include "commands.h"
#include "configuration.h"

namespace gentianroute::ctl {

ExitCode GetDocument(const CommonOptions& common, const std::string& name) {
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(full_name, ParseFullName(name));
    BOOST_LEAF_AUTO(in_force, GetInForce(common.daemon));
    const auto found = in_force.documents.find(full_name);
    if (found == in_force.documents.end()) {
      return leaf::new_error(
          Failure{kExitFailed, name + " is not in force at revision " +
                                   std::to_string(in_force.revision)});
    }
    const json body = json::parse(found->second.body);
    const std::uint64_t revision = found->second.revision;
    Print(common.json,
          {{"document", name}, {"revision", revision}, {"body", body}},
          "// " + name + ", written by revision " + std::to_string(revision) +
              "\n" + body.dump(2) + "\n");
    return kExitDone;
  });
}

}  // namespace gentianroute::ctl
