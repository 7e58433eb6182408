#include "gentianroute/loop/h2o_http_client.h"

#include <algorithm>
#include <charconv>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "gentianroute/loop/h2o.h"
#include "gentianroute/loop/ipv4_address.h"

namespace gentianroute {
namespace {

std::string Serialise(const HttpCall& call) {
  std::string request_text = call.method + " " + call.path + " HTTP/1.1\r\n";
  request_text +=
      "host: " + call.address + ":" + std::to_string(call.port) + "\r\n";
  for (const HttpHeader& header : call.headers) {
    request_text += header.name + ": " + header.value + "\r\n";
  }
  request_text +=
      "content-length: " + std::to_string(call.body.size()) + "\r\n";
  if (call.fresh_connection) {
    request_text += "connection: close\r\n";
  }
  return request_text + "\r\n" + call.body;
}

HttpHeaders CopyHeaders(const h2o_header_t* headers, std::size_t count) {
  HttpHeaders copy;
  copy.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    HttpHeader header{{headers[i].name->base, headers[i].name->len},
                      {headers[i].value.base, headers[i].value.len}};
    std::ranges::transform(
        header.name, header.name.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    copy.push_back(std::move(header));
  }
  return copy;
}

/// Whether the body has a length or is chunked. Otherwise the close of the
/// connection ends it, so that truncation can't be detected.
bool HasFraming(const HttpHeaders& headers) {
  return !FindHeader(headers, "content-length").empty() ||
         FindHeader(headers, "transfer-encoding") == "chunked";
}

}  // namespace

class H2oHttpClient::Impl {
 public:
  Impl(EventLoop& loop, Options options) : loop_(loop), options_(options) {
    queue_ = h2o_multithread_create_queue(loop.h2o());
    h2o_multithread_register_receiver(queue_, &receiver_,
                                      h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(
        loop.h2o(), &io_timeout_,
        static_cast<std::uint64_t>(Milliseconds(options.io_timeout)));
    context_.loop = loop.h2o();
    context_.getaddr_receiver = &receiver_;
    context_.io_timeout = &io_timeout_;
    sweep_ = loop.Every(options.sweep_period, [this] { DropUnusedPools(); });
  }
  ~Impl() { loop_.Cancel(sweep_); }

  HttpCallId Call(const HttpCall& call,
                  std::unique_ptr<HttpCallObserver> observer) {
    const HttpCallId id{next_call_++};
    auto [place, added] = calls_.emplace(id, std::make_unique<Exchange>());
    Exchange& exchange = *place->second;
    exchange.id = id;
    exchange.owner = this;
    exchange.observer = std::move(observer);
    exchange.request_text = Serialise(call);
    exchange.buffer = h2o_iovec_init(exchange.request_text.data(),
                                     exchange.request_text.size());
    if (call.fresh_connection) {
      exchange.address = call.address;
      h2o_http1client_connect(
          &exchange.client, &exchange, &context_,
          h2o_iovec_init(exchange.address.data(), exchange.address.size()),
          call.port, 0, &Impl::OnConnect);
    } else {
      h2o_http1client_connect_with_pool(&exchange.client, &exchange, &context_,
                                        PoolFor(call.address, call.port),
                                        &Impl::OnConnect);
    }
    return id;
  }

  void Cancel(HttpCallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    Exchange& exchange = *found->second;
    exchange.cancelled = true;
    if (exchange.in_callback) {
      // The observer's method is still running. The caller of that method
      // destroys the observer when it returns.
      return;
    }
    h2o_http1client_t* client = exchange.client;
    calls_.erase(found);
    if (client != nullptr) {
      h2o_http1client_cancel(client);
    }
  }

  void DiscardIdleConnections(std::string_view address, std::uint16_t port) {
    const auto found = pools_.find({std::string(address), port});
    if (found == pools_.end()) {
      return;
    }
    // Connections in use still refer to the pool, so it can't be freed yet. Its
    // idle connections time out, and new calls use another pool.
    discarded_pools_.push_back(std::move(found->second));
    pools_.erase(found);
  }

 private:
  struct Pool {
    h2o_socketpool_t pool{};
    ~Pool() { h2o_socketpool_dispose(&pool); }
  };
  struct Exchange {
    HttpCallId id;
    Impl* owner = nullptr;
    h2o_http1client_t* client = nullptr;
    std::unique_ptr<HttpCallObserver> observer;
    std::string address;
    std::string request_text;
    h2o_iovec_t buffer{};
    bool framed = false;
    bool chunked = false;
    bool in_callback = false;
    bool cancelled = false;
  };

  /// Frees pools without connections. Hosts are replaced at any time, so pools
  /// of former hosts would accumulate, each with its own timer.
  void DropUnusedPools() {
    const auto unused = [](const std::unique_ptr<Pool>& pool) {
      return pool->pool._shared.count == 0;
    };
    std::erase_if(discarded_pools_, unused);
    std::erase_if(pools_,
                  [&](const auto& entry) { return unused(entry.second); });
  }

  h2o_socketpool_t* PoolFor(const std::string& address, std::uint16_t port) {
    std::unique_ptr<Pool>& pool = pools_[{address, port}];
    if (pool == nullptr) {
      pool = std::make_unique<Pool>();
      sockaddr_in target = ParseIpv4Address(address, port)
                               .value_or(*ParseIpv4Address("0.0.0.0", port));
      h2o_socketpool_init_by_address(&pool->pool,
                                     reinterpret_cast<sockaddr*>(&target),
                                     sizeof(target), 0, SIZE_MAX);
      h2o_socketpool_set_timeout(
          &pool->pool, loop_.h2o(),
          static_cast<std::uint64_t>(Milliseconds(options_.max_idle)));
    }
    return &pool->pool;
  }

  /// Destroys the exchange within an h2o callback; h2o then closes the client.
  static void Erase(Exchange& exchange) {
    Impl* owner = exchange.owner;
    owner->calls_.erase(exchange.id);
  }

  static void Fail(Exchange& exchange,
                   HttpCallError error,
                   const char* detail) {
    const std::unique_ptr<HttpCallObserver> observer =
        std::move(exchange.observer);
    Erase(exchange);
    observer->OnError(error, detail == nullptr ? "" : detail);
  }

  static void Complete(Exchange& exchange) {
    const std::unique_ptr<HttpCallObserver> observer =
        std::move(exchange.observer);
    Erase(exchange);
    observer->OnDone();
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** buffers,
                                           std::size_t* buffer_count,
                                           int* method_is_head) {
    auto& exchange = *static_cast<Exchange*>(client->data);
    if (error != nullptr) {
      Fail(exchange, HttpCallError::kConnect, error);
      return nullptr;
    }
    exchange.in_callback = true;
    exchange.observer->OnConnected();
    exchange.in_callback = false;
    if (exchange.cancelled) {
      Erase(exchange);
      return nullptr;
    }
    *buffers = &exchange.buffer;
    *buffer_count = 1;
    *method_is_head = 0;
    return &Impl::OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* error,
                                        int /*minor_version*/,
                                        int status,
                                        h2o_iovec_t /*message*/,
                                        h2o_header_t* headers,
                                        std::size_t header_count,
                                        int /*rlen*/) {
    auto& exchange = *static_cast<Exchange*>(client->data);
    const bool no_body = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !no_body) {
      Fail(exchange, HttpCallError::kReset, error);
      return nullptr;
    }
    const HttpHeaders copy = CopyHeaders(headers, header_count);
    exchange.framed = HasFraming(copy);
    exchange.chunked = FindHeader(copy, "transfer-encoding") == "chunked";
    exchange.in_callback = true;
    exchange.observer->OnHead(status, copy);
    exchange.in_callback = false;
    if (exchange.cancelled) {
      Erase(exchange);
      return nullptr;
    }
    if (no_body) {
      Complete(exchange);
      return nullptr;
    }
    return &Impl::OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    constexpr int kClose = -1;
    auto& exchange = *static_cast<Exchange*>(client->data);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
      Fail(exchange, HttpCallError::kTruncated, error);
      return kClose;
    }
    h2o_buffer_t*& input = client->sock->input;
    if (input->size > 0) {
      const std::string part(input->bytes, input->size);
      h2o_buffer_consume(&input, input->size);
      exchange.in_callback = true;
      exchange.observer->OnBody(part);
      exchange.in_callback = false;
      if (exchange.cancelled) {
        Erase(exchange);
        return kClose;
      }
    }
    if (!ended) {
      return 0;
    }
    // h2o reports a connection that closes between two chunks as the end of the
    // body, so a truncated response would look complete. The last chunk always
    // arrives with bytes; an end without bytes is a close.
    const bool truncated = exchange.chunked && client->sock->bytes_read == 0;
    if (truncated) {
      Fail(exchange, HttpCallError::kTruncated,
           "connection closed before the last chunk");
    } else if (exchange.framed) {
      Complete(exchange);
    } else {
      Fail(exchange, HttpCallError::kTruncated,
           "response has neither a content length nor chunked coding");
    }
    return 0;
  }

  EventLoop& loop_;
  Options options_;
  h2o_multithread_queue_t* queue_ = nullptr;
  h2o_multithread_receiver_t receiver_{};
  h2o_timeout_t io_timeout_{};
  h2o_http1client_ctx_t context_{};
  std::unordered_map<HttpCallId, std::unique_ptr<Exchange>> calls_;
  std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<Pool>> pools_;
  std::list<std::unique_ptr<Pool>> discarded_pools_;
  std::uint64_t next_call_ = 1;
  TimerId sweep_;
};

H2oHttpClient::H2oHttpClient(EventLoop& loop, Options options)
    : impl_(std::make_unique<Impl>(loop, options)) {}
H2oHttpClient::~H2oHttpClient() = default;

HttpCallId H2oHttpClient::Call(HttpCall call,
                               std::unique_ptr<HttpCallObserver> observer) {
  return impl_->Call(call, std::move(observer));
}
void H2oHttpClient::Cancel(HttpCallId call) {
  impl_->Cancel(call);
}
void H2oHttpClient::DiscardIdleConnections(std::string_view address,
                                           std::uint16_t port) {
  impl_->DiscardIdleConnections(address, port);
}

}  // namespace gentianroute
