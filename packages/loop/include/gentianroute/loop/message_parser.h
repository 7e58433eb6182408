#ifndef GENTIANROUTE_LOOP_MESSAGE_PARSER_H_
#define GENTIANROUTE_LOOP_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief Head of an HTTP/1.1 message, with target and fields as sent.
struct MessageHead {
  std::string method;  ///< requests only
  std::string target;  ///< path and query, not normalised; requests only
  int status = 0;      ///< responses only
  HttpHeaders fields;  ///< names in the sender's letter case
  bool keep_alive = true;
  bool version_1_0 = false;  ///< the sender does not support chunked coding
  bool expects_continue = false;
  /// The body has neither a length nor chunks, so that the end of the
  /// connection ends it, also if the sender has crashed; responses only.
  bool ends_with_connection = false;
};

/// @brief Finds the first field with this name, ignoring case.
/// @return null if there is none; an empty value is not null
const std::string* FindField(const HttpHeaders& fields, std::string_view name);

/// @brief Value of the first field with this name, ignoring case.
/// @return empty if there is none
std::string FieldValue(const HttpHeaders& fields, std::string_view name);

/// @brief Whether two field names are equal, ignoring case.
bool SameFieldName(std::string_view a, std::string_view b);

/// @brief Incremental parser for the HTTP/1.1 messages of one connection.
///
/// Input after the end of a message stays buffered until StartNext(): a
/// pipelined request waits for its turn, and unexpected bytes after a response
/// can be detected.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };
  enum class Event : std::uint8_t {
    kNeedMore,
    kHead,
    kBody,
    kEnd,  ///< the message is complete
    kMalformed,
    kHeadTooLarge,
    kBodyTooLarge,
  };
  struct Limits {
    std::size_t head_bytes = 64 * 1024;
    std::size_t body_bytes = 64 * 1024 * 1024;
  };

  MessageParser(Kind kind, Limits limits);
  ~MessageParser();

  void Feed(std::string_view data);
  /// @brief Signals an orderly close by the peer, which ends a body that has
  /// neither a length nor chunks.
  void FeedEof();
  /// @brief Parses the next event from the buffered input; call it until it
  /// returns kNeedMore.
  Event Poll();
  /// @brief Starts parsing the next message after a complete one.
  void StartNext(Limits limits);

  /// @brief Valid from kHead until StartNext().
  MessageHead& head();
  /// @brief Length of the body, once the head is known, if it states one.
  std::optional<std::uint64_t> content_length() const;
  /// @brief Body data of the last kBody event, until the next Poll().
  const std::string& body() const;
  /// @brief Whether any byte of the current message has arrived.
  bool started() const;
  /// @brief Bytes that have been fed and not parsed yet.
  std::size_t buffered_bytes() const;
  /// @brief Whether any byte after the end of the current message has arrived.
  bool has_next() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_MESSAGE_PARSER_H_
