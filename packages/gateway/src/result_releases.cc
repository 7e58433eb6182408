#include "gentianroute/gateway/result_releases.h"

#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// Releases within this time share a call. A server of large results is full
/// after two calls, so it must be far below the time of a call.
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr std::size_t kMostInCall = 400;

}  // namespace

class ResultReleases::Call final : public RelayCallObserver {
 public:
  Call(ResultReleases& owner, RelayCall call) : owner_(owner) {
    timer_ = owner_.loop_.After(kCallTimeout, [this] { End(false); });
    id_ = owner_.client_.Call(std::move(call), *this);
  }
  ~Call() override {
    owner_.loop_.Cancel(timer_);
    owner_.client_.Cancel(id_);
  }
  void OnHead(MessageHead /*head*/) override {}
  void OnBody(std::string_view /*part*/) override {}
  void OnDone() override { End(true); }
  void OnFailure(RelayFailure /*failure*/) override { End(false); }

 private:
  /// A lost release costs room for some seconds only; it is not repeated.
  void End(bool told) {
    if (!told) {
      LogEvent("release_lost", LogLevel::kWarning);
    }
    auto self = std::move(owner_.calls_.extract(this).mapped());
    owner_.loop_.Cancel(timer_);
    owner_.loop_.After(Duration{0},
                       [gone = std::shared_ptr<Call>(std::move(self))] {});
  }

  ResultReleases& owner_;
  RelayCallId id_;
  TimerId timer_;
};

ResultReleases::ResultReleases(EventLoop& loop,
                               RelayClient& client,
                               const Translator& translator)
    : loop_(loop), client_(client), translator_(translator) {
  timer_ = loop_.Every(kTick, [this] { Flush(); });
}

ResultReleases::~ResultReleases() {
  loop_.Cancel(timer_);
}

void ResultReleases::Release(std::vector<std::string> results) {
  for (std::string& result : results) {
    const auto holder = translator_.HolderOf(result);
    if (!holder) {
      LogEvent("result_unreadable", LogLevel::kWarning).Field("result", result);
      continue;
    }
    waiting_[*holder].push_back(std::move(result));
  }
}

void ResultReleases::Flush() {
  for (auto& [server, results] : std::exchange(waiting_, {})) {
    Send(server, std::move(results));
  }
}

void ResultReleases::Send(const Endpoint& server,
                          std::vector<std::string> results) {
  if (results.size() > kMostInCall) {
    results.resize(kMostInCall);
  }
  RelayCall call;
  call.endpoint = server;
  call.message = translator_.ReleaseMessage(server, results);
  auto sent = std::make_unique<Call>(*this, std::move(call));
  const Call* key = sent.get();
  calls_.emplace(key, std::move(sent));
}

}  // namespace gentianroute::gateway
