#include "gentianroute/loop/relay_server.h"

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "gentianroute/admission/body_queue.h"
#include "gentianroute/loop/stream_socket.h"

namespace gentianroute {
namespace {

namespace intrusive = boost::intrusive;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;

/// How long input is read and discarded after the last response of a
/// connection. Closing a socket with unread input resets the connection, and
/// the reset can overtake the response. Much longer than a round trip.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// How long a connection waits for its next request once no new ones are
/// accepted. A client that wasn't told of the close sends its next request at
/// once; closing then would cross that request.
constexpr Duration kIdleTimeoutWhenStopping = std::chrono::milliseconds(250);
/// Input of pipelined requests that is read while another one is answered.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/// How often bodies that wait for memory are looked at.
constexpr Duration kBodyQueuePeriod = std::chrono::milliseconds(10);
/// What a chunked body, whose length isn't known, has room for at first, and
/// once it has outgrown that. After that it may become the longest.
constexpr std::size_t kFirstChunkedBytes =
    admission::MemoryAccount::kSmallBytes;
constexpr std::size_t kSecondChunkedBytes = 256 * 1024;

}  // namespace

class RelayServer::Impl {
 public:
  Impl(EventLoop& loop, Options options, Handler handler)
      : loop_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)) {
    if (options_.account != nullptr) {
      body_queue_.emplace(*options_.account);
    }
    listener_ =
        loop_.Listen(options_.address, options_.port,
                     [this](st_h2o_socket_t* socket) { Accept(socket); });
    port_ = listener_->port();
  }
  ~Impl() {
    while (!connections_.empty()) {
      connections_.front().Close();
    }
    DeleteClosed();
    loop_.Cancel(deletion_timer_);
    loop_.Cancel(body_queue_timer_);
  }

  class Connection;

  class Exchange final : public RelayExchange {
   public:
    /// @param account charged for the body; null if none is kept
    Exchange(Connection& connection,
             MessageHead head,
             TimePoint start_time,
             admission::MemoryAccount* account)
        : connection_(&connection) {
      head_ = std::move(head);
      start_time_ = start_time;
      if (account != nullptr) {
        body_->ChargeTo(*account, admission::HeldKind::kRequestBody);
      }
    }
    void Respond(int status,
                 const HttpHeaders& fields,
                 std::string_view body) override;
    void Begin(int status, const HttpHeaders& fields) override;
    void Write(std::string_view part) override;
    void End() override;
    void Abort() override;

    void Detach() { connection_ = nullptr; }
    void NotifyDisconnect() {
      if (auto callback = std::exchange(on_disconnect_, nullptr)) {
        callback();
      }
    }
    void ClearOnDisconnect() { on_disconnect_ = nullptr; }

   private:
    Connection* connection_;
  };

  class Connection final : public intrusive::list_base_hook<>,
                           public StreamSocket::Observer,
                           public admission::BodyQueue::Reader {
   public:
    Connection(Impl& server, st_h2o_socket_t* socket)
        : server_(server),
          parser_(MessageParser::Kind::kRequest, {}),
          socket_(std::make_unique<StreamSocket>(socket, *this)) {
      if (server.options_.account != nullptr) {
        input_share_.emplace(*server.options_.account,
                             admission::HeldKind::kInput);
        unsent_share_.emplace(*server.options_.account,
                              admission::HeldKind::kUnsentAnswer);
      }
      WaitForRequest();
    }

    std::size_t unsent_bytes() const { return socket_->unsent_bytes(); }
    /// Whether the client is owed anything: the response to a request of which
    /// a part has arrived, or the rest of a response.
    bool busy() const {
      return exchange_ != nullptr || request_started_ || unsent_bytes() > 0;
    }
    bool has_incomplete_request() const { return request_started_; }

    /// Closes the connection soon unless another request arrives.
    void LimitIdleTime(TimePoint now) {
      if (!busy() && !lingering_) {
        const TimePoint closes_at = idle_since_ + kIdleTimeoutWhenStopping;
        RestartTimer(std::max(closes_at - now, Duration{0}));
      }
    }

    /// Sends an error and closes the connection, since it is unknown where the
    /// next request would begin.
    void Reject(int status) {
      admission::BodyQueue::Remove(*this);
      waits_for_memory_ = false;
      incoming_ = nullptr;
      SendResponse(status, {}, "");
    }

    void Close() {
      if (std::exchange(closed_, true)) {
        return;
      }
      server_.loop_.Cancel(timer_);
      socket_.reset();
      admission::BodyQueue::Remove(*this);
      incoming_ = nullptr;
      Charge();
      if (exchange_ != nullptr) {
        exchange_->Detach();
        auto exchange = std::exchange(exchange_, nullptr);
        exchange->NotifyDisconnect();
      }
      server_.Remove(*this);
    }

    void OnData(std::string_view data) override {
      if (lingering_) {
        return;
      }
      parser_.Feed(data);
      if (server_.body_queue_) {
        server_.body_queue_->OnProgress(server_.loop_.Now(), *this);
      }
      ProcessInput();
      if (exchange_ != nullptr &&
          parser_.buffered_bytes() > kMaxPipelinedBytes) {
        socket_->PauseReading();
      }
      Charge();
    }
    void OnDrained() override {
      Charge();
      if (lingering_) {
        socket_->ShutdownWrite();
      } else if (!busy()) {
        StartIdleTimer();
      }
    }
    void OnEnd(StreamEnd /*end*/) override { Close(); }

    void OnRoom() override {
      waits_for_memory_ = false;
      BeginReadingBody();
      socket_->ResumeReading();
      ProcessInput();
      Charge();
    }
    void OnNoRoom() override {
      waits_for_memory_ = false;
      RefuseBody();
    }

    void SendResponse(int status,
                      const HttpHeaders& fields,
                      std::string_view body) {
      const bool close = ShouldClose();
      std::string text = SerialiseResponseHead(
          status, fields, BodyFraming::kLength, body.size(), close);
      if (exchange_ == nullptr || exchange_->head().method != "HEAD") {
        text += body;
      }
      socket_->WriteOwned(std::move(text));
      Charge();
      FinishResponse(close);
    }
    void SendHead(int status, const HttpHeaders& fields) {
      // HTTP/1.0 has no chunked coding, so the end of the connection ends the
      // body.
      chunked_ = !exchange_->head().version_1_0;
      close_after_ = ShouldClose() || !chunked_;
      socket_->Write(SerialiseResponseHead(
          status, fields, chunked_ ? BodyFraming::kChunked : BodyFraming::kNone,
          0, close_after_));
    }
    void SendPart(std::string_view part) {
      if (part.empty()) {
        return;
      }
      socket_->Write(chunked_ ? SerialiseChunk(part) : std::string(part));
      Charge();
      if (socket_->unsent_bytes() > kMaxUnsentBytes) {
        Abort();
      }
    }
    void SendEnd() {
      if (chunked_) {
        socket_->Write(kLastChunk);
      }
      FinishResponse(close_after_);
    }
    /// Closes the connection before the end of a response.
    void Abort() {
      if (!chunked_) {
        socket_->ResetOnClose();
      }
      Close();
    }

   private:
    /// A pipelined request that has been read is answered before the
    /// connection closes: its client may not repeat it.
    bool ShouldClose() const {
      return exchange_ == nullptr || exchange_->lacks_body() ||
             !exchange_->head().keep_alive ||
             (server_.closing_ && !parser_.has_next());
    }

    /// Parses input up to the end of the current request; pipelined requests
    /// stay buffered.
    ///
    /// A response that is sent during this call, by the handler of a request,
    /// doesn't recurse for the next request: a client may send thousands at
    /// once, which would use up the stack.
    void ProcessInput() {
      if (std::exchange(processing_, true)) {
        return;
      }
      while (CanParse() && ProcessEvent()) {
      }
      processing_ = false;
    }

    bool CanParse() const {
      return !closed_ && !lingering_ && exchange_ == nullptr &&
             !waits_for_memory_;
    }

    /// @return false if more input is needed
    bool ProcessEvent() {
      if (!request_started_ && parser_.started()) {
        BeginRequest();
      }
      return HandleEvent(parser_.Poll());
    }

    bool HandleEvent(MessageParser::Event event) {
      using Event = MessageParser::Event;
      switch (event) {
        case Event::kNeedMore:
          return false;
        case Event::kHead:
          incoming_ = new Exchange(*this, std::move(parser_.head()),
                                   start_time_, server_.options_.account);
          RestartTimer(server_.options_.limits().idle_timeout);
          BeginBody();
          return true;
        case Event::kBody:
          AppendPart();
          return true;
        case Event::kEnd:
          Dispatch();
          return true;
        case Event::kMalformed:
          Reject(kBadRequest);
          return false;
        case Event::kHeadTooLarge:
          Reject(kHeadTooLarge);
          return false;
        case Event::kBodyTooLarge:
          Reject(kContentTooLarge);
          return false;
      }
      return false;
    }

    void BeginBody() {
      const auto length = parser_.content_length();
      if (length && *length > server_.options_.limits().body_bytes) {
        return;  // the parser rejects it
      }
      body_bytes_ = length.value_or(kFirstChunkedBytes);
      if (server_.body_queue_) {
        AskForMemory();
      } else {
        BeginReadingBody();
      }
    }

    /// Asks for room for `body_bytes_` before they are read.
    void AskForMemory() {
      using Verdict = admission::BodyQueue::Verdict;
      SharedBody& body = *incoming_->shared_body();
      switch (server_.body_queue_->Add(server_.loop_.Now(), *this,
                                       *body.share(), body_bytes_)) {
        case Verdict::kRead:
          BeginReadingBody();
          return;
        case Verdict::kWait:
          waits_for_memory_ = true;
          socket_->PauseReading();
          server_.StartBodyQueueTimer();
          return;
        case Verdict::kRefuse:
          RefuseBody();
          return;
      }
    }

    void BeginReadingBody() {
      SharedBody& body = *incoming_->shared_body();
      if (parser_.content_length() || body_bytes_ > kFirstChunkedBytes) {
        body.Reserve(body_bytes_);
      }
      if (!parser_.body().empty()) {
        body.Append(parser_.body());  // the part that had no room
      } else if (incoming_->head().expects_continue) {
        socket_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }

    /// Appends the part that the parser has, once there is room for it.
    void AppendPart() {
      const std::size_t bytes =
          incoming_->body().size() + parser_.body().size();
      if (bytes > body_bytes_ && server_.body_queue_) {
        body_bytes_ = LongerBody(bytes);
        AskForMemory();
      } else {
        incoming_->shared_body()->Append(parser_.body());
      }
    }

    /// How long a chunked body may become that has outgrown its room.
    std::size_t LongerBody(std::size_t bytes) const {
      if (bytes <= kSecondChunkedBytes) {
        return kSecondChunkedBytes;
      }
      const std::size_t most = server_.options_.account->request_watermark();
      return std::min(server_.options_.limits().body_bytes,
                      std::max(most, bytes));
    }

    /// Has the request refused by the handler, which knows how.
    void RefuseBody() {
      socket_->ResumeReading();
      incoming_->DropBody();
      Dispatch();
    }

    /// Tells the account what is held for this connection.
    void Charge() {
      if (unsent_share_) {
        input_share_->Set(closed_ ? 0 : parser_.buffered_bytes());
        unsent_share_->Set(closed_ ? 0 : unsent_bytes());
      }
    }

    void BeginRequest() {
      request_started_ = true;
      start_time_ = server_.loop_.Now();
      RestartTimer(server_.options_.limits().head_timeout);
    }

    void Dispatch() {
      server_.loop_.Cancel(timer_);
      admission::BodyQueue::Remove(*this);
      incoming_->shared_body()->ChargeSize();
      exchange_ = std::move(incoming_);
      request_started_ = false;
      // Keeps the exchange alive during the call: the handler may respond at
      // once, which releases exchange_.
      const RelayExchangePtr exchange = exchange_;
      server_.handler_(exchange);
    }

    void FinishResponse(bool close) {
      socket_->ResumeReading();
      if (exchange_ != nullptr) {
        exchange_->ClearOnDisconnect();
        exchange_->Detach();
        exchange_ = nullptr;
      }
      if (close) {
        Linger();
        return;
      }
      WaitForRequest();
      ProcessInput();
    }

    void WaitForRequest() {
      const CallerLimits limits = server_.options_.limits();
      parser_.StartNext({limits.head_bytes, limits.body_bytes});
      request_started_ = false;
      StartIdleTimer();
    }

    void StartIdleTimer() {
      idle_since_ = server_.loop_.Now();
      RestartTimer(server_.listener_ == nullptr
                       ? kIdleTimeoutWhenStopping
                       : server_.options_.limits().idle_timeout);
    }

    void Linger() {
      lingering_ = true;
      request_started_ = false;
      if (socket_->unsent_bytes() == 0) {
        socket_->ShutdownWrite();
      }
      server_.loop_.Cancel(timer_);
      timer_ =
          server_.loop_.After(kLingerTimeout, [this] { OnLingerTimeout(); });
    }
    void OnLingerTimeout() {
      if (socket_->unsent_bytes() > 0) {
        // A slow client may still receive its response. The TCP user timeout
        // closes the connection of a client that receives nothing.
        timer_ =
            server_.loop_.After(kLingerTimeout, [this] { OnLingerTimeout(); });
        return;
      }
      Close();
    }

    void RestartTimer(Duration limit) {
      server_.loop_.Cancel(timer_);
      timer_ = server_.loop_.After(limit, [this] { OnTimeout(); });
    }
    void OnTimeout() {
      if (request_started_) {
        Reject(kRequestTimeout);
        return;
      }
      // A slow client still receives its response; OnDrained() restarts the
      // timer.
      if (!busy()) {
        Close();
      }
    }

    Impl& server_;
    MessageParser parser_;
    std::unique_ptr<StreamSocket> socket_;
    TimerId timer_;
    boost::intrusive_ptr<Exchange> incoming_;
    boost::intrusive_ptr<Exchange> exchange_;
    TimePoint start_time_{};
    TimePoint idle_since_{};   ///< valid unless busy()
    bool processing_ = false;  ///< in ProcessInput()
    bool request_started_ = false;
    bool chunked_ = false;
    bool close_after_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    bool waits_for_memory_ = false;  ///< to read the body of `incoming_`
    std::size_t body_bytes_ = 0;     ///< that `incoming_` has room for
    std::optional<admission::MemoryAccount::Share> input_share_;
    std::optional<admission::MemoryAccount::Share> unsent_share_;
  };

  void Accept(st_h2o_socket_t* socket) {
    auto* connection = new Connection(*this, socket);
    connections_.push_back(*connection);
  }

  /// Deletes the connection in the next loop iteration, since one of its
  /// functions may still be running.
  void Remove(Connection& connection) {
    connections_.erase(connections_.iterator_to(connection));
    if (closed_connections_.empty()) {
      deletion_timer_ = loop_.After(Duration{0}, [this] { DeleteClosed(); });
    }
    closed_connections_.emplace_back(&connection);
  }
  void DeleteClosed() { closed_connections_.clear(); }

  void StartBodyQueueTimer() {
    if (std::exchange(body_queue_timer_running_, true)) {
      return;
    }
    body_queue_timer_ = loop_.After(kBodyQueuePeriod, [this] {
      body_queue_timer_running_ = false;
      body_queue_->Run(loop_.Now());
      if (body_queue_->has_waiting()) {
        StartBodyQueueTimer();
      }
    });
  }

  void StopAccepting() {
    listener_.reset();
    closing_ = true;
    const TimePoint now = loop_.Now();
    for (Connection& connection : connections_) {
      connection.LimitIdleTime(now);
    }
  }

  void RejectIncomplete(int status) {
    for (Connection& connection : connections_) {
      if (connection.has_incomplete_request()) {
        connection.Reject(status);
      }
    }
  }

  std::size_t unsent_bytes() const {
    std::size_t bytes = 0;
    for (const Connection& connection : connections_) {
      bytes += connection.unsent_bytes();
    }
    return bytes;
  }

  std::size_t LimitUnsentBytes(std::size_t max_bytes) {
    std::size_t unsent = unsent_bytes();
    if (unsent <= max_bytes) {
      return 0;
    }
    std::vector<Connection*> largest_first;
    for (Connection& connection : connections_) {
      largest_first.push_back(&connection);
    }
    std::sort(largest_first.begin(), largest_first.end(),
              [](const Connection* a, const Connection* b) {
                return a->unsent_bytes() > b->unsent_bytes();
              });
    std::size_t closed = 0;
    while (unsent > max_bytes) {
      Connection& largest = *largest_first[closed++];
      unsent -= largest.unsent_bytes();
      largest.Close();
    }
    return closed;
  }

  std::size_t active_requests() const {
    std::size_t count = 0;
    for (const Connection& connection : connections_) {
      count += connection.busy() ? 1 : 0;
    }
    return count;
  }

  EventLoop& loop_;
  Options options_;
  Handler handler_;
  std::unique_ptr<EventLoop::Listener> listener_;
  std::uint16_t port_ = 0;
  bool closing_ = false;
  intrusive::list<Connection> connections_;
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  TimerId deletion_timer_;
  std::optional<admission::BodyQueue> body_queue_;
  TimerId body_queue_timer_;
  bool body_queue_timer_running_ = false;
};

