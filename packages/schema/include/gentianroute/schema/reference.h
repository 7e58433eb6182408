#ifndef GENTIANROUTE_SCHEMA_REFERENCE_H_
#define GENTIANROUTE_SCHEMA_REFERENCE_H_

#include <string>

namespace gentianroute {

/// @brief Markdown table of all fields of the compiled schema, with type,
/// default, limits and meaning.
std::string SettingsReference();
std::string ProfilesReference();

/// @brief Markdown table of all error kinds.
std::string ErrorsReference();

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_REFERENCE_H_
