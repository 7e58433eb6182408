#include "gentianroute/entry/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gentianroute/base/ascii.h"
#include "gentianroute/base/json_text.h"
#include "gentianroute/entry/digest.h"
#include "gentianroute/entry/problem.h"
#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::size_t kPrefixCharacters = 64;

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxKeyCharacters = 255;
constexpr std::size_t kTraceParentCharacters = 55;
// Above any profile's deadline, which is the effective limit; avoids overflow
// when the timeout is added to a time.
constexpr std::int64_t kMaxTimeoutMs = 24 * 60 * 60 * 1000;

/// Why a request is rejected.
struct RequestError {
  ErrorKind kind;
  std::string detail;
};

std::optional<RequestError> ReadTimeout(const HttpRequest& request,
                                        Duration& timeout) {
  const std::string_view text = FindHeader(request.headers, "x-timeout-ms");
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool valid = error == std::errc() && end == text.data() + text.size() &&
                     milliseconds > 0;
  if (!valid) {
    return RequestError{ErrorKind::kMalformedRequest,
                        "x-timeout-ms: found '" + std::string(text) +
                            "'; allowed: a whole number above 0"};
  }
  timeout = std::chrono::milliseconds(std::min(milliseconds, kMaxTimeoutMs));
  return std::nullopt;
}

/// The key is sent to backend servers in a header. HTTP/2 allows line breaks in
/// a value, with which a caller could inject a header or a request there, so
/// only visible ASCII characters are accepted.
std::optional<RequestError> CheckKey(std::string_view key) {
  if (key.size() <= kMaxKeyCharacters && IsVisibleAscii(key)) {
    return std::nullopt;
  }
  return RequestError{ErrorKind::kMalformedRequest,
                      "idempotency-key: found " + std::to_string(key.size()) +
                          " characters; allowed: 1 to " +
                          std::to_string(kMaxKeyCharacters) +
                          " visible ASCII characters"};
}

std::optional<RequestError> CheckHeaderSize(const HttpHeaders& headers) {
  std::size_t size = 0;
  for (const HttpHeader& header : headers) {
    size += header.name.size() + header.value.size();
  }
  if (size <= kMaxHeaderBytes) {
    return std::nullopt;
  }
  return RequestError{
      ErrorKind::kHeadersTooLarge,
      "the headers have " + std::to_string(size) +
          " bytes; allowed: " + std::to_string(kMaxHeaderBytes)};
}

/// Returns the trace context to propagate, or an empty string if it is invalid.
/// The W3C Trace Context standard requires an invalid one to be ignored; it
/// could also be used for header injection, see CheckKey().
std::string_view ReadTraceParent(const HttpRequest& request) {
  const std::string_view text = FindHeader(request.headers, "traceparent");
  const bool valid =
      text.size() == kTraceParentCharacters &&
      text.find_first_not_of("0123456789abcdef-") == std::string_view::npos;
  return valid ? text : std::string_view();
}

/// Hashes the conversation id, or else the beginning of the prompt. Requests
/// with the same hash probably share a prompt prefix, which the engine that
/// served an earlier one may still have in its cache.
/// @return 0 if the body has neither
std::uint64_t HashPrefix(const json& body) {
  for (const char* field : {"conversation", "prompt"}) {
    if (!body.is_object() || !body.contains(field) ||
        !body[field].is_string()) {
      continue;
    }
    const auto& text = body[field].get_ref<const std::string&>();
    if (!text.empty()) {
      return FastHash(std::string_view(text).substr(0, kPrefixCharacters));
    }
  }
  return 0;
}

/// Parses and validates a request for the coordinator.
std::optional<RequestError> ReadSubmission(HttpRequest& request,
                                           const Caller& caller,
                                           Submission& submission) {
  if (auto request_error = ReadTimeout(request, submission.timeout)) {
    return request_error;
  }
  submission.key = FindHeader(request.headers, "idempotency-key");
  if (auto request_error = CheckKey(submission.key)) {
    return request_error;
  }
  json body;
  try {
    body = json::parse(request.body);
  } catch (const json::exception& error) {
    // Not only parse_error: a number out of range throws another type, and an
    // uncaught exception terminates the daemon.
    return RequestError{ErrorKind::kMalformedRequest,
                        std::string("the body is not JSON: ") + error.what()};
  }
  submission.service = request.path.substr(kServicePrefix.size());
  submission.organisation = caller.organisation;
  submission.subscriber = caller.subscriber;
  submission.weight = caller.weight;
  submission.body_digest = Sha256Hex(request.body);
  submission.fingerprint =
      Fingerprint{FastHash(submission.service + "\n" + request.body)};
  submission.prefix = HashPrefix(body);
  submission.body = std::move(request.body);
  submission.wants_stream =
      FindHeader(request.headers, "accept") == kEventStream;
  submission.trace_parent = ReadTraceParent(request);
  return std::nullopt;
}

