#include "pipeline_fixture.h"

namespace gentianroute::testing {
namespace {

constexpr const char* kDeclarations = R"({
  "pools": [{"name": "encoders"}, {"name": "llm", "kind": "engine"},
            {"name": "orders"}],
  "profiles": [
    {"name": "chat", "deadlineMs": 8000, "stages": [
      {"name": "encode", "pool": "encoders", "firstByteTimeoutMs": 700,
       "expectedMs": 5}]},
    {"name": "drafts", "deadlineMs": 20000, "stages": [
      {"name": "encode", "pool": "encoders", "expectedMs": 5},
      {"name": "generate", "pool": "llm", "streams": true, "expectedMs": 50}]},
    {"name": "orders", "deadlineMs": 6000, "stages": [
      {"name": "order", "pool": "orders", "repeatable": false,
       "firstByteTimeoutMs": 4000, "expectedMs": 5}]}
  ],
  "services": [{"name": "chat", "profile": "chat"},
               {"name": "drafting", "profile": "drafts"},
               {"name": "ordering", "profile": "orders"}]
})";

}  // namespace

PipelineFixture::PipelineFixture(std::size_t daemons,
                                 std::size_t encoder_count,
                                 std::size_t engine_count,
                                 const std::string& settings) {
  for (std::size_t i = 0; i < encoder_count; ++i) {
    encoders.push_back(deployment.AddBackend("encoders"));
  }
  for (std::size_t i = 0; i < engine_count; ++i) {
    engines.push_back(
        deployment.AddBackend("llm", {"--tokens", "100", "--token-ms", "10"}));
  }
  orders = deployment.AddBackend("orders");
  deployment.SetDaemonSettings(settings);
  for (std::size_t i = 0; i < daemons; ++i) {
    deployment.AddDaemon();
  }
  if (daemons > 0) {
    deployment.Apply(kDeclarations);
  }
}

std::future<ClientResponse> PipelineFixture::Post(
    std::size_t daemon,
    const std::string& service,
    const std::string& marker,
    const std::string& key) const {
  std::vector<std::string> headers = {"authorization: Bearer test-key"};
  if (!key.empty()) {
    headers.push_back("idempotency-key: " + key);
  }
  constexpr int kSeconds = 40;
  return std::async(std::launch::async,
                    [=, port = deployment.caller_port(daemon)] {
                      return CallHttp(port, "POST", "/v1/services/" + service,
                                      R"({"marker": ")" + marker + R"("})",
                                      headers, kSeconds);
                    });
}

bool IsProblem(const ClientResponse& response, const std::string& kind) {
  return response.body.find("\"kind\":\"" + kind + "\"") != std::string::npos;
}

}  // namespace gentianroute::testing
