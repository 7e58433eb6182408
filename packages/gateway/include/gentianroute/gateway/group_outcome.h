#ifndef GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_
#define GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief How a group ended that another daemon ran.
struct GroupOutcome {
  std::optional<routing::StageFailure> failure;
  std::vector<std::string> results;
};
using GroupDone = std::function<void(GroupOutcome)>;

/// @brief Work on a group that is dropped when the last holder lets go.
class GroupHandle {
 public:
  virtual ~GroupHandle() = default;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_
