#include "gentianroute/loop/relay_http_client.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <unordered_map>
#include <utility>

#include "gentianroute/loop/message_text.h"
#include "gentianroute/loop/relay_client.h"

namespace gentianroute {
namespace {

/// A response with a longer body fails.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024 * 1024;

std::string Serialise(const HttpCall& call) {
  HttpHeaders fields = {
      {"host", call.address + ":" + std::to_string(call.port)}};
  fields.insert(fields.end(), call.headers.begin(), call.headers.end());
  if (call.fresh_connection) {
    fields.push_back({"connection", "close"});
  }
  return SerialiseRequestHead(call.method, call.path, fields,
                              BodyFraming::kLength, call.body.size()) +
         call.body;
}

HttpHeaders WithLowerCaseNames(HttpHeaders headers) {
  for (HttpHeader& header : headers) {
    std::ranges::transform(
        header.name, header.name.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  }
  return headers;
}

}  // namespace

class RelayHttpClient::Impl {
 public:
  Impl(EventLoop& loop, Options options)
      : loop_(loop), options_(options), client_(loop) {}

  HttpCallId Call(const HttpCall& call,
                  std::unique_ptr<HttpCallObserver> observer) {
    const HttpCallId id{next_call_++};
    auto exchange = std::make_unique<Exchange>(*this, id, std::move(observer));
    Exchange& added = *exchange;
    exchanges_.emplace(id, std::move(exchange));
    added.Start(call);
    return id;
  }

  void Cancel(HttpCallId id) {
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && !found->second->CancelInCallback()) {
      exchanges_.erase(found);
    }
  }

  void DiscardIdleConnections(std::string_view address, std::uint16_t port) {
    client_.DiscardConnections({std::string(address), port});
  }

 private:
  class Exchange final : public RelayCallObserver {
   public:
    Exchange(Impl& owner,
             HttpCallId id,
             std::unique_ptr<HttpCallObserver> observer)
        : owner_(owner), id_(id), observer_(std::move(observer)) {}
    ~Exchange() override {
      owner_.loop_.Cancel(timer_);
      owner_.client_.Cancel(relay_call_);
    }

    void Start(const HttpCall& call) {
      RelayCall relay_call;
      relay_call.endpoint = {call.address, call.port};
      relay_call.message = Serialise(call);
      relay_call.response_has_no_body = call.method == "HEAD";
      relay_call.max_idle =
          call.fresh_connection ? Duration{0} : owner_.options_.max_idle;
      relay_call.keep_connection = !call.fresh_connection;
      relay_call.max_body_bytes = kMaxBodyBytes;
      RestartTimer();
      relay_call_ = owner_.client_.Call(std::move(relay_call), *this);
    }

    /// Lets the callback that is running end the exchange when it returns, as
    /// the observer must exist until then.
    /// @return false if none is running
    bool CancelInCallback() {
      cancelled_ = in_callback_;
      return in_callback_;
    }

    void OnConnected() override {
      Notify([this] { observer_->OnConnected(); });
    }
    void OnHead(MessageHead head) override {
      has_head_ = true;
      ends_with_connection_ = head.ends_with_connection;
      RestartTimer();
      Notify([&] {
        observer_->OnHead(head.status,
                          WithLowerCaseNames(std::move(head.fields)));
      });
    }
    void OnBody(std::string_view part) override {
      RestartTimer();
      Notify([&] { observer_->OnBody(part); });
    }
    void OnDone() override {
      if (ends_with_connection_) {
        Fail(HttpCallError::kTruncated,
             "response has neither a content length nor chunked coding");
        return;
      }
      TakeObserver()->OnDone();
    }
    void OnFailure(RelayFailure failure) override {
      switch (failure) {
        case RelayFailure::kNotSent:
          Fail(HttpCallError::kConnect, "no connection");
          return;
        case RelayFailure::kReset:
          Fail(HttpCallError::kReset, "connection lost before the response");
          return;
        case RelayFailure::kTruncated:
          Fail(HttpCallError::kTruncated, "connection lost in the response");
          return;
        case RelayFailure::kMalformed:
          Fail(ErrorAfterSending(), "the response is malformed");
          return;
      }
    }

   private:
    HttpCallError ErrorAfterSending() const {
      return has_head_ ? HttpCallError::kTruncated : HttpCallError::kReset;
    }
    void RestartTimer() {
      owner_.loop_.Cancel(timer_);
      timer_ = owner_.loop_.After(owner_.options_.io_timeout, [this] {
        Fail(ErrorAfterSending(), "no data in time");
      });
    }
    /// Destroys this object if the callback has cancelled the call.
    template <typename Callback>
    void Notify(const Callback& callback) {
      in_callback_ = true;
      callback();
      in_callback_ = false;
      if (cancelled_) {
        owner_.exchanges_.erase(id_);
      }
    }
    /// Destroys this object, so that the observer can't cancel an ended call.
    std::unique_ptr<HttpCallObserver> TakeObserver() {
      std::unique_ptr<HttpCallObserver> observer = std::move(observer_);
      owner_.exchanges_.erase(id_);
      return observer;
    }
    void Fail(HttpCallError error, std::string_view detail) {
      TakeObserver()->OnError(error, detail);
    }

    Impl& owner_;
    HttpCallId id_;
    std::unique_ptr<HttpCallObserver> observer_;
    RelayCallId relay_call_;
    TimerId timer_;  ///< of the time without data
    bool has_head_ = false;
    bool ends_with_connection_ = false;
    bool in_callback_ = false;
    bool cancelled_ = false;
  };

  EventLoop& loop_;
  Options options_;
  RelayClient client_;
  std::unordered_map<HttpCallId, std::unique_ptr<Exchange>> exchanges_;
  std::uint64_t next_call_ = 1;
};

RelayHttpClient::RelayHttpClient(EventLoop& loop, Options options)
    : impl_(std::make_unique<Impl>(loop, options)) {}
RelayHttpClient::~RelayHttpClient() = default;

HttpCallId RelayHttpClient::Call(HttpCall call,
                                 std::unique_ptr<HttpCallObserver> observer) {
  return impl_->Call(call, std::move(observer));
}
void RelayHttpClient::Cancel(HttpCallId call) {
  impl_->Cancel(call);
}
void RelayHttpClient::DiscardIdleConnections(std::string_view address,
                                             std::uint16_t port) {
  impl_->DiscardIdleConnections(address, port);
}

}  // namespace gentianroute
