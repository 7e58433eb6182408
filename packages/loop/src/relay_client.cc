#include "gentianroute/loop/relay_client.h"

#include <algorithm>
#include <list>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "gentianroute/base/number.h"
#include "gentianroute/loop/stream_socket.h"

namespace gentianroute {
namespace {

/// Limits the wait for an unreachable server. A reachable one accepts within
/// one round trip, at most 80 ms between regions.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(900);
/// Idle connections are closed after this time, well before servers close them.
constexpr Duration kMaxIdle = std::chrono::seconds(10);
/// Subtracted from a server's keep-alive timeout, so that the server doesn't
/// close a connection while a request is on its way.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr int kFirstFinalStatus = 200;
/// Requests with an id that a connection carries. Bounds the memory for their
/// ids.
constexpr std::size_t kMaxCarriedIds = 1024;

/// How long a connection may stay idle after a response before it is no longer
/// reused: the `timeout` parameter of its `Keep-Alive` field minus a margin.
/// @return kMaxIdle if the response has no such parameter
Duration KeepAliveTimeout(const HttpHeaders& fields) {
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
  return std::chrono::seconds(ParseLeadingNumber(value)) - kKeepAliveMargin;
}

}  // namespace

class RelayClient::Impl {
 public:
  Impl(EventLoop& loop, Redirect redirect)
      : loop_(loop), redirect_(std::move(redirect)) {
    sweep_timer_ = loop_.Every(kSweepPeriod, [this] { CloseExpired(); });
  }
  ~Impl() {
    loop_.Cancel(sweep_timer_);
    loop_.Cancel(deletion_timer_);
    probes_.clear();
    calls_.clear();
    connections_.clear();
    closed_connections_.clear();
  }

  class Connection final : public StreamSocket::Observer {
   public:
    Connection(Impl& client, Endpoint endpoint)
        : client_(client),
          endpoint_(std::move(endpoint)),
          parser_(MessageParser::Kind::kResponse, {}),
          socket_(client.Connect(endpoint_, *this)) {
      timer_ = client_.loop_.After(kConnectTimeout, [this] { Fail(); });
    }
    ~Connection() override { client_.loop_.Cancel(timer_); }

    void Start(RelayCallId id, RelayCall call, RelayCallObserver& observer) {
      id_ = id;
      observer_ = &observer;
      matches_response_ = std::move(call.matches_response);
      ++calls_;
      response_has_no_body_ = call.response_has_no_body;
      keep_connection_ = call.keep_connection;
      if (!call.request_id.empty()) {
        carried_ids_.insert(std::move(call.request_id));
      }
      head_received_ = false;
      bytes_before_head_ = 0;
      limits_.body_bytes = call.max_body_bytes;
      parser_.StartNext(limits_);
      if (socket_->connected()) {
        observer.OnConnected();  // can't cancel the call, whose id is unknown
      }
      socket_->WriteOwned(std::move(call.message), std::move(call.body));
    }

    const Endpoint& endpoint() const { return endpoint_; }
    bool idle() const { return observer_ == nullptr; }
    bool CanReuse(TimePoint now, Duration limit) const {
      return idle() && now - idle_since_ < std::min(limit, idle_limit_) &&
             carried_ids_.size() < kMaxCarriedIds;
    }
    bool HasCarried(const std::string& request_id) const {
      return carried_ids_.contains(request_id);
    }

    /// Closes the connection as soon as no call uses it.
    void Discard() {
      keep_connection_ = false;
      if (idle()) {
        Close();
      }
    }

    /// Closes the connection without notifying the observer of a call.
    void Close() {
      if (std::exchange(closed_, true)) {
        return;
      }
      client_.loop_.Cancel(timer_);
      socket_.reset();
      observer_ = nullptr;
      client_.Remove(*this, id_);
    }

    void OnConnected() override {
      client_.loop_.Cancel(timer_);
      observer_->OnConnected();
    }
    void OnData(std::string_view data) override {
      if (idle()) {
        // Unsolicited data; a later response could not be assigned to its call.
        Close();
        return;
      }
      bytes_before_head_ += head_received_ ? 0 : data.size();
      if (bytes_before_head_ > limits_.head_bytes + limits_.body_bytes) {
        // Interim answers, or an answer to an earlier call, without end.
        End(RelayFailure::kMalformed);
        return;
      }
      parser_.Feed(data);
      ProcessInput();
    }
    void OnEnd(StreamEnd end) override {
      if (idle()) {
        Close();
        return;
      }
      if (end == StreamEnd::kClosed && head_received_) {
        closed_by_server_ = true;
        parser_.FeedEof();
        ProcessInput();
      }
      if (!closed_) {
        Fail();
      }
    }

