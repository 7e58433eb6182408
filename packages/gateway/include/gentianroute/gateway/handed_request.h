#ifndef GENTIANROUTE_GATEWAY_HANDED_REQUEST_H_
#define GENTIANROUTE_GATEWAY_HANDED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/time.h"
#include "gentianroute/loop/http.h"
#include "gentianroute/loop/message_parser.h"
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

/// @brief Receives the origin of a stream that is about to begin.
using OnStreamOrigin = std::function<void(const routing::StreamOrigin&)>;

/// @brief A caller's request that its daemon can't send to any backend server.
struct HandedRequest {
  MessageHead head;
  std::string body;
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
                             std::string_view body) = 0;
  /// @param origin of the stream, if the answer is one
  virtual void OnAnswerBegun(int status,
                             const HttpHeaders& fields,
                             std::optional<routing::StreamOrigin> origin) = 0;
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
