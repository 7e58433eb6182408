#include "soak_callers.h"

#include <algorithm>
#include <utility>

#include "gentianroute/loop/message_text.h"

namespace gentianroute::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeLimit = milliseconds(3000);
/// A response that is missing this long after its time limit counts as lost.
/// The value is far above the delay that a busy machine adds.
constexpr Duration kResponseGrace = std::chrono::seconds(12);
constexpr Duration kTimeLimitMargin = milliseconds(100);
/// Shorter than the idle timeout of daemons, so that only in a planned stop a
/// request can arrive on a connection that the daemon is closing.
constexpr Duration kMaxIdle = milliseconds(1500);
/// Pause of a client before it takes up a broken stream.
constexpr milliseconds kMinTakingUpPause{2};
constexpr milliseconds kMaxTakingUpPause{60};
/// The longest pause after a refusal.
constexpr milliseconds kMaxRefusedPause{300};
/// With less time left, a stream is not taken up.
constexpr Duration kMinTimeLeft = milliseconds(200);
constexpr double kCancelledShare = 0.04;
constexpr double kProbeShare = 0.15;
constexpr std::string_view kHost = "soak";
/// The organisation whose key never changes.
constexpr const char* kSteadyOrganisation = "steady";

}  // namespace

std::string ChangingKey(std::uint64_t version) {
  return "changing-" + std::to_string(version);
}

/// A drawn request and the API key that it is sent with.
struct SoakCallers::DrawnRequest {
  SentRequest request;
  std::string key = "key-steady";
};

struct SoakCallers::PlannedCall {
  std::string id;
  SentRequest request;
  RelayCall call;
  Duration time_limit = kTimeLimit;
};

/// One caller with its current call, or its pause between two calls.
class SoakCallers::Caller final : public RelayCallObserver {
 public:
  explicit Caller(SoakCallers& owner) : owner_(owner) {}
  ~Caller() override { Clear(); }

  void Pause() {
    const auto ms = std::uniform_int_distribution<int>(5, 60)(owner_.random_);
    timer_ = owner_.loop_.After(milliseconds(ms), [this] { Next(); });
  }
  bool busy() const { return call_.has_value(); }

  void Send(PlannedCall plan, std::function<void(bool)> done = nullptr) {
    done_ = std::move(done);
    id_ = plan.id;
    response_ = {};
    deadline_ = owner_.loop_.Now() + plan.time_limit;
    owner_.checker_.OnRequestSent(id_, plan.request);
    call_ = owner_.client_.Call(std::move(plan.call), *this);
    plan_ = std::move(plan);
    response_timer_ = owner_.loop_.After(kTimeLimit + kResponseGrace,
                                         [this] { OnResponseTimeout(); });
  }

  void OnHead(MessageHead head) override {
    response_.status = head.status;
    response_.fields = std::move(head.fields);
  }
  void OnBody(std::string_view part) override { response_.body.append(part); }
  void OnDone() override {
    response_.complete = true;
    EndCall();
  }
  void OnFailure(RelayFailure failure) override {
    response_.malformed = failure == RelayFailure::kMalformed;
    if (failure == RelayFailure::kNotSent) {
      // The connection was refused: the daemon is down, or is stopping and no
      // longer accepts connections.
      call_.reset();
      owner_.checker_.OnCallerCancelled(id_);
      FinishOrTakeUp();
      return;
    }
    EndCall();
  }

 private:
  void Next() {
    if (owner_.stopped_) {
      return;
    }
    const SoakDaemon* daemon = PickDaemon(&SoakDaemon::serves);
    if (daemon == nullptr) {
      Pause();
      return;
    }
    Send(owner_.PlanCall(*daemon, owner_.Draw()));
    std::bernoulli_distribution cancels(kCancelledShare);
    if (cancels(owner_.random_)) {
      const auto ms =
          std::uniform_int_distribution<int>(1, 150)(owner_.random_);
      timer_ = owner_.loop_.After(milliseconds(ms), [this] { Cancel(); });
    }
  }

