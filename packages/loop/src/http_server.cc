#include "gentianroute/loop/http_server.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/socket.h>

#include <cstring>
#include <deque>
#include <stdexcept>
#include <unordered_set>
#include <utility>

#include "gentianroute/loop/h2o.h"

namespace gentianroute {
namespace {

constexpr std::uint16_t kAnyPort = 65535;

void AddHeader(h2o_req_t& request, const HttpHeader& header) {
  const h2o_iovec_t name =
      h2o_strdup(&request.pool, header.name.data(), header.name.size());
  const h2o_iovec_t value =
      h2o_strdup(&request.pool, header.value.data(), header.value.size());
  h2o_add_header_by_str(&request.pool, &request.res.headers, name.base,
                        name.len, 1, nullptr, value.base, value.len);
}

/// Sends responses through h2o. h2o owns the request and frees it with its
/// memory pool; a ResponderHolder in that pool detaches this object first.
class H2oResponder final : public HttpResponder {
 public:
  H2oResponder(h2o_req_t* request, const bool& closing, bool close_after)
      : request_(request), closing_(closing), close_after_(close_after) {
    generator_.super.proceed = &H2oResponder::OnProceed;
    generator_.super.stop = &H2oResponder::OnStop;
    generator_.self = this;
  }

  void Send(HttpResponse response) override {
    if (request_ == nullptr || started_) {
      return;
    }
    request_->res.content_length = response.body.size();
    Start(response.status, response.headers);
    ended_ = true;
    pending_.push_back(std::move(response.body));
    SendPending();
  }

  void Begin(int status, HttpHeaders headers) override {
    if (request_ == nullptr || started_) {
      return;
    }
    Start(status, headers);
  }

  void Write(std::string_view text) override {
    if (request_ == nullptr || ended_ || text.empty()) {
      return;
    }
    pending_.emplace_back(text);
    SendPending();
  }

  void End() override {
    if (request_ == nullptr || ended_) {
      return;
    }
    ended_ = true;
    SendPending();
  }

  void Abort() override {
    if (request_ != nullptr) {
      h2o_socket_t* socket =
          request_->conn->callbacks->get_socket(request_->conn);
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
  }

  void SetOnDisconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
  }

  /// Whether an H2oResponder generates the response to this request, and not
  /// h2o itself.
  static bool HasResponder(const h2o_req_t& request) {
    return request._generator != nullptr &&
           request._generator->proceed == &H2oResponder::OnProceed;
  }

  void Detach() {
    request_ = nullptr;
    const std::function<void()> on_disconnect =
        std::exchange(on_disconnect_, nullptr);
    if (on_disconnect && !sent_all_) {
      on_disconnect();
    }
  }

 private:
  struct Generator {
    h2o_generator_t super;
    H2oResponder* self;
  };

  static void OnProceed(h2o_generator_t* generator, h2o_req_t* /*request*/) {
    H2oResponder* self = reinterpret_cast<Generator*>(generator)->self;
    self->in_flight_.clear();
    self->sending_ = false;
    self->SendPending();
  }
  static void OnStop(h2o_generator_t* generator, h2o_req_t* /*request*/) {
    // h2o disposes of the request next, so nothing may be sent any more.
    reinterpret_cast<Generator*>(generator)->self->request_ = nullptr;
  }

  void Start(int status, const HttpHeaders& headers) {
    started_ = true;
    request_->res.status = status;
    request_->res.reason = "";
    for (const HttpHeader& header : headers) {
      AddHeader(*request_, header);
    }
    if (closing_ || close_after_) {
      request_->http1_is_persistent = 0;
    }
    h2o_start_response(request_, &generator_.super);
  }

