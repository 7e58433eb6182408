#ifndef GENTIANROUTE_GATEWAY_ORIGIN_FINDING_H_
#define GENTIANROUTE_GATEWAY_ORIGIN_FINDING_H_

#include <cstddef>
#include <optional>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// @brief What a search for the origin of a stream has found, and on what
/// grounds.
struct OriginFinding {
  std::optional<routing::StreamOrigin> origin;  ///< empty: unknown
  routing::OriginEvidence evidence = routing::OriginEvidence::kNone;
  bool is_confirmed = false;   ///< by the store: one version serves
  std::size_t asked = 0;       ///< peers
  std::size_t unanswered = 0;  ///< peers and calls to the store
  Duration taken{};
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_ORIGIN_FINDING_H_
