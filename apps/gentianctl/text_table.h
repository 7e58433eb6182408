#ifndef GENTIANROUTE_APPS_GENTIANCTL_TEXT_TABLE_H_
#define GENTIANROUTE_APPS_GENTIANCTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace gentianroute::ctl {

/// @brief Formats rows as lines with aligned columns; the first row is the
/// header.
std::string TextTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_TEXT_TABLE_H_
