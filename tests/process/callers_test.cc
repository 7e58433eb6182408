#include <openssl/ssl.h>
#include <signal.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

#include "connection.h"
#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

/// Creates a self-signed certificate for this test with the openssl program.
bool MakeCertificate(const Deployment& deployment) {
  Process openssl(
      {"/usr/bin/openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes",
       "-days", "1", "-subj", "/CN=test", "-keyout",
       deployment.FilePath("key.pem"), "-out", deployment.FilePath("cert.pem")},
      deployment.FilePath("openssl.err"));
  return openssl.Wait(30) == 0;
}

/// Offers these protocols by ALPN in a TLS handshake.
/// @return the one that the daemon selected; empty if it selected none or the
/// handshake failed
std::string NegotiateProtocol(std::uint16_t port, const std::string& offered) {
  const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(
      SSL_CTX_new(TLS_client_method()), &SSL_CTX_free);
  const std::unique_ptr<BIO, decltype(&BIO_free_all)> stream(
      BIO_new_ssl_connect(context.get()), &BIO_free_all);
  SSL* ssl = nullptr;
  BIO_get_ssl(stream.get(), &ssl);
  SSL_set_alpn_protos(ssl,
                      reinterpret_cast<const unsigned char*>(offered.data()),
                      static_cast<unsigned>(offered.size()));
  const std::string target = "127.0.0.1:" + std::to_string(port);
  BIO_set_conn_hostname(stream.get(), target.c_str());
  if (BIO_do_connect(stream.get()) != 1) {
    return {};
  }
  const unsigned char* chosen = nullptr;
  unsigned length = 0;
  SSL_get0_alpn_selected(ssl, &chosen, &length);
  return {reinterpret_cast<const char*>(chosen), length};
}

std::string SendRaw(const PipelineFixture& fixture, const std::string& text) {
  const Connection connection(fixture.deployment.caller_port(0));
  connection.Send(text);
  return connection.ReadResponse();
}

}  // namespace

TestSuite(callers);

Test(callers, certificate_in_settings_serves_http2_by_alpn) {
  PipelineFixture fixture(0, 1, 0);
  cr_assert(MakeCertificate(fixture.deployment));
  fixture.deployment.SetDaemonSettings(
      R"({"callers": {"certificateFile": ")" +
      fixture.deployment.FilePath("cert.pem") + R"(", "keyFile": ")" +
      fixture.deployment.FilePath("key.pem") + R"("}})");
  fixture.deployment.AddDaemon();
  const std::uint16_t port = fixture.deployment.caller_port(0);
  cr_assert_eq(NegotiateProtocol(port, "\x02h2\x08http/1.1"), "h2");
  cr_assert_eq(NegotiateProtocol(port, "\x08http/1.1"), "http/1.1");
}

// Each invalid request gets a problem document of the right kind, or at least
// the right status, and the daemon keeps serving.
Test(callers, invalid_requests_get_the_matching_problem) {
  PipelineFixture fixture(1, 1, 0, R"({"limits": {"maxBodyBytes": 2048}})");
  const auto post = [&fixture](const std::string& service,
                               const std::string& body,
                               const std::vector<std::string>& headers) {
    return fixture.deployment.Post(0, service, body, headers);
  };
  cr_assert(
      IsProblem(post("chat", std::string(4096, ' '), {}), "body_too_large"));
  cr_assert(IsProblem(post("chat", "{}", {"x-big: " + std::string(20000, 'x')}),
                      "headers_too_large"));
  cr_assert(IsProblem(post("chat", "{\"half\"", {}), "malformed_request"));
  cr_assert(IsProblem(post("chat", "\xff\xfe", {}), "malformed_request"));
  cr_assert(IsProblem(post("chat", "{}", {"x-timeout-ms: soon"}),
                      "malformed_request"));
  cr_assert(IsProblem(post("chat", "{}", {"idempotency-key: a b"}),
                      "malformed_request"));
  cr_assert(IsProblem(
      post("chat", "{}", {"idempotency-key: " + std::string(300, 'k')}),
      "malformed_request"));
  cr_assert(IsProblem(post("nobody", "{}", {}), "unknown_service"));
  const std::uint16_t port = fixture.deployment.caller_port(0);
  cr_assert(IsProblem(CallHttp(port, "POST", "/v1/services/chat", "{}"),
                      "unauthorised"));
  cr_assert_eq(CallHttp(port, "HEAD", "/v1/services/chat", "").status, 405);
  cr_assert_eq(CallHttp(port, "OPTIONS", "/v1/services/chat", "").status, 405);
  cr_assert(SendRaw(fixture, "GARBAGE\r\n\r\n").starts_with("http/1.1 400"));
  cr_assert(SendRaw(fixture,
                    "POST /v1/services/chat HTTP/1.1\r\nhost: t\r\n"
                    "content-length: abc\r\n\r\n")
                .starts_with("http/1.1 400"));
  // The largest 64-bit timeout must not overflow into a deadline in the past.
  cr_assert_eq(
      post("%63hat", "{}", {"x-timeout-ms: 9223372036854775807"}).status, 200);
}

// With the maximum number of connections open, a new one gets
// too_many_connections instead of a reset, and the open ones are still served.
Test(callers, connection_over_limit_is_refused_and_open_ones_are_served) {
  PipelineFixture fixture(1, 1, 0, R"({"limits": {"maxConnections": 2}})");
  const Connection first(fixture.deployment.caller_port(0));
  const Connection second(fixture.deployment.caller_port(0));
  first.Post("chat", "{}");
  cr_assert(first.ReadResponse().starts_with("http/1.1 200"));
  second.Post("chat", "{}");
  cr_assert(second.ReadResponse().starts_with("http/1.1 200"));
  const ClientResponse refused = fixture.Post(0, "chat", "third").get();
  cr_assert(IsProblem(refused, "too_many_connections"), "%s",
            refused.body.c_str());
  first.Post("chat", "{}");
  cr_assert(first.ReadResponse().starts_with("http/1.1 200"));
}

// The log has one line for each request and never contains a bearer key.
Test(callers, log_has_one_line_per_request_and_no_key) {
  PipelineFixture fixture(1, 1, 0);
  cr_assert_eq(fixture.Post(0, "chat", "letter").get().status, 200);
  const std::string log = fixture.deployment.ReadLog(0);
  const std::size_t line = log.find("event=request ");
  cr_assert(line != std::string::npos);
  cr_assert(log.find("event=request ", line + 1) == std::string::npos);
  for (const char* field : {"service=chat", "organisation=test",
                            "kind=answered", "cost_micros=", "attempts=1"}) {
    cr_assert(log.find(field, line) != std::string::npos, "%s", field);
  }
  cr_assert(log.find("test-key") == std::string::npos);
}

// A caller sends half a request and then nothing; the daemon closes that
// connection after ten seconds, and other callers are not affected.
Test(callers, incomplete_request_is_closed_and_others_are_served) {
  PipelineFixture fixture(1, 1, 0);
  const Connection incomplete(fixture.deployment.caller_port(0));
  incomplete.Send("POST /v1/services/chat HTTP/1.1\r\nhost: t\r\ncontent-le");
  cr_assert_eq(fixture.Post(0, "chat", "letter").get().status, 200);
  cr_assert_eq(incomplete.ReadUntil("\r\n\r\n"), "");
  cr_assert_eq(fixture.Post(0, "chat", "letter").get().status, 200);
}
