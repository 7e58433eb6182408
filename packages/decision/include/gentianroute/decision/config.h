#ifndef GENTIANROUTE_DECISION_CONFIG_H_
#define GENTIANROUTE_DECISION_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/decision/catalogue.h"

namespace gentianroute {

enum class DocumentKind : std::uint8_t { kProfile, kService, kPool };

using DocumentName = std::pair<DocumentKind, std::string>;

/// @brief One document as it stands at some revision.
struct Document {
  std::string body;            ///< JSON, valid for its kind
  std::uint64_t revision = 0;  ///< that wrote it last
};

using Documents = std::map<DocumentName, Document>;

/// @brief A document written or, with an empty body, deleted.
struct DocumentChange {
  DocumentKind kind = DocumentKind::kProfile;
  std::string name;
  std::string body;
  std::uint64_t base_revision = 0;  ///< that its author saw; 0: none existed

  DocumentName FullName() const { return {kind, name}; }
};

/// @brief One entry of the configuration log.
struct ConfigRevision {
  std::uint64_t revision = 0;
  std::string change_id;  ///< chosen by the author; settles a lost answer
  std::string author;
  UnixMicros applied_at = 0;
  std::vector<DocumentChange> changes;
};

/// @brief All documents at one revision, so that a new host need not read the
/// whole log.
struct ConfigSnapshot {
  std::uint64_t revision = 0;
  Documents documents;
};

/// @brief Text forms; the schema package has the real ones.
class ConfigCodec {
 public:
  virtual ~ConfigCodec() = default;
  virtual std::string Encode(const ConfigRevision& revision) const = 0;
  virtual std::optional<ConfigRevision> Decode(std::string_view text) const = 0;
  /// @brief Adds a document to a catalogue.
  /// @return false if the body is not valid; the catalogue is unchanged then
  virtual bool AddDocument(Catalogue& catalogue,
                           const DocumentName& name,
                           const Document& document) const = 0;
  virtual std::string EncodeSnapshot(const ConfigSnapshot& snapshot) const = 0;
  virtual std::optional<ConfigSnapshot> DecodeSnapshot(
      std::string_view text) const = 0;
  /// @brief Checks what one document says of another.
  /// @return what is wrong, for the operator; empty if nothing is
  virtual std::string Check(const Catalogue& catalogue) const = 0;
};

/// @brief Makes one change to a catalogue.
/// @param revision that writes it
/// @return false if the body is not valid; the document is absent then, as it
/// would be in a catalogue built from a snapshot
bool ChangeCatalogue(Catalogue& catalogue,
                     const DocumentChange& change,
                     std::uint64_t revision,
                     const ConfigCodec& codec);

/// @brief Rows of the configuration in the table service.
inline constexpr std::string_view kConfigTable = "config";
inline constexpr std::string_view kConfigHeadKey = "head";
/// Newest revision that a whole snapshot in the object store covers.
inline constexpr std::string_view kConfigSnapshotKey = "snapshot";
/// Newest revision whose row has been deleted.
inline constexpr std::string_view kConfigFloorKey = "floor";
/// @brief Key of one revision's row; keys sort as the revisions do.
std::string ConfigRevisionKey(std::uint64_t revision);
/// @brief Key of the row that says at which revision a change was applied.
std::string ConfigChangeKey(std::string_view change_id);

/// @brief How often a snapshot is written and how much of the log is kept.
struct ConfigRetention {
  std::uint64_t snapshot_every = 256;  ///< revisions
  /// Rows of revisions and of change ids: a week at 28,000 changes a day.
  std::uint64_t kept_rows = 200'000;
  /// Objects that snapshots take in turn. A put that arrives late can only
  /// bring back the snapshot of `slots` turns ago, which the kept rows follow.
  std::uint64_t slots = 8;
};

/// @brief The object that holds the snapshot of a revision.
std::string ConfigSnapshotObject(const ConfigRetention& retention,
                                 std::uint64_t revision);

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_H_
