#ifndef GENTIANROUTE_GATEWAY_HANDED_REQUEST_H_
#define GENTIANROUTE_GATEWAY_HANDED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/decision/leaving_server_gossip.h"
#include "gentianroute/loop/http.h"
#include "gentianroute/loop/message_parser.h"
#include "gentianroute/loop/shared_body.h"
#include "gentianroute/routing/stream_origin.h"

namespace gentianroute::gateway {

/// @brief What has become of a request before its daemon handed it over.
struct RequestProgress {
  std::uint32_t attempts = 0;  ///< servers that it has been sent to
  bool may_have_run = false;   ///< at one of these
  std::string resume_after;  ///< last event that the caller has; empty if none
  std::uint32_t hops = 0;    ///< daemons that have handed it over
  /// Deployment that it was admitted under. A daemon with an older one must not
  /// run it: its caller may have seen the effect of the newer one.
  std::uint64_t deployment_version = 0;
  /// Origin of the stream that it goes on with, if it is known.
  std::optional<routing::StreamOrigin> origin;
};

/// @brief What is known of the server that an answer comes from.
struct AnswerSource {
  /// Of the stream, if the answer is one.
  std::optional<routing::StreamOrigin> origin;
  /// The server, if it has said in the answer that it takes no new work.
  std::optional<LeavingServer> leaving;
};

/// @brief Receives the source of an answer that is about to begin.
using OnAnswerSource = std::function<void(const AnswerSource&)>;

/// @brief A caller's request that its daemon can't send to any backend server.
struct HandedRequest {
  MessageHead head;
  SharedBodyPtr body;
  Duration age{};  ///< since its first byte arrived
  RequestProgress progress;
};

/// @brief Receives a peer's answer to a handed request: either OnWholeAnswer(),
/// or OnAnswerBegun(), any number of OnAnswerPart(), and OnAnswerEnded().
/// OnPeerFailed() may take the place of any of them and is the last.
class PeerAnswerObserver {
 public:
  virtual ~PeerAnswerObserver() = default;
  virtual void OnWholeAnswer(int status,
                             const HttpHeaders& fields,
                             std::string_view body,
                             const AnswerSource& source) = 0;
  virtual void OnAnswerBegun(int status,
                             const HttpHeaders& fields,
                             const AnswerSource& source) = 0;
  virtual void OnAnswerPart(std::string_view part) = 0;
  virtual void OnAnswerEnded() = 0;
  /// @brief The peer or the link to it failed, or the answer is truncated.
  virtual void OnPeerFailed() = 0;
};

/// @brief A request that a peer runs; its destruction cancels the request, and
/// no more callbacks follow.
class HandedRequestHandle {
 public:
  virtual ~HandedRequestHandle() = default;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_HANDED_REQUEST_H_
