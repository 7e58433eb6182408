#ifndef GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_
#define GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "gentianroute/schema/declarations.h"

namespace gentianroute {

/// @brief Checks what the fields of one profile say together.
/// @param profile has passed DecodeChecked()
/// @return SchemaError for a stage name that stands twice, a stage that must
/// not repeat with more than one attempt or a hedge stated, or a deadline
/// shorter than the stages' expected time
leaf::result<void> CheckProfileSemantics(const Origin& origin,
                                         const nlohmann::json& profile);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_
