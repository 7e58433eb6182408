#include <signal.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "harness.h"

#include <criterion/criterion.h>

using gentianroute::testing::CallHttp;
using gentianroute::testing::Deployment;
using gentianroute::testing::Eventually;
using gentianroute::testing::Process;
using nlohmann::json;

namespace {

constexpr const char* kInitialDeclarations = R"({
  "pools": [{"name": "encoders"}, {"name": "llm", "kind": "engine"}],
  "profiles": [{"name": "drafts", "deadlineMs": 5000,
                "stages": [{"name": "encode", "pool": "encoders"}]}]
})";
constexpr const char* kServiceDeclarations =
    R"({"services": [{"name": "drafting", "profile": "drafts"}]})";

std::unique_ptr<Deployment> deployment;
int run_count = 0;

std::size_t PeerCount(std::size_t daemon) {
  return json::parse(
             CallHttp(deployment->operator_port(daemon), "GET", "/status", "")
                 .body)
      .at("peer_revisions")
      .size();
}

void SetUp() {
  deployment = std::make_unique<Deployment>();
  deployment->AddBackend("encoders");
  deployment->AddDaemon("dc-1", "region-1");
  deployment->AddDaemon("dc-2", "region-2");
  deployment->AddDaemon("dc-3", "region-3");
  // The first daemon started before the others were in the host list.
  cr_assert(Eventually(10, [] { return PeerCount(0) == 2; }));
}

