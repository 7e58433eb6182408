#include "gentianroute/entry/backend_calls.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gentianroute/base/number.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr std::string_view kDataPrefix = "data: ";

/// Parses the status and the headers of a response.
AttemptAnswer ParseAnswerHead(AttemptId attempt,
                              int status,
                              const HttpHeaders& headers) {
  AttemptAnswer answer;
  answer.attempt = attempt;
  answer.echoed =
      AttemptId{ParseLeadingNumber(FindHeader(headers, "x-attempt-id"))};
  answer.status = status;
  answer.units = ParseLeadingNumber(FindHeader(headers, "x-units"));
  const std::string_view load = FindHeader(headers, "x-load");
  answer.has_load = !load.empty();
  answer.load = static_cast<std::uint32_t>(ParseLeadingNumber(load));
  answer.not_run = FindHeader(headers, "x-not-run") == "1";
  answer.leaving = FindHeader(headers, "x-leaving") == "1";
  return answer;
}

HttpCall MakeCall(const StartAttempt& start) {
  HttpCall call;
  call.address = start.server->host.address;
  call.port = start.server->host.port;
  call.method = "POST";
  call.path = start.stage().streams ? "/v1/generate" : "/v1/run";
  call.headers = {
      {"content-type", "application/json"},
      {"x-attempt-id", std::to_string(start.attempt.value)},
      {"x-stage", start.stage().name},
      {"x-deadline-ms", std::to_string(start.remaining.count() / 1000)},
  };
  if (!start.key.empty()) {
    call.headers.push_back({"idempotency-key", start.key});
  }
  if (!start.trace_parent.empty()) {
    call.headers.push_back({"traceparent", start.trace_parent});
  }
  if (start.stage().streams) {
    call.headers.push_back(
        {"x-resume-offset", std::to_string(start.resume_offset)});
  }
  call.body = start.input;
  call.fresh_connection = start.fresh_connection;
  return call;
}

}  // namespace

/// Common part of the observers of plain and of streamed responses.
class BackendCalls::Observer : public HttpCallObserver {
 public:
  Observer(BackendCalls& owner, AttemptId attempt)
      : owner_(owner), attempt_(attempt) {}

  void OnConnected() override { owner_.coordinator_.OnWritten(attempt_); }
  void OnHead(int status, const HttpHeaders& headers) override {
    answer_ = ParseAnswerHead(attempt_, status, headers);
  }
  void OnError(HttpCallError error, std::string_view detail) override {
    owner_.ReportFailure(attempt_, error, detail);
  }

 protected:
  void Deliver() {
    answer_.received = std::exchange(unreported_bytes_, 0);
    owner_.calls_.erase(attempt_);
    owner_.coordinator_.OnAnswer(owner_.loop_.Now(), std::move(answer_));
    owner_.request_advance_();
  }

  BackendCalls& owner_;
  AttemptId attempt_;
  AttemptAnswer answer_;
  std::uint64_t unreported_bytes_ = 0;  ///< body bytes not yet passed on
};

/// Collects the complete JSON response of a service that does not stream.
class BackendCalls::PlainObserver final : public Observer {
 public:
  using Observer::Observer;

  void OnBody(std::string_view part) override {
    unreported_bytes_ += part.size();
    answer_.body += part;
  }
  void OnDone() override {
    if (answer_.status == kOk && !json::accept(answer_.body)) {
      OnError(HttpCallError::kTruncated, "the response body is not JSON");
      return;
    }
    Deliver();
  }
};

/// Parses a model engine's stream of server-sent events.
class BackendCalls::StreamObserver final : public Observer {
 public:
  using Observer::Observer;

  void OnBody(std::string_view part) override {
    unreported_bytes_ += part.size();
    if (answer_.status != kOk) {
      return;
    }
    buffer_ += part;
    std::size_t end = 0;
    while ((end = buffer_.find('\n')) != std::string::npos) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      if (line.starts_with(kDataPrefix)) {
        ParseEvent(std::string_view(line).substr(kDataPrefix.size()));
      }
    }
    owner_.request_advance_();
  }

  void OnDone() override {
    // Without the final event, the stream was cut off at a chunk boundary.
    if (answer_.status == kOk && !done_) {
      OnError(HttpCallError::kTruncated,
              "the stream ended without its final event");
      return;
    }
    Deliver();
  }

 private:
  void ParseEvent(std::string_view text) {
    const json event = json::parse(text, nullptr, false);
    if (event.is_discarded() || !event.is_object()) {
      return;  // the next event's offset reveals the gap
    }
    try {
      HandleEvent(event);
    } catch (const json::exception&) {
      // A field has the wrong type. An uncaught exception would leave the event
      // loop and terminate the daemon; skipping the event leaves a gap, which
      // the next offset reveals.
    }
  }

  void HandleEvent(const json& event) {
    if (event.value("done", false)) {
      done_ = true;
      answer_.units = event.value("tokens", std::uint64_t{0});
      return;
    }
    AttemptChunk chunk;
    chunk.attempt = attempt_;
    chunk.echoed = AttemptId{event.value("attempt", std::uint64_t{0})};
    chunk.offset = event.value("offset", std::uint64_t{0});
    chunk.text = event.value("text", "");
    chunk.received = std::exchange(unreported_bytes_, 0);
    owner_.coordinator_.OnChunk(owner_.loop_.Now(), std::move(chunk));
  }

  std::string buffer_;
  bool done_ = false;
};

BackendCalls::BackendCalls(EventLoop& loop,
                           HttpClient& client,
                           Coordinator& coordinator,
                           std::function<void()> request_advance)
    : loop_(loop),
      client_(client),
      coordinator_(coordinator),
      request_advance_(std::move(request_advance)) {}

void BackendCalls::Start(const StartAttempt& start) {
  std::unique_ptr<HttpCallObserver> observer;
  if (start.stage().streams) {
    observer = std::make_unique<StreamObserver>(*this, start.attempt);
  } else {
    observer = std::make_unique<PlainObserver>(*this, start.attempt);
  }
  const HttpCallId call = client_.Call(MakeCall(start), std::move(observer));
  calls_[start.attempt] = call;
}

void BackendCalls::Cancel(const CancelAttempt& cancel) {
  const auto found = calls_.find(cancel.attempt);
  if (found != calls_.end()) {
    const HttpCallId call = found->second;
    calls_.erase(found);
    client_.Cancel(call);
  }
  if (cancel.close_idle_connections) {
    client_.DiscardIdleConnections(cancel.server->host.address,
                                   cancel.server->host.port);
  }
}

void BackendCalls::ReportFailure(AttemptId attempt,
                                 HttpCallError error,
                                 std::string_view detail) {
  static constexpr AttemptFailure kFailures[] = {AttemptFailure::kConnect,
                                                 AttemptFailure::kReset,
                                                 AttemptFailure::kTruncated};
  calls_.erase(attempt);
  coordinator_.OnFailure(loop_.Now(), attempt,
                         kFailures[static_cast<std::size_t>(error)], detail);
  request_advance_();
}

}  // namespace gentianroute
