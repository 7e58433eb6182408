#ifndef GENTIANROUTE_LOOP_MESSAGE_PARSER_H_
#define GENTIANROUTE_LOOP_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief The head of an HTTP/1.1 message, byte for byte as it was sent.
struct MessageHead {
  std::string method;  ///< requests only
  std::string target;  ///< path and query, not normalised; requests only
  int status = 0;      ///< answers only
  HttpHeaders fields;  ///< names in the sender's spelling
  bool keep_alive = true;
  bool version_1_0 = false;  ///< the sender does not know chunks
  bool expects_continue = false;
};

/// @brief The first field with this name, whatever its case.
/// @return null if there is none; an empty value is not null
const std::string* FindField(const HttpHeaders& fields, std::string_view name);

/// @brief The value of that field.
/// @return empty if there is none
std::string FieldValue(const HttpHeaders& fields, std::string_view name);

/// @brief Whether two field names are equal but for case.
bool SameFieldName(std::string_view a, std::string_view b);

/// @brief Takes HTTP/1.1 messages of one connection apart, one after the other.
///
/// What follows a message stays unread until Next(): a request that a caller
/// sent early waits, and bytes after an answer can be seen for what they are.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };
  enum class Event : std::uint8_t {
    kNeedMore,
    kHead,
    kBody,
    kEnd,  ///< the message is whole
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
  /// @brief The far end closed in order: ends a body without a length.
  void FeedEof();
  /// @brief The next thing in the bytes so far; call until kNeedMore.
  Event Poll();
  /// @brief Begins the message after one that is whole.
  void StartNext(Limits limits);

  /// @brief Valid after kHead, until Next().
  MessageHead& head();
  /// @brief The part of the body that kBody announced.
  const std::string& body() const;
  /// @brief Whether any byte of the present message has arrived.
  bool started() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_MESSAGE_PARSER_H_