void TearDown() {
  deployment.reset();
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = deployment->FilePath(name);
  std::ofstream(path) << text;
  return path;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Result of a finished gentianctl process.
struct CtlResult {
  int code = -1;
  std::string errors;
  json output;  ///< with --output json
};

/// A gentianctl process that may still be running.
struct RunningCtl {
  std::string errors;
  std::unique_ptr<Process> process;

  CtlResult Finish() {
    CtlResult result;
    result.output = json::parse(process->ReadAll(), nullptr, false);
    result.code = process->Wait(60);
    result.errors = ReadFile(errors);
    return result;
  }
};

RunningCtl StartCtl(std::vector<std::string> arguments, std::size_t daemon) {
  RunningCtl started;
  started.errors = deployment->FilePath("ctl" + std::to_string(++run_count));
  std::vector<std::string> command = {
      std::string(getenv("GENTIANROUTE_BIN")) + "/apps/gentianctl", "--port",
      std::to_string(deployment->operator_port(daemon)), "--output", "json"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  started.process = std::make_unique<Process>(command, started.errors);
  return started;
}

CtlResult RunCtl(std::vector<std::string> arguments, std::size_t daemon = 0) {
  return StartCtl(std::move(arguments), daemon).Finish();
}

std::uint64_t AppliedRevision(std::size_t daemon = 0) {
  return json::parse(
             CallHttp(deployment->operator_port(daemon), "GET", "/status", "")
                 .body)
      .at("revision");
}

/// Applies two files as revision 1, or as no change if they are already
/// applied.
void ApplyInitial() {
  const CtlResult result =
      RunCtl({"apply", WriteFile("first.json", kInitialDeclarations),
              WriteFile("services.json", kServiceDeclarations), "--author",
              "aino", "--wait", "30"});
  cr_assert_eq(result.code, 0, "%s", result.output.dump().c_str());
  cr_assert_eq(result.output.at("revision"), 1);
}

std::string DeclarationsWithDeadline(int milliseconds) {
  std::string text = kInitialDeclarations;
  const std::string old = "5000";
  return text.replace(text.find(old), old.size(), std::to_string(milliseconds));
}

}  // namespace

TestSuite(gentianctl, .init = SetUp, .fini = TearDown, .timeout = 240);

Test(gentianctl, apply_with_wait_returns_when_all_daemons_have_the_revision) {
  ApplyInitial();
  for (const std::size_t daemon : {0U, 1U, 2U}) {
    cr_assert_eq(AppliedRevision(daemon), 1);
  }
  const std::string also =
      "127.0.0.1:" + std::to_string(deployment->operator_port(2));
  const CtlResult result =
      RunCtl({"--also", also, "apply",
              WriteFile("first.json", DeclarationsWithDeadline(4000)), "--wait",
              "30"});
  cr_assert_eq(result.code, 0);
  cr_assert_eq(result.output.at("daemons").size(), 4U);
  for (const std::size_t daemon : {0U, 1U, 2U}) {
    cr_assert_eq(AppliedRevision(daemon), 2);
  }
}

// An operator applies a change with --wait while one daemon is stopped with
// SIGSTOP. That daemon was reachable a moment ago, so that it still counts as
// reachable, and the wait must not report success.
Test(gentianctl, apply_with_wait_reports_lagging_daemon) {
  ApplyInitial();
  deployment->daemon(2).Signal(SIGSTOP);
  const CtlResult result =
      RunCtl({"apply", WriteFile("first.json", DeclarationsWithDeadline(4000)),
              "--wait", "2"});
  deployment->daemon(2).Signal(SIGCONT);
  cr_assert_eq(result.code, 5, "%s", result.output.dump().c_str());
  cr_assert_eq(result.output.at("in_force_everywhere"), false);
}

Test(gentianctl, diff_and_apply_see_only_what_differs) {
  ApplyInitial();
  const std::string same = WriteFile("first.json", kInitialDeclarations);
  cr_assert_eq(RunCtl({"diff", same}).code, 0);
  const CtlResult unchanged = RunCtl({"apply", same});
  cr_assert_eq(unchanged.code, 0);
  cr_assert_eq(unchanged.output.at("changed"), false);
  cr_assert_eq(AppliedRevision(), 1);

  const std::string other =
      WriteFile("other.json", DeclarationsWithDeadline(4000));
  const CtlResult diff = RunCtl({"diff", other});
  cr_assert_eq(diff.code, 6);
  cr_assert_eq(diff.output.at("changes").size(), 1U);
  cr_assert_eq(diff.output.at("changes")[0].at("document"), "profile/drafts");
  cr_assert_eq(AppliedRevision(), 1);
}

Test(gentianctl, apply_deletes_what_is_named_or_pruned_but_nothing_in_use) {
  ApplyInitial();
  const std::string services = WriteFile("services.json", kServiceDeclarations);
  const CtlResult used =
      RunCtl({"apply", services, "--delete", "pool/encoders"});
  cr_assert_eq(used.code, 2);
  cr_assert_eq(used.output.at("field"), "profile/drafts.stages[0].pool");

  cr_assert_eq(RunCtl({"apply", services, "--delete", "pool/llm"}).code, 0);
  cr_assert_eq(RunCtl({"get", "pool/llm"}).code, 1);
  const std::string pool =
      WriteFile("pool.json", R"({"pools": [{"name": "p"}]})");
  const CtlResult pruned = RunCtl({"apply", pool, "--prune"});
  cr_assert_eq(pruned.code, 0);
  cr_assert_eq(pruned.output.at("changes").size(), 4U);
  cr_assert_eq(RunCtl({"get", "profile/drafts"}).code, 1);
}

// Two operators base their changes on revision 1, and the first change is
// already applied when the second one is sent. The second operator must get a
// conflict with both versions and the author of the first, whose change must
// stay.
Test(gentianctl, second_of_two_conflicting_changes_gets_both_versions) {
  ApplyInitial();
  cr_assert_eq(
      RunCtl({"apply", WriteFile("a.json", DeclarationsWithDeadline(4000)),
              "--base", "1", "--author", "aino"})
          .code,
      0);
  const CtlResult second =
      RunCtl({"apply", WriteFile("b.json", DeclarationsWithDeadline(3000)),
              "--base", "1", "--author", "bela"});
  cr_assert_eq(second.code, 3);
  const json& conflict = second.output.at("conflicts").at(0);
  cr_assert_eq(conflict.at("yours").at("deadlineMs"), 3000);
  cr_assert_eq(conflict.at("theirs").at("deadlineMs"), 4000);
  cr_assert_eq(conflict.at("author"), "aino");
  cr_assert_eq(conflict.at("revision"), 2);
  cr_assert_eq(AppliedRevision(), 2);
}

// The platform stores a change but its responses are lost, so that the operator
// does not know the outcome. A retry with the same change id must find the
// change and create no second revision.
Test(gentianctl, lost_response_is_resolved_by_change_id) {
  ApplyInitial();
  const std::string file = WriteFile("a.json", DeclarationsWithDeadline(4000));
  const auto faults = [](const std::string& text) {
    CallHttp(deployment->platform_port(), "PUT", "/control/faults", text);
  };
  faults(R"({"lose_answers": true})");
  const CtlResult unanswered =
      RunCtl({"apply", file, "--change-id", "first-try"});
  faults(R"({"lose_answers": false})");
  cr_assert_eq(unanswered.code, 4, "%s", unanswered.output.dump().c_str());
  const CtlResult again = RunCtl({"apply", file, "--change-id", "first-try"});
  cr_assert_eq(again.code, 0);
  const CtlResult third = RunCtl({"apply", file, "--change-id", "first-try"});
  cr_assert_eq(third.code, 0);
  cr_assert_eq(third.output.at("revision"), 2);
  cr_assert_eq(AppliedRevision(), 2);
}

Test(gentianctl, rollback_restores_documents_as_a_new_revision) {
  ApplyInitial();
  const std::string pool =
      WriteFile("p.json", R"({"pools": [{"name": "extra"}]})");
  cr_assert_eq(
      RunCtl({"apply", WriteFile("a.json", DeclarationsWithDeadline(4000))})
          .code,
      0);
  cr_assert_eq(RunCtl({"apply", pool, "--delete", "pool/llm"}).code, 0);
  const CtlResult rolled_back =
      RunCtl({"rollback", "1", "--author", "bela", "--wait", "30"});
  cr_assert_eq(rolled_back.code, 0, "%s", rolled_back.output.dump().c_str());
  cr_assert_eq(AppliedRevision(), 4);
  const CtlResult profile = RunCtl({"get", "profile/drafts"});
  cr_assert_eq(profile.output.at("body").at("deadlineMs"), 5000);
  cr_assert_eq(RunCtl({"get", "pool/llm"}).code, 0);
  cr_assert_eq(RunCtl({"get", "pool/extra"}).code, 1);
  const CtlResult history = RunCtl({"history"});
  cr_assert_eq(history.output.at("revisions").back().at("author"), "bela");
  cr_assert_eq(RunCtl({"rollback", "9"}).code, 2);
}

Test(gentianctl, bad_file_or_argument_exits_two_and_names_the_field) {
  const CtlResult bad =
      RunCtl({"validate", WriteFile("bad.json", R"({"pools": [{}]})")});
  cr_assert_eq(bad.code, 2);
  cr_assert_eq(bad.output.at("field"), "pools[0].name");
  const std::string first = WriteFile("first.json", kInitialDeclarations);
  const std::string copy = WriteFile("copy.json", kInitialDeclarations);
  const CtlResult twice = RunCtl({"validate", first, copy});
  cr_assert_eq(twice.code, 2);
  cr_assert_eq(twice.output.at("file"), copy);
  cr_assert_eq(RunCtl({"no-such-command"}).code, 2);
  cr_assert_eq(RunCtl({"get", "drafts"}).code, 2);
}

// A change is posted to the daemon without gentianctl. If an invalid document
// were stored, no daemon could read it and its service would be lost
// everywhere.
Test(gentianctl, daemon_refuses_a_change_that_its_schema_refuses) {
  const json change = {{"change_id", "x"},
                       {"author", "x"},
                       {"changes",
                        {{{"kind", "pool"},
                          {"name", "p"},
                          {"body", R"({"name": "p", "kind": "disk"})"},
                          {"base_revision", 0}}}}};
  const auto response = CallHttp(deployment->operator_port(0), "POST",
                                 "/v1/apply", change.dump());
  cr_assert_eq(response.status, 422);
  cr_assert(response.body.find("pool/p: kind") != std::string::npos);
  cr_assert_eq(AppliedRevision(), 0);
}

Test(gentianctl, drain_stops_daemon_with_exit_zero) {
  cr_assert_eq(RunCtl({"status"}, 1).output.at("draining"), false);
  cr_assert_eq(RunCtl({"drain"}, 1).code, 0);
  cr_assert_eq(deployment->daemon(1).Wait(20), 0);
  cr_assert_eq(RunCtl({"status"}, 1).code, 4);
}

// One of two services has no server, and both daemons count requests. The
// report must add up their counts, and the HTML page must load nothing from
// elsewhere.
Test(gentianctl, report_adds_daemons_up_and_writes_one_page) {
  ApplyInitial();
  const std::string broken = WriteFile("broken.json", R"({
    "profiles": [{"name": "<b>", "stages": [{"name": "gen", "pool": "llm"}]}],
    "services": [{"name": "<broken>", "profile": "<b>"}]})");
  cr_assert_eq(RunCtl({"apply", broken, "--wait", "30"}).code, 0);
  for (const std::size_t daemon : {0U, 1U, 1U}) {
    cr_assert_eq(deployment->Post(daemon, "drafting", "{}").status, 200);
  }
  deployment->Post(0, "<broken>", "{}");

  const std::string page = deployment->FilePath("report.html");
  const std::string also =
      "127.0.0.1:" + std::to_string(deployment->operator_port(1));
  const CtlResult result = RunCtl({"--also", also, "report", "--html", page});
  cr_assert_eq(result.code, 0, "%s", result.output.dump().c_str());
  const json& services = result.output.at("services");
  cr_assert_eq(services.size(), 2U);
  cr_assert_eq(services[0].at("service"), "<broken>");
  cr_assert_eq(services[0].at("attained"), 0);
  cr_assert(services[0].at("windows")[0].at("burn_rate") > 1);
  cr_assert_eq(services[1].at("total"), 3);
  cr_assert_eq(services[1].at("windows")[3].at("attained"), 3);
  cr_assert_eq(result.output.at("stages")[0].at("runs"), 3);
  cr_assert_eq(result.output.at("daemons").size(), 3U);

  const std::string html = ReadFile(page);
  cr_assert(html.find("&lt;broken&gt;") != std::string::npos);
  for (const char* foreign : {"<broken>", "<script", "http:", "https:"}) {
    cr_assert(html.find(foreign) == std::string::npos, "%s", foreign);
  }
  deployment->daemon(1).Signal(SIGKILL);
  deployment->daemon(1).Wait(10);
  const CtlResult partial = RunCtl({"--also", also, "report"});
  cr_assert_eq(partial.code, 4);
  cr_assert_eq(partial.output.at("unreachable").at(0), also);
}

