#include "change_plan.h"

#include <utility>

namespace gentianroute::ctl {
namespace {

std::string_view VerbOf(const PlannedChange& change) {
  if (change.before.empty()) {
    return "add";
  }
  return change.after.empty() ? "delete" : "change";
}

json ParseBody(const std::string& body) {
  return body.empty() ? json(nullptr) : json::parse(body);
}

/// Fields that differ, one a line.
std::string FieldLines(const json& before, const json& after) {
  std::string text;
  for (const json& step : json::diff(before, after)) {
    const std::string path = step.at("path");
    const json::json_pointer pointer(path);
    const std::string old =
        before.contains(pointer) ? before.at(pointer).dump() : "(default)";
    const std::string now =
        step.contains("value") ? step.at("value").dump() : "(default)";
    text += "    " + path + ": " + old + " -> " + now + "\n";
  }
  return text;
}

json ConflictJson(const PlannedChange& change,
                  const Documents& in_force,
                  const ConfigRevision& theirs) {
  const auto present = in_force.find(change.name);
  const bool stands = present != in_force.end();
  return {{"document", FullNameText(change.name)},
          {"yours", ParseBody(change.after)},
          {"theirs", stands ? ParseBody(present->second.body) : json(nullptr)},
          {"revision", theirs.revision},
          {"author", theirs.author},
          {"unix_micros", theirs.applied_at}};
}

std::string ConflictText(const json& conflict) {
  const auto side = [](const json& body) {
    return body.is_null() ? std::string("deleted") : body.dump();
  };
  return conflict.at("document").get<std::string>() + " was changed by " +
         conflict.at("author").get<std::string>() + " at " +
         TimeText(conflict.at("unix_micros")) + " (revision " +
         conflict.at("revision").dump() +
         ")\n  yours:  " + side(conflict.at("yours")) +
         "\n  theirs: " + side(conflict.at("theirs"));
}

}  // namespace

ChangePlan PlanChanges(const Documents& in_force,
                       const Documents& wanted,
                       const std::set<DocumentName>& deleted) {
  ChangePlan plan;
  for (const auto& [name, document] : wanted) {
    const auto present = in_force.find(name);
    if (present == in_force.end()) {
      plan.push_back({name, {}, document.body, 0});
      continue;
    }
    const std::string& before = present->second.body;
    if (json::parse(before) != json::parse(document.body)) {
      plan.push_back({name, before, document.body, present->second.revision});
    }
  }
  for (const DocumentName& name : deleted) {
    const auto present = in_force.find(name);
    if (present != in_force.end() && !wanted.contains(name)) {
      plan.push_back(
          {name, present->second.body, {}, present->second.revision});
    }
  }
  return plan;
}

std::set<DocumentName> NotNamed(const Documents& in_force,
                                const Documents& wanted) {
  std::set<DocumentName> names;
  for (const auto& [name, document] : in_force) {
    if (!wanted.contains(name)) {
      names.insert(name);
    }
  }
  return names;
}

leaf::result<void> CheckPlan(const Documents& in_force,
                             const ChangePlan& plan,
                             const Origins& origins) {
  Documents after = in_force;
  for (const PlannedChange& change : plan) {
    if (change.after.empty()) {
      after.erase(change.name);
    } else {
      after[change.name] = {change.after, 0};
    }
  }
  return CheckReferences("in force", after, origins);
}

leaf::result<void> CheckBase(const ChangePlan& plan,
                             const Documents& in_force,
                             const std::vector<ConfigRevision>& history,
                             std::uint64_t base_revision) {
  json conflicts = json::array();
  std::string text;
  for (const PlannedChange& change : plan) {
    const ConfigRevision* last = LastChangeOf(history, change.name);
    if (last != nullptr && last->revision > base_revision) {
      conflicts.push_back(ConflictJson(change, in_force, *last));
      text += (text.empty() ? "" : "\n") + ConflictText(conflicts.back());
    }
  }
  if (conflicts.empty()) {
    return {};
  }
  return leaf::new_error(
      Failure{kExitConflict, text, {{"conflicts", std::move(conflicts)}}});
}

std::string PlanText(const ChangePlan& plan) {
  std::string text;
  for (const PlannedChange& change : plan) {
    text += std::string(VerbOf(change)) + " " + FullNameText(change.name);
    if (!change.before.empty() && !change.after.empty()) {
      text += " (last changed by revision " +
              std::to_string(change.base_revision) + ")\n" +
              FieldLines(ParseBody(change.before), ParseBody(change.after));
      continue;
    }
    text +=
        "\n    " + (change.after.empty() ? change.before : change.after) + "\n";
  }
  return text;
}

json PlanJson(const ChangePlan& plan) {
  json changes = json::array();
  for (const PlannedChange& change : plan) {
    changes.push_back({{"document", FullNameText(change.name)},
                       {"change", VerbOf(change)},
                       {"before", ParseBody(change.before)},
                       {"after", ParseBody(change.after)},
                       {"base_revision", change.base_revision}});
  }
  return changes;
}

}  // namespace gentianroute::ctl
