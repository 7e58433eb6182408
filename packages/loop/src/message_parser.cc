// Must precede all Boost headers; see boost::assertion_failed() below.
#define BOOST_ENABLE_ASSERT_HANDLER

#include "gentianroute/loop/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace {

/// Thrown when an assertion in Beast's parser fails.
struct ParserAssertionFailure : std::exception {};

}  // namespace

// Parsing a last chunk of which fewer than five bytes have arrived a second
// time fails an assertion in Beast's parser. In builds with assertions that
// would terminate the process and all its requests. These handlers throw
// instead, and the parser catches the exception.
namespace boost {
void assertion_failed(const char* /*expression*/,
                      const char* /*function*/,
                      const char* /*file*/,
                      long /*line*/) {
  throw ParserAssertionFailure();
}
void assertion_failed_msg(const char* /*expression*/,
                          const char* /*message*/,
                          const char* /*function*/,
                          const char* /*file*/,
                          long /*line*/) {
  throw ParserAssertionFailure();
}
}  // namespace boost

namespace gentianroute {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Beast's incremental parser, which stores the parsed head and body.
template <bool IsRequest>
class Collector final : public http::basic_parser<IsRequest> {
 public:
  using View = beast::string_view;
  using Error = beast::error_code;

  Collector() { this->eager(true); }

  MessageHead head_;
  std::string body_;
  bool has_transfer_coding_ = false;

