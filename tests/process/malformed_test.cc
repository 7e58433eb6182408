#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <fstream>
#include <random>
#include <string>
#include <string_view>

#include "connection.h"
#include "harness.h"
#include "pipeline_fixture.h"

#include <criterion/criterion.h>

using namespace gentianroute::testing;

namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kBatches = 10;
constexpr int kRequestsPerBatch = 300;
// Time without data after which a caller stops reading the response.
constexpr int kIdleReadMilliseconds = 10;
constexpr std::uint64_t kMaxGrowthKilobytes = 32 * 1024;

/// The parts of a request before they are serialised.
struct RequestDraft {
  std::string line = "POST /v1/services/chat HTTP/1.1";
  std::string headers =
      "host: test\r\nauthorization: Bearer test-key\r\nconnection: close\r\n";
  std::string body = R"({"marker": "m", "prompt": "a letter", "n": [1, 2]})";
  bool has_length = true;

  std::string Text() const {
    const std::string stated =
        has_length ? "content-length: " + std::to_string(body.size()) + "\r\n"
                   : "";
    return line + "\r\n" + headers + stated + "\r\n" + body;
  }
};

using Random = std::mt19937_64;

std::size_t RandomBelow(Random& random, std::size_t bound) {
  return random() % bound;
}

std::string RandomBytes(Random& random, std::size_t size) {
  std::string text(size, '\0');
  std::ranges::generate(text,
                        [&random] { return static_cast<char>(random()); });
  return text;
}

template <std::size_t kSize>
std::string Pick(Random& random,
                 const std::array<std::string_view, kSize>& choices) {
  return std::string(choices[RandomBelow(random, kSize)]);
}

void SetBadPath(Random& random, RequestDraft& draft) {
  static constexpr std::array<std::string_view, 10> kPaths = {
      "/v1/services/%",     "/v1/services/%zz",
      "/v1/services/%00",   "/v1/services/../../..",
      "/%2e%2e/%2e%2e/etc", "/v1/services/%c0%af",
      "v1/services/chat",   "*",
      "http://[::1/",       "/v1/services/chat?%&&=%"};
  draft.line = "POST " + Pick(random, kPaths) + " HTTP/1.1";
}

void SetBadRequestLine(Random& random, RequestDraft& draft) {
  static constexpr std::array<std::string_view, 8> kLines = {
      "POST /v1/services/chat HTTP/9.9",
      "POST /v1/services/chat",
      "POST  /v1/services/chat  HTTP/1.1",
      "PRI * HTTP/2.0",
      "\tPOST /v1/services/chat HTTP/1.1",
      "CONNECT 127.0.0.1:1 HTTP/1.1",
      "GET / HTTP/0.9",
      ""};
  draft.line = Pick(random, kLines);
}

void AddBadHeader(Random& random, RequestDraft& draft) {
  static constexpr std::array<std::string_view, 14> kHeaders = {
      "content-length: -1",
      "content-length: 99999999999999999999",
      "content-length: 5\r\ncontent-length: 6",
      "transfer-encoding: chunked",
      "transfer-encoding: gzip, chunked",
      "transfer-encoding: chunked\r\ncontent-length: 3",
      "x-timeout-ms: -9223372036854775808",
      "x-timeout-ms: 1e9",
      "idempotency-key: \x01\x7f\xff",
      "traceparent: 00-zz-zz-zz",
      "authorization: Bearer",
      "expect: 100-continue",
      "upgrade: h2c\r\nconnection: upgrade\r\nhttp2-settings: !!!!",
      ": no name"};
  draft.headers += Pick(random, kHeaders) + "\r\n";
  draft.has_length = RandomBelow(random, 2) == 0;
}

void SetBadChunks(Random& random, RequestDraft& draft) {
  static constexpr std::array<std::string_view, 5> kBodies = {
      "zz\r\nabc\r\n0\r\n\r\n", "ffffffffffffffffff\r\nabc", "5\r\nabc",
      "3\r\nabcdef\r\n0\r\n\r\n", "0\r\nx: y\r\n"};
  draft.headers += "transfer-encoding: chunked\r\n";
  draft.has_length = false;
  draft.body = Pick(random, kBodies);
}