   private:
    ConnectionUse use() const {
      return calls_ > 1 ? ConnectionUse::kReused : ConnectionUse::kFirst;
    }

    void ProcessInput() {
      while (!closed_ && !idle()) {
        const MessageParser::Event event = parser_.Poll();
        if (event == MessageParser::Event::kNeedMore) {
          return;
        }
        HandleEvent(event);
      }
    }

    void HandleEvent(MessageParser::Event event) {
      using Event = MessageParser::Event;
      switch (event) {
        case Event::kHead:
          OnHead();
          return;
        case Event::kBody:
          if (!skip_response_) {
            observer_->OnBody(parser_.body());
          }
          return;
        case Event::kEnd:
          OnMessageEnd();
          return;
        default:
          End(closed_by_server_ ? RelayFailure::kTruncated
                                : RelayFailure::kMalformed);
      }
    }

    void OnHead() {
      MessageHead& head = parser_.head();
      keep_alive_ = head.keep_alive;
      skip_response_ = head.status < kFirstFinalStatus ||
                       (matches_response_ && !matches_response_(head, use()));
      if (skip_response_) {
        return;
      }
      head_received_ = true;
      idle_limit_ = KeepAliveTimeout(head.fields);
      observer_->OnHead(std::move(head));
      if (response_has_no_body_ && !closed_) {
        OnMessageEnd();
      }
    }

    void OnMessageEnd() {
      parser_.StartNext(limits_);
      if (skip_response_) {
        skip_response_ = false;
        return;
      }
      RelayCallObserver* observer = std::exchange(observer_, nullptr);
      client_.EraseCall(std::exchange(id_, {}));
      idle_since_ = client_.loop_.Now();
      // An unsent part of the request or input after the response would
      // interfere with the next call on this connection.
      const bool clean = socket_->unsent_bytes() == 0 && !parser_.started();
      if (!keep_connection_ || !keep_alive_ || !clean ||
          response_has_no_body_) {
        Close();
      }
      observer->OnDone();
    }

    void Fail() {
      if (idle()) {
        Close();
        return;
      }
      if (!socket_->connected()) {
        End(RelayFailure::kNotSent);
        return;
      }
      End(head_received_ ? RelayFailure::kTruncated : RelayFailure::kReset);
    }
    void End(RelayFailure failure) {
      RelayCallObserver* observer = observer_;
      Close();
      observer->OnFailure(failure);
    }

    Impl& client_;
    Endpoint endpoint_;
    MessageParser parser_;
    std::unique_ptr<StreamSocket> socket_;
    TimerId timer_;
    RelayCallId id_;
    RelayCallObserver* observer_ = nullptr;
    std::function<bool(const MessageHead&, ConnectionUse)> matches_response_;
    std::size_t calls_ = 0;  ///< that have used the connection
    std::unordered_set<std::string> carried_ids_;  ///< of these
    bool response_has_no_body_ = false;
    bool keep_connection_ = true;
    bool head_received_ = false;
    bool skip_response_ = false;  ///< 1xx, or a response to an earlier call
    bool keep_alive_ = true;
    bool closed_ = false;
    bool closed_by_server_ = false;  ///< after an orderly close
    MessageParser::Limits limits_;
    std::size_t bytes_before_head_ = 0;  ///< since the call began
    TimePoint idle_since_{};
    Duration idle_limit_ = kMaxIdle;
  };

  std::unique_ptr<StreamSocket> Connect(const Endpoint& endpoint,
                                        StreamSocket::Observer& observer) {
    const Endpoint target = redirect_ ? redirect_(endpoint) : endpoint;
    return std::make_unique<StreamSocket>(loop_, target.address, target.port,
                                          observer);
  }

  /// A connection that is closed as soon as it is established.
  class ConnectionProbe final : public StreamSocket::Observer {
   public:
    using Done = std::function<void(bool connected)>;

    ConnectionProbe(Impl& client,
                    const Endpoint& endpoint,
                    Duration time_limit,
                    Done done)
        : client_(client),
          done_(std::move(done)),
          timer_(client.loop_.After(time_limit, [this] { Finish(false); })),
          socket_(client.Connect(endpoint, *this)) {}
    ~ConnectionProbe() override { client_.loop_.Cancel(timer_); }

    void OnConnected() override { Finish(true); }
    void OnData(std::string_view /*data*/) override {}
    void OnEnd(StreamEnd /*end*/) override { Finish(false); }

   private:
    /// Destroys this object.
    void Finish(bool connected) {
      const Done done = std::move(done_);
      client_.probes_.remove_if(
          [this](const auto& probe) { return probe.get() == this; });
      done(connected);
    }