void RelayServer::Impl::Exchange::Respond(int status,
                                          const HttpHeaders& fields,
                                          std::string_view body) {
  if (connection_ != nullptr) {
    connection_->SendResponse(status, fields, body);
  }
}
void RelayServer::Impl::Exchange::Begin(int status, const HttpHeaders& fields) {
  if (connection_ != nullptr) {
    connection_->SendHead(status, fields);
  }
}
void RelayServer::Impl::Exchange::Write(std::string_view part) {
  if (connection_ != nullptr) {
    connection_->SendPart(part);
  }
}
void RelayServer::Impl::Exchange::End() {
  if (connection_ != nullptr) {
    connection_->SendEnd();
  }
}
void RelayServer::Impl::Exchange::Abort() {
  ClearOnDisconnect();
  if (connection_ != nullptr) {
    connection_->Abort();
  }
}

RelayServer::RelayServer(EventLoop& loop, Options options, Handler handler)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(options),
                                   std::move(handler))) {}
RelayServer::~RelayServer() = default;
std::uint16_t RelayServer::port() const {
  return impl_->port_;
}
std::size_t RelayServer::connections() const {
  return impl_->connections_.size();
}
std::size_t RelayServer::active_requests() const {
  return impl_->active_requests();
}
std::size_t RelayServer::unsent_bytes() const {
  return impl_->unsent_bytes();
}
std::size_t RelayServer::LimitUnsentBytes(std::size_t max_bytes) {
  return impl_->LimitUnsentBytes(max_bytes);
}
std::uint64_t RelayServer::bodies_waited() const {
  return impl_->body_queue_ ? impl_->body_queue_->waited() : 0;
}
std::uint64_t RelayServer::bodies_refused() const {
  return impl_->body_queue_ ? impl_->body_queue_->refused() : 0;
}
void RelayServer::AnnounceClose() {
  impl_->closing_ = true;
}
void RelayServer::StopAccepting() {
  impl_->StopAccepting();
}
void RelayServer::RejectIncomplete(int status) {
  impl_->RejectIncomplete(status);
}

}  // namespace gentianroute
