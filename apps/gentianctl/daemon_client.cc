#include "daemon_client.h"

#include <charconv>
#include <utility>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/relay_http_client.h"

namespace gentianroute::ctl {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr int kOk = 200;

}  // namespace

leaf::result<DaemonAddress> ParseDaemonAddress(const std::string& text) {
  DaemonAddress daemon;
  const std::size_t colon = text.rfind(':');
  const std::size_t digits = colon == std::string::npos ? 0 : colon + 1;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + digits, end, daemon.port);
  const bool valid = colon != std::string::npos && colon > 0 &&
                     parsed.ec == std::errc() && parsed.ptr == end &&
                     daemon.port != 0;
  if (!valid) {
    return leaf::new_error(
        Failure{kExitInvalid, "found '" + text + "'; allowed: address:port"});
  }
  daemon.address = text.substr(0, colon);
  return daemon;
}

HttpResult CallDaemon(const DaemonAddress& daemon,
                      std::string method,
                      std::string path,
                      std::string body) {
  HttpResult result;
  result.detail = "no answer in time";
  EventLoop loop;
  RelayHttpClient client(loop);
  HttpCall call;
  call.address = daemon.address;
  call.port = daemon.port;
  call.method = std::move(method);
  call.path = std::move(path);
  call.headers = {{"content-type", "application/json"}};
  call.body = std::move(body);
  const TimerId timer = loop.After(kCallTimeout, [&loop] { loop.Stop(); });
  loop.After(Duration{0}, [&] {
    client.Call(std::move(call), CollectResponse([&](HttpResult response) {
                  result = std::move(response);
                  loop.Stop();
                }));
  });
  loop.Run();
  loop.Cancel(timer);
  return result;
}

std::string ProblemText(const HttpResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) {
    return "status " + std::to_string(result.status);
  }
  return body.value("title", "") + " " + body.value("detail", "") + " (" +
         std::to_string(body.value("number", 0)) + " " +
         body.value("kind", "") + ")";
}

leaf::result<json> GetJson(const DaemonAddress& daemon,
                           const std::string& path) {
  const HttpResult result = CallDaemon(daemon, "GET", path, {});
  if (!result.complete) {
    return leaf::new_error(Failure{
        kExitUnreachable, daemon.Text() + " did not answer: " + result.detail});
  }
  json body = json::parse(result.body, nullptr, false);
  if (result.status != kOk || body.is_discarded()) {
    return leaf::new_error(
        Failure{kExitFailed, daemon.Text() + ": " + ProblemText(result)});
  }
  return body;
}

}  // namespace gentianroute::ctl
