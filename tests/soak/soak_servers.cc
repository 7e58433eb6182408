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
constexpr Duration kStagePiece = milliseconds(2);
/// A server that crashed is shown as gone after three missed heartbeats.
constexpr Duration kLapse = milliseconds(900);
/// How long a server that leaves serves on.
constexpr Duration kLeaving = milliseconds(2500);
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

SoakServer::SoakServer(ServerWorld& world,
                       std::string service,
                       std::string data_centre)
    : world_(world),
      service_(std::move(service)),
      data_centre_(std::move(data_centre)) {
  server_ = std::make_unique<platform::RawServer>(
      world_.loop,
      [this](Peer& peer, const MessageHead& head, const std::string& body) {
        OnRequest(peer, head, body);
      });
  link_ = std::make_unique<FaultProxy>(world_.loop, server_->port());
}

SoakServer::~SoakServer() = default;

void SoakServer::Start(bool under_old_id) {
  ++life_;
  faults_ = {};
  if (!under_old_id || id_.empty()) {
    id_ = service_ + "-" + std::to_string(server_->port()) + "-" +
          std::to_string(life_);
  }
  up_ = true;
  link_->SetMode(FaultProxy::Mode::kPass);
  WriteRow("ready");
}

void SoakServer::WriteRow(const std::string& state) {
  world_.store.Put("servers", id_,
                   json{{"service", service_},
                        {"address", link_->address()},
                        {"zone", data_centre_},
                        {"slots", 8},
                        {"state", state},
                        {"born", static_cast<std::int64_t>(life_)}}
                       .dump());
}

void SoakServer::End() {
  up_ = false;
  ExcuseRunning();
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
  world_.loop.After(kLapse, [this, life = life_, id = id_] {
    if (life_ == life) {
      world_.store.Remove("servers", id);
    }
  });
}

void SoakServer::Leave() {
  if (!up_) {
    return;
  }
  WriteRow("draining");
  After(kLeaving, [this, id = id_] {
    End();
    world_.store.Remove("servers", id);
  });
}

void SoakServer::SetFaults(const ServerFaults& faults) {
  faults_ = faults;
  ExcuseRunning();
}

void SoakServer::HarmLink(FaultProxy::Mode mode, Duration delay) {
  if (!up_) {
    return;
  }
  ExcuseRunning();
  link_->SetMode(mode, delay);
}

void SoakServer::HealLink() {
  if (up_) {
    ExcuseRunning();
    link_->SetMode(FaultProxy::Mode::kPass);
  }
}

void SoakServer::SilenceOpenLinks() {
  ExcuseRunning();
  link_->SilenceOpenOnes();
}

void SoakServer::ExcuseRunning() {
  for (const std::string& id : running_) {
    world_.promises.ExcuseCut(id);
  }
}

bool SoakServer::Draw(double share) {
  return std::uniform_real_distribution<double>(0, 1)(world_.random) < share;
}

void SoakServer::After(Duration time, std::function<void()> then) {
  const auto slowed =
      std::chrono::duration_cast<Duration>(time * faults_.slower);
  world_.loop.After(slowed, [this, life = life_, then = std::move(then)] {
    if (life_ == life && up_) {
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
      world_.promises.OnRun(id, service_, id_, head.target, body, head.fields);
  running_.insert(id);
  const bool faulty = faults_.broken_streams > 0 || faults_.slower > 1 ||
                      faults_.lost_answers > 0;
  if (faulty || link_->harmed()) {
    world_.promises.ExcuseCut(id);
  }
  return signature;
}

void SoakServer::SendAnswer(Peer& peer,
                            const std::string& id,
                            const std::string& fields,
                            const std::string& body) {
  const std::string echo =
      id.empty() ? "" : "Gentianroute-Request-Id: " + id + "\r\n";
  if (Draw(faults_.lost_answers)) {
    peer.Close();
    return;
  }
  peer.SendAnswer(200, echo + fields, body);
  if (Draw(faults_.stray_answers)) {
    peer.SendAnswer(200,
                    "Gentianroute-Request-Id: stray\r\n"
                    "Gentianroute-Response-Signature: stray\r\n",
                    "stray");
  }
}

void PlainServer::Run(Peer& peer,
                      const MessageHead& head,
                      const std::string& body) {
  constexpr std::size_t kMostAtOnce = 24;
  if (running_.size() >= kMostAtOnce) {
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
                 Promises::PlainBody(id, signature));
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
    if (!world_.results.contains(input)) {
      RefuseNotRun(peer, kConflict);
      return;
    }
  }
  const std::uint32_t last_stage = head.target.starts_with("/draft/") ? 1 : 0;
  world_.promises.CheckInputs(id, inputs, {&last_stage, 1});
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
  const std::string event =
      Promises::Event(stream->id, stream->next, stream->events);
  if (Draw(faults_.broken_streams)) {
    // In the middle of an event.
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
    Free(body);
    peer.SendAnswer(200, "", "");
    return;
  }
  if (busy_) {
    RefuseNotRun(peer, kUnavailable);
    return;
  }
  busy_ = true;
  const auto pieces = std::count(body.begin(), body.end(), '{') - 1;
  After(kStageCall + kStagePiece * pieces, [this, &peer, body] {
    busy_ = false;
    const std::string answer = Make(body);
    if (!peer.closed()) {
      SendAnswer(peer, "", "Content-Type: application/json\r\n", answer);
    }
  });
}

std::string StageServer::Make(const std::string& body) {
  json entries = json::array();
  const json asked = json::parse(body, nullptr, false);
  if (!asked.is_object()) {
    world_.promises.Break("a stage call that can't be read: '" + body + "'");
    return "{}";
  }
  for (const json& entry : asked.at("entries")) {
    const PieceAsked piece{entry.at("id"), entry.at("phase"),
                           entry.at("segment"), entry.value("key", ""),
                           entry.value("inputs", std::vector<std::string>{})};
    world_.promises.OnPiece(piece);
    const bool gone = std::any_of(
        piece.inputs.begin(), piece.inputs.end(),
        [this](const std::string& i) { return !world_.results.contains(i); });
    if (gone) {
      entries.push_back({{"reason", "gone"}});
      continue;
    }
    const std::string result =
        world_.promises.NewResult(link().address(), piece);
    world_.results.insert(result);
    made_.insert(result);
    entries.push_back({{"handle", result}});
  }
  return json{{"entries", std::move(entries)}}.dump();
}

void StageServer::Free(const std::string& body) {
  const json named = json::parse(body, nullptr, false);
  if (!named.is_object()) {
    world_.promises.Break("a release that can't be read: '" + body + "'");
    return;
  }
  for (const json& result : named.at("handles")) {
    world_.results.erase(result.get<std::string>());
    made_.erase(result.get<std::string>());
  }
}

void StageServer::OnEnd() {
  for (const std::string& result : made_) {
    world_.results.erase(result);
  }
  made_.clear();
  busy_ = false;
}

}  // namespace gentianroute::soak