/// Logs one line for each request; contains neither its key nor its body.
void LogRequest(const FinishRequest& finish, std::string_view request_id) {
  std::uint32_t attempts = 0;
  for (const StageReport& stage : finish.stages) {
    attempts += stage.attempts;
  }
  const std::string_view kind =
      finish.error.has_value() ? AnswerFor(*finish.error).name : "answered";
  LogEvent event("request");
  event.Field("request_id", request_id)
      .Field("service", finish.service)
      .Field("organisation", finish.organisation)
      .Field("subscriber", finish.subscriber)
      .Field("kind", kind)
      .Field("ms", Milliseconds(finish.took))
      .Field("cost_micros", finish.cost)
      .Field("attempts", attempts)
      .Field("replayed", finish.replayed ? 1 : 0);
  if (!finish.detail.empty()) {
    event.Field("detail", finish.detail);
  }
}

std::string ServerTiming(const FinishRequest& finish) {
  std::string timing;
  for (const StageReport& stage : finish.stages) {
    if (!timing.empty()) {
      timing += ", ";
    }
    timing += stage.stage + ";dur=" + std::to_string(Milliseconds(stage.took)) +
              ";desc=\"cost_micros=" + std::to_string(stage.cost) +
              " queued_ms=" + std::to_string(Milliseconds(stage.queued)) +
              " attempts=" + std::to_string(stage.attempts) +
              " units=" + std::to_string(stage.units) +
              " billed_bytes=" + std::to_string(stage.billed_bytes) + "\"";
  }
  return timing;
}

HttpHeaders CostHeaders(const FinishRequest& finish,
                        std::string_view request_id) {
  HttpHeaders headers = {
      {"x-request-id", std::string(request_id)},
      {"x-cost-micros", std::to_string(finish.cost)},
  };
  const std::string timing = ServerTiming(finish);
  if (!timing.empty()) {
    headers.push_back({"server-timing", timing});
  }
  if (finish.replayed) {
    headers.push_back({"x-replayed", "1"});
  }
  return headers;
}

}  // namespace

CallerTable MakeCallerTable(schema::Settings::Reader settings) {
  CallerTable table;
  for (const auto organisation : settings.getOrganisations()) {
    for (const auto key : organisation.getKeys()) {
      table[key.getSha256().cStr()] = {
          organisation.getName().cStr(), key.getSubscriber().cStr(),
          static_cast<double>(organisation.getWeight())};
    }
  }
  return table;
}

CallerApi::CallerApi(EventLoop& loop,
                     Coordinator& coordinator,
                     CallerTable callers,
                     std::string id_prefix,
                     std::function<void()> request_advance)
    : loop_(loop),
      coordinator_(coordinator),
      callers_(std::move(callers)),
      id_prefix_(std::move(id_prefix)),
      request_advance_(std::move(request_advance)) {}

const Caller* CallerApi::Authenticate(const HttpRequest& request) const {
  const std::string_view header = FindHeader(request.headers, "authorization");
  if (!header.starts_with(kBearer)) {
    return nullptr;
  }
  const auto found = callers_.find(Sha256Hex(header.substr(kBearer.size())));
  return found == callers_.end() ? nullptr : &found->second;
}

std::string CallerApi::PublicId(RequestId request) const {
  return id_prefix_ + "-" + std::to_string(request.value);
}

void CallerApi::Reject(ErrorKind kind,
                       std::string_view detail,
                       const HttpRequest& request,
                       HttpResponder& responder) {
  const std::string id =
      id_prefix_ + "-refused-" + std::to_string(++rejected_count_);
  const bool has_key = !FindHeader(request.headers, "idempotency-key").empty();
  HttpResponse response = ProblemResponse(kind, detail, id, !has_key);
  if (kind == ErrorKind::kMethodNotAllowed) {
    response.headers.push_back({"allow", "POST"});
  }
  responder.Send(std::move(response));
  LogEvent("request_refused", LogLevel::kWarning)
      .Field("request_id", id)
      .Field("kind", AnswerFor(kind).name)
      .Field("method", request.method)
      .Field("path", request.path);
}

