// gentianctl: the operators' command-line tool.

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "commands.h"

namespace {

namespace ctl = gentianroute::ctl;

/// Values of the command line.
struct Arguments {
  ctl::CommonOptions common;
  std::string output = "text";
  std::vector<std::string> other_addresses;
  ctl::ApplyOptions apply;
  std::uint64_t revision = 0;
  std::string document;
  std::string reference_table;
  std::string html_file;
  std::string request;
  std::vector<std::string> logs;
};

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

void AddCommonOptions(CLI::App& app, Arguments& arguments) {
  ctl::CommonOptions& common = arguments.common;
  app.add_option("--address", common.daemon.address, "the daemon's IP address");
  app.add_option("--port", common.daemon.port, "the daemon's operator port");
  app.add_option("--also", arguments.other_addresses,
                 "one more daemon, address:port; can be repeated");
  app.add_option("--output", arguments.output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
}

void AddFiles(CLI::App& command, Arguments& arguments) {
  command.add_option("files", arguments.apply.files, "profile files")
      ->required();
}

void AddPlanOptions(CLI::App& command, Arguments& arguments) {
  AddFiles(command, arguments);
  command.add_option("--delete", arguments.apply.deletes,
                     "a document to delete, KIND/NAME");
  command.add_flag("--prune", arguments.apply.prune,
                   "delete every document that no file declares");
}

void AddChangeOptions(CLI::App& command, Arguments& arguments) {
  constexpr std::uint32_t kMaxWaitSeconds = 3600;
  ctl::ChangeOptions& change = arguments.apply.change;
  command.add_option("--author", change.author, "author of the change");
  command.add_option("--change-id", change.change_id,
                     "id of an earlier attempt whose answer was lost");
  command
      .add_option("--wait", change.wait_s,
                  "seconds to wait until every reachable daemon has the change")
      ->check(CLI::Range(1U, kMaxWaitSeconds));
}

using Command = std::function<ctl::ExitCode(const Arguments&)>;

/// Declares all commands; parsing stores the selected one in `selected`.
void AddCommands(CLI::App& app, Arguments& arguments, Command& selected) {
  const auto add = [&](const char* name, const char* description, Command run) {
    CLI::App* command = app.add_subcommand(name, description);
    command->callback([&selected, run = std::move(run)] { selected = run; });
    return command;
  };
  AddFiles(*add("validate", "check profile files, without a daemon",
                [](const Arguments& a) {
                  return ctl::Validate(a.common, a.apply.files);
                }),
           arguments);
  AddPlanOptions(
      *add("diff", "show what an apply would change",
           [](const Arguments& a) { return ctl::Diff(a.common, a.apply); }),
      arguments);
  CLI::App* apply = add("apply", "apply profile files", [](const Arguments& a) {
    return ctl::Apply(a.common, a.apply);
  });
  AddPlanOptions(*apply, arguments);
  AddChangeOptions(*apply, arguments);
  apply->add_option(
      "--base", arguments.apply.base,
      "the revision that was edited; documents that changed since "
      "then are a conflict");
  add("history", "list the revisions, their authors and times",
      [](const Arguments& a) { return ctl::History(a.common); });
  CLI::App* rollback =
      add("rollback", "restore all documents of an earlier revision",
          [](const Arguments& a) {
            return ctl::Rollback(a.common, a.revision, a.apply.change);
          });
  rollback->add_option("revision", arguments.revision)->required();
  AddChangeOptions(*rollback, arguments);
  add("get", "print one document in force",
      [](const Arguments& a) { return ctl::GetDocument(a.common, a.document); })
      ->add_option("document", arguments.document, "KIND/NAME")
      ->required();
  add("status", "show the state of a daemon",
      [](const Arguments& a) { return ctl::Status(a.common); });
  add("drain", "stop a daemon in a planned way",
      [](const Arguments& a) { return ctl::Drain(a.common); });
  add("report", "show service levels, burn rates and cost by stage",
      [](const Arguments& a) { return ctl::Report(a.common, a.html_file); })
      ->add_option("--html", arguments.html_file,
                   "write an HTML page to this file");
  CLI::App* explain =
      add("explain", "explain the outcome of a request from daemon logs",
          [](const Arguments& a) {
            return ctl::Explain(a.common, a.request, a.logs);
          });
  explain->add_option("id", arguments.request, "the request's id")->required();
  explain->add_option("files", arguments.logs,
                      "logs of any number of daemons; default: standard input");
  add("reference", "print a reference table in Markdown",
      [](const Arguments& a) {
        return ctl::Reference(a.common, a.reference_table);
      })
      ->add_option("of", arguments.reference_table)
      ->check(CLI::IsMember({"settings", "profiles", "errors"}))
      ->required();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "gentianctl applies profiles and shows the state of the daemons"};
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", "gentianctl 0.1.0");
  Arguments arguments;
  arguments.apply.change.author = DefaultAuthor();
  Command selected;
  AddCommonOptions(app, arguments);
  AddCommands(app, arguments, selected);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? ctl::kExitSuccess : ctl::kExitInvalid;
  }
  arguments.common.json = arguments.output == "json";
  return ctl::RunCommand(
      arguments.common.json,
      [&]() -> gentianroute::leaf::result<ctl::ExitCode> {
        // Parsed before anything is sent: a mistyped address must not fail
        // the command after its change was applied.
        for (const std::string& text : arguments.other_addresses) {
          BOOST_LEAF_AUTO(daemon, ctl::ParseDaemonAddress(text));
          arguments.common.other_daemons.push_back(daemon);
        }
        return selected(arguments);
      });
}
