#include "load_run.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace gentianroute::load {
namespace {

using nlohmann::json;

constexpr std::string_view kTokenEvent = "event: token";
/// Beyond its deadline an answer is late; a little more tells late from none.
constexpr Duration kPatience = std::chrono::seconds(1);

std::int64_t NumberOf(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

/// Follows one request from its first byte to its end.
class LoadRun::Observer final : public HttpCallObserver {
 public:
  Observer(LoadRun& run, std::string service)
      : run_(run), started_(run.loop_.Now()) {
    outcome_.service = std::move(service);
  }

  void OnHead(int status, const HttpHeaders& headers) override {
    outcome_.status = status;
    outcome_.cost = NumberOf(FindHeader(headers, "x-cost-micros"));
    outcome_.server_timing = FindHeader(headers, "server-timing");
    const std::string_view type = FindHeader(headers, "content-type");
    problem_ = type == "application/problem+json";
    stream_ = type == "text/event-stream";
  }

  void OnBody(std::string_view part) override {
    body_ += part;
    if (stream_ && part.find(kTokenEvent) != std::string_view::npos) {
      OnToken();
    }
  }

  void OnDone() override {
    outcome_.took = run_.loop_.Now() - started_;
    outcome_.attained = outcome_.took <= run_.options_.deadline;
    if (problem_) {
      const json problem = json::parse(body_, nullptr, false);
      outcome_.kind =
          problem.is_object() ? problem.value("kind", "unread") : "unread";
    }
    if (stream_ && body_.find("event: done") == std::string::npos) {
      outcome_.kind = "stream_error";
    }
    run_.Finish(outcome_);
  }

  void OnError(HttpCallError /*error*/, std::string_view /*detail*/) override {
    outcome_.status = 0;
    run_.Finish(outcome_);
  }

 private:
  void OnToken() {
    const TimePoint now = run_.loop_.Now();
    if (outcome_.first_token.count() == 0) {
      outcome_.first_token = now - started_;
    } else {
      outcome_.between.push_back(now - last_token_);
    }
    last_token_ = now;
  }

  LoadRun& run_;
  TimePoint started_;
  TimePoint last_token_{};
  Outcome outcome_;
  std::string body_;
  bool problem_ = false;
  bool stream_ = false;
};

LoadRun::LoadRun(EventLoop& loop, LoadOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(loop),
      rng_(options_.seed),
      gap_(options_.rate) {}

LoadResult LoadRun::Run() {
  end_ = loop_.Now() + options_.length;
  ScheduleNext();
  loop_.At(end_ + options_.deadline + kPatience, [this] { loop_.Stop(); });
  loop_.Run();
  Outcome unanswered;
  unanswered.service = "(unanswered)";
  for (; open_ > 0; --open_) {
    result_.Add(unanswered);
  }
  return std::move(result_);
}

void LoadRun::ScheduleNext() {
  constexpr double kMicros = 1e6;
  const Duration gap(static_cast<std::int64_t>(gap_(rng_) * kMicros));
  loop_.After(gap, [this] {
    if (loop_.Now() >= end_) {
      sending_ = false;
      if (open_ == 0) {
        loop_.Stop();
      }
      return;
    }
    Send();
    ScheduleNext();
  });
}

const Target& LoadRun::DrawTarget() {
  std::vector<double> weights;
  weights.reserve(options_.targets.size());
  for (const Target& target : options_.targets) {
    weights.push_back(target.weight);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return options_.targets[draw(rng_)];
}

void LoadRun::Send() {
  const Target& target = DrawTarget();
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
  if (target.keyed) {
    call.headers.push_back(
        {"idempotency-key", "load-" + std::to_string(options_.seed) + "-" +
                                std::to_string(number)});
  }
  if (target.stream) {
    call.headers.push_back({"accept", "text/event-stream"});
  }
  call.body = body.dump();
  ++open_;
  client_.Call(std::move(call),
               std::make_unique<Observer>(*this, target.service));
}

void LoadRun::Finish(const Outcome& outcome) {
  --open_;
  result_.Add(outcome);
  if (!sending_ && open_ == 0) {
    loop_.Stop();
  }
}

}  // namespace gentianroute::load
