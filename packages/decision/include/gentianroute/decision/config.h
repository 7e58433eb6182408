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

/// @brief Content of one document at some revision.
struct Document {
  std::string body;            ///< JSON, valid for its kind
  std::uint64_t revision = 0;  ///< revision that last wrote it
};

using Documents = std::map<DocumentName, Document>;

/// @brief Writes a document or, if the body is empty, deletes it.
struct DocumentChange {
  DocumentKind kind = DocumentKind::kProfile;
  std::string name;
  std::string body;
  /// Revision of the document that the change is based on; 0: a new document.
  std::uint64_t base_revision = 0;

  DocumentName FullName() const { return {kind, name}; }
};

/// @brief One entry of the configuration log.
struct ConfigRevision {
  std::uint64_t revision = 0;
  std::string change_id;  ///< set by the author; makes the change idempotent
  std::string author;
  UnixMicros applied_at = 0;
  std::vector<DocumentChange> changes;
};

/// @brief All documents at one revision. A new host reads a snapshot instead of
/// the whole log.
struct ConfigSnapshot {
  std::uint64_t revision = 0;
  Documents documents;
};

/// @brief Converts the configuration to and from text. The schema package
/// implements it.
class ConfigCodec {
 public:
  virtual ~ConfigCodec() = default;
  virtual std::string Encode(const ConfigRevision& revision) const = 0;
  virtual std::optional<ConfigRevision> Decode(std::string_view text) const = 0;
  /// @brief Parses a document and adds it to a catalogue.
  /// @return false if the body is invalid; the catalogue is unchanged then
  virtual bool AddDocument(Catalogue& catalogue,
                           const DocumentName& name,
                           const Document& document) const = 0;
  virtual std::string EncodeSnapshot(const ConfigSnapshot& snapshot) const = 0;
  virtual std::optional<ConfigSnapshot> DecodeSnapshot(
      std::string_view text) const = 0;
  /// @brief Validates the references between documents.
  /// @return error message for the operator; empty if there is no error
  virtual std::string Check(const Catalogue& catalogue) const = 0;
};

/// @brief Applies one change to a catalogue.
/// @param revision revision of the change
/// @return false if the body is invalid; the document is removed then, as it
/// would be missing from a catalogue built from a snapshot
bool ChangeCatalogue(Catalogue& catalogue,
                     const DocumentChange& change,
                     std::uint64_t revision,
                     const ConfigCodec& codec);

/// @brief Table of the configuration log in the table service.
inline constexpr std::string_view kConfigTable = "config";
/// Key of the row with the newest revision.
inline constexpr std::string_view kConfigHeadKey = "head";
/// Key of the row with the revision of the newest complete snapshot in the
/// object store.
inline constexpr std::string_view kConfigSnapshotKey = "snapshot";
/// Key of the row with the newest revision whose row has been deleted.
inline constexpr std::string_view kConfigFloorKey = "floor";
/// @brief Returns the key of a revision's row; keys sort in revision order.
std::string ConfigRevisionKey(std::uint64_t revision);
/// @brief Returns the key of the row with the revision of an applied change.
std::string ConfigChangeKey(std::string_view change_id);

/// @brief How often snapshots are written and how much of the log is retained.
struct ConfigRetention {
  std::uint64_t snapshot_every = 256;  ///< revisions
  /// Retained revisions, each with its row and the row of its change id. Enough
  /// for a week at 28,000 changes a day.
  std::uint64_t kept_rows = 200'000;
  /// Number of objects that snapshots are written to in rotation. A delayed put
  /// can only restore the snapshot from `slots` snapshots ago, whose following
  /// revisions are still retained.
  std::uint64_t slots = 8;
};

/// @brief Returns the name of the object with the snapshot of a revision.
std::string ConfigSnapshotObject(const ConfigRetention& retention,
                                 std::uint64_t revision);

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_H_
