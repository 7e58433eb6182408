#include "gentianroute/entry/problem.h"

namespace gentianroute {

HttpResponse ProblemResponse(ErrorKind kind,
                             std::string_view detail,
                             std::string_view request_id,
                             bool key_checked) {
  const ErrorAnswer answer = AnswerFor(kind);
  HttpResponse response;
  response.status = answer.http_status;
  response.headers = {{"content-type", "application/problem+json"}};
  if (!request_id.empty()) {
    response.headers.push_back({"x-request-id", std::string(request_id)});
  }
  if (answer.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
    response.headers.push_back({"retry-after", std::to_string(seconds)});
  }
  response.body = ProblemBody(kind, detail, request_id, key_checked);
  return response;
}

HttpResponse ProblemForStatus(int status) {
  constexpr int kContentTooLarge = 413;
  if (status == kContentTooLarge) {
    return ProblemResponse(ErrorKind::kBodyTooLarge,
                           "the body exceeds the daemon's size limit", "");
  }
  return ProblemResponse(ErrorKind::kMalformedRequest,
                         "the request is not valid HTTP", "");
}

}  // namespace gentianroute
