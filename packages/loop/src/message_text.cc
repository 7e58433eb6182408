#include "gentianroute/loop/message_text.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

#include "gentianroute/loop/message_parser.h"

namespace gentianroute {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

/// Fields that RFC 9110 defines as hop-by-hop, and those that describe the
/// framing of the body, which each hop sets itself.
constexpr std::array<std::string_view, 10> kHopByHopFields = {
    "connection",          "keep-alive", "proxy-connection", "te",
    "transfer-encoding",   "trailer",    "upgrade",          "content-length",
    "proxy-authorization", "expect",
};

void AppendField(std::string& text,
                 std::string_view name,
                 std::string_view value) {
  text += name;
  text += ": ";
  text += value;
  text += kLineEnd;
}

void AppendFraming(std::string& text, BodyFraming framing, std::size_t bytes) {
  if (framing == BodyFraming::kLength) {
    AppendField(text, "Content-Length", std::to_string(bytes));
  }
  if (framing == BodyFraming::kChunked) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
}

}  // namespace

std::string SerialiseRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& fields,
                                 BodyFraming framing,
                                 std::size_t body_bytes) {
  std::string text;
  text += method;
  text += ' ';
  text += target;
  text += " HTTP/1.1";
  text += kLineEnd;
  for (const HttpHeader& field : fields) {
    AppendField(text, field.name, field.value);
  }
  AppendFraming(text, framing, body_bytes);
  text += kLineEnd;
  return text;
}

std::string SerialiseResponseHead(int status,
                                  const HttpHeaders& fields,
                                  BodyFraming framing,
                                  std::size_t body_bytes,
                                  bool close) {
  namespace http = boost::beast::http;
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
  text.append(reason.data(), reason.size());
  text += kLineEnd;
  for (const HttpHeader& field : fields) {
    AppendField(text, field.name, field.value);
  }
  AppendFraming(text, framing, body_bytes);
  if (close) {
    AppendField(text, "Connection", "close");
  }
  text += kLineEnd;
  return text;
}

std::string SerialiseChunk(std::string_view data) {
  constexpr int kHexadecimal = 16;
  std::array<char, sizeof(std::size_t) * 2> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 data.size(), kHexadecimal);
  std::string text(digits.data(), end.ptr);
  text += kLineEnd;
  text += data;
  text += kLineEnd;
  return text;
}

bool IsHopByHopField(std::string_view name, std::string_view connection) {
  const bool always = std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view field) { return SameFieldName(field, name); });
  if (always || connection.empty()) {
    return always;
  }
  const boost::beast::http::token_list listed(
      boost::beast::string_view(connection.data(), connection.size()));
  return std::any_of(listed.begin(), listed.end(), [name](const auto& token) {
    return SameFieldName({token.data(), token.size()}, name);
  });
}

}  // namespace gentianroute
