#include "daemon_client.h"

#include <charconv>
#include <utility>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/h2o_http_client.h"

namespace gentianroute::ctl {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr int kOk = 200;

}  // namespace

leaf::result<Target> ParseTarget(const std::string& text) {
  Target target;
  const std::size_t colon = text.rfind(':');
  const std::size_t digits = colon == std::string::npos ? 0 : colon + 1;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + digits, end, target.port);
  const bool valid = colon != std::string::npos && colon > 0 &&
                     parsed.ec == std::errc() && parsed.ptr == end &&
                     target.port != 0;
  if (!valid) {
    return leaf::new_error(
        Failure{kExitInvalid, "found '" + text + "'; allowed: address:port"});
  }
  target.address = text.substr(0, colon);
  return target;
}

HttpResult Call(const Target& target,
                std::string method,
                std::string path,
                std::string body) {
  HttpResult result;
  result.detail = "no answer in time";
  EventLoop loop;
  H2oHttpClient client(loop);
  HttpCall call;
  call.address = target.address;
  call.port = target.port;
  call.method = std::move(method);
  call.path = std::move(path);
  call.headers = {{"content-type", "application/json"}};
  call.body = std::move(body);
  const TimerId timer = loop.After(kCallTimeout, [&loop] { loop.Stop(); });
  loop.After(Duration{0}, [&] {
    client.Call(std::move(call), CollectResponse([&](HttpResult answer) {
                  result = std::move(answer);
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

leaf::result<json> Get(const Target& target, const std::string& path) {
  const HttpResult result = Call(target, "GET", path, {});
  if (!result.complete) {
    return leaf::new_error(Failure{
        kExitUnreachable, target.Text() + " did not answer: " + result.detail});
  }
  json body = json::parse(result.body, nullptr, false);
  if (result.status != kOk || body.is_discarded()) {
    return leaf::new_error(
        Failure{kExitFailed, target.Text() + ": " + ProblemText(result)});
  }
  return body;
}

}  // namespace gentianroute::ctl
