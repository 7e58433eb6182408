#ifndef GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_
#define GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_

#include <cluster.capnp.h>

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/handed_request.h"
#include "gentianroute/routing/stage_pool.h"
#include "gentianroute/routing/stream_origin.h"

/// Encoding of groups, their outcomes, handed requests and the origins of
/// streams in messages between daemons. Times are encoded relative to now,
/// since the clocks of daemons differ.
namespace gentianroute::gateway::detail {

void WriteGroup(TimePoint now,
                std::string_view service,
                std::string_view data_centre,
                const routing::StageGroup& group,
                schema::Group::Builder out);
routing::StageGroup ReadGroup(TimePoint now, schema::Group::Reader in);
/// Whether the texts of a group can be passed on to a server.
bool HasValidTexts(const routing::StageGroup& group);

void WriteOutcome(const GroupOutcome& outcome,
                  schema::GroupOutcome::Builder out);
GroupOutcome ReadOutcome(schema::GroupOutcome::Reader in);

void WriteHandedRequest(const HandedRequest& request,
                        schema::HandedRequest::Builder out);
HandedRequest ReadHandedRequest(schema::HandedRequest::Reader in);

void WriteOrigin(const routing::StreamOrigin& origin,
                 schema::StreamOrigin::Builder out);
/// @return empty if the message has none
std::optional<routing::StreamOrigin> ReadOrigin(
    schema::StreamOrigin::Reader in);

void WriteLeavingServer(const LeavingServer& server,
                        schema::LeavingServer::Builder out);
/// @return empty if the message has none
std::optional<LeavingServer> ReadLeavingServer(
    schema::LeavingServer::Reader in);

using BegunStreamList = capnp::List<schema::BegunStream>;
void WriteBegunStreams(std::span<const routing::BegunStream> streams,
                       BegunStreamList::Builder out);
/// @brief Skips streams without an id or an origin.
std::vector<routing::BegunStream> ReadBegunStreams(BegunStreamList::Reader in);

void WriteReport(const routing::OriginReport& report,
                 schema::OriginReport::Builder out);
/// @brief A report that can't be understood says nothing.
routing::OriginReport ReadReport(schema::OriginReport::Reader in);

using HeaderFieldList = capnp::List<schema::HeaderField>;
void WriteFields(const HttpHeaders& fields, HeaderFieldList::Builder out);
HttpHeaders ReadFields(HeaderFieldList::Reader in);

inline kj::ArrayPtr<const kj::byte> BytesOf(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}
inline std::string_view TextOf(kj::ArrayPtr<const kj::byte> bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_CLUSTER_MESSAGES_H_
