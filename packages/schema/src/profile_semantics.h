#ifndef GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_
#define GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "gentianroute/schema/declarations.h"

namespace gentianroute {

/// @brief Checks rules that involve several fields of one profile.
/// @param profile JSON that has passed DecodeChecked()
/// @return SchemaError for a duplicate stage name, a stage that sets more
/// than one attempt or a hedge though it may not be retried, or a deadline
/// shorter than the sum of the stages' expected durations
leaf::result<void> CheckProfileSemantics(const Origin& origin,
                                         const nlohmann::json& profile);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_PROFILE_SEMANTICS_H_
