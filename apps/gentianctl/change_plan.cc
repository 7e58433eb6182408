#include "change_plan.h"

#include <utility>

namespace gentianroute::ctl {
namespace {

std::string_view ChangeVerb(const PlannedChange& change) {
  if (change.before.empty()) {
    return "add";
  }
  return change.after.empty() ? "delete" : "change";
}

json ParseBody(const std::string& body) {
  return body.empty() ? json(nullptr) : json::parse(body);
}

/// Lists the fields that differ, one per line.
std::string FieldDiffText(const json& before, const json& after) {
  std::string text;
  for (const json& edit : json::diff(before, after)) {
    const std::string path = edit.at("path");
    const json::json_pointer pointer(path);
    const std::string old_value =
        before.contains(pointer) ? before.at(pointer).dump() : "(default)";
    const std::string new_value =
        edit.contains("value") ? edit.at("value").dump() : "(default)";
    text += "    " + path + ": " + old_value + " -> " + new_value + "\n";
  }
  return text;
}

json ConflictJson(const PlannedChange& change,
                  const Documents& current,
                  const ConfigRevision& theirs) {
  const auto existing = current.find(change.name);
  const bool exists = existing != current.end();
  return {{"document", FullNameText(change.name)},
          {"yours", ParseBody(change.after)},
          {"theirs", exists ? ParseBody(existing->second.body) : json(nullptr)},
          {"revision", theirs.revision},
          {"author", theirs.author},
          {"unix_micros", theirs.applied_at}};
}

std::string ConflictText(const json& conflict) {
  const auto body_text = [](const json& body) {
    return body.is_null() ? std::string("deleted") : body.dump();
  };
  return conflict.at("document").get<std::string>() + " was changed by " +
         conflict.at("author").get<std::string>() + " at " +
         FormatTime(conflict.at("unix_micros")) + " (revision " +
         conflict.at("revision").dump() +
         ")\n  yours:  " + body_text(conflict.at("yours")) +
         "\n  theirs: " + body_text(conflict.at("theirs"));
}

}  // namespace

ChangePlan PlanChanges(const Documents& current,
                       const Documents& desired,
                       const std::set<DocumentName>& deleted) {
  ChangePlan plan;
  for (const auto& [name, document] : desired) {
    const auto existing = current.find(name);
    if (existing == current.end()) {
      plan.push_back({name, {}, document.body, 0});
      continue;
    }
    const std::string& before = existing->second.body;
    if (json::parse(before) != json::parse(document.body)) {
      plan.push_back({name, before, document.body, existing->second.revision});
    }
  }
  for (const DocumentName& name : deleted) {
    const auto existing = current.find(name);
    if (existing != current.end() && !desired.contains(name)) {
      plan.push_back(
          {name, existing->second.body, {}, existing->second.revision});
    }
  }
  return plan;
}

std::set<DocumentName> FindRemovedDocuments(const Documents& current,
                                            const Documents& desired) {
  std::set<DocumentName> names;
  for (const auto& [name, document] : current) {
    if (!desired.contains(name)) {
      names.insert(name);
    }
  }
  return names;
}

leaf::result<void> CheckPlan(const Documents& current,
                             const ChangePlan& plan,
                             const Origins& origins) {
  Documents after = current;
  for (const PlannedChange& change : plan) {
    if (change.after.empty()) {
      after.erase(change.name);
    } else {
      after[change.name] = {change.after, 0};
    }
  }
  return CheckReferences("in force", after, origins);
}

leaf::result<void> CheckBaseRevision(const ChangePlan& plan,
                                     const Documents& current,
                                     const std::vector<ConfigRevision>& history,
                                     std::uint64_t base_revision) {
  json conflicts = json::array();
  std::string text;
  for (const PlannedChange& change : plan) {
    const ConfigRevision* last = FindLastRevisionOf(history, change.name);
    if (last != nullptr && last->revision > base_revision) {
      conflicts.push_back(ConflictJson(change, current, *last));
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
    text += std::string(ChangeVerb(change)) + " " + FullNameText(change.name);
    if (!change.before.empty() && !change.after.empty()) {
      text += " (last changed by revision " +
              std::to_string(change.base_revision) + ")\n" +
              FieldDiffText(ParseBody(change.before), ParseBody(change.after));
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
                       {"change", ChangeVerb(change)},
                       {"before", ParseBody(change.before)},
                       {"after", ParseBody(change.after)},
                       {"base_revision", change.base_revision}});
  }
  return changes;
}

}  // namespace gentianroute::ctl
