#include "gentianroute/gateway/detail/cluster_messages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "gentianroute/base/utf8.h"

namespace gentianroute::gateway::detail {
namespace {

/// Limits what a peer can have this daemon remember.
constexpr Duration kMaxRemaining = std::chrono::minutes(5);

std::int32_t MillisecondsUntil(TimePoint now, TimePoint then) {
  return static_cast<std::int32_t>(WholeMilliseconds(then - now));
}

}  // namespace

void WriteGroup(TimePoint now,
                std::string_view service,
                std::string_view data_centre,
                const routing::StageGroup& group,
                schema::Group::Builder out) {
  out.setService(std::string(service));
  out.setDataCentre(std::string(data_centre));
  out.setRequest(group.request);
  out.setStage(group.stage);
  out.setPieces(group.pieces);
  auto inputs = out.initInputs(static_cast<unsigned>(group.inputs.size()));
  for (unsigned i = 0; i < inputs.size(); ++i) {
    inputs.set(i, group.inputs[i]);
  }
  out.setKey(group.key);
  out.setWork(group.work_class);
  out.setWantedMs(MillisecondsUntil(now, group.soft_deadline));
  out.setDeadlineMs(MillisecondsUntil(now, group.deadline));
  out.setPriority(group.priority);
  out.setWeight(static_cast<float>(group.weight));
  out.setResultBytes(group.result_bytes);
  out.setStays(group.stays);
  if (group.submitted_at != TimePoint{}) {
    out.setWaitedMs(
        static_cast<std::uint32_t>(MillisecondsUntil(group.submitted_at, now)));
  }
}

routing::StageGroup ReadGroup(TimePoint now, schema::Group::Reader in) {
  routing::StageGroup group;
  group.request = in.getRequest();
  group.stage = in.getStage();
  group.pieces = in.getPieces();
  for (const auto input : in.getInputs()) {
    group.inputs.emplace_back(input);
  }
  group.key = in.getKey();
  group.work_class = in.getWork();
  group.soft_deadline = now + std::chrono::milliseconds(in.getWantedMs());
  group.deadline = now + std::chrono::milliseconds(in.getDeadlineMs());
  group.priority = in.getPriority();
  group.weight = in.getWeight();
  group.result_bytes = in.getResultBytes();
  group.stays = in.getStays();
  group.submitted_at = now - std::chrono::milliseconds(in.getWaitedMs());
  return group;
}

bool HasValidTexts(const routing::StageGroup& group) {
  return IsUtf8(group.request) && IsUtf8(group.key) &&
         std::ranges::all_of(group.inputs, IsUtf8);
}

void WriteOutcome(const GroupOutcome& outcome,
                  schema::GroupOutcome::Builder out) {
  if (outcome.failure) {
    out.setFailure(static_cast<std::uint16_t>(*outcome.failure) + 1);
  }
  auto results = out.initResults(static_cast<unsigned>(outcome.results.size()));
  for (unsigned i = 0; i < results.size(); ++i) {
    results.set(i, outcome.results[i]);
  }
  out.setMoveTo(outcome.move_to);
  out.setRoomInMs(
      static_cast<std::uint32_t>(WholeMilliseconds(outcome.room_in)));
}

GroupOutcome ReadOutcome(schema::GroupOutcome::Reader in) {
  GroupOutcome outcome;
  if (in.getFailure() != 0) {
    outcome.failure = static_cast<routing::StageFailure>(in.getFailure() - 1);
  }
  for (const auto result : in.getResults()) {
    outcome.results.emplace_back(result);
  }
  outcome.move_to = in.getMoveTo();
  outcome.room_in = std::chrono::milliseconds(in.getRoomInMs());
  return outcome;
}

void WriteFields(const HttpHeaders& fields, HeaderFieldList::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setName(fields[i].name);
    out[i].setValue(fields[i].value);
  }
}

HttpHeaders ReadFields(HeaderFieldList::Reader in) {
  HttpHeaders fields;
  fields.reserve(in.size());
  for (const auto field : in) {
    fields.push_back({field.getName(), field.getValue()});
  }
  return fields;
}

