#ifndef GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_
#define GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief How a group of stage pieces ended.
struct GroupOutcome {
  std::optional<routing::StageFailure> failure;  ///< empty if it succeeded
  std::vector<std::string> results;
  std::string move_to;  ///< with kMoved: data centre of the faster pool
  Duration room_in{};   ///< with kLate: until room is foreseen; 0: unknown
};
using GroupDone = std::function<void(GroupOutcome)>;

/// @brief Handle of a submitted group; its destruction cancels the group.
class GroupHandle {
 public:
  virtual ~GroupHandle() = default;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_GROUP_OUTCOME_H_
