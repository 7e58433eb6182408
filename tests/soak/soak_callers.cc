#include "soak_callers.h"

#include <algorithm>
#include <utility>

#include "gentianroute/loop/message_text.h"

namespace gentianroute::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeLimit = milliseconds(3000);
/// An answer that has not come so long after its time limit is lost. Far above
/// what a busy machine adds.
constexpr Duration kLostAfter = std::chrono::seconds(12);
constexpr Duration kAlmost = milliseconds(100);
/// Callers keep a connection for less than daemons do, so that no request
/// crosses a daemon's close but in a planned stop.
constexpr Duration kReuse = milliseconds(1500);
constexpr double kLeavingShare = 0.04;
constexpr double kProbeShare = 0.15;
constexpr std::string_view kHost = "soak";
/// The organisation whose key never changes.
constexpr const char* kSteady = "steady";

}  // namespace

std::string ChangingKey(std::uint64_t version) {
  return "changing-" + std::to_string(version);
}

/// What to ask for, and with which key.
struct SoakCallers::Drawn {
  Asked asked;
  std::string key = "key-steady";
};

struct SoakCallers::Plan {
  std::string id;
  Asked asked;
  RelayCall call;
};

/// One caller; its present call, or its pause between two.
class SoakCallers::Caller final : public RelayCallObserver {
 public:
  explicit Caller(SoakCallers& all) : all_(all) {}
  ~Caller() override { Clear(); }

  void Pause() {
    const auto ms = std::uniform_int_distribution<int>(5, 60)(all_.random_);
    timer_ = all_.loop_.After(milliseconds(ms), [this] { Next(); });
  }
  bool busy() const { return call_.has_value(); }

  void Ask(Plan plan, std::function<void(bool)> done = nullptr) {
    done_ = std::move(done);
    id_ = plan.id;
    answer_ = {};
    sent_ = all_.loop_.Now();
    all_.promises_.OnAsked(id_, std::move(plan.asked));
    call_ = all_.client_.Call(std::move(plan.call), *this);
    watch_ = all_.loop_.After(kTimeLimit + kLostAfter, [this] { OnNothing(); });
  }

  void OnHead(MessageHead head) override {
    answer_.status = head.status;
    answer_.fields = std::move(head.fields);
  }
  void OnBody(std::string_view part) override { answer_.body.append(part); }
  void OnDone() override {
    answer_.whole = true;
    EndCall();
  }
  void OnFailure(RelayFailure failure) override {
    answer_.malformed = failure == RelayFailure::kMalformed;
    if (failure == RelayFailure::kNotSent) {
      // Nobody listened: the daemon is down, or a stop has closed its door.
      call_.reset();
      all_.promises_.OnCallerLeft(id_);
      Finish(false);
      return;
    }
    EndCall();
  }

 private:
  void Next() {
    if (all_.stopped_) {
      return;
    }
    const SoakDaemon* daemon = PickDaemon();
    if (daemon == nullptr) {
      Pause();
      return;
    }
    Ask(all_.PlanFor(*daemon, all_.Draw()));
    std::bernoulli_distribution leaves(kLeavingShare);
    if (leaves(all_.random_)) {
      const auto ms = std::uniform_int_distribution<int>(1, 150)(all_.random_);
      timer_ = all_.loop_.After(milliseconds(ms), [this] { Leave(); });
    }
  }