void WriteHandedRequest(const HandedRequest& request,
                        schema::HandedRequest::Builder out) {
  const MessageHead& head = request.head;
  out.setMethod(head.method);
  out.setTarget(head.target);
  WriteFields(head.fields,
              out.initFields(static_cast<unsigned>(head.fields.size())));
  out.setBody(BytesOf(request.body->view()));
  out.setAgeMs(static_cast<std::uint32_t>(WholeMilliseconds(request.age)));
  const RequestProgress& progress = request.progress;
  out.setAttempts(progress.attempts);
  out.setMayHaveRun(progress.may_have_run);
  out.setResumeAfter(progress.resume_after);
  out.setHops(progress.hops);
  out.setDeploymentVersion(progress.deployment_version);
  if (progress.origin) {
    WriteOrigin(*progress.origin, out.initOrigin());
  }
}

HandedRequest ReadHandedRequest(schema::HandedRequest::Reader in) {
  HandedRequest request;
  request.head.method = in.getMethod();
  request.head.target = in.getTarget();
  request.head.fields = ReadFields(in.getFields());
  request.body = new SharedBody;
  request.body->Append(TextOf(in.getBody()));
  request.age = std::chrono::milliseconds(in.getAgeMs());
  request.progress.attempts = in.getAttempts();
  request.progress.may_have_run = in.getMayHaveRun();
  request.progress.resume_after = in.getResumeAfter();
  request.progress.hops = in.getHops();
  request.progress.deployment_version = in.getDeploymentVersion();
  request.progress.origin = ReadOrigin(in.getOrigin());
  return request;
}

void WriteOrigin(const routing::StreamOrigin& origin,
                 schema::StreamOrigin::Builder out) {
  out.setService(origin.service);
  out.setSoftwareVersion(origin.software_version);
}

std::optional<routing::StreamOrigin> ReadOrigin(
    schema::StreamOrigin::Reader in) {
  routing::StreamOrigin origin{in.getService(), in.getSoftwareVersion()};
  return origin.service.empty() ? std::nullopt
                                : std::optional(std::move(origin));
}

void WriteLeavingServer(const LeavingServer& server,
                        schema::LeavingServer::Builder out) {
  out.setServer(server.server);
  out.setIncarnation(server.incarnation);
}

std::optional<LeavingServer> ReadLeavingServer(
    schema::LeavingServer::Reader in) {
  if (in.getServer().size() == 0) {
    return std::nullopt;
  }
  return LeavingServer{in.getServer(), in.getIncarnation()};
}

void WriteBegunStreams(std::span<const routing::BegunStream> streams,
                       BegunStreamList::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setId(streams[i].id);
    WriteOrigin(streams[i].origin, out[i].initOrigin());
    out[i].setRemainingMs(
        static_cast<std::uint32_t>(WholeMilliseconds(streams[i].remaining)));
  }
}

std::vector<routing::BegunStream> ReadBegunStreams(BegunStreamList::Reader in) {
  std::vector<routing::BegunStream> streams;
  streams.reserve(in.size());
  for (const auto stream : in) {
    const auto origin = ReadOrigin(stream.getOrigin());
    if (origin && stream.getId().size() > 0) {
      const Duration remaining =
          std::chrono::milliseconds(stream.getRemainingMs());
      streams.push_back(
          {stream.getId(), *origin, std::min(remaining, kMaxRemaining)});
    }
  }
  return streams;
}

void WriteReport(const routing::OriginReport& report,
                 schema::OriginReport::Builder out) {
  out.setEvidence(static_cast<std::uint8_t>(report.evidence));
  WriteOrigin(report.origin, out.initOrigin());
  if (report.serving) {
    WriteOrigin(*report.serving, out.initServing());
  }
}

routing::OriginReport ReadReport(schema::OriginReport::Reader in) {
  using routing::OriginEvidence;
  const auto evidence = static_cast<OriginEvidence>(in.getEvidence());
  const auto origin = ReadOrigin(in.getOrigin());
  const auto serving = ReadOrigin(in.getServing());
  const bool has_origin = evidence == OriginEvidence::kOneVersion ||
                          evidence == OriginEvidence::kRecorded;
  if (has_origin && origin) {
    return {evidence, *origin, serving};
  }
  return evidence == OriginEvidence::kSeveralVersions
             ? routing::OriginReport{evidence, {}, serving}
             : routing::OriginReport{OriginEvidence::kNone, {}, serving};
}

}  // namespace gentianroute::gateway::detail
