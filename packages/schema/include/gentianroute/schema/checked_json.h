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

/// @brief Largest file of settings or profiles, in bytes.
inline constexpr std::size_t kMaxFileBytes = std::size_t{4} << 20U;

/// @brief Why a file of settings or profiles can't be used.
struct SchemaError {
  std::string file;
  std::string field;    ///< path like `profiles[0].stages[1].pool`
  std::string found;    ///< what stands there
  std::string allowed;  ///< what may stand there

  /// @brief One line: file, field, found, allowed.
  std::string Text() const;
};

/// @brief Checks JSON text, comments allowed, against a schema and its
/// constraint annotations, then decodes it.
/// @param file only for errors
/// @param output struct of the schema, empty before
/// @return SchemaError for text that is not JSON, too large or nested too deep,
/// a duplicate key, an unknown field, a wrong type, a value out of range or a
/// required field that is missing
/// @complexity linear in the text
leaf::result<void> DecodeChecked(std::string_view file,
                                 std::string_view text,
                                 capnp::DynamicStruct::Builder output);

/// @brief Reads a whole file.
/// @return SchemaError if it can't be read
leaf::result<std::string> ReadFile(const std::string& path);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_CHECKED_JSON_H_
