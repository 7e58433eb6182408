#include "gentianroute/loop/http.h"

#include <algorithm>
#include <utility>

namespace gentianroute {
namespace {

class Collector final : public HttpCallObserver {
 public:
  explicit Collector(std::function<void(HttpResult)> done)
      : done_(std::move(done)) {}

  void OnHead(int status, const HttpHeaders& headers) override {
    result_.status = status;
    result_.headers = headers;
  }
  void OnBody(std::string_view part) override { result_.body += part; }
  void OnDone() override {
    result_.complete = true;
    done_(std::move(result_));
  }
  void OnError(HttpCallError error, std::string_view detail) override {
    result_.error = error;
    result_.detail = detail;
    done_(std::move(result_));
  }

 private:
  std::function<void(HttpResult)> done_;
  HttpResult result_;
};

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto found = std::ranges::find(headers, name, &HttpHeader::name);
  return found == headers.end() ? std::string_view() : found->value;
}

std::unique_ptr<HttpCallObserver> CollectResponse(
    std::function<void(HttpResult)> done) {
  return std::make_unique<Collector>(std::move(done));
}

}  // namespace gentianroute
