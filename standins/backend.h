#ifndef GENTIANROUTE_STANDINS_BACKEND_H_
#define GENTIANROUTE_STANDINS_BACKEND_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "faults.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http_server.h"
#include "prefix_cache.h"

namespace gentianroute::standin {

/// @brief Stand-in for a backend server: a plain service on /v1/run and a model
/// engine on /v1/generate. docs/BACKENDS.md describes the protocol.
class Backend {
 public:
  struct Options {
    std::uint16_t port = 0;
    std::string name = "backend";
    std::uint32_t service_ms = 5;  ///< duration of a call of /v1/run
    std::uint32_t token_ms = 2;    ///< between tokens of /v1/generate
    std::uint32_t tokens = 16;     ///< generated per response
    bool checks_fencing = false;  ///< rejects orders with a stale fencing token
    std::uint32_t prefill_ms =
        0;  ///< before the first token of an uncached prompt
    std::uint32_t cache_entries = 64;  ///< prompt prefixes that the cache holds
    /// Interval at which the reported load is updated; 0: it is always current.
    std::uint32_t load_lag_ms = 0;
  };

  Backend(EventLoop& loop, Options options);
  std::uint16_t port() const { return server_.port(); }

 private:
  struct Stream;

  using RunCounts = std::map<std::string, std::uint64_t>;

  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void HandleRun(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  void HandleGenerate(const HttpRequest& request,
                      const std::shared_ptr<HttpResponder>& responder);
  void HandleCacheEvents(const HttpRequest& request,
                         HttpResponder& responder) const;
  void SendNextToken(const std::shared_ptr<Stream>& stream);
  /// Leaves the request without a response if the present faults say so.
  /// @return true if it did
  bool ApplyConnectionFault(const HttpRequest& request,
                            HttpResponder& responder) const;
  /// Rejects the request before it runs if the present faults say so.
  /// @return true if it did
  bool RejectByFault(const HttpRequest& request,
                     HttpResponder& responder) const;
  void CountRun(const HttpRequest& request);
  void SendRunResponse(const std::shared_ptr<HttpResponder>& responder,
                       HttpHeaders headers,
                       const std::string& stage);
  void WriteToken(const Stream& stream) const;
  /// Brings the prompt's prefix into the cache.
  /// @return time until the first token
  Duration LoadPrefix(const HttpRequest& request);
  HttpHeaders ResponseHeaders(const HttpRequest& request) const;

  EventLoop& loop_;
  Options options_;
  Faults faults_;
  std::uint64_t incarnation_;  ///< time of the start; tells restarts apart
  std::uint32_t in_flight_ = 0;
  std::uint64_t runs_ = 0;
  RunCounts runs_by_key_;
  RunCounts runs_by_marker_;
  std::uint64_t cancelled_ = 0;  ///< streams whose caller disconnected
  std::uint64_t cache_hits_ = 0;
  std::uint32_t reported_load_ = 0;  ///< used if load_lag_ms is set
  PrefixCache cache_;
  /// Applied by the last order; the body of /v1/state.
  nlohmann::json state_ = {{"model", ""},
                           {"version", ""},
                           {"adapters", nlohmann::json::array()},
                           {"role", ""}};
  std::uint64_t last_fencing_number_ = 0;
  HttpServer server_;
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_BACKEND_H_
