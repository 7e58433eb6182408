#include "gentianroute/schema/reference.h"

#include <string_view>

#include "commands.h"

namespace gentianroute::ctl {

namespace {

struct Row {
  std::string_view of;
  std::string (*table)();
};

constexpr Row kTables[] = {{"settings", &SettingsReference},
                           {"profiles", &ProfilesReference},
                           {"errors", &ErrorsReference}};

}  // namespace

ExitCode Reference(const CommonOptions& common, const std::string& of) {
  for (const Row& row : kTables) {
    if (row.of == of) {
      const std::string table = row.table();
      Print(common.json, {{"of", of}, {"markdown", table}}, table);
      return kExitDone;
    }
  }
  return kExitInvalid;
}

}  // namespace gentianroute::ctl
