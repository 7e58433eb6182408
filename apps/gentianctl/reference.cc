#include "gentianroute/schema/reference.h"

#include "commands.h"

namespace gentianroute::ctl {

ExitCode Reference(const CommonOptions& common, const std::string& of) {
  const std::string table =
      of == "settings" ? SettingsReference() : ProfilesReference();
  Print(common.json, {{"of", of}, {"markdown", table}}, table);
  return kExitDone;
}

}  // namespace gentianroute::ctl