  void SendPending() {
    const bool done = ended_ && pending_.empty();
    if (request_ == nullptr || sending_ || sent_all_ ||
        (pending_.empty() && !done)) {
      return;
    }
    in_flight_.clear();
    for (const std::string& part : pending_) {
      in_flight_ += part;
    }
    pending_.clear();
    sending_ = true;
    sent_all_ = ended_;
    h2o_iovec_t buffer = h2o_iovec_init(in_flight_.data(), in_flight_.size());
    h2o_send(request_, &buffer, in_flight_.empty() ? 0 : 1,
             ended_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
  }

  Generator generator_{};
  h2o_req_t* request_;
  const bool& closing_;  ///< the server's flag, read when a response begins
  bool close_after_;
  bool started_ = false;
  bool ended_ = false;
  bool sending_ = false;
  bool sent_all_ = false;
  std::deque<std::string> pending_;
  std::string in_flight_;
  std::function<void()> on_disconnect_;
};

struct ResponderHolder {
  std::shared_ptr<H2oResponder> responder;
};

void DisposeResponderHolder(void* memory) {
  auto* holder = static_cast<ResponderHolder*>(memory);
  holder->responder->Detach();
  holder->~ResponderHolder();
}

std::string ToString(h2o_iovec_t text) {
  return {text.base, text.len};
}

HttpRequest CopyRequest(const h2o_req_t& request) {
  HttpRequest copy;
  copy.method = ToString(request.method);
  copy.path = ToString(request.path_normalized);
  if (request.query_at != SIZE_MAX) {
    const std::string path = ToString(request.path);
    copy.query = path.substr(request.query_at + 1);
  }
  copy.headers.reserve(request.headers.size);
  for (std::size_t i = 0; i < request.headers.size; ++i) {
    const h2o_header_t& header = request.headers.entries[i];
    copy.headers.push_back({ToString(*header.name), ToString(header.value)});
  }
  copy.body = ToString(request.entity);
  copy.connection_id = request.conn->id;
  return copy;
}

/// Output filter that replaces the body of an error response from h2o.
struct BodyReplacer {
  h2o_ostream_t super;
  h2o_iovec_t body;

  static void Send(h2o_ostream_t* stream,
                   h2o_req_t* request,
                   h2o_iovec_t* /*buffers*/,
                   std::size_t /*count*/,
                   h2o_send_state_t state) {
    auto* replacer = reinterpret_cast<BodyReplacer*>(stream);
    h2o_ostream_send_next(&replacer->super, request, &replacer->body, 1, state);
  }
};

SSL_CTX* MakeTlsContext(const HttpServer::Options& options) {
  SSL_CTX* context = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  const bool usable =
      SSL_CTX_use_certificate_chain_file(
          context, options.certificate_file.c_str()) == 1 &&
      SSL_CTX_use_PrivateKey_file(context, options.key_file.c_str(),
                                  SSL_FILETYPE_PEM) == 1;
  if (!usable) {
    const char* reason = ERR_reason_error_string(ERR_get_error());
    SSL_CTX_free(context);
    throw std::runtime_error(
        "cannot use certificate '" + options.certificate_file + "' with key '" +
        options.key_file + "': " + (reason == nullptr ? "" : reason));
  }
  // h2o's own list lacks http/1.1, and some clients require that ALPN selects
  // a protocol.
  static const h2o_iovec_t kProtocols[] = {{const_cast<char*>("h2"), 2},
                                           {const_cast<char*>("http/1.1"), 8},
                                           {nullptr, 0}};
  h2o_ssl_register_alpn_protocols(context, kProtocols);
  return context;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop, Options options, HttpHandler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {
    h2o_config_init(&config_);
    config_.server_name = h2o_iovec_init(H2O_STRLIT("gentianroute"));
    config_.max_request_entity_size = options_.max_body;
    h2o_hostconf_t* host = h2o_config_register_host(
        &config_, h2o_iovec_init(H2O_STRLIT("default")), kAnyPort);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* entry =
        reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    entry->super.on_req = &Impl::OnRequest;
    entry->self = this;
    if (options_.make_error_response) {
      // h2o rejects an oversized body before it selects a path, so the fallback
      // path needs the filter too.
      AddFilter(&host->fallback_path);
      AddFilter(path);
    }
    h2o_context_init(&context_, loop.h2o(), &config_);
    accept_.ctx = &context_;
    accept_.hosts = config_.hosts;
    if (!options_.certificate_file.empty()) {
      accept_.ssl_ctx = MakeTlsContext(options_);
    }
    listener_ = loop.Listen(options_.address, options_.port,
                            [this](h2o_socket_t* socket) { Accept(socket); });
    port_ = listener_->port();
  }

  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_; }
  void StopAccepting() { listener_.reset(); }
  void BeginShutdown() {
    closing_ = true;
    h2o_context_request_shutdown(&context_);
  }

