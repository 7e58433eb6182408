#ifndef GENTIANROUTE_GATEWAY_TRANSLATOR_H_
#define GENTIANROUTE_GATEWAY_TRANSLATOR_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/routing/deployment.h"
#include "gentianroute/routing/server.h"
#include "gentianroute/routing/server_choice.h"
#include "gentianroute/routing/stage_pool.h"

namespace gentianroute::gateway {

/// @brief Content of a caller's request, without its body.
struct CallerRequest {
  std::string id;  ///< a caller's retry has a new one
  std::string host;
  std::optional<Duration> timeout;  ///< how long the caller waits
  std::optional<std::string> key;   ///< identifies the organisation
  /// Whether the key is empty or was given more than once.
  bool has_invalid_key = false;
  /// Whether a text that is passed on inside a message is not UTF-8.
  bool has_invalid_text = false;
  routing::Prompt prompt;
  std::vector<std::uint32_t> stage_pieces;
  std::string stage_key;     ///< stands in for inputs in stages without any
  std::string resume_after;  ///< last event that the caller has; empty if none
  /// Id of the caller's request that brought the first event of the stream;
  /// empty if the caller doesn't take one up.
  std::string stream_begun_by;
  HttpHeaders forwarded_fields;  ///< sent to the server unchanged
};

/// @brief Data that this daemon adds to a request to a backend server.
struct ServerRequest {
  std::string expected_server;  ///< id; any other server must refuse it
  std::optional<std::string> organisation;  ///< empty if none is known
  Duration time_left{};
  std::vector<std::string> inputs;  ///< results of the stages
  std::string resume_after;  ///< last event that the caller has; empty if none
};

/// @brief What a server says of itself in the head of an answer, whatever the
/// request was.
struct ServerNotice {
  /// Requests per second that the server takes from all daemons together; empty
  /// if it names no limit.
  std::optional<double> request_limit;
  /// Rejections per second beyond which the server falls over; empty if it is
  /// not brittle.
  std::optional<double> bearable_rejections;
  /// Time for which the server wants nothing more from this daemon; empty if it
  /// asks for none.
  std::optional<Duration> backoff;
  bool leaving = false;  ///< it will stop, and takes no new work
};

/// @brief Content of the head of a server's answer.
struct ServerAnswer {
  int status = 0;
  bool not_run = false;  ///< the server has not run the request, and won't
  ServerNotice notice;
  HttpHeaders forwarded_fields;  ///< sent to the caller
};

/// @brief Answer to a stage call.
struct StageAnswer {
  routing::CallStatus status = routing::CallStatus::kBroken;
  /// One for each piece if the call was answered, otherwise empty.
  std::vector<routing::PieceResult> results;
};

/// @brief One piece as it is sent to a stage server.
struct StagePieceRequest {
  std::string_view request;
  std::uint32_t stage = 0;
  std::uint32_t segment = 0;
  Duration time_left{};
  std::string_view key;  ///< stands in for inputs in stages without any
  std::span<const std::string> inputs;  ///< results that the piece reads
};

/// @brief What a row of the operators' table holds.
struct OperatorRow {
  enum class Kind : std::uint8_t { kDeployment, kEvacuation, kUnknown };
  Kind kind = Kind::kUnknown;
  std::string data_centre;  ///< that is evacuated while the row exists
};

/// @brief Converts between the platform's wire formats and the types above.
/// Names that are specific to the platform occur only in its implementations.
class Translator {
 public:
  virtual ~Translator() = default;

  virtual OperatorRow ReadOperatorRow(std::string_view key) const = 0;
  /// @param error set to the reason if nothing is returned
  virtual std::optional<routing::Deployment> ReadDeployment(
      std::string_view row,
      std::string& error) const = 0;
  virtual std::optional<routing::ServerRecord> ReadServer(
      std::string_view id,
      std::string_view row,
      std::string& error) const = 0;

  virtual CallerRequest ReadRequest(const MessageHead& head) const = 0;
  /// @brief Header fields of the request as it is sent to a server.
  virtual HttpHeaders ServerFields(const CallerRequest& caller,
                                   const ServerRequest& added) const = 0;
  virtual ServerAnswer ReadAnswer(const MessageHead& head) const = 0;
  virtual ServerNotice ReadNotice(const MessageHead& head) const = 0;
  /// @brief Whether an answer belongs to the request with this id.
  /// @param use of the connection that it arrives on
  virtual bool IsAnswerTo(const MessageHead& head,
                          std::string_view request,
                          ConnectionUse use) const = 0;
  /// @brief Header fields of an answer that this daemon generates.
  virtual HttpHeaders OwnAnswerFields(
      std::string_view request,
      std::optional<Duration> retry_after) const = 0;

  /// @brief The complete stage call for some pieces, head and body.
  virtual std::string StageCallMessage(
      const Endpoint& server,
      std::string_view expected_server,
      std::span<const StagePieceRequest> pieces) const = 0;
  virtual StageAnswer ReadStageAnswer(const MessageHead& head,
                                      std::string_view body) const = 0;
  /// @brief The server that stores a result.
  /// @return no value if the result can't be parsed
  virtual std::optional<Endpoint> HolderOf(std::string_view result) const = 0;
  virtual std::string ReleaseMessage(
      const Endpoint& server,
      std::span<const std::string> results) const = 0;

  /// @brief Whether this is a readiness check of the load balancer.
  virtual bool IsReadinessCheck(const MessageHead& head) const = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_TRANSLATOR_H_