Test(gentianctl, metrics_name_the_service_after_its_first_request) {
  ApplyInitial();
  deployment->Post(0, "drafting", "{}");
  const auto response =
      CallHttp(deployment->operator_port(0), "GET", "/metrics", "");
  const std::string line =
      "gentianroute_answers_total{service=\"drafting\",profile=\"drafts\"} 1\n";
  cr_assert(response.body.find(line) != std::string::npos);
}

// An additional daemon address is mistyped, or nothing listens on it. A
// mistyped one must be refused before the change is made; an unreachable one
// must be reported as lagging, since the change is applied.
Test(gentianctl, mistyped_daemon_is_refused_and_unreachable_one_lags) {
  const std::string file = WriteFile("first.json", kInitialDeclarations);
  const CtlResult mistyped =
      RunCtl({"--also", "nowhere", "apply", file, "--wait", "1"});
  cr_assert_eq(mistyped.code, 2);
  cr_assert_eq(AppliedRevision(), 0);
  const CtlResult silent =
      RunCtl({"--also", "127.0.0.1:1", "apply", file, "--wait", "1"});
  cr_assert_eq(silent.code, 5, "%s", silent.output.dump().c_str());
  cr_assert_eq(silent.output.at("revision"), 1);
}

// Two operators apply changes based on revision 1 through two daemons at the
// same time, and the slow platform accepts one of them first. The other
// operator must get a conflict with both versions and must not overwrite the
// first change.
Test(gentianctl, concurrent_applies_accept_one_and_show_both_versions) {
  ApplyInitial();
  cr_assert(Eventually(10, [] { return AppliedRevision(1) == 1; }));
  CallHttp(deployment->platform_port(), "PUT", "/control/faults",
           R"({"delay_ms": 400})");
  const std::string first = WriteFile("a.json", DeclarationsWithDeadline(4000));
  const std::string second =
      WriteFile("b.json", DeclarationsWithDeadline(3000));
  RunningCtl one = StartCtl({"apply", first, "--author", "aino"}, 0);
  RunningCtl two = StartCtl({"apply", second, "--author", "bela"}, 1);
  const CtlResult ended[] = {one.Finish(), two.Finish()};
  const CtlResult& winner = ended[0].code == 0 ? ended[0] : ended[1];
  const CtlResult& loser = ended[0].code == 0 ? ended[1] : ended[0];
  cr_assert_eq(winner.code, 0, "%s", winner.output.dump().c_str());
  cr_assert_eq(loser.code, 3, "%s", loser.output.dump().c_str());
  const json& conflict = loser.output.at("conflicts").at(0);
  cr_assert_eq(conflict.at("revision"), 2);
  cr_assert_neq(conflict.at("yours"), conflict.at("theirs"));
  cr_assert_eq(AppliedRevision(&winner == &ended[0] ? 0 : 1), 2);
}
