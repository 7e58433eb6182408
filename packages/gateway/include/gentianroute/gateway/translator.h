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

/// @brief What a caller's request says, apart from its body.
struct CallerRequest {
  std::string id;  ///< of this try; a caller's next try has another
  std::string host;
  std::optional<Duration> timeout;  ///< how long the caller waits
  std::optional<std::string> key;   ///< names the organisation
  /// Whether a key came in a way that names nobody: twice, or empty.
  bool has_invalid_key = false;
  routing::Prompt prompt;
  std::vector<std::uint32_t> stage_pieces;
  std::string stage_key;         ///< what stages without inputs work on
  std::string resume_after;      ///< last event that the caller has, if any
  HttpHeaders forwarded_fields;  ///< fields that go to the server unchanged
};

/// @brief What this daemon adds to a request for a backend server.
struct ServerRequest {
  std::string expected_server;  ///< another one must not run it
  std::optional<std::string> organisation;
  Duration time_left{};
  std::vector<std::string> inputs;  ///< results of the stages
  std::string resume_after;         ///< last event that went out
};

/// @brief What the head of a server's answer says.
struct ServerAnswer {
  int status = 0;
  bool not_run = false;  ///< the server has not run the request and won't
  HttpHeaders forwarded_fields;  ///< fields that go to the caller
};

/// @brief What a call of stage pieces came back with.
struct StageAnswer {
  routing::CallStatus status = routing::CallStatus::kBroken;
  std::vector<routing::PieceResult> results;
};

/// @brief One piece as it goes to a stage server.
struct StagePieceRequest {
  std::string_view request;
  std::uint32_t stage = 0;
  std::uint32_t segment = 0;
  Duration time_left{};
  std::string_view key;
  std::span<const std::string> inputs;  ///< in place of the key, if any
};

/// @brief Turns what stands on the wire into the types above and back. It
/// decides nothing; the platform's names stand only behind it.
class Translator {
 public:
  virtual ~Translator() = default;

  /// @param error says what is wrong, if nothing is returned
  virtual std::optional<routing::Deployment> ReadDeployment(
      std::string_view row,
      std::string& error) const = 0;
  virtual std::optional<routing::ServerRecord> ReadServer(
      std::string_view id,
      std::string_view row,
      std::string& error) const = 0;

  virtual CallerRequest ReadRequest(const MessageHead& head) const = 0;
  /// @brief Fields of the request as it goes to a server.
  virtual HttpHeaders ServerFields(const CallerRequest& caller,
                                   const ServerRequest& added) const = 0;
  virtual ServerAnswer ReadAnswer(const MessageHead& head) const = 0;
  /// @brief Whether an answer is to the request with this id.
  virtual bool IsAnswerTo(const MessageHead& head,
                          std::string_view request) const = 0;
  /// @brief Fields of an answer of our own to a caller.
  virtual HttpHeaders OwnAnswerFields(
      std::string_view request,
      std::optional<Duration> retry_after) const = 0;

  /// @brief The whole call for some pieces, head and body.
  virtual std::string StageCallMessage(
      const Endpoint& server,
      std::string_view expected_server,
      std::span<const StagePieceRequest> pieces) const = 0;
  virtual StageAnswer ReadStageAnswer(const MessageHead& head,
                                      std::string_view body) const = 0;
  /// @brief The server that holds a result.
  virtual std::optional<Endpoint> HolderOf(std::string_view result) const = 0;
  virtual std::string ReleaseMessage(
      const Endpoint& server,
      std::span<const std::string> results) const = 0;

  /// @brief Whether the balancer asks if this daemon takes requests.
  virtual bool IsReadinessCheck(const MessageHead& head) const = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_TRANSLATOR_H_