 private:
  void on_request_impl(http::verb /*method*/,
                       View method,
                       View target,
                       int version,
                       Error& /*error*/) override {
    constexpr int kVersion11 = 11;
    head_.version_1_0 = version < kVersion11;
    head_.method.assign(method.data(), method.size());
    head_.target.assign(target.data(), target.size());
  }
  void on_response_impl(int code,
                        View /*reason*/,
                        int /*version*/,
                        Error& error) override {
    head_.status = code;
    if (!IsStatus(code)) {
      error = http::error::bad_status;
    }
  }
  void on_field_impl(http::field field,
                     View name,
                     View value,
                     Error& error) override {
    const bool is_trailer = this->is_header_done();
    if (is_trailer) {
      return;
    }
    if (field == http::field::transfer_encoding) {
      OnTransferCoding(value, error);
    }
    if (field == http::field::expect) {
      head_.expects_continue = true;
    }
    head_.fields.push_back({std::string(name.data(), name.size()),
                            std::string(value.data(), value.size())});
  }
  /// A coding that this parser doesn't undo would be lost with its field, which
  /// is hop-by-hop, and its bytes would pass for the body. Requests ask for
  /// none.
  void OnTransferCoding(View coding, Error& error) {
    const bool is_undone =
        beast::iequals(coding, "chunked") || beast::iequals(coding, "identity");
    const bool is_repeated = std::exchange(has_transfer_coding_, true);
    if (!IsRequest && (!is_undone || is_repeated)) {
      error = http::error::bad_transfer_encoding;
    }
  }
  void on_header_impl(Error& error) override {
    head_.keep_alive = this->keep_alive();
    head_.ends_with_connection = !IsRequest && this->need_eof();
    // With a final coding other than chunked the end of a request body is
    // ambiguous: the next hop could find another request in it (request
    // smuggling).
    if (IsRequest && has_transfer_coding_ && !this->chunked()) {
      error = http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         Error& /*error*/) override {}
  std::size_t on_body_impl(View body, Error& /*error*/) override {
    body_.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            View /*extensions*/,
                            Error& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 View body,
                                 Error& /*error*/) override {
    body_.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(Error& /*error*/) override {}
};

}  // namespace

bool SameFieldName(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* FindField(const HttpHeaders& fields, std::string_view name) {
  for (const HttpHeader& field : fields) {
    if (SameFieldName(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

std::string FieldValue(const HttpHeaders& fields, std::string_view name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

class MessageParser::Impl {
 public:
  Impl(Kind kind, Limits limits) : kind_(kind) { Begin(limits); }

  void Begin(Limits limits) {
    head_limit_ = limits.head_bytes;
    request_.reset();
    response_.reset();
    if (kind_ == Kind::kRequest) {
      Prepare(request_.emplace(), limits);
    } else {
      Prepare(response_.emplace(), limits);
    }
    head_reported_ = false;
    end_reported_ = false;
    has_folded_line_ = false;
    failure_.reset();
  }

  Event Poll() {
    return kind_ == Kind::kRequest ? PollWith(*request_) : PollWith(*response_);
  }
  void FeedEof() {
    beast::error_code error;
    if (kind_ == Kind::kRequest) {
      request_->put_eof(error);
    } else if (response_->got_some()) {
      response_->put_eof(error);
    }
    if (error) {
      failure_ = Event::kMalformed;
    }
  }
  MessageHead& head() {
    return kind_ == Kind::kRequest ? request_->head_ : response_->head_;
  }
  bool started() const {
    return !input_.empty() || (kind_ == Kind::kRequest ? request_->got_some()
                                                       : response_->got_some());
  }
  bool has_next() const { return end_reported_ && !input_.empty(); }
  std::optional<std::uint64_t> content_length() const {
    const auto length = kind_ == Kind::kRequest ? request_->content_length()
                                                : response_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  }

  std::string input_;
  std::string body_part_;

 private:
  template <typename Parser>
  static void Prepare(Parser& parser, Limits limits) {
    parser.header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    parser.body_limit(limits.body_bytes);
  }

  template <typename Parser>
  Event PollWith(Parser& parser) {
    body_part_.clear();
    ReleaseIfLarge(body_part_);
    if (!failure_ && !parser.is_done() && !input_.empty()) {
      Parse(parser);
    }
    if (parser.is_header_done() && !std::exchange(head_reported_, true)) {
      if (has_folded_line_ || HasMultipleHostFields()) {
        failure_ = Event::kMalformed;
        return *failure_;
      }
      return Event::kHead;
    }
    if (!parser.body_.empty()) {
      body_part_ = std::exchange(parser.body_, {});
      return Event::kBody;
    }
    if (failure_) {
      return *failure_;
    }
    if (parser.is_done() && !std::exchange(end_reported_, true)) {
      return Event::kEnd;
    }
    return Event::kNeedMore;
  }

  template <typename Parser>
  void Parse(Parser& parser) {
    beast::error_code error;
    std::size_t consumed = 0;
    const bool expects_head = !parser.is_header_done();
    try {
      while (consumed < input_.size() && !parser.is_done()) {
        const std::size_t part =
            parser.put(boost::asio::const_buffer(input_.data() + consumed,
                                                 input_.size() - consumed),
                       error);
        consumed += part;
        if (error || part == 0) {
          break;
        }
      }
    } catch (const ParserAssertionFailure&) {
      // An incomplete last chunk is not an error. The assertion fails only at
      // the start of a put(), which has then consumed none of these bytes, so
      // they are parsed again together with the rest.
      constexpr std::size_t kLastChunkBytes = 5;
      if (input_.size() - consumed >= kLastChunkBytes) {
        failure_ = Event::kMalformed;
      }
    }
    if (expects_head && parser.is_header_done()) {
      has_folded_line_ = kind_ == Kind::kResponse && HasFoldedLine(input_);
    }
    input_.erase(0, consumed);
    if (input_.empty()) {
      ReleaseIfLarge(input_);
    }
    if (error && error != http::error::need_more) {
      failure_ = EventForError(error);
    } else if (!parser.is_done() && input_.size() > head_limit_) {
      // The parser sets no limit on the line with the size of a chunk.
      failure_ = Event::kMalformed;
    }
  }

  /// Thousands of connections that have each carried a body once must not keep
  /// the memory of it.
  static void ReleaseIfLarge(std::string& buffer) {
    constexpr std::size_t kKeptBytes = 4 * 1024;
    if (buffer.capacity() > kKeptBytes) {
      std::string().swap(buffer);
    }
  }

  /// Whether a line of a head begins with a blank. The parser joins it to the
  /// value of the field before, which a server in trouble didn't mean.
  /// @param input begins with a whole head, which the parser takes at once
  static bool HasFoldedLine(std::string_view input) {
    const std::string_view head = input.substr(0, input.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
  }

  /// Requests with several Host fields are rejected: two hops that use
  /// different ones would route the request to different services and so bypass
  /// the checks of one route.
  bool HasMultipleHostFields() {
    if (kind_ != Kind::kRequest) {
      return false;
    }
    const HttpHeaders& fields = head().fields;
    return std::count_if(fields.begin(), fields.end(),
                         [](const HttpHeader& field) {
                           return SameFieldName(field.name, "Host");
                         }) > 1;
  }

  static Event EventForError(const beast::error_code& error) {
    if (error == http::error::header_limit) {
      return Event::kHeadTooLarge;
    }
    return error == http::error::body_limit ? Event::kBodyTooLarge
                                            : Event::kMalformed;
  }

  Kind kind_;
  std::size_t head_limit_ = 0;
  std::optional<Collector<true>> request_;
  std::optional<Collector<false>> response_;
  bool head_reported_ = false;
  bool end_reported_ = false;
  bool has_folded_line_ = false;
  std::optional<Event> failure_;
};

MessageParser::MessageParser(Kind kind, Limits limits)
    : impl_(std::make_unique<Impl>(kind, limits)) {}
MessageParser::~MessageParser() = default;

void MessageParser::Feed(std::string_view data) {
  impl_->input_.append(data);
}
void MessageParser::FeedEof() {
  impl_->FeedEof();
}
MessageParser::Event MessageParser::Poll() {
  return impl_->Poll();
}
void MessageParser::StartNext(Limits limits) {
  impl_->Begin(limits);
}
MessageHead& MessageParser::head() {
  return impl_->head();
}
const std::string& MessageParser::body() const {
  return impl_->body_part_;
}
bool MessageParser::started() const {
  return impl_->started();
}
std::optional<std::uint64_t> MessageParser::content_length() const {
  return impl_->content_length();
}
std::size_t MessageParser::buffered_bytes() const {
  return impl_->input_.size();
}
bool MessageParser::has_next() const {
  return impl_->has_next();
}

}  // namespace gentianroute