void SetBadJson(Random& random, RequestDraft& draft) {
  static constexpr std::array<std::string_view, 6> kBodies = {
      R"({"a":)",       R"({"a": "\ud800"})",
      "[1e999]",        "nul",
      "\xef\xbb\xbf{}", R"({"prompt": 7, "conversation": null})"};
  draft.body = RandomBelow(random, 2) == 0
                   ? Pick(random, kBodies)
                   : RandomBytes(random, RandomBelow(random, 200));
}

void SetDeeplyNestedJson(Random& random, RequestDraft& draft) {
  draft.body = std::string(1 + RandomBelow(random, 30'000), '[');
}

void MakeOversized(Random& random, RequestDraft& draft) {
  if (RandomBelow(random, 2) == 0) {
    draft.body = std::string(5000 + RandomBelow(random, 100'000), ' ');
  } else {
    draft.headers +=
        "x-big: " + std::string(RandomBelow(random, 120'000), 'x') + "\r\n";
  }
}

void ReplaceBytes(Random& random, RequestDraft& draft) {
  for (std::string* part : {&draft.line, &draft.headers, &draft.body}) {
    if (part->empty()) {
      continue;
    }
    (*part)[RandomBelow(random, part->size())] = static_cast<char>(random());
  }
}

using Mutation = void (*)(Random&, RequestDraft&);
constexpr std::array<Mutation, 8> kMutations = {
    &SetBadPath, &SetBadRequestLine,   &AddBadHeader,  &SetBadChunks,
    &SetBadJson, &SetDeeplyNestedJson, &MakeOversized, &ReplaceBytes};

std::string MakeMutatedRequest(Random& random) {
  RequestDraft draft;
  const std::size_t count = 1 + RandomBelow(random, 2);
  for (std::size_t i = 0; i < count; ++i) {
    kMutations[RandomBelow(random, kMutations.size())](random, draft);
  }
  std::string text = draft.Text();
  if (RandomBelow(random, 3) == 0) {
    text.resize(RandomBelow(random, text.size()));  // the caller disconnects
  }
  return text;
}

/// Sends in up to three writes, with a pause so that each arrives separately.
void SendSplit(Random& random,
               const Connection& connection,
               std::string_view text) {
  const std::size_t writes = 1 + RandomBelow(random, 3);
  for (std::size_t i = 1; i < writes && text.size() > 1; ++i) {
    const std::size_t size = 1 + RandomBelow(random, text.size() - 1);
    connection.Send(text.substr(0, size));
    text.remove_prefix(size);
    usleep(100);
  }
  connection.Send(text);
}

std::uint64_t ResidentKilobytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      std::uint64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

}  // namespace

TestSuite(malformed);

// Callers send truncated, oversized and corrupted requests in several writes
// and disconnect at any time. The daemon must keep running and serving valid
// requests, and its memory must stay bounded.
Test(malformed, mutated_requests_leave_daemon_serving_in_bounded_memory) {
  PipelineFixture fixture(1, 1, 0, R"({"limits": {"maxBodyBytes": 65536}})");
  const pid_t daemon = fixture.deployment.daemon(0).id();
  const std::uint16_t port = fixture.deployment.caller_port(0);
  Random random(kSeed);
  std::uint64_t first_kilobytes = 0;
  for (int batch = 0; batch < kBatches; ++batch) {
    for (int i = 0; i < kRequestsPerBatch; ++i) {
      const std::string text = MakeMutatedRequest(random);
      const Connection connection(port);
      cr_assert(connection.connected(), "batch %d, request %d", batch, i);
      SendSplit(random, connection, text);
      if (RandomBelow(random, 4) == 0) {
        connection.ReadUntilIdle(kIdleReadMilliseconds);
      }
    }
    const ClientResponse response = fixture.Post(0, "chat", "letter").get();
    cr_assert_eq(response.status, 200, "batch %d: %s", batch,
                 response.body.c_str());
    cr_assert_eq(fixture.deployment.daemon(0).Wait(0), -1, "batch %d", batch);
    const std::uint64_t kilobytes = ResidentKilobytes(daemon);
    cr_assert_gt(kilobytes, 0);
    // The first batch fills pools and buffers that are never released.
    first_kilobytes = batch == 0 ? kilobytes : first_kilobytes;
    cr_assert_leq(kilobytes, first_kilobytes + kMaxGrowthKilobytes,
                  "batch %d: %lu kB, after the first %lu kB", batch, kilobytes,
                  first_kilobytes);
  }
}