  const SoakDaemon* PickDaemon() const {
    std::vector<const SoakDaemon*> serving;
    for (const auto& daemon : all_.daemons_) {
      if (daemon->serves()) {
        serving.push_back(daemon.get());
      }
    }
    if (serving.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<std::size_t> which(0, serving.size() - 1);
    return serving[which(all_.random_)];
  }

  void Leave() {
    if (call_) {
      all_.client_.Cancel(*call_);
      call_.reset();
      all_.promises_.OnCallerLeft(id_);
      Finish(false);
    }
  }

  void OnNothing() {
    if (call_) {
      all_.promises_.OnNoAnswer(id_);
      Leave();
    }
  }

  void EndCall() {
    call_.reset();
    answer_.at_time_limit = all_.loop_.Now() - sent_ > kTimeLimit - kAlmost;
    all_.promises_.OnAnswered(id_, answer_);
    Finish(answer_.whole && answer_.status == 200);
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
    all_.loop_.Cancel(timer_);
    all_.loop_.Cancel(watch_);
    if (call_) {
      all_.client_.Cancel(*call_);
      call_.reset();
    }
  }

  SoakCallers& all_;
  std::optional<RelayCallId> call_;
  std::string id_;
  Answered answer_;
  TimePoint sent_{};
  TimerId timer_;
  TimerId watch_;
  std::function<void(bool)> done_;
};

SoakCallers::SoakCallers(EventLoop& loop,
                         Promises& promises,
                         std::mt19937_64& random,
                         const Daemons& daemons,
                         const OperatorState& state)
    : loop_(loop),
      promises_(promises),
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

Asked SoakCallers::DrawShape() {
  Asked asked;
  const auto shape = std::uniform_int_distribution<int>(0, 9)(random_);
  const auto pieces = [this] {
    return std::uniform_int_distribution<std::uint32_t>(1, 6)(random_);
  };
  if (shape < 3) {
    asked.shape = Shape::kOnce;
    asked.target = "/once/order?x=%2F..%2f";
    asked.service = "ledger";
  } else if (shape < 6) {
    asked.shape = Shape::kSafe;
    asked.target = "/safe/a//b/./c";
    asked.service = "plain";
  } else {
    asked.shape = shape < 8 ? Shape::kDraft : Shape::kChat;
    asked.target = shape < 8 ? "/draft/" : "/chat/";
    asked.service = "model";
    asked.pieces.assign(shape < 8 ? 2 : 1, 0);
    std::generate(asked.pieces.begin(), asked.pieces.end(), pieces);
    asked.events = std::uniform_int_distribution<std::uint32_t>(2, 14)(random_);
  }
  return asked;
}

SoakCallers::Drawn SoakCallers::AskForRoute(std::uint64_t version) {
  Drawn drawn;
  drawn.asked.service = "plain";
  drawn.asked.organisation = kSteady;
  drawn.asked.route_version = version;
  drawn.asked.target = "/v" + std::to_string(version) + "/";
  return drawn;
}

SoakCallers::Drawn SoakCallers::DrawProbe() {
  // A route or a key of some version, also of one to come.
  const std::uint64_t version = std::uniform_int_distribution<std::uint64_t>(
      kFirstVersion, state_.version + 1)(random_);
  Drawn drawn = AskForRoute(version);
  if (std::bernoulli_distribution(0.5)(random_)) {
    drawn.asked.target = "/safe/";
    drawn.asked.route_version = 0;
    drawn.asked.organisation = "changing";
    drawn.asked.key_gone_version = GoneAt(version);
    drawn.key = ChangingKey(version);
  }
  return drawn;
}

SoakCallers::Drawn SoakCallers::Draw() {
  if (std::bernoulli_distribution(kProbeShare)(random_)) {
    return DrawProbe();
  }
  Drawn drawn;
  drawn.asked = DrawShape();
  drawn.asked.organisation = kSteady;
  return drawn;
}

SoakCallers::Plan SoakCallers::PlanFor(const SoakDaemon& daemon, Drawn drawn) {
  Plan plan;
  plan.id = "r" + std::to_string(++last_id_);
  plan.asked = std::move(drawn.asked);
  plan.asked.body = "body of " + plan.id;
  plan.asked.stage_key = "stages-" + plan.id;
  plan.asked.daemon = daemon.index();
  plan.asked.daemon_start = daemon.start();
  plan.call.endpoint = {"127.0.0.1", daemon.callers_port()};
  plan.call.message = TextOf(plan.id, plan.asked, drawn.key);
  plan.call.max_idle = kReuse;
  return plan;
}

std::string SoakCallers::TextOf(const std::string& id,
                                const Asked& asked,
                                const std::string& key) const {
  std::string pieces;
  for (const std::uint32_t count : asked.pieces) {
    pieces += (pieces.empty() ? "" : ",") + std::to_string(count);
  }
  HttpHeaders fields = {
      {"Host", std::string(kHost)},
      {"Gentianroute-Request-Id", id},
      {"Gentianroute-Key", key},
      {"Gentianroute-Deadline-Ms",
       std::to_string(WholeMilliseconds(kTimeLimit))},
      {"Gentianroute-Tenant", "forged"},
      {"Gentianroute-Pin-Ms", "9"},
      {"Events", std::to_string(asked.events)},
      {"Gentianroute-Token-Usage", "900,60"},
      {"Gentianroute-Prefix-Hash", "a1:400,b" + id + ":500"},
  };
  if (!pieces.empty()) {
    fields.push_back({"Gentianroute-Chunk-Count", pieces});
    fields.push_back({"Gentianroute-Chunk-Key", asked.stage_key});
  }
  return SerialiseRequestHead("POST", asked.target, fields,
                              BodyFraming::kLength, asked.body.size()) +
         asked.body;
}

void SoakCallers::AskOnce(SoakDaemon& daemon, std::function<void(bool)> done) {
  callers_.push_back(std::make_unique<Caller>(*this));
  callers_.back()->Ask(PlanFor(daemon, AskForRoute(state_.version)),
                       std::move(done));
}

}  // namespace gentianroute::soak
