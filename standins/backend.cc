#include "backend.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include <xxhash.h>

#include "gentianroute/base/number.h"

namespace gentianroute::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kUnavailable = 503;
constexpr std::uint32_t kFaultTokenInterval = 3;
constexpr std::size_t kPrefixBytes = 64;
// Lets written data leave the socket before the connection is aborted.
constexpr auto kAbortDelay = milliseconds(20);

/// A string field of the caller's request.
/// @return empty if it is missing or no string
std::string RequestField(const HttpRequest& request, const char* name) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("request") ||
      !body["request"].is_object() || !body["request"].contains(name) ||
      !body["request"][name].is_string()) {
    return {};
  }
  return body["request"][name];
}

/// Hashes the first bytes of a prompt to its key in cache events; see
/// docs/BACKENDS.md.
std::string PrefixKey(std::string_view text) {
  const std::string_view prefix = text.substr(0, kPrefixBytes);
  char key[17];
  std::snprintf(key, sizeof(key), "%016llx",
                static_cast<unsigned long long>(
                    XXH3_64bits(prefix.data(), prefix.size())));
  return key;
}

}  // namespace

struct Backend::Stream {
  std::shared_ptr<HttpResponder> responder;
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0;
  bool disconnected = false;
};

Backend::Backend(EventLoop& loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      incarnation_(static_cast<std::uint64_t>(loop.WallTime())),
      cache_(options_.cache_entries),
      server_(loop,
              {.port = options_.port},
              [this](const HttpRequest& request,
                     const std::shared_ptr<HttpResponder>& responder) {
                OnRequest(request, responder);
              }) {
  if (options_.load_lag_ms > 0) {
    loop.Every(milliseconds(options_.load_lag_ms),
               [this] { reported_load_ = in_flight_; });
  }
}

void Backend::OnRequest(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  if (request.path.starts_with("/control/")) {
    HandleControl(request, *responder);
    return;
  }
  if (ApplyConnectionFault(request, *responder)) {
    return;
  }
  if (request.path == "/v1/state") {
    responder->Send({200, {}, state_.dump()});
    return;
  }
  if (request.path == "/v1/orders") {
    HandleOrder(request, *responder);
    return;
  }
  if (RejectByFault(request, *responder)) {
    return;
  }
  if (request.path == "/v1/cache-events") {
    HandleCacheEvents(request, *responder);
    return;
  }
  CountRun(request);
  if (!faults_.crash_marker.empty() &&
      request.body.find(faults_.crash_marker) != std::string::npos) {
    std::abort();
  }
  if (request.path == "/v1/generate") {
    HandleGenerate(request, responder);
  } else {
    HandleRun(request, responder);
  }
}

void Backend::HandleOrder(const HttpRequest& request,
                          HttpResponder& responder) {
  const json order = json::parse(request.body);
  const std::uint64_t fencing = order.at("fencing");
  if (options_.checks_fencing && fencing < last_fencing_number_) {
    responder.Send({409, {}, json{{"fencing", last_fencing_number_}}.dump()});
    return;
  }
  last_fencing_number_ = fencing;
  state_ = order.at("desired");
  responder.Send({200, {}, "{}"});
}

bool Backend::ApplyConnectionFault(const HttpRequest& request,
                                   HttpResponder& responder) const {
  if (faults_.IsSilent(request.connection_id)) {
    return true;
  }
  if (faults_.outage) {
    responder.Abort();
    return true;
  }
  return false;
}

bool Backend::RejectByFault(const HttpRequest& request,
                            HttpResponder& responder) const {
  const bool full =
      faults_.max_in_flight > 0 && in_flight_ >= faults_.max_in_flight;
  HttpHeaders headers = ResponseHeaders(request);
  if (faults_.refuse || faults_.leaving || full) {
    headers.push_back({"x-not-run", "1"});
    if (faults_.leaving) {
      headers.push_back({"x-leaving", "1"});
    }
    responder.Send({kUnavailable, std::move(headers), "{}"});
    return true;
  }
  if (faults_.error_status != 0) {
    const int status = static_cast<int>(faults_.error_status);
    responder.Send({status, std::move(headers), "{}"});
    return true;
  }
  return false;
}

void Backend::CountRun(const HttpRequest& request) {
  ++runs_;
  const std::string key(FindHeader(request.headers, "idempotency-key"));
  if (!key.empty()) {
    ++runs_by_key_[key];
  }
  const std::string marker = RequestField(request, "marker");
  if (!marker.empty()) {
    ++runs_by_marker_[marker];
  }
}

void Backend::HandleControl(const HttpRequest& request,
                            HttpResponder& responder) {
  if (request.path == "/control/faults") {
    faults_.Update(json::parse(request.body), request.connection_id);
    responder.Send({200, {}, "{}"});
    return;
  }
  const json counts = {
      {"runs", runs_},           {"in_flight", in_flight_},
      {"by_key", runs_by_key_},  {"by_marker", runs_by_marker_},
      {"cancelled", cancelled_}, {"cache_hits", cache_hits_}};
  responder.Send({200, {}, counts.dump()});
}

HttpHeaders Backend::ResponseHeaders(const HttpRequest& request) const {
  const std::uint64_t attempt =
      ParseLeadingNumber(FindHeader(request.headers, "x-attempt-id"));
  const std::uint32_t load =
      options_.load_lag_ms > 0 ? reported_load_ : in_flight_;
  return {{"content-type", "application/json"},
          {"x-attempt-id", std::to_string(attempt + (faults_.crossed ? 1 : 0))},
          {"x-units", "1"},
          {"x-load", std::to_string(load)}};
}

void Backend::HandleRun(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  ++in_flight_;
  const std::string stage(FindHeader(request.headers, "x-stage"));
  loop_.After(milliseconds(options_.service_ms + faults_.delay_ms),
              [this, responder, stage, headers = ResponseHeaders(request)] {
                --in_flight_;
                SendRunResponse(responder, headers, stage);
              });
}

void Backend::SendRunResponse(const std::shared_ptr<HttpResponder>& responder,
                              HttpHeaders headers,
                              const std::string& stage) {
  if (faults_.lose_answers) {
    return;
  }
  if (faults_.reset_answers) {
    responder->Abort();
    return;
  }
  const json body = {{"stage", stage}, {"by", options_.name}};
  if (faults_.truncate) {
    responder->Begin(200, std::move(headers));
    responder->Write(body.dump().substr(0, 4));
    loop_.After(kAbortDelay, [responder] { responder->Abort(); });
    return;
  }
  responder->Send({200, std::move(headers), body.dump()});
}

void Backend::HandleGenerate(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder) {
  ++in_flight_;
  auto stream = std::make_shared<Stream>();
  stream->responder = responder;
  stream->attempt =
      ParseLeadingNumber(FindHeader(request.headers, "x-attempt-id"));
  stream->attempt += faults_.crossed ? 1 : 0;
  stream->offset =
      ParseLeadingNumber(FindHeader(request.headers, "x-resume-offset"));
  responder->SetOnDisconnect([stream] { stream->disconnected = true; });
  HttpHeaders headers = ResponseHeaders(request);
  headers.front().value = "text/event-stream";
  loop_.After(LoadPrefix(request),
              [this, stream, headers = std::move(headers)] {
                stream->responder->Begin(200, headers);
                SendNextToken(stream);
              });
}

Duration Backend::LoadPrefix(const HttpRequest& request) {
  std::string prefix = RequestField(request, "conversation");
  if (prefix.empty()) {
    prefix = RequestField(request, "prompt");
  }
  const std::uint32_t lose_every = faults_.lose_cache_events;
  const bool lost =
      lose_every > 0 && (cache_.last_sequence() + 1) % lose_every == 0;
  if (cache_.Touch(PrefixKey(prefix), lost)) {
    ++cache_hits_;
    return Duration{0};
  }
  return milliseconds(options_.prefill_ms);
}

void Backend::HandleCacheEvents(const HttpRequest& request,
                                HttpResponder& responder) const {
  constexpr std::string_view kAfterParameter = "after=";
  const std::string_view query = request.query;
  const std::uint64_t after =
      query.starts_with(kAfterParameter)
          ? ParseLeadingNumber(query.substr(kAfterParameter.size()))
          : 0;
  const json body = {{"incarnation", incarnation_},
                     {"events", cache_.EventsAfter(after)}};
  responder.Send({200, {{"content-type", "application/json"}}, body.dump()});
}

void Backend::SendNextToken(const std::shared_ptr<Stream>& stream) {
  if (stream->disconnected) {  // a closed connection cancels the call
    --in_flight_;
    ++cancelled_;
    return;
  }
  if (faults_.cut_at_token != 0 && stream->offset >= faults_.cut_at_token) {
    --in_flight_;
    loop_.After(kAbortDelay, [stream] { stream->responder->Abort(); });
    return;
  }
  if (stream->offset >= options_.tokens) {
    --in_flight_;
    const json done = {{"attempt", stream->attempt},
                       {"done", true},
                       {"tokens", options_.tokens}};
    stream->responder->Write("data: " + done.dump() + "\n\n");
    stream->responder->End();
    return;
  }
  WriteToken(*stream);
  ++stream->offset;
  loop_.After(milliseconds(options_.token_ms + faults_.delay_ms),
              [this, stream] { SendNextToken(stream); });
}

void Backend::WriteToken(const Stream& stream) const {
  const bool affected =
      stream.offset % kFaultTokenInterval == kFaultTokenInterval - 1;
  if (faults_.skip_tokens && affected) {
    return;
  }
  json token = {{"attempt", stream.attempt},
                {"offset", stream.offset},
                {"text", "w" + std::to_string(stream.offset) + " "}};
  if (faults_.null_tokens && affected) {
    token["text"] = nullptr;
  }
  const std::string event = "data: " + token.dump() + "\n\n";
  stream.responder->Write(event);
  if (faults_.double_tokens) {
    stream.responder->Write(event);
  }
}

}  // namespace gentianroute::standin