void CallerApi::OnRequest(HttpRequest request,
                          std::shared_ptr<HttpResponder> responder) {
  const auto reject = [&](ErrorKind kind, std::string_view detail) {
    Reject(kind, detail, request, *responder);
  };
  if (request.over_limit) {
    reject(ErrorKind::kTooManyConnections,
           "the connection exceeds the daemon's limit");
    return;
  }
  if (const auto request_error = CheckHeaderSize(request.headers)) {
    reject(request_error->kind, request_error->detail);
    return;
  }
  if (!request.path.starts_with(kServicePrefix)) {
    reject(ErrorKind::kUnknownService, "unknown path '" + request.path + "'");
    return;
  }
  if (request.method != "POST") {
    reject(ErrorKind::kMethodNotAllowed,
           request.method + " on " + request.path + "; POST is allowed");
    return;
  }
  const Caller* caller = Authenticate(request);
  if (caller == nullptr) {
    reject(ErrorKind::kUnauthorised, "the bearer key is not known");
    return;
  }
  Submission submission;
  if (const auto request_error = ReadSubmission(request, *caller, submission)) {
    reject(request_error->kind, request_error->detail);
    return;
  }
  Submit(std::move(submission), std::move(responder));
}

void CallerApi::Submit(Submission submission,
                       std::shared_ptr<HttpResponder> responder) {
  const bool wants_stream = submission.wants_stream;
  const RequestId id =
      coordinator_.Submit(loop_.Now(), loop_.WallTime(), std::move(submission));
  HttpResponder& reference = *responder;
  exchanges_[id] = {std::move(responder), PublicId(id), wants_stream, false};
  reference.SetOnDisconnect([this, id] {
    exchanges_.erase(id);
    coordinator_.OnCallerGone(loop_.Now(), id);
    request_advance_();
  });
  request_advance_();
}

void CallerApi::Deliver(const DeliverChunk& chunk) {
  const auto found = exchanges_.find(chunk.request);
  if (found == exchanges_.end()) {
    return;
  }
  Exchange& exchange = found->second;
  if (!std::exchange(exchange.begun, true)) {
    exchange.responder->Begin(200, {{"content-type", std::string(kEventStream)},
                                    {"cache-control", "no-store"},
                                    {"x-request-id", exchange.request_id}});
  }
  const json event = {{"offset", chunk.offset}, {"text", chunk.text}};
  exchange.responder->Write("event: token\ndata: " + EncodeJson(event) +
                            "\n\n");
}

void CallerApi::Finish(const FinishRequest& finish) {
  LogRequest(finish, PublicId(finish.request));
  const auto found = exchanges_.find(finish.request);
  if (found == exchanges_.end()) {
    return;
  }
  const Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  if (exchange.begun) {
    SendStreamEnd(exchange, finish);
    return;
  }
  HttpResponse response;
  if (finish.error.has_value()) {
    response = ProblemResponse(*finish.error, finish.detail,
                               exchange.request_id, finish.key_checked);
  } else {
    response.headers = {{"content-type", "application/json"}};
    response.body = finish.body;
  }
  for (HttpHeader& header : CostHeaders(finish, exchange.request_id)) {
    const bool present = !FindHeader(response.headers, header.name).empty();
    if (!present) {
      response.headers.push_back(std::move(header));
    }
  }
  exchange.responder->Send(std::move(response));
}

void CallerApi::SendStreamEnd(const Exchange& exchange,
                              const FinishRequest& finish) {
  if (finish.error.has_value()) {
    exchange.responder->Write("event: error\ndata: " +
                              ProblemBody(*finish.error, finish.detail,
                                          exchange.request_id,
                                          finish.key_checked) +
                              "\n\n");
    exchange.responder->End();
    return;
  }
  json stages = json::array();
  for (const StageReport& stage : finish.stages) {
    stages.push_back({{"stage", stage.stage},
                      {"ms", Milliseconds(stage.took)},
                      {"cost_micros", stage.cost},
                      {"units", stage.units}});
  }
  const json done = {{"result", json::parse(finish.body, nullptr, false)},
                     {"cost_micros", finish.cost},
                     {"stages", std::move(stages)}};
  exchange.responder->Write("event: done\ndata: " + EncodeJson(done) + "\n\n");
  exchange.responder->End();
}

}  // namespace gentianroute
