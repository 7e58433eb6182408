#include "soak_servers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gentianroute/loop/message_text.h"

namespace gentianroute::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kPlainWork = milliseconds(12);
constexpr Duration kFirstEvent = milliseconds(30);
constexpr Duration kNextEvent = milliseconds(8);
constexpr Duration kStageCall = milliseconds(25);
constexpr Duration kStageSegment = milliseconds(2);
/// Time after which a crashed server leaves the list: three missed heartbeats.
constexpr Duration kRemovalDelay = milliseconds(900);
/// How long a draining server continues to serve.
constexpr Duration kDrainTime = milliseconds(2500);
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::string_view kNotRun = "Gentianroute-Not-Executed: 1\r\n";

std::uint64_t LastNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  while (from < text.size()) {
    const std::size_t comma = std::min(text.find(',', from), text.size());
    parts.push_back(text.substr(from, comma - from));
    from = comma + 1;
  }
  return parts;
}

}  // namespace

SoakServer::SoakServer(ServerContext& context,
                       std::string service,
                       std::string data_centre)
    : context_(context),
      service_(std::move(service)),
      data_centre_(std::move(data_centre)) {
  server_ = std::make_unique<platform::RawServer>(
      context_.loop,
      [this](Peer& peer, const MessageHead& head, const std::string& body) {
        OnRequest(peer, head, body);
      });
  link_ = std::make_unique<FaultProxy>(context_.loop, server_->port());
}

SoakServer::~SoakServer() = default;

void SoakServer::Start(bool under_old_id) {
  ++start_count_;
  faults_ = {};
  if (!under_old_id || id_.empty()) {
    id_ = service_ + "-" + std::to_string(server_->port()) + "-" +
          std::to_string(start_count_);
  }
  up_ = true;
  link_->SetMode(FaultProxy::Mode::kPass);
  WriteRow("ready");
}

void SoakServer::StartVersion(std::string software_version) {
  software_version_ = std::move(software_version);
  Start(false);
}

void SoakServer::WriteRow(const std::string& state) {
  context_.store.Put("servers", id_,
                     json{{"service", service_},
                          {"address", link_->address()},
                          {"zone", data_centre_},
                          {"version", software_version_},
                          {"slots", 8},
                          {"state", state},
                          {"born", static_cast<std::int64_t>(start_count_)}}
                         .dump());
}

void SoakServer::End() {
  up_ = false;
  AllowIncompleteResponses();
  running_.clear();
  link_->SetMode(FaultProxy::Mode::kRefusing);
  link_->Reset();
  OnEnd();
}

void SoakServer::Crash() {
  if (!up_) {
    return;
  }
  End();
  context_.loop.After(kRemovalDelay,
                      [this, start_count = start_count_, id = id_] {
                        if (start_count_ == start_count) {
                          context_.store.Remove("servers", id);
                        }
                      });
}

void SoakServer::Drain() {
  if (!up_) {
    return;
  }
  WriteRow("draining");
  After(kDrainTime, [this, id = id_] {
    End();
    context_.store.Remove("servers", id);
  });
}

void SoakServer::SetFaults(const ServerFaults& faults) {
  faults_ = faults;
  AllowIncompleteResponses();
}

void SoakServer::ImpairLink(FaultProxy::Mode mode, Duration delay) {
  if (!up_) {
    return;
  }
  AllowIncompleteResponses();
  link_->SetMode(mode, delay);
}

void SoakServer::RestoreLink() {
  if (up_) {
    AllowIncompleteResponses();
    link_->SetMode(FaultProxy::Mode::kPass);
  }
}

void SoakServer::SilenceOpenLinks() {
  AllowIncompleteResponses();
  link_->SilenceOpenConnections();
}

void SoakServer::AllowIncompleteResponses() {
  for (const std::string& id : running_) {
    context_.checker.AllowIncompleteResponse(id);
  }
}

bool SoakServer::Draw(double share) {
  return std::uniform_real_distribution<double>(0, 1)(context_.random) < share;
}

void SoakServer::After(Duration time, std::function<void()> then) {
  const auto slowed =
      std::chrono::duration_cast<Duration>(time * faults_.slower);
  context_.loop.After(
      slowed, [this, start_count = start_count_, then = std::move(then)] {
        if (start_count_ == start_count && up_) {
          then();
        }
      });
}

void SoakServer::RefuseNotRun(Peer& peer, int status) {
  peer.SendAnswer(status, std::string(kNotRun), "");
}

void SoakServer::OnRequest(Peer& peer,
                           const MessageHead& head,
                           const std::string& body) {
  if (!up_) {
    peer.Close();
    return;
  }
  const std::string expected =
      FieldValue(head.fields, "Gentianroute-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    RefuseNotRun(peer, kMisdirected);
    return;
  }
  Run(peer, head, body);
}

std::string SoakServer::BeginRun(const std::string& id,
                                 const MessageHead& head,
                                 const std::string& body) {
  std::string signature =
      context_.checker.OnRun(id, service_, id_, head.target, body, head.fields);
  running_.insert(id);
  const bool faulty = faults_.broken_streams > 0 || faults_.slower > 1 ||
                      faults_.lost_responses > 0;
  if (faulty || link_->impaired()) {
    context_.checker.AllowIncompleteResponse(id);
  }
  return signature;
}

void SoakServer::SendAnswer(Peer& peer,
                            const std::string& id,
                            const std::string& fields,
                            const std::string& body) {
  const std::string echo =
      id.empty() ? "" : "Gentianroute-Request-Id: " + id + "\r\n";
  if (Draw(faults_.lost_responses)) {
    peer.Close();
    return;
  }
  peer.SendAnswer(200, echo + fields, body);
  if (Draw(faults_.stray_responses)) {
    peer.SendAnswer(200,
                    "Gentianroute-Request-Id: stray\r\n"
                    "Gentianroute-Response-Signature: stray\r\n",
                    "stray");
  }
}

