#include "submit.h"

#include <random>
#include <utility>

#include "rollout.h"

namespace gentianroute::ctl {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

std::string GenerateChangeId() {
  std::random_device random;
  const std::uint64_t high = random();
  constexpr unsigned kHighBitsShift = 32;
  return "change-" + std::to_string(high << kHighBitsShift | random());
}

json ChangeRequestJson(const ChangePlan& plan,
                       const std::string& author,
                       const std::string& change_id) {
  json changes = json::array();
  for (const PlannedChange& change : plan) {
    changes.push_back({{"kind", DocumentKindName(change.name.first)},
                       {"name", change.name.second},
                       {"body", change.after},
                       {"base_revision", change.base_revision}});
  }
  return {{"change_id", change_id},
          {"author", author},
          {"changes", std::move(changes)}};
}

/// Builds the error for a conflict that the daemon detected, with both versions
/// if the history tells them.
leaf::result<std::uint64_t> DescribeConflict(const CommonOptions& common,
                                             const ChangePlan& plan,
                                             std::uint64_t base_revision,
                                             const HttpResult& result) {
  BOOST_LEAF_AUTO(latest, GetCurrentConfig(common.daemon));
  BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
  BOOST_LEAF_CHECK(
      CheckBaseRevision(plan, latest.documents, history, base_revision));
  return leaf::new_error(Failure{kExitConflict, ProblemText(result)});
}

leaf::result<std::uint64_t> SendChange(const CommonOptions& common,
                                       const ChangePlan& plan,
                                       std::uint64_t base_revision,
                                       const std::string& author,
                                       const std::string& change_id) {
  const HttpResult result =
      CallDaemon(common.daemon, "POST", "/v1/apply",
                 ChangeRequestJson(plan, author, change_id).dump());
  if (!result.complete || result.status == kUnavailable) {
    // The change may have been applied although its answer was lost; with the
    // same id a retry is the same change.
    return leaf::new_error(
        Failure{kExitUnreachable,
                (result.complete ? ProblemText(result) : result.detail) +
                    "\nThe change may or may not have been applied. Retry with "
                    "--change-id " +
                    change_id,
                {{"change_id", change_id}}});
  }
  if (result.status == kConflict) {
    return DescribeConflict(common, plan, base_revision, result);
  }
  if (result.status != kOk) {
    return leaf::new_error(Failure{kExitFailed, ProblemText(result)});
  }
  return json::parse(result.body).at("revision").get<std::uint64_t>();
}

/// Result of a change before the rollout.
struct SubmitOutcome {
  std::uint64_t revision = 0;
  bool changed = false;
  std::string summary;
};

leaf::result<SubmitOutcome> SubmitOnce(const CommonOptions& common,
                                       const ChangePlan& plan,
                                       const CurrentConfig& current,
                                       const ChangeOptions& options,
                                       const std::string& change_id) {
  if (!options.change_id.empty()) {
    BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
    const std::uint64_t applied_revision =
        FindRevisionByChangeId(history, change_id);
    if (applied_revision != 0) {
      return SubmitOutcome{applied_revision, false,
                           "this change was already applied, as revision " +
                               std::to_string(applied_revision)};
    }
  }
  if (plan.empty()) {
    return SubmitOutcome{current.revision, false,
                         "nothing to change; revision " +
                             std::to_string(current.revision) + " is in force"};
  }
  BOOST_LEAF_AUTO(revision, SendChange(common, plan, current.revision,
                                       options.author, change_id));
  return SubmitOutcome{revision, true,
                       "applied as revision " + std::to_string(revision)};
}

}  // namespace

std::uint64_t FindRevisionByChangeId(const std::vector<ConfigRevision>& history,
                                     const std::string& change_id) {
  for (const ConfigRevision& revision : history) {
    if (revision.change_id == change_id) {
      return revision.revision;
    }
  }
  return 0;
}

leaf::result<ExitCode> Submit(const CommonOptions& common,
                              const ChangePlan& plan,
                              const CurrentConfig& current,
                              const ChangeOptions& options) {
  const std::string change_id =
      options.change_id.empty() ? GenerateChangeId() : options.change_id;
  BOOST_LEAF_AUTO(outcome,
                  SubmitOnce(common, plan, current, options, change_id));
  json value = {{"revision", outcome.revision},
                {"changed", outcome.changed},
                {"change_id", change_id},
                {"changes", PlanJson(plan)}};
  std::string text =
      (outcome.changed ? PlanText(plan) : "") + outcome.summary + "\n";
  ExitCode code = kExitSuccess;
  if (options.wait_s > 0) {
    const RolloutStatus rollout = WaitForRollout(
        common, outcome.revision, std::chrono::seconds(options.wait_s));
    value["in_force_everywhere"] = rollout.in_force_everywhere;
    value["daemons"] = rollout.daemons;
    text += rollout.text;
    code = rollout.in_force_everywhere ? kExitSuccess : kExitTimeout;
  }
  Print(common.json, value, text);
  return code;
}

}  // namespace gentianroute::ctl