 private:
  struct Handler {
    h2o_handler_t super;
    Impl* self;
  };

  struct Filter {
    h2o_filter_t super;
    Impl* self;
  };

  void AddFilter(h2o_pathconf_t* path) {
    auto* filter =
        reinterpret_cast<Filter*>(h2o_create_filter(path, sizeof(Filter)));
    filter->super.on_setup_ostream = &Impl::OnSetUpStream;
    filter->self = this;
  }

  static void OnSetUpStream(h2o_filter_t* filter,
                            h2o_req_t* request,
                            h2o_ostream_t** slot) {
    if (!H2oResponder::HasResponder(*request)) {
      Impl* self = reinterpret_cast<Filter*>(filter)->self;
      const HttpResponse response =
          self->options_.make_error_response(request->res.status);
      auto* replacer = reinterpret_cast<BodyReplacer*>(
          h2o_add_ostream(request, sizeof(BodyReplacer), slot));
      slot = &replacer->super.next;
      replacer->super.do_send = &BodyReplacer::Send;
      replacer->body = h2o_strdup(&request->pool, response.body.data(),
                                  response.body.size());
      request->res.status = response.status;
      request->res.content_length = response.body.size();
      request->res.headers = {};
      for (const HttpHeader& header : response.headers) {
        AddHeader(*request, header);
      }
    }
    h2o_setup_next_ostream(request, slot);
  }

  static int OnRequest(h2o_handler_t* handler, h2o_req_t* request) {
    Impl* self = reinterpret_cast<Handler*>(handler)->self;
    const bool over_limit = self->over_limit_.contains(
        request->conn->callbacks->get_socket(request->conn));
    auto responder =
        std::make_shared<H2oResponder>(request, self->closing_, over_limit);
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ResponderHolder),
                                        &DisposeResponderHolder);
    new (memory) ResponderHolder{responder};
    HttpRequest copy = CopyRequest(*request);
    copy.over_limit = over_limit;
    self->handler_(std::move(copy), std::move(responder));
    return 0;
  }

  /// Accepts up to kMaxRejectedConnections connections over the limit, so that
  /// their clients receive an error response, and closes further ones at once.
  void Accept(h2o_socket_t* socket) {
    constexpr std::size_t kMaxRejectedConnections = 64;
    if (connections_ >= options_.max_connections + kMaxRejectedConnections) {
      h2o_socket_close(socket);
      return;
    }
    if (connections_ >= options_.max_connections) {
      over_limit_.insert(socket);
    }
    ++connections_;
    auto* open = new OpenConnection{this, socket};
    socket->on_close.cb = [](void* data) {
      const std::unique_ptr<OpenConnection> closed(
          static_cast<OpenConnection*>(data));
      --closed->server->connections_;
      closed->server->over_limit_.erase(closed->socket);
    };
    socket->on_close.data = open;
    h2o_accept(&accept_, socket);
  }

  struct OpenConnection {
    Impl* server;
    h2o_socket_t* socket;
  };

  Options options_;
  HttpHandler handler_;
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  std::unique_ptr<EventLoop::Listener> listener_;
  std::uint16_t port_ = 0;
  std::size_t connections_ = 0;
  std::unordered_set<const h2o_socket_t*> over_limit_;
  bool closing_ = false;
};

HttpServer::HttpServer(EventLoop& loop, Options options, HttpHandler handler)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(options),
                                   std::move(handler))) {}
HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const {
  return impl_->port();
}
std::size_t HttpServer::connections() const {
  return impl_->connections();
}
void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}
void HttpServer::BeginShutdown() {
  impl_->BeginShutdown();
}

}  // namespace gentianroute
