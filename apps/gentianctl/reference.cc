#include "gentianroute/schema/reference.h"

#include <string_view>

#include "commands.h"

namespace gentianroute::ctl {

namespace {

struct ReferenceTable {
  std::string_view name;
  std::string (*render)();
};

constexpr ReferenceTable kTables[] = {{"settings", &SettingsReference},
                                      {"profiles", &ProfilesReference},
                                      {"errors", &ErrorsReference}};

}  // namespace

ExitCode Reference(const CommonOptions& common, const std::string& table) {
  for (const ReferenceTable& entry : kTables) {
    if (entry.name == table) {
      const std::string markdown = entry.render();
      Print(common.json, {{"of", table}, {"markdown", markdown}}, markdown);
      return kExitSuccess;
    }
  }
  return kExitInvalid;
}

}  // namespace gentianroute::ctl
