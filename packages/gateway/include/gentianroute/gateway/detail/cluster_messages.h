#ifndef GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_

#include <cluster.capnp.h>

#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/cluster.h"
#include "gentianroute/routing/stage_pool.h"

/// Encoding of groups and their outcomes in messages between daemons. Times are
/// encoded relative to now, since the clocks of daemons differ.
namespace gentianroute::gateway::detail {

void WriteGroup(TimePoint now,
                std::string_view service,
                std::string_view data_centre,
                const routing::StageGroup& group,
                schema::Group::Builder out);
routing::StageGroup ReadGroup(TimePoint now, schema::Group::Reader in);

void WriteOutcome(const GroupOutcome& outcome,
                  schema::GroupOutcome::Builder out);
GroupOutcome ReadOutcome(schema::GroupOutcome::Reader in);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_
