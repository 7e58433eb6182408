#include "failure.h"

#include <cstdio>

namespace gentianroute::ctl {

void Print(bool as_json, const json& value, const std::string& text) {
  const std::string output =
      as_json ? value.dump(2, ' ', false, json::error_handler_t::replace) + "\n"
              : text;
  std::fwrite(output.data(), 1, output.size(), stdout);
  std::fflush(stdout);
}

ExitCode PrintFailure(bool as_json, const Failure& failure) {
  if (!as_json) {
    std::fprintf(stderr, "%s\n", failure.text.c_str());
    return failure.code;
  }
  json value = failure.details;
  value["error"] = failure.text;
  value["exit_code"] = static_cast<int>(failure.code);
  Print(true, value, {});
  return failure.code;
}

}  // namespace gentianroute::ctl
