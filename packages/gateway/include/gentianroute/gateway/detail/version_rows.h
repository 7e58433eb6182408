#ifndef GENTIANROUTE_GATEWAY_DETAIL_VERSION_ROWS_H_
#define GENTIANROUTE_GATEWAY_DETAIL_VERSION_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/routing/version_record.h"

namespace gentianroute::gateway::detail {

/// @brief Encodes a version record as the value of a row.
std::string WriteVersionRow(const routing::VersionRecord& record);

struct VersionRow {
  enum class Kind : std::uint8_t {
    kRecord,
    kUnreadable,  ///< cut, or written by something else
    kNewer,       ///< of a newer release, with a layout that is unknown here
  };
  Kind kind = Kind::kUnreadable;
  routing::VersionRecord record;  ///< valid for kRecord
};

/// @brief Decodes the value of a row.
VersionRow ReadVersionRow(std::string_view value);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_VERSION_ROWS_H_
