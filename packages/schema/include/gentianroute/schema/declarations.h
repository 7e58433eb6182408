#ifndef GENTIANROUTE_SCHEMA_DECLARATIONS_H_
#define GENTIANROUTE_SCHEMA_DECLARATIONS_H_

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <string_view>

#include "gentianroute/decision/config.h"
#include "gentianroute/schema/checked_json.h"

namespace gentianroute {

/// @brief Where a document was declared.
struct Origin {
  std::string file;
  std::string path;  ///< path in the file, like `profiles[0]`
};
using Origins = std::map<DocumentName, Origin>;

/// @brief Parses a profile file into documents and validates each one by
/// itself; see CheckReferences() for references between documents.
/// @param origins receives the location of each document
/// @return SchemaError, see DecodeChecked() and CheckProfileSemantics(); also
/// for a duplicate document name
leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text,
                                          Origins& origins);
leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text);

/// @brief Checks references between documents: each stage must name a declared
/// pool and each service a declared profile.
/// @param file name used in errors for documents without an origin
/// @param documents the complete configuration to check
/// @return SchemaError for an undeclared name, a profile without stages or a
/// document that does not conform to its schema
leaf::result<void> CheckReferences(std::string_view file,
                                   const Documents& documents,
                                   const Origins& origins = {});

/// @brief Validates one document by itself, as ParseDeclarations() does.
/// @param name kind and name; the name must equal the one in the JSON
/// @param text JSON of the document
/// @return SchemaError whose file is `kind/name`
leaf::result<void> CheckDocument(const DocumentName& name,
                                 std::string_view text);

/// @brief Encodes revisions and snapshots of the configuration log as JSON.
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

/// @brief Name of a document kind: `profile`, `service` or `pool`.
std::string_view DocumentKindName(DocumentKind kind);
std::optional<DocumentKind> DocumentKindFromName(std::string_view name);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_DECLARATIONS_H_