  const SoakDaemon* PickDaemon(bool (SoakDaemon::*is_candidate)() const) const {
    std::vector<const SoakDaemon*> serving;
    for (const auto& daemon : owner_.daemons_) {
      if ((*daemon.*is_candidate)()) {
        serving.push_back(daemon.get());
      }
    }
    if (serving.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<std::size_t> which(0, serving.size() - 1);
    return serving[which(owner_.random_)];
  }

  void Cancel() {
    if (call_) {
      owner_.client_.Cancel(*call_);
      call_.reset();
      owner_.checker_.OnCallerCancelled(id_);
      Finish(false);
    }
  }

  void OnResponseTimeout() {
    if (call_) {
      owner_.checker_.OnNoResponse(id_);
      Cancel();
    }
  }

  void EndCall() {
    call_.reset();
    response_.at_time_limit = deadline_ - owner_.loop_.Now() < kTimeLimitMargin;
    owner_.checker_.OnResponse(id_, response_);
    FinishOrTakeUp();
  }

  void FinishOrTakeUp() {
    const bool served = response_.complete && response_.status == 200;
    if (served || !CanTakeUp()) {
      Finish(served);
      return;
    }
    Clear();
    std::uniform_int_distribution<milliseconds::rep> pause(
        kMinTakingUpPause.count(),
        (response_.complete ? kMaxRefusedPause : kMaxTakingUpPause).count());
    timer_ = owner_.loop_.After(milliseconds(pause(owner_.random_)),
                                [this] { TakeUp(); });
  }

  /// Whether a caller still wants the rest of a stream that it has a part of.
  bool CanTakeUp() const {
    const SentRequest& request = plan_.request;
    const std::uint32_t seen = owner_.checker_.EventsSeen(
        request.begun_by.empty() ? id_ : request.begun_by);
    return !owner_.stopped_ && request.kind == RequestKind::kResumableStream &&
           seen > 0 && seen < request.events &&
           deadline_ - owner_.loop_.Now() > kMinTimeLeft;
  }

  void TakeUp() {
    // A client doesn't know which daemons stand still.
    const SoakDaemon* daemon = PickDaemon(&SoakDaemon::listens);
    if (daemon == nullptr || !CanTakeUp()) {
      FinishOrTakeUp();
      return;
    }
    Send(owner_.PlanTakingUp(*daemon, plan_, deadline_));
  }

  void Finish(bool served) {
    Clear();
    if (auto done = std::exchange(done_, nullptr)) {
      done(served);
      return;
    }
    Pause();
  }

  void Clear() {
    owner_.loop_.Cancel(timer_);
    owner_.loop_.Cancel(response_timer_);
    if (call_) {
      owner_.client_.Cancel(*call_);
      call_.reset();
    }
  }

  SoakCallers& owner_;
  std::optional<RelayCallId> call_;
  std::string id_;
  PlannedCall plan_;
  ReceivedResponse response_;
  TimePoint deadline_{};
  TimerId timer_;
  TimerId response_timer_;
  std::function<void(bool)> done_;
};

SoakCallers::SoakCallers(EventLoop& loop,
                         InvariantChecker& checker,
                         std::mt19937_64& random,
                         const Daemons& daemons,
                         const OperatorState& state)
    : loop_(loop),
      checker_(checker),
      random_(random),
      daemons_(daemons),
      state_(state),
      client_(loop) {}

SoakCallers::~SoakCallers() = default;

void SoakCallers::Start(std::size_t callers) {
  for (std::size_t i = 0; i < callers; ++i) {
    callers_.push_back(std::make_unique<Caller>(*this));
    callers_.back()->Pause();
  }
}

std::size_t SoakCallers::open() const {
  return static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(),
                    [](const auto& caller) { return caller->busy(); }));
}

SentRequest SoakCallers::DrawRegularRequest() {
  SentRequest request;
  const auto drawn = std::uniform_int_distribution<int>(0, 9)(random_);
  const auto draw_segment_count = [this] {
    return std::uniform_int_distribution<std::uint32_t>(1, 6)(random_);
  };
  if (drawn < 3) {
    request.kind = RequestKind::kNonIdempotent;
    request.target = "/once/order?x=%2F..%2f";
    request.service = "ledger";
  } else if (drawn < 6) {
    request.kind = RequestKind::kIdempotent;
    request.target = "/safe/a//b/./c";
    request.service = "plain";
  } else {
    request.kind = drawn < 8 ? RequestKind::kResumableStream
                             : RequestKind::kNonResumableStream;
    request.target = drawn < 8 ? "/draft/" : "/chat/";
    request.service = "model";
    request.segment_counts.assign(drawn < 8 ? 2 : 1, 0);
    std::generate(request.segment_counts.begin(), request.segment_counts.end(),
                  draw_segment_count);
    // A resumable stream is long enough for a break in the middle.
    request.events = std::uniform_int_distribution<std::uint32_t>(
        2, drawn < 8 ? 80 : 14)(random_);
  }
  return request;
}

