#include "commands.h"
#include "configuration.h"

namespace gentianroute::ctl {

ExitCode Validate(const CommonOptions& common,
                  const std::vector<std::string>& files) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(declared, ReadDeclarations(files));
    BOOST_LEAF_CHECK(
        CheckReferences(files.front(), declared.documents, declared.origins));
    const std::size_t count = declared.documents.size();
    Print(common.json, {{"valid", true}, {"documents", count}},
          std::to_string(count) + " documents, all valid\n");
    return kExitSuccess;
  });
}

}  // namespace gentianroute::ctl
