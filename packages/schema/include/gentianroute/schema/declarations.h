#ifndef GENTIANROUTE_SCHEMA_DECLARATIONS_H_
#define GENTIANROUTE_SCHEMA_DECLARATIONS_H_

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/decision/config.h"
#include "gentianroute/schema/checked_json.h"

namespace gentianroute {

/// @brief Where a document was read.
struct Origin {
  std::string file;
  std::string path;  ///< like `profiles[0]`
};
using Origins = std::map<DocumentName, Origin>;

/// @brief Reads a profile file into documents; every one is valid by itself.
/// @param origins gets the place of each document
/// @return SchemaError, see DecodeChecked(); also for a name that stands twice,
/// a stage that must not repeat but is told to, and a deadline that the stages
/// can't meet
leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text,
                                          Origins& origins);
leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text);

/// @brief Checks what one document says of another: each stage names a pool,
/// each service a profile.
/// @param file for documents without an origin
/// @param documents all documents that would be in force
leaf::result<void> CheckReferences(std::string_view file,
                                   const Documents& documents,
                                   const Origins& origins = {});

/// @brief Checks one document by itself, as ParseDeclarations() does.
/// @param text JSON of the document
/// @return SchemaError whose file is `kind/name`
leaf::result<void> CheckDocument(const DocumentName& name,
                                 std::string_view text);

/// @brief Text forms of the configuration log, as JSON by the schema.
class JsonConfigCodec final : public ConfigCodec {
 public:
  std::string Encode(const ConfigRevision& revision) const override;
  std::optional<ConfigRevision> Decode(std::string_view text) const override;
  bool AddDocument(Catalogue& catalogue,
                   const DocumentName& name,
                   const Document& document) const override;
  std::string EncodeSnapshot(const ConfigSnapshot& snapshot) const override;
  std::optional<ConfigSnapshot> DecodeSnapshot(
      std::string_view text) const override;
  std::string Check(const Catalogue& catalogue) const override;
};

/// @brief The word of a document's kind: `profile`, `service` or `pool`.
std::string_view DocumentKindName(DocumentKind kind);
std::optional<DocumentKind> DocumentKindFromName(std::string_view name);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_DECLARATIONS_H_
