#ifndef GENTIANROUTE_ENTRY_CALLER_API_H_
#define GENTIANROUTE_ENTRY_CALLER_API_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gentianroute/decision/coordinator.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"
#include "gentianroute/schema/settings.h"

namespace gentianroute {

/// @brief Owner of a bearer key.
struct Caller {
  std::string organisation;
  std::string subscriber;
  double weight = 1;
};

/// @brief Maps the SHA-256 digest of each bearer key to its owner.
using CallerTable = std::unordered_map<std::string, Caller>;
CallerTable MakeCallerTable(schema::Settings::Reader settings);

/// @brief The callers' HTTP interface; docs/CALLERS.md describes it.
class CallerApi {
 public:
  /// @param id_prefix prefix of the request ids; unique to this process
  /// @param request_advance called after each input to the coordinator
  CallerApi(EventLoop& loop,
            Coordinator& coordinator,
            CallerTable callers,
            std::string id_prefix,
            std::function<void()> request_advance);

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Deliver(const DeliverChunk& chunk);
  void Finish(const FinishRequest& finish);

  /// @brief Number of requests that are not answered yet.
  std::size_t active() const { return exchanges_.size(); }

 private:
  struct Exchange {
    std::shared_ptr<HttpResponder> responder;
    std::string request_id;
    bool wants_stream = false;
    bool begun = false;  ///< the first part of a stream was sent
  };

  void Reject(ErrorKind kind,
              std::string_view detail,
              const HttpRequest& request,
              HttpResponder& responder);
  void Submit(Submission submission, std::shared_ptr<HttpResponder> responder);
  const Caller* Authenticate(const HttpRequest& request) const;
  std::string PublicId(RequestId request) const;
  void SendStreamEnd(const Exchange& exchange, const FinishRequest& finish);

  EventLoop& loop_;
  Coordinator& coordinator_;
  CallerTable callers_;
  std::string id_prefix_;
  std::function<void()> request_advance_;
  std::unordered_map<RequestId, Exchange> exchanges_;
  std::uint64_t rejected_count_ = 0;  ///< for the ids of rejected requests
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CALLER_API_H_
