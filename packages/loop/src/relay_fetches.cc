#include "gentianroute/loop/relay_fetches.h"

#include <utility>

namespace gentianroute {

class RelayFetches::Fetch final : public RelayCallObserver {
 public:
  Fetch(RelayFetches& owner, RelayCall call, Duration time_limit, Done done)
      : owner_(owner), done_(std::move(done)) {
    timer_ = owner_.loop_.After(time_limit, [this] { Finish(); });
    id_ = owner_.client_.Call(std::move(call), *this);
  }
  ~Fetch() override {
    owner_.loop_.Cancel(timer_);
    owner_.client_.Cancel(id_);
  }

  void OnHead(MessageHead head) override { result_.head = std::move(head); }
  void OnBody(std::string_view part) override { result_.body.append(part); }
  void OnDone() override {
    result_.complete = true;
    Finish();
  }
  void OnFailure(RelayFailure failure) override {
    result_.failure = failure;
    Finish();
  }

 private:
  /// Destroys this object, which closes the connection of an unfinished call,
  /// before it calls `done`.
  void Finish() {
    const Done done = std::move(done_);
    RelayFetchResult result = std::move(result_);
    owner_.running_.erase(this);
    done(std::move(result));
  }

  RelayFetches& owner_;
  Done done_;
  RelayCallId id_;
  TimerId timer_;
  RelayFetchResult result_;
};

RelayFetches::RelayFetches(EventLoop& loop, RelayClient& client)
    : loop_(loop), client_(client) {}
RelayFetches::~RelayFetches() = default;

void RelayFetches::Start(RelayCall call, Duration time_limit, Done done) {
  auto fetch = std::make_unique<Fetch>(*this, std::move(call), time_limit,
                                       std::move(done));
  const Fetch* key = fetch.get();
  running_.emplace(key, std::move(fetch));
}

}  // namespace gentianroute
