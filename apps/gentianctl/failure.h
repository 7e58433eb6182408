#ifndef GENTIANROUTE_APPS_GENTIANCTL_FAILURE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_FAILURE_H_

#include <boost/leaf.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "exit_code.h"
#include "gentianroute/schema/checked_json.h"

namespace gentianroute::ctl {

using nlohmann::json;

/// @brief Error of a command.
struct Failure {
  ExitCode code = kExitFailed;
  std::string text;
  json details = json::object();  ///< more fields of the JSON output
};

/// @brief Prints a result to standard output, as JSON or as text.
void Print(bool as_json, const json& value, const std::string& text);

/// @brief Prints a failure: as JSON to standard output, as text to standard
/// error.
/// @return the failure's exit code
ExitCode PrintFailure(bool as_json, const Failure& failure);

/// @brief Runs a command; prints its error, if any, and maps it to an exit
/// code.
/// @param body returns leaf::result<ExitCode>
template <typename Body>
ExitCode RunCommand(bool as_json, Body body) {
  return leaf::try_handle_all(
      body,
      [as_json](const Failure& failure) {
        return PrintFailure(as_json, failure);
      },
      [as_json](const SchemaError& error) {
        return PrintFailure(as_json, {kExitInvalid,
                                      error.Text(),
                                      {{"file", error.file},
                                       {"field", error.field},
                                       {"found", error.found},
                                       {"allowed", error.allowed}}});
      },
      [as_json](const std::exception& error) {
        return PrintFailure(as_json, {kExitFailed, error.what()});
      },
      [as_json] {
        return PrintFailure(as_json, {kExitFailed, "unexpected error"});
      });
}

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_FAILURE_H_
