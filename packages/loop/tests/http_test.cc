#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http_server.h"
#include "gentianroute/loop/relay_http_client.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;

namespace {

/// A server and a client on one event loop; both are destroyed only after its
/// last callback has run.
struct Loopback {
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

  explicit Loopback(Handler handler,
                    HttpServer::Options options = {},
                    RelayHttpClient::Options client_options = {})
      : server(loop, std::move(options), std::move(handler)),
        client(loop, client_options) {}

  HttpCall CallTo(const std::string& path = "/") const {
    HttpCall call;
    call.address = "127.0.0.1";
    call.port = server.port();
    call.path = path;
    return call;
  }
  /// Makes a call and runs the loop until it ends.
  HttpResult Fetch(HttpCall call) {
    HttpResult result;
    const TimerId guard =
        loop.After(std::chrono::seconds(10), [this] { loop.Stop(); });
    client.Call(std::move(call), CollectResponse([&](HttpResult response) {
                  result = std::move(response);
                  loop.Stop();
                }));
    loop.Run();
    loop.Cancel(guard);
    return result;
  }

  EventLoop loop;
  HttpServer server;
  RelayHttpClient client;
};

void Echo(const HttpRequest& request,
          const std::shared_ptr<HttpResponder>& responder) {
  responder->Send({200, {}, std::to_string(request.connection_id)});
}

/// Sends a request over a blocking socket and reads up to the last chunk.
std::string ReadWhole(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{3, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nhost: t\r\n\r\n";
  send(fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
  std::string text;
  char c = 0;
  while (!text.ends_with("0\r\n\r\n") && recv(fd, &c, 1, 0) == 1) {
    text += c;
  }
  close(fd);
  return text;
}

/// Cancels its own call within a callback, then accesses its own members.
class CancellingObserver final : public HttpCallObserver {
 public:
  CancellingObserver(HttpClient& client, HttpCallId& call, int& callbacks)
      : client_(client), call_(call), callbacks_(callbacks) {}
  void OnHead(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnBody(std::string_view part) override {
    client_.Cancel(call_);
    text_ += part;
    ++callbacks_;
  }
  void OnDone() override { ++callbacks_; }
  void OnError(HttpCallError /*error*/, std::string_view /*detail*/) override {
    ++callbacks_;
  }

 private:
  HttpClient& client_;
  HttpCallId& call_;
  int& callbacks_;
  std::string text_;
};

}  // namespace

TestSuite(http);

// A write from a timer completes at once and leaves its callback pending in
// h2o, which polls for the next event before it runs pending callbacks. The end
// of the response was therefore sent up to a second late. The client runs on
// its own thread, since its events on the same loop would hide the delay.
Test(http, response_written_from_a_timer_ends_before_the_next_event) {
  EventLoop loop;
  HttpServer server(loop, {},
                    [&loop](const HttpRequest&,
                            const std::shared_ptr<HttpResponder>& responder) {
                      loop.After(milliseconds(5), [responder] {
                        responder->Begin(200, {});
                        responder->Write("a");
                        responder->Write("b");
                        responder->End();
                      });
                    });
  std::atomic<bool> ended = false;
  bool ended_in_time = false;
  std::thread client_thread([&ended, port = server.port()] {
    ended = ReadWhole(port).ends_with("0\r\n\r\n");
  });
  loop.After(milliseconds(900), [&] {
    ended_in_time = ended;
    loop.Stop();
  });
  loop.Run();
  client_thread.join();
  cr_assert(ended_in_time);
}

Test(http, body_aborted_by_the_server_is_truncated_not_complete) {
  EventLoop* loop = nullptr;
  Loopback run([&loop](const HttpRequest&,
                       const std::shared_ptr<HttpResponder>& responder) {
    responder->Begin(200, {});
    responder->Write("half");
    loop->After(milliseconds(20), [responder] { responder->Abort(); });
  });
  loop = &run.loop;
  const HttpResult result = run.Fetch(run.CallTo());
  cr_assert_not(result.complete);
  cr_assert(result.error == HttpCallError::kTruncated);
}

Test(http, connection_closed_before_the_head_is_reset) {
  Loopback run(
      [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        responder->Abort();
      });
  const HttpResult result = run.Fetch(run.CallTo());
  cr_assert_not(result.complete);
  cr_assert(result.error == HttpCallError::kReset);
}

Test(http, refused_connection_is_a_connect_error_before_any_write) {
  Loopback run(&Echo);
  HttpCall call = run.CallTo();
  run.server.StopAccepting();
  const HttpResult result = run.Fetch(std::move(call));
  cr_assert_not(result.complete);
  cr_assert(result.error == HttpCallError::kConnect);
}

Test(http, idle_connection_is_reused_unless_fresh_or_discarded) {
  Loopback run(&Echo);
  const std::string first = run.Fetch(run.CallTo()).body;
  cr_assert_eq(run.Fetch(run.CallTo()).body, first);
  HttpCall fresh = run.CallTo();
  fresh.fresh_connection = true;
  cr_assert_neq(run.Fetch(std::move(fresh)).body, first);
  run.client.DiscardIdleConnections("127.0.0.1", run.server.port());
  cr_assert_neq(run.Fetch(run.CallTo()).body, first);
}

// Pools without connections are freed, including discarded ones, but a pool in
// use must remain until its call has ended.
Test(http, pools_without_connections_are_freed_and_calls_continue) {
  EventLoop* loop = nullptr;
  RelayHttpClient::Options options;
  options.max_idle = milliseconds(10);
  Loopback run(
      [&loop](const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder) {
        loop->After(milliseconds(30),
                    [request, responder] { Echo(request, responder); });
      },
      {}, options);
  loop = &run.loop;
  const std::string first = run.Fetch(run.CallTo()).body;
  run.loop.After(milliseconds(10), [&run] {
    run.client.DiscardIdleConnections("127.0.0.1", run.server.port());
  });
  cr_assert(run.Fetch(run.CallTo()).complete);
  run.loop.After(milliseconds(2500), [&run] { run.loop.Stop(); });
  run.loop.Run();
  const HttpResult last = run.Fetch(run.CallTo());
  cr_assert(last.complete);
  cr_assert_neq(last.body, first);
}

// An observer may cancel its own call within OnBody, because of what it has
// just received. It must not be destroyed before that callback returns.
Test(http, cancel_inside_a_callback_ends_the_call_silently) {
  Loopback run(
      [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        responder->Begin(200, {});
        responder->Write("part");
      });
  HttpCallId call;
  int callbacks = 0;
  call = run.client.Call(run.CallTo(), std::make_unique<CancellingObserver>(
                                           run.client, call, callbacks));
  run.loop.After(milliseconds(100), [&run] { run.loop.Stop(); });
  run.loop.Run();
  cr_assert_eq(callbacks, 1);
}

// A client disconnects during a streamed response. The responder must be
// notified once, and later writes are discarded. (h2o doesn't read from an
// HTTP/1.1 connection while it handles a request, so only a write detects the
// disconnect.)
Test(http, client_disconnect_in_mid_stream_notifies_the_responder_once) {
  std::shared_ptr<HttpResponder> saved_responder;
  int disconnects = 0;
  Loopback run(
      [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        saved_responder = responder;
        responder->SetOnDisconnect([&disconnects] { ++disconnects; });
        responder->Begin(200, {});
      });
  int callbacks = 0;
  HttpCallId call;
  call = run.client.Call(run.CallTo(), std::make_unique<CancellingObserver>(
                                           run.client, call, callbacks));
  run.loop.Every(milliseconds(10), [&] {
    if (saved_responder != nullptr) {
      saved_responder->Write("token");
    }
  });
  run.loop.After(milliseconds(300), [&run] { run.loop.Stop(); });
  run.loop.Run();
  cr_assert_eq(disconnects, 1);
  cr_assert_eq(callbacks, 1);
}

Test(http, body_over_the_limit_is_rejected_with_the_custom_response) {
  int handled = 0;
  HttpServer::Options options;
  options.max_body = 1024;
  options.make_error_response = [](int status) {
    return HttpResponse{status, {{"x-ours", "1"}}, "ours"};
  };
  Loopback run([&](const HttpRequest&,
                   const std::shared_ptr<HttpResponder>&) { ++handled; },
               options);
  HttpCall call = run.CallTo();
  call.method = "POST";
  call.body = std::string(4096, 'x');
  const HttpResult result = run.Fetch(std::move(call));
  cr_assert_eq(result.status, 413);
  cr_assert_eq(result.body, "ours");
  cr_assert_eq(FindHeader(result.headers, "x-ours"), "1");
  cr_assert_eq(handled, 0);
}