void PlainServer::Run(Peer& peer,
                      const MessageHead& head,
                      const std::string& body) {
  constexpr std::size_t kMaxConcurrent = 24;
  if (running_.size() >= kMaxConcurrent) {
    RefuseNotRun(peer, kUnavailable);
    return;
  }
  const std::string id = FieldValue(head.fields, "Gentianroute-Request-Id");
  const std::string signature = BeginRun(id, head, body);
  After(kPlainWork, [this, &peer, id, signature] {
    running_.erase(id);
    if (!peer.closed()) {
      SendAnswer(peer, id,
                 "Gentianroute-Response-Signature: " + signature + "\r\n",
                 InvariantChecker::PlainBody(id, signature));
    }
  });
}

struct ModelServer::Stream {
  Peer& peer;
  std::string id;
  std::uint32_t next = 1;
  std::uint32_t events = 0;
};

void ModelServer::Run(Peer& peer,
                      const MessageHead& head,
                      const std::string& body) {
  const std::string id = FieldValue(head.fields, "Gentianroute-Request-Id");
  const auto inputs =
      Split(FieldValue(head.fields, "Gentianroute-Input-Count"));
  if (inputs.empty()) {
    RefuseNotRun(peer, kBadRequest);
    return;
  }
  for (const std::string& input : inputs) {
    if (!context_.results.contains(input)) {
      RefuseNotRun(peer, kConflict);
      return;
    }
  }
  const std::uint32_t last_stage = head.target.starts_with("/draft/") ? 1 : 0;
  context_.checker.CheckInputs(id, inputs, {&last_stage, 1});
  const std::string signature = BeginRun(id, head, body);
  const auto events =
      static_cast<std::uint32_t>(LastNumber(FieldValue(head.fields, "Events")));
  const std::uint64_t seen =
      LastNumber(FieldValue(head.fields, "Last-Event-Id"));
  const auto stream = std::make_shared<Stream>(
      Stream{peer, id, static_cast<std::uint32_t>(seen) + 1, events});
  After(kFirstEvent, [this, stream, signature] {
    if (stream->peer.closed()) {
      running_.erase(stream->id);
      return;
    }
    stream->peer.Send(
        SerialiseResponseHead(200,
                              {{"Content-Type", "text/event-stream"},
                               {"Gentianroute-Request-Id", stream->id},
                               {"Gentianroute-Response-Signature", signature}},
                              BodyFraming::kChunked, 0, false));
    SendEvent(stream);
  });
}

void ModelServer::SendEvent(const std::shared_ptr<Stream>& stream) {
  Peer& peer = stream->peer;
  if (peer.closed()) {
    running_.erase(stream->id);
    return;
  }
  if (stream->next > stream->events) {
    running_.erase(stream->id);
    peer.Send(kLastChunk);
    return;
  }
  const std::string event = InvariantChecker::Event(
      stream->id, stream->next, stream->events, software_version_);
  if (Draw(faults_.broken_streams)) {
    // Closes in the middle of an event.
    running_.erase(stream->id);
    peer.Send(SerialiseChunk(event.substr(0, event.size() / 2)));
    peer.Close();
    return;
  }
  ++stream->next;
  peer.Send(SerialiseChunk(event));
  After(kNextEvent, [this, stream] { SendEvent(stream); });
}

void StageServer::Run(Peer& peer,
                      const MessageHead& head,
                      const std::string& body) {
  if (head.target.ends_with("stage-free")) {
    FreeResults(body);
    peer.SendAnswer(200, "", "");
    return;
  }
  if (busy_) {
    RefuseNotRun(peer, kUnavailable);
    return;
  }
  busy_ = true;
  const auto segments = std::count(body.begin(), body.end(), '{') - 1;
  After(kStageCall + kStageSegment * segments, [this, &peer, body] {
    busy_ = false;
    const std::string response = RunSegments(body);
    if (!peer.closed()) {
      SendAnswer(peer, "", "Content-Type: application/json\r\n", response);
    }
  });
}

std::string StageServer::RunSegments(const std::string& body) {
  json entries = json::array();
  const json body_json = json::parse(body, nullptr, false);
  if (!body_json.is_object()) {
    context_.checker.AddViolation("invalid body of a stage call: '" + body +
                                  "'");
    return "{}";
  }
  for (const json& entry : body_json.at("entries")) {
    const SegmentCall call{entry.at("id"), entry.at("phase"),
                           entry.at("segment"), entry.value("key", ""),
                           entry.value("inputs", std::vector<std::string>{})};
    context_.checker.OnSegmentCall(call);
    const bool gone = std::any_of(
        call.inputs.begin(), call.inputs.end(),
        [this](const std::string& i) { return !context_.results.contains(i); });
    if (gone) {
      entries.push_back({{"reason", "gone"}});
      continue;
    }
    const std::string result =
        context_.checker.AddResult(link().address(), call);
    context_.results.insert(result);
    results_.insert(result);
    entries.push_back({{"handle", result}});
  }
  return json{{"entries", std::move(entries)}}.dump();
}

void StageServer::FreeResults(const std::string& body) {
  const json named = json::parse(body, nullptr, false);
  if (!named.is_object()) {
    context_.checker.AddViolation("invalid body of a release call: '" + body +
                                  "'");
    return;
  }
  for (const json& result : named.at("handles")) {
    context_.results.erase(result.get<std::string>());
    results_.erase(result.get<std::string>());
  }
}

void StageServer::OnEnd() {
  for (const std::string& result : results_) {
    context_.results.erase(result);
  }
  results_.clear();
  busy_ = false;
}

}  // namespace gentianroute::soak