SoakCallers::DrawnRequest SoakCallers::RequestForRoute(std::uint64_t version) {
  DrawnRequest drawn;
  drawn.request.service = "plain";
  drawn.request.organisation = kSteadyOrganisation;
  drawn.request.route_version = version;
  drawn.request.target = "/v" + std::to_string(version) + "/";
  return drawn;
}

SoakCallers::DrawnRequest SoakCallers::DrawProbe() {
  // A route or a key of any version, including the next one.
  const std::uint64_t version = std::uniform_int_distribution<std::uint64_t>(
      kFirstVersion, state_.version + 1)(random_);
  DrawnRequest drawn = RequestForRoute(version);
  if (std::bernoulli_distribution(0.5)(random_)) {
    drawn.request.target = "/safe/";
    drawn.request.route_version = 0;
    drawn.request.organisation = "changing";
    drawn.request.key_removed_version = RemovalVersion(version);
    drawn.key = ChangingKey(version);
  }
  return drawn;
}

SoakCallers::DrawnRequest SoakCallers::Draw() {
  if (std::bernoulli_distribution(kProbeShare)(random_)) {
    return DrawProbe();
  }
  DrawnRequest drawn;
  drawn.request = DrawRegularRequest();
  drawn.request.organisation = kSteadyOrganisation;
  return drawn;
}

SoakCallers::PlannedCall SoakCallers::PlanCall(const SoakDaemon& daemon,
                                               DrawnRequest drawn) {
  PlannedCall plan;
  plan.id = "r" + std::to_string(++last_id_);
  plan.request = std::move(drawn.request);
  plan.request.body = "body of " + plan.id;
  plan.request.stage_key = "stages-" + plan.id;
  plan.request.daemon = daemon.index();
  plan.request.daemon_start = daemon.start();
  plan.call.endpoint = {"127.0.0.1", daemon.frontend_port()};
  plan.call.message =
      RequestText(plan.id, plan.request, drawn.key, plan.time_limit);
  plan.call.max_idle = kMaxIdle;
  return plan;
}

SoakCallers::PlannedCall SoakCallers::PlanTakingUp(const SoakDaemon& daemon,
                                                   const PlannedCall& broken,
                                                   TimePoint deadline) {
  DrawnRequest drawn;
  drawn.request = broken.request;
  if (drawn.request.begun_by.empty()) {
    drawn.request.begun_by = broken.id;
  }
  PlannedCall plan = PlanCall(daemon, std::move(drawn));
  plan.time_limit = deadline - loop_.Now();
  plan.call.message =
      RequestText(plan.id, plan.request, DrawnRequest().key, plan.time_limit);
  return plan;
}

std::string SoakCallers::RequestText(const std::string& id,
                                     const SentRequest& request,
                                     const std::string& key,
                                     Duration time_limit) const {
  std::string segment_counts;
  for (const std::uint32_t count : request.segment_counts) {
    segment_counts +=
        (segment_counts.empty() ? "" : ",") + std::to_string(count);
  }
  HttpHeaders fields = {
      {"Host", std::string(kHost)},
      {"Gentianroute-Request-Id", id},
      {"Gentianroute-Key", key},
      {"Gentianroute-Deadline-Ms",
       std::to_string(WholeMilliseconds(time_limit))},
      {"Gentianroute-Tenant", "forged"},
      {"Gentianroute-Pin-Ms", "9"},
      {"Events", std::to_string(request.events)},
      {"Gentianroute-Token-Usage", "900,60"},
      {"Gentianroute-Prefix-Hash", "a1:400,b" + id + ":500"},
  };
  if (!segment_counts.empty()) {
    fields.push_back({"Gentianroute-Chunk-Count", segment_counts});
    fields.push_back({"Gentianroute-Chunk-Key", request.stage_key});
  }
  if (!request.begun_by.empty()) {
    const std::uint32_t seen = checker_.EventsSeen(request.begun_by);
    fields.push_back({"Last-Event-Id", std::to_string(seen)});
    fields.push_back({"Resumes", request.begun_by});
  }
  return SerialiseRequestHead("POST", request.target, fields,
                              BodyFraming::kLength, request.body.size()) +
         request.body;
}

void SoakCallers::SendOnce(SoakDaemon& daemon, std::function<void(bool)> done) {
  callers_.push_back(std::make_unique<Caller>(*this));
  callers_.back()->Send(PlanCall(daemon, RequestForRoute(state_.version)),
                        std::move(done));
}

}  // namespace gentianroute::soak