    Impl& client_;
    Done done_;
    TimerId timer_;
    std::unique_ptr<StreamSocket> socket_;
  };

  void Probe(const Endpoint& endpoint,
             Duration time_limit,
             ConnectionProbe::Done done) {
    ++opened_;
    probes_.push_back(std::make_unique<ConnectionProbe>(
        *this, endpoint, time_limit, std::move(done)));
  }

  RelayCallId Call(RelayCall call, RelayCallObserver& observer) {
    const RelayCallId id{++last_call_id_};
    Connection& connection = ConnectionFor(call);
    calls_[id] = &connection;
    connection.Start(id, std::move(call), observer);
    return id;
  }

  void Cancel(RelayCallId call) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->Close();
    }
  }

  void DiscardConnections(const Endpoint& endpoint) {
    const auto found = connections_.find(endpoint);
    if (found == connections_.end()) {
      return;
    }
    // Close() removes a connection from the list.
    std::vector<Connection*> open;
    for (const auto& connection : found->second) {
      open.push_back(connection.get());
    }
    for (Connection* connection : open) {
      connection->Discard();
    }
  }

  std::size_t connections(const Endpoint& endpoint) const {
    const auto found = connections_.find(endpoint);
    return found == connections_.end() ? 0 : found->second.size();
  }
  std::uint64_t opened() const { return opened_; }

 private:
  using ConnectionList = std::list<std::unique_ptr<Connection>>;

  Connection& ConnectionFor(const RelayCall& call) {
    const TimePoint now = loop_.Now();
    ConnectionList& list = connections_[call.endpoint];
    // The most recently used first, so that surplus connections expire.
    for (auto at = list.rbegin(); at != list.rend(); ++at) {
      if ((*at)->CanReuse(now, call.max_idle) &&
          !(*at)->HasCarried(call.request_id)) {
        return **at;
      }
    }
    ++opened_;
    return *list.emplace_back(
        std::make_unique<Connection>(*this, call.endpoint));
  }

  void EraseCall(RelayCallId call) { calls_.erase(call); }

  void Remove(Connection& connection, RelayCallId call) {
    calls_.erase(call);
    ConnectionList& list = connections_[connection.endpoint()];
    const auto found = std::find_if(
        list.begin(), list.end(),
        [&](const auto& candidate) { return candidate.get() == &connection; });
    if (closed_connections_.empty()) {
      deletion_timer_ =
          loop_.After(Duration{0}, [this] { closed_connections_.clear(); });
    }
    closed_connections_.push_back(std::move(*found));
    list.erase(found);
  }

  void CloseExpired() {
    const TimePoint now = loop_.Now();
    std::vector<Connection*> expired;
    for (const auto& [endpoint, list] : connections_) {
      for (const auto& connection : list) {
        if (connection->idle() && !connection->CanReuse(now, kMaxIdle)) {
          expired.push_back(connection.get());
        }
      }
    }
    for (Connection* connection : expired) {
      connection->Close();
    }
    std::erase_if(connections_,
                  [](const auto& entry) { return entry.second.empty(); });
  }

  EventLoop& loop_;
  Redirect redirect_;
  std::map<Endpoint, ConnectionList> connections_;
  std::unordered_map<RelayCallId, Connection*> calls_;
  ConnectionList closed_connections_;
  std::list<std::unique_ptr<ConnectionProbe>> probes_;
  std::uint64_t last_call_id_ = 0;
  std::uint64_t opened_ = 0;
  TimerId sweep_timer_;
  TimerId deletion_timer_;
};

RelayClient::RelayClient(EventLoop& loop, Redirect redirect)
    : impl_(std::make_unique<Impl>(loop, std::move(redirect))) {}
RelayClient::~RelayClient() = default;

RelayCallId RelayClient::Call(RelayCall call, RelayCallObserver& observer) {
  return impl_->Call(std::move(call), observer);
}
void RelayClient::Cancel(RelayCallId call) {
  impl_->Cancel(call);
}
void RelayClient::Probe(const Endpoint& endpoint,
                        Duration time_limit,
                        std::function<void(bool connected)> done) {
  impl_->Probe(endpoint, time_limit, std::move(done));
}
void RelayClient::DiscardConnections(const Endpoint& endpoint) {
  impl_->DiscardConnections(endpoint);
}
std::size_t RelayClient::connections(const Endpoint& endpoint) const {
  return impl_->connections(endpoint);
}
std::uint64_t RelayClient::opened() const {
  return impl_->opened();
}

}  // namespace gentianroute
