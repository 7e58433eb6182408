#include "gentianroute/loop/relay_client.h"

#include <algorithm>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianroute/base/number.h"
#include "gentianroute/loop/stream_socket.h"

namespace gentianroute {
namespace {

/// A silent far end must not hold a new connection for long: a working one
/// stands within one round trip, at most 80 ms between regions.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(900);
/// Idle connections are closed after this, well before servers do.
constexpr Duration kMaxIdle = std::chrono::seconds(10);
/// Kept from a server's own stated idle time: its close must not cross a call.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr int kFirstFinalStatus = 200;

/// The time that a server keeps an idle connection, if its answer says so.
Duration StatedIdle(const HttpHeaders& fields) {
  const std::string* keep_alive = FindField(fields, "keep-alive");
  constexpr std::string_view kParameter = "timeout=";
  if (keep_alive == nullptr) {
    return kMaxIdle;
  }
  const std::size_t at = keep_alive->find(kParameter);
  if (at == std::string::npos) {
    return kMaxIdle;
  }
  const std::string_view value =
      std::string_view(*keep_alive).substr(at + kParameter.size());
  return std::chrono::seconds(ParseLeadingNumber(value)) - kIdleMargin;
}

}  // namespace

class RelayClient::Impl {
 public:
  explicit Impl(EventLoop& loop) : loop_(loop) {
    sweep_ = loop_.Every(kSweepPeriod, [this] { Sweep(); });
  }
  ~Impl() {
    loop_.Cancel(sweep_);
    loop_.Cancel(burial_);
    calls_.clear();
    connections_.clear();
    dead_.clear();
  }

  class Connection final : public StreamSocket::Observer {
   public:
    Connection(Impl& client, Endpoint endpoint)
        : client_(client),
          endpoint_(std::move(endpoint)),
          parser_(MessageParser::Kind::kAnswer, {}),
          socket_(std::make_unique<StreamSocket>(client.loop_,
                                                 endpoint_.address,
                                                 endpoint_.port,
                                                 *this)) {
      timer_ = client_.loop_.After(kConnectTimeout, [this] { Fail(); });
    }
    ~Connection() override { client_.loop_.Cancel(timer_); }

    void Start(RelayCallId id, RelayCall call, RelayCallObserver& observer) {
      id_ = id;
      observer_ = &observer;
      is_ours_ = std::move(call.is_ours);
      no_body_ = call.answer_has_no_body;
      keep_ = call.keep;
      head_told_ = false;
      socket_->Write(call.message);
    }

    const Endpoint& endpoint() const { return endpoint_; }
    bool idle() const { return observer_ == nullptr; }
    bool IsFresh(TimePoint now, Duration limit) const {
      return idle() && now - idle_since_ < std::min(limit, idle_limit_);
    }

    /// Leaves the client; nothing more is heard.
    void Retire() {
      if (std::exchange(retired_, true)) {
        return;
      }
      client_.loop_.Cancel(timer_);
      socket_.reset();
      observer_ = nullptr;
      client_.Remove(*this, id_);
    }

    void OnConnected() override { client_.loop_.Cancel(timer_); }
    void OnData(std::string_view data) override {
      if (idle()) {
        // Bytes that nobody asked for: whatever follows belongs to no call.
        Retire();
        return;
      }
      parser_.Feed(data);
      Advance();
    }
    void OnEnd(StreamEnd end) override {
      if (idle()) {
        Retire();
        return;
      }
      if (end == StreamEnd::kClosed && head_told_) {
        ended_ = true;
        parser_.FeedEnd();
        Advance();
      }
      if (!retired_) {
        Fail();
      }
    }

   private:
    void Advance() {
      while (!retired_ && !idle()) {
        const MessageParser::Event event = parser_.Poll();
        if (event == MessageParser::Event::kNeedMore) {
          return;
        }
        Step(event);
      }
    }

    void Step(MessageParser::Event event) {
      using Event = MessageParser::Event;
      switch (event) {
        case Event::kHead:
          OnHead();
          return;
        case Event::kBody:
          if (!stray_) {
            observer_->OnBody(parser_.body());
          }
          return;
        case Event::kEnd:
          OnMessageEnd();
          return;
        default:
          End(ended_ ? RelayFailure::kTruncated : RelayFailure::kMalformed);
      }
    }

    void OnHead() {
      MessageHead& head = parser_.head();
      keep_alive_ = head.keep_alive;
      stray_ = head.status < kFirstFinalStatus || (is_ours_ && !is_ours_(head));
      if (stray_) {
        return;
      }
      head_told_ = true;
      idle_limit_ = StatedIdle(head.fields);
      observer_->OnHead(std::move(head));
      if (no_body_ && !retired_) {
        OnMessageEnd();
      }
    }

