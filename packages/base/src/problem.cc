#include "gentianroute/base/problem.h"

#include <nlohmann/json.hpp>

#include "gentianroute/base/json_text.h"

namespace gentianroute {

std::string ProblemBody(ErrorKind kind,
                        std::string_view detail,
                        std::string_view request_id,
                        bool key_checked) {
  const ErrorAnswer answer = AnswerFor(kind);
  nlohmann::json body = {
      {"type", "about:blank"},
      {"title", answer.title},
      {"status", answer.http_status},
      {"detail", detail},
      {"kind", answer.name},
      {"number", static_cast<int>(answer.kind)},
      {"work", ExecutionStateName(answer.work)},
  };
  if (!request_id.empty()) {
    body["request_id"] = request_id;
  }
  if (!key_checked) {
    body["key_checked"] = false;
  }
  return EncodeJson(body);
}

}  // namespace gentianroute
