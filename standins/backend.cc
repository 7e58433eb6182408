#include "backend.h"

#include <charconv>
#include <utility>

namespace gentianroute::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kUnavailable = 503;

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

struct Backend::Stream {
  std::shared_ptr<HttpResponder> responder;
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0;
  bool gone = false;
};

Backend::Backend(EventLoop& loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      server_(loop,
              {.port = options_.port},
              [this](const HttpRequest& request,
                     const std::shared_ptr<HttpResponder>& responder) {
                OnRequest(request, responder);
              }) {}

void Backend::OnRequest(const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
  if (request.path.starts_with("/control/")) {
    Control(request, *responder);
    return;
  }
  if (faults_.silent) {
    return;
  }
  if (request.path == "/v1/state") {
    responder->Send({200, {}, state_.dump()});
    return;
  }
  if (request.path == "/v1/orders") {
    Order(request, *responder);
    return;
  }
  if (faults_.refuse) {
    HttpHeaders headers = AnswerHeaders(request);
    headers.push_back({"x-not-run", "1"});
    responder->Send({kUnavailable, std::move(headers), "{}"});
    return;
  }
  if (faults_.error_status != 0) {
    responder->Send(
        {static_cast<int>(faults_.error_status), AnswerHeaders(request), "{}"});
    return;
  }
  ++runs_;
  const std::string_view key = FindHeader(request.headers, "idempotency-key");
  if (!key.empty()) {
    ++runs_by_key_[std::string(key)];
  }
  if (request.path == "/v1/generate") {
    Generate(request, responder);
  } else {
    Run(request, responder);
  }
}

void Backend::Order(const HttpRequest& request, HttpResponder& responder) {
  const json order = json::parse(request.body);
  const std::uint64_t fencing = order.at("fencing");
  if (options_.checks_fencing && fencing < fencing_) {
    responder.Send({409, {}, json{{"fencing", fencing_}}.dump()});
    return;
  }
  fencing_ = fencing;
  state_ = order.at("desired");
  responder.Send({200, {}, "{}"});
}

void Backend::Control(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == "/control/faults") {
    faults_.Update(json::parse(request.body));
    responder.Send({200, {}, "{}"});
    return;
  }
  const json counts = {
      {"runs", runs_}, {"in_flight", in_flight_}, {"by_key", runs_by_key_}};
  responder.Send({200, {}, counts.dump()});
}

HttpHeaders Backend::AnswerHeaders(const HttpRequest& request) const {
  return {{"content-type", "application/json"},
          {"x-attempt-id",
           std::string(FindHeader(request.headers, "x-attempt-id"))},
          {"x-units", "1"},
          {"x-load", std::to_string(in_flight_)}};
}

void Backend::Run(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder) {
  ++in_flight_;
  const std::string stage(FindHeader(request.headers, "x-stage"));
  loop_.After(milliseconds(options_.service_ms + faults_.delay_ms),
              [this, responder, stage, headers = AnswerHeaders(request)] {
                --in_flight_;
                if (faults_.lose_answers) {
                  return;
                }
                const json body = {{"stage", stage}, {"by", options_.name}};
                responder->Send({200, headers, body.dump()});
              });
}

void Backend::Generate(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder) {
  ++in_flight_;
  auto stream = std::make_shared<Stream>();
  stream->responder = responder;
  stream->attempt = NumberOf(FindHeader(request.headers, "x-attempt-id"));
  stream->offset = NumberOf(FindHeader(request.headers, "x-resume-offset"));
  responder->OnGone([stream] { stream->gone = true; });
  HttpHeaders headers = AnswerHeaders(request);
  headers.front().value = "text/event-stream";
  responder->Begin(200, std::move(headers));
  NextToken(stream);
}

void Backend::NextToken(const std::shared_ptr<Stream>& stream) {
  if (stream->gone) {
    --in_flight_;
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
  const json token = {{"attempt", stream->attempt},
                      {"offset", stream->offset},
                      {"text", "w" + std::to_string(stream->offset) + " "}};
  stream->responder->Write("data: " + token.dump() + "\n\n");
  ++stream->offset;
  loop_.After(milliseconds(options_.token_ms + faults_.delay_ms),
              [this, stream] { NextToken(stream); });
}

}  // namespace gentianroute::standin