    void OnMessageEnd() {
      parser_.Next({});
      if (stray_) {
        stray_ = false;
        return;
      }
      RelayCallObserver* observer = std::exchange(observer_, nullptr);
      client_.Forget(std::exchange(id_, {}));
      idle_since_ = client_.loop_.Now();
      // A body that the server has not read yet, or bytes after the answer:
      // the next call on this connection would meet them.
      const bool clean = socket_->pending() == 0 && !parser_.begun();
      if (!keep_ || !keep_alive_ || !clean || no_body_) {
        Retire();
      }
      observer->OnDone();
    }

    void Fail() {
      if (idle()) {
        Retire();
        return;
      }
      if (!socket_->connected()) {
        End(RelayFailure::kNotSent);
        return;
      }
      End(head_told_ ? RelayFailure::kTruncated : RelayFailure::kReset);
    }
    void End(RelayFailure failure) {
      RelayCallObserver* observer = observer_;
      Retire();
      observer->OnFailure(failure);
    }

    Impl& client_;
    Endpoint endpoint_;
    MessageParser parser_;
    std::unique_ptr<StreamSocket> socket_;
    TimerId timer_;
    RelayCallId id_;
    RelayCallObserver* observer_ = nullptr;
    std::function<bool(const MessageHead&)> is_ours_;
    bool no_body_ = false;
    bool keep_ = true;
    bool head_told_ = false;
    bool stray_ = false;
    bool keep_alive_ = true;
    bool retired_ = false;
    bool ended_ = false;  ///< the server has closed in order
    TimePoint idle_since_{};
    Duration idle_limit_ = kMaxIdle;
  };

  RelayCallId Call(RelayCall call, RelayCallObserver& observer) {
    const RelayCallId id{++last_call_};
    Connection& connection = ConnectionFor(call);
    calls_[id] = &connection;
    connection.Start(id, std::move(call), observer);
    return id;
  }

  void Cancel(RelayCallId call) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->Retire();
    }
  }

  std::size_t connections(const Endpoint& endpoint) const {
    const auto found = connections_.find(endpoint);
    return found == connections_.end() ? 0 : found->second.size();
  }
  std::uint64_t opened() const { return opened_; }

 private:
  using Line = std::list<std::unique_ptr<Connection>>;

  Connection& ConnectionFor(const RelayCall& call) {
    const TimePoint now = loop_.Now();
    Line& line = connections_[call.endpoint];
    // The one used last first: the others run into their idle limit.
    for (auto at = line.rbegin(); at != line.rend(); ++at) {
      if ((*at)->IsFresh(now, call.reuse_within)) {
        return **at;
      }
    }
    ++opened_;
    return *line.emplace_back(
        std::make_unique<Connection>(*this, call.endpoint));
  }

  void Forget(RelayCallId call) { calls_.erase(call); }

  void Remove(Connection& connection, RelayCallId call) {
    calls_.erase(call);
    Line& line = connections_[connection.endpoint()];
    const auto found = std::find_if(
        line.begin(), line.end(),
        [&](const auto& candidate) { return candidate.get() == &connection; });
    if (dead_.empty()) {
      burial_ = loop_.After(Duration{0}, [this] { dead_.clear(); });
    }
    dead_.push_back(std::move(*found));
    line.erase(found);
  }

  void Sweep() {
    const TimePoint now = loop_.Now();
    std::vector<Connection*> old;
    for (const auto& [endpoint, line] : connections_) {
      for (const auto& connection : line) {
        if (connection->idle() && !connection->IsFresh(now, kMaxIdle)) {
          old.push_back(connection.get());
        }
      }
    }
    for (Connection* connection : old) {
      connection->Retire();
    }
    std::erase_if(connections_,
                  [](const auto& entry) { return entry.second.empty(); });
  }

  EventLoop& loop_;
  std::map<Endpoint, Line> connections_;
  std::unordered_map<RelayCallId, Connection*> calls_;
  Line dead_;
  std::uint64_t last_call_ = 0;
  std::uint64_t opened_ = 0;
  TimerId sweep_;
  TimerId burial_;
};

RelayClient::RelayClient(EventLoop& loop)
    : impl_(std::make_unique<Impl>(loop)) {}
RelayClient::~RelayClient() = default;

RelayCallId RelayClient::Call(RelayCall call, RelayCallObserver& observer) {
  return impl_->Call(std::move(call), observer);
}
void RelayClient::Cancel(RelayCallId call) {
  impl_->Cancel(call);
}
std::size_t RelayClient::connections(const Endpoint& endpoint) const {
  return impl_->connections(endpoint);
}
std::uint64_t RelayClient::opened() const {
  return impl_->opened();
}

}  // namespace gentianroute
