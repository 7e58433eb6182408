#include "configuration.h"

#include <array>
#include <ctime>

namespace gentianroute::ctl {
namespace {

constexpr UnixMicros kMicrosPerSecond = 1'000'000;

DocumentName ParseDocumentName(const json& value) {
  const auto kind = DocumentKindFromName(value.at("kind").get<std::string>());
  return {kind.value_or(DocumentKind::kProfile), value.at("name")};
}

ConfigRevision ParseRevision(const json& value) {
  ConfigRevision revision;
  revision.revision = value.at("revision");
  revision.change_id = value.at("change_id");
  revision.author = value.at("author");
  revision.applied_at = value.at("unix_micros");
  for (const json& item : value.at("changes")) {
    const DocumentName name = ParseDocumentName(item);
    revision.changes.push_back(
        {name.first, name.second, item.at("body"), item.at("base_revision")});
  }
  return revision;
}

/// Finds the change of a document in a revision.
/// @return null if the revision does not change it
const DocumentChange* FindChange(const ConfigRevision& revision,
                                 const DocumentName& name) {
  for (const DocumentChange& change : revision.changes) {
    if (change.FullName() == name) {
      return &change;
    }
  }
  return nullptr;
}

/// Finds the change of a document in the revision with this number.
/// @return null if the history does not have it
const DocumentChange* FindChangeAtRevision(
    const std::vector<ConfigRevision>& history,
    std::uint64_t number,
    const DocumentName& name) {
  for (const ConfigRevision& revision : history) {
    if (revision.revision == number) {
      return FindChange(revision, name);
    }
  }
  return nullptr;
}

Failure HistoryTooShort(std::uint64_t revision) {
  return {kExitInvalid,
          "the daemon's history does not reach back far enough "
          "to restore revision " +
              std::to_string(revision)};
}

}  // namespace

std::string FullNameText(const DocumentName& name) {
  return std::string(DocumentKindName(name.first)) + "/" + name.second;
}

leaf::result<DocumentName> ParseFullName(const std::string& text) {
  const std::size_t slash = text.find('/');
  const auto kind = DocumentKindFromName(text.substr(0, slash));
  const bool named = slash != std::string::npos && slash + 1 < text.size();
  if (!kind.has_value() || !named) {
    return leaf::new_error(
        Failure{kExitInvalid, "found '" + text +
                                  "'; allowed: profile/NAME, service/NAME or "
                                  "pool/NAME"});
  }
  return DocumentName{*kind, text.substr(slash + 1)};
}

leaf::result<DeclaredDocuments> ReadDeclarations(
    const std::vector<std::string>& files) {
  DeclaredDocuments declared;
  for (const std::string& file : files) {
    BOOST_LEAF_AUTO(text, ReadFile(file));
    Origins origins;
    BOOST_LEAF_AUTO(documents, ParseDeclarations(file, text, origins));
    for (const auto& [name, document] : documents) {
      const auto duplicate = declared.origins.find(name);
      if (duplicate != declared.origins.end()) {
        return leaf::new_error(
            SchemaError{file, origins[name].path + ".name",
                        "'" + name.second + "', which " +
                            duplicate->second.file + " declares too",
                        "a name that is declared once in all files"});
      }
      declared.documents[name] = document;
      declared.origins[name] = origins[name];
    }
  }
  return declared;
}

leaf::result<CurrentConfig> GetCurrentConfig(const DaemonAddress& daemon) {
  BOOST_LEAF_AUTO(value, GetJson(daemon, "/v1/documents"));
  CurrentConfig current;
  current.revision = value.at("revision");
  for (const json& item : value.at("documents")) {
    current.documents[ParseDocumentName(item)] = {item.at("body").dump(),
                                                  item.at("revision")};
  }
  return current;
}

leaf::result<std::vector<ConfigRevision>> GetHistory(
    const DaemonAddress& daemon) {
  BOOST_LEAF_AUTO(value, GetJson(daemon, "/v1/history"));
  std::vector<ConfigRevision> history;
  for (const json& item : value.at("revisions")) {
    history.push_back(ParseRevision(item));
  }
  return history;
}

leaf::result<Documents> RestoreDocuments(
    const std::vector<ConfigRevision>& history,
    const CurrentConfig& current,
    std::uint64_t revision) {
  if (revision > current.revision) {
    return leaf::new_error(Failure{
        kExitInvalid, "there is no revision " + std::to_string(revision) +
                          "; the last is " + std::to_string(current.revision)});
  }
  Documents documents = current.documents;
  // Undoes the changes from the newest one back: each document returns to the
  // version that the change was based on.
  std::uint64_t reached = current.revision;
  for (auto undone = history.rbegin();
       undone != history.rend() && undone->revision > revision; ++undone) {
    for (const DocumentChange& change : undone->changes) {
      documents.erase(change.FullName());
      if (change.base_revision == 0) {
        continue;
      }
      const DocumentChange* previous = FindChangeAtRevision(
          history, change.base_revision, change.FullName());
      if (previous != nullptr) {
        documents[change.FullName()] = {previous->body, change.base_revision};
      } else if (change.base_revision <= revision) {
        return leaf::new_error(HistoryTooShort(revision));
      }
    }
    reached = undone->revision - 1;
  }
  if (reached != revision) {
    return leaf::new_error(HistoryTooShort(revision));
  }
  return documents;
}

const ConfigRevision* FindLastRevisionOf(
    const std::vector<ConfigRevision>& history,
    const DocumentName& name) {
  for (auto revision = history.rbegin(); revision != history.rend();
       ++revision) {
    if (FindChange(*revision, name) != nullptr) {
      return &*revision;
    }
  }
  return nullptr;
}

std::string FormatTime(UnixMicros time) {
  constexpr std::size_t kMaxLength = 32;
  const std::time_t seconds = time / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, kMaxLength> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
  return {text.data(), size};
}

}  // namespace gentianroute::ctl
