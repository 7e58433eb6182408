#ifndef GENTIANROUTE_SCHEMA_REFERENCE_H_
#define GENTIANROUTE_SCHEMA_REFERENCE_H_

#include <string>

namespace gentianroute {

/// @brief Markdown tables of every field, from the compiled schema: type,
/// default, limits and meaning.
std::string SettingsReference();
std::string ProfilesReference();

/// @brief Markdown table of every error kind, from the closed list.
std::string ErrorsReference();

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_REFERENCE_H_
