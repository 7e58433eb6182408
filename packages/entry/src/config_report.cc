#include "gentianroute/entry/config_report.h"

#include <utility>

#include "gentianroute/schema/declarations.h"

namespace gentianroute {

using nlohmann::json;

json DocumentsReport(const ConfigFollower& follower) {
  json documents = json::array();
  for (const auto& [name, document] : follower.documents()) {
    documents.push_back({{"kind", DocumentKindName(name.first)},
                         {"name", name.second},
                         {"revision", document.revision},
                         {"body", json::parse(document.body)}});
  }
  return {{"revision", follower.revision()},
          {"documents", std::move(documents)}};
}

json HistoryReport(const ConfigFollower& follower) {
  json revisions = json::array();
  for (const ConfigRevision& revision : follower.kept()) {
    json changes = json::array();
    for (const DocumentChange& change : revision.changes) {
      changes.push_back({{"kind", DocumentKindName(change.kind)},
                         {"name", change.name},
                         {"deleted", change.body.empty()},
                         {"base_revision", change.base_revision},
                         {"body", change.body}});
    }
    revisions.push_back({{"revision", revision.revision},
                         {"change_id", revision.change_id},
                         {"author", revision.author},
                         {"unix_micros", revision.applied_at},
                         {"changes", std::move(changes)}});
  }
  return {{"revisions", std::move(revisions)}};
}

}  // namespace gentianroute
