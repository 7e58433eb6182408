#include <openssl/ssl.h>
#include <signal.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

#include "connection.h"
#include "harness.h"
#include "pipelines.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

/// Makes a certificate for this test alone, as a person would.
bool MakeCertificate(const Deployment& deployment) {
  Process openssl(
      {"/usr/bin/openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes",
       "-days", "1", "-subj", "/CN=test", "-keyout", deployment.File("key.pem"),
       "-out", deployment.File("cert.pem")},
      deployment.File("openssl.err"));
  return openssl.Wait(30) == 0;
}

/// Offers these protocols over TLS.
/// @return the one that the daemon chose; empty: no connection
std::string ChosenProtocol(std::uint16_t port, const std::string& offered) {
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

std::string AnswerTo(const Pipelines& run, const std::string& text) {
  const Connection connection(run.deployment.caller_port(0));
  connection.Send(text);
  return connection.ReadAnswer();
}

}  // namespace

TestSuite(callers);

Test(callers, certificate_in_settings_serves_http2_by_alpn) {
  Pipelines run(0, 1, 0);
  cr_assert(MakeCertificate(run.deployment));
  run.deployment.SetDaemonSettings(
      R"({"callers": {"certificateFile": ")" + run.deployment.File("cert.pem") +
      R"(", "keyFile": ")" + run.deployment.File("key.pem") + R"("}})");
  run.deployment.AddDaemon();
  const std::uint16_t port = run.deployment.caller_port(0);
  cr_assert_eq(ChosenProtocol(port, "\x02h2\x08http/1.1"), "h2");
  cr_assert_eq(ChosenProtocol(port, "\x08http/1.1"), "http/1.1");
}

// What the caller sees: each request that can't be taken gets a clear answer,
// and the daemon goes on serving.
Test(callers, requests_that_cannot_be_taken_get_a_clear_problem) {
  Pipelines run(1, 1, 0, R"({"limits": {"maxBodyBytes": 2048}})");
  const auto post = [&run](const std::string& service, const std::string& body,
                           const std::vector<std::string>& headers) {
    return run.deployment.Post(0, service, body, headers);
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
  const std::uint16_t port = run.deployment.caller_port(0);
  cr_assert(
      IsProblem(Http(port, "POST", "/v1/services/chat", "{}"), "unauthorised"));
  cr_assert_eq(Http(port, "HEAD", "/v1/services/chat", "").status, 405);
  cr_assert_eq(Http(port, "OPTIONS", "/v1/services/chat", "").status, 405);
  cr_assert(AnswerTo(run, "GARBAGE\r\n\r\n").starts_with("http/1.1 400"));
  cr_assert(AnswerTo(run,
                     "POST /v1/services/chat HTTP/1.1\r\nhost: t\r\n"
                     "content-length: abc\r\n\r\n")
                .starts_with("http/1.1 400"));
  // The longest time that a number holds must not overflow into the past.
  cr_assert_eq(
      post("%63hat", "{}", {"x-timeout-ms: 9223372036854775807"}).status, 200);
}

// What the caller sees: too_many_connections and not a reset, when the daemon
// has as many connections as it takes; those that are open go on.
Test(callers, one_connection_too_many_is_told_and_others_go_on) {
  Pipelines run(1, 1, 0, R"({"limits": {"maxConnections": 2}})");
  const Connection first(run.deployment.caller_port(0));
  const Connection second(run.deployment.caller_port(0));
  first.Post("chat", "{}");
  cr_assert(first.ReadAnswer().starts_with("http/1.1 200"));
  second.Post("chat", "{}");
  cr_assert(second.ReadAnswer().starts_with("http/1.1 200"));
  const Answer refused = run.Post(0, "chat", "third").get();
  cr_assert(IsProblem(refused, "too_many_connections"), "%s",
            refused.body.c_str());
  first.Post("chat", "{}");
  cr_assert(first.ReadAnswer().starts_with("http/1.1 200"));
}

// What the operator sees: one line for each request, and never a bearer key.
Test(callers, log_has_one_line_per_request_and_no_key) {
  Pipelines run(1, 1, 0);
  cr_assert_eq(run.Post(0, "chat", "letter").get().status, 200);
  const std::string log = run.deployment.Log(0);
  const std::size_t line = log.find("event=request ");
  cr_assert(line != std::string::npos);
  cr_assert(log.find("event=request ", line + 1) == std::string::npos);
  for (const char* field : {"service=chat", "organisation=test",
                            "kind=answered", "cost_micros=", "attempts=1"}) {
    cr_assert(log.find(field, line) != std::string::npos, "%s", field);
  }
  cr_assert(log.find("test-key") == std::string::npos);
}

// What other callers see: nothing. One caller sends half a request and stops;
// the daemon closes that connection after ten seconds.
Test(callers, half_a_request_is_closed_and_others_are_served) {
  Pipelines run(1, 1, 0);
  const Connection half(run.deployment.caller_port(0));
  half.Send("POST /v1/services/chat HTTP/1.1\r\nhost: t\r\ncontent-le");
  cr_assert_eq(run.Post(0, "chat", "letter").get().status, 200);
  cr_assert_eq(half.ReadTo("\r\n\r\n"), "");
  cr_assert_eq(run.Post(0, "chat", "letter").get().status, 200);
}
