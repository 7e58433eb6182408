#ifndef GENTIANROUTE_SCHEMA_CHECKED_JSON_H_
#define GENTIANROUTE_SCHEMA_CHECKED_JSON_H_

#include <capnp/message.h>
#include <capnp/schema.h>

#include <capnp/dynamic.h>

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace gentianroute {

namespace leaf = boost::leaf;

/// @brief Maximum size of a settings or profile file.
inline constexpr std::size_t kMaxFileBytes = std::size_t{4} << 20U;

/// @brief Why a settings or profile file is rejected.
struct SchemaError {
  std::string file;
  std::string field;    ///< path like `profiles[0].stages[1].pool`; empty for
                        ///< errors of the whole file
  std::string found;    ///< description of the actual value
  std::string allowed;  ///< description of the accepted values

  /// @brief Formats file, field, found and allowed as one line.
  std::string Text() const;
};

/// @brief Validates JSON text, which may contain comments, against a schema and
/// its constraint annotations, then decodes it.
/// @param file name used in error messages only
/// @param output empty message of the schema's type
/// @return SchemaError for text that is not JSON, too large or nested too
/// deeply, a duplicate key, an unknown field, a wrong type, a value out of
/// range or a missing required field
/// @complexity linear in the text, logarithmic in the keys of one object
leaf::result<void> DecodeChecked(std::string_view file,
                                 std::string_view text,
                                 capnp::DynamicStruct::Builder output);

/// @brief Reads a whole file.
/// @return SchemaError if the file is missing, empty, unreadable or larger than
/// kMaxFileBytes
leaf::result<std::string> ReadFile(const std::string& path);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_CHECKED_JSON_H_
