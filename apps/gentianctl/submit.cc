#include "submit.h"

#include <random>
#include <utility>

#include "wait.h"

namespace gentianroute::ctl {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

std::string NewChangeId() {
  std::random_device random;
  const std::uint64_t high = random();
  constexpr unsigned kHalf = 32;
  return "change-" + std::to_string(high << kHalf | random());
}

json ChangeOf(const ChangePlan& plan,
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

/// Both sides of a conflict that the daemon found.
leaf::result<std::uint64_t> Conflict(const CommonOptions& common,
                                     const ChangePlan& plan,
                                     std::uint64_t seen,
                                     const HttpResult& result) {
  BOOST_LEAF_AUTO(present, GetInForce(common.daemon));
  BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
  BOOST_LEAF_CHECK(CheckBase(plan, present.documents, history, seen));
  return leaf::new_error(Failure{kExitConflict, ProblemText(result)});
}

leaf::result<std::uint64_t> Send(const CommonOptions& common,
                                 const ChangePlan& plan,
                                 std::uint64_t seen,
                                 const std::string& author,
                                 const std::string& change_id) {
  const HttpResult result = Call(common.daemon, "POST", "/v1/apply",
                                 ChangeOf(plan, author, change_id).dump());
  if (!result.complete || result.status == kUnavailable) {
    // The change may be in the log although its answer was lost; the id makes
    // a second try the same change.
    return leaf::new_error(Failure{
        kExitUnreachable,
        (result.complete ? ProblemText(result) : result.detail) +
            "\nThe change may or may not stand. Try again with --change-id " +
            change_id,
        {{"change_id", change_id}}});
  }
  if (result.status == kConflict) {
    return Conflict(common, plan, seen, result);
  }
  if (result.status != kOk) {
    return leaf::new_error(Failure{kExitFailed, ProblemText(result)});
  }
  return json::parse(result.body).at("revision").get<std::uint64_t>();
}

/// What became of a change, with `daemons` if it was waited for.
struct Outcome {
  std::uint64_t revision = 0;
  bool changed = false;
  std::string sentence;
};

leaf::result<Outcome> Settle(const CommonOptions& common,
                             const ChangePlan& plan,
                             const InForce& in_force,
                             const ChangeOptions& options,
                             const std::string& change_id) {
  if (!options.change_id.empty()) {
    BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
    const std::uint64_t stands = RevisionOfChange(history, change_id);
    if (stands != 0) {
      return Outcome{
          stands, false,
          "this change stands already, as revision " + std::to_string(stands)};
    }
  }
  if (plan.empty()) {
    return Outcome{in_force.revision, false,
                   "nothing to change; revision " +
                       std::to_string(in_force.revision) + " is in force"};
  }
  BOOST_LEAF_AUTO(revision, Send(common, plan, in_force.revision,
                                 options.author, change_id));
  return Outcome{revision, true,
                 "applied as revision " + std::to_string(revision)};
}

}  // namespace

std::uint64_t RevisionOfChange(const std::vector<ConfigRevision>& history,
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
                              const InForce& in_force,
                              const ChangeOptions& options) {
  const std::string change_id =
      options.change_id.empty() ? NewChangeId() : options.change_id;
  BOOST_LEAF_AUTO(outcome, Settle(common, plan, in_force, options, change_id));
  json value = {{"revision", outcome.revision},
                {"changed", outcome.changed},
                {"change_id", change_id},
                {"changes", PlanJson(plan)}};
  std::string text =
      (outcome.changed ? PlanText(plan) : "") + outcome.sentence + "\n";
  ExitCode code = kExitDone;
  if (options.wait_s > 0) {
    const Waited waited = WaitInForce(common, outcome.revision,
                                      std::chrono::seconds(options.wait_s));
    value["in_force_everywhere"] = waited.in_force;
    value["daemons"] = waited.daemons;
    text += waited.text;
    code = waited.in_force ? kExitDone : kExitTimeout;
  }
  Print(common.json, value, text);
  return code;
}

}  // namespace gentianroute::ctl
