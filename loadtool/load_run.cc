#include "load_run.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace gentianroute::load {
namespace {

using nlohmann::json;

constexpr std::string_view kTokenEvent = "event: token";
/// Waits this much longer than the deadline, to distinguish late responses from
/// missing ones.
constexpr Duration kLateResponseMargin = std::chrono::seconds(1);

std::int64_t ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

/// Records the outcome of one request.
class LoadRun::Observer final : public HttpCallObserver {
 public:
  Observer(LoadRun& run, std::string service)
      : run_(run), started_(run.loop_.Now()) {
    outcome_.service = std::move(service);
  }

  void OnHead(int status, const HttpHeaders& headers) override {
    outcome_.status = status;
    outcome_.cost_micros = ParseNumber(FindHeader(headers, "x-cost-micros"));
    outcome_.server_timing = FindHeader(headers, "server-timing");
    const std::string_view type = FindHeader(headers, "content-type");
    is_problem_ = type == "application/problem+json";
    is_stream_ = type == "text/event-stream";
  }

  void OnBody(std::string_view part) override {
    body_ += part;
    if (is_stream_ && part.find(kTokenEvent) != std::string_view::npos) {
      OnToken();
    }
  }

  void OnDone() override {
    outcome_.latency = run_.loop_.Now() - started_;
    outcome_.attained = outcome_.latency <= run_.options_.deadline;
    if (is_problem_) {
      const json problem = json::parse(body_, nullptr, false);
      outcome_.error_kind =
          problem.is_object() ? problem.value("kind", "unread") : "unread";
    }
    if (is_stream_ && body_.find("event: done") == std::string::npos) {
      outcome_.error_kind = "stream_error";
    }
    run_.OnRequestEnd(outcome_);
  }

  void OnError(HttpCallError /*error*/, std::string_view /*detail*/) override {
    outcome_.status = 0;
    run_.OnRequestEnd(outcome_);
  }

 private:
  void OnToken() {
    const TimePoint now = run_.loop_.Now();
    if (outcome_.first_token_latency.count() == 0) {
      outcome_.first_token_latency = now - started_;
    } else {
      outcome_.token_intervals.push_back(now - last_token_);
    }
    last_token_ = now;
  }

  LoadRun& run_;
  TimePoint started_;
  TimePoint last_token_{};
  RequestOutcome outcome_;
  std::string body_;
  bool is_problem_ = false;
  bool is_stream_ = false;
};

LoadRun::LoadRun(EventLoop& loop, LoadOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(loop),
      rng_(options_.seed),
      interarrival_s_(options_.rate) {}

LoadResult LoadRun::Run() {
  next_send_ = loop_.Now();
  send_until_ = next_send_ + options_.duration;
  ScheduleNext();
  loop_.At(send_until_ + options_.deadline + kLateResponseMargin,
           [this] { loop_.Stop(); });
  loop_.Run();
  RequestOutcome unanswered;
  unanswered.service = "(unanswered)";
  for (; pending_ > 0; --pending_) {
    result_.Add(unanswered);
  }
  return std::move(result_);
}

void LoadRun::ScheduleNext() {
  constexpr double kMicrosPerSecond = 1e6;
  // Counts from the time that was due rather than from now: the loop wakes up
  // to a millisecond late, which would add up and lower the rate.
  next_send_ += Duration(
      static_cast<std::int64_t>(interarrival_s_(rng_) * kMicrosPerSecond));
  loop_.At(next_send_, [this] {
    if (loop_.Now() >= send_until_) {
      sending_ = false;
      if (pending_ == 0) {
        loop_.Stop();
      }
      return;
    }
    Send();
    ScheduleNext();
  });
}

const TargetService& LoadRun::PickTarget() {
  std::vector<double> weights;
  weights.reserve(options_.targets.size());
  for (const TargetService& target : options_.targets) {
    weights.push_back(target.weight);
  }
  std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                       weights.end());
  return options_.targets[distribution(rng_)];
}

void LoadRun::Send() {
  const TargetService& target = PickTarget();
  const std::uint64_t number = ++sent_;
  const json body = {{"prompt", "letter " + std::to_string(number)},
                     {"marker", number}};
  HttpCall call;
  call.address = "127.0.0.1";
  call.port = options_.ports[number % options_.ports.size()];
  call.method = "POST";
  call.path = "/v1/services/" + target.service;
  call.headers = {
      {"authorization",
       "Bearer " + options_.keys[number % options_.keys.size()]},
      {"content-type", "application/json"},
      {"x-timeout-ms", std::to_string(options_.deadline.count() / 1000)}};
  if (target.sends_key) {
    call.headers.push_back(
        {"idempotency-key", "load-" + std::to_string(options_.seed) + "-" +
                                std::to_string(number)});
  }
  if (target.streamed) {
    call.headers.push_back({"accept", "text/event-stream"});
  }
  call.body = body.dump();
  ++pending_;
  client_.Call(std::move(call),
               std::make_unique<Observer>(*this, target.service));
}

void LoadRun::OnRequestEnd(const RequestOutcome& outcome) {
  --pending_;
  result_.Add(outcome);
  if (!sending_ && pending_ == 0) {
    loop_.Stop();
  }
}

}  // namespace gentianroute::load
