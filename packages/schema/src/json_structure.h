#ifndef GENTIANROUTE_SCHEMA_JSON_STRUCTURE_H_
#define GENTIANROUTE_SCHEMA_JSON_STRUCTURE_H_

#include <boost/leaf.hpp>
#include <string_view>

#include "gentianroute/schema/checked_json.h"

namespace gentianroute {

/// @brief Rejects duplicate keys, which a parsed value no longer shows, and
/// nesting so deep that recursive code would overflow the stack.
/// @return SchemaError, also for text that is not valid JSON
/// @complexity linear in the text, logarithmic in the keys of one object
leaf::result<void> CheckJsonStructure(std::string_view file,
                                      std::string_view text);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_JSON_STRUCTURE_H_
