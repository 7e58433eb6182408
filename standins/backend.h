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

/// @brief Stands in for a backend server: a plain service on /v1/run and a
/// model engine on /v1/generate. The protocol is in docs/BACKENDS.md.
class Backend {
 public:
  struct Options {
    std::uint16_t port = 0;
    std::string name = "backend";
    std::uint32_t service_ms = 5;  ///< of one call of /v1/run
    std::uint32_t token_ms = 2;    ///< between tokens of /v1/generate
    std::uint32_t tokens = 16;     ///< of one answer
    bool checks_fencing = false;   ///< refuses an order with an old number
    std::uint32_t prefill_ms = 0;  ///< before the first token, if not cached
    std::uint32_t cache_entries = 64;  ///< prompt prefixes that are held
    std::uint32_t load_lag_ms = 0;     ///< age that reported load may have
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
  /// @return true if the present faults leave the request without an answer
  bool ApplyConnectionFault(const HttpRequest& request,
                            HttpResponder& responder) const;
  /// Ends the request as the present faults say, before it runs.
  /// @return false if it is to run
  bool RejectByFault(const HttpRequest& request,
                     HttpResponder& responder) const;
  void CountRun(const HttpRequest& request);
  void SendRunResponse(const std::shared_ptr<HttpResponder>& responder,
                       HttpHeaders headers,
                       const std::string& stage);
  void WriteToken(const Stream& stream) const;
  Duration LoadPrefix(const HttpRequest& request);
  HttpHeaders ResponseHeaders(const HttpRequest& request) const;

  EventLoop& loop_;
  Options options_;
  Faults faults_;
  std::uint64_t incarnation_;  ///< time of the start
  std::uint32_t in_flight_ = 0;
  std::uint64_t runs_ = 0;
  RunCounts runs_by_key_;
  RunCounts runs_by_marker_;
  std::uint64_t cancelled_ = 0;
  std::uint64_t cache_hits_ = 0;
  std::uint32_t reported_load_ = 0;
  PrefixCache cache_;
  nlohmann::json state_ = {{"model", ""},
                           {"version", ""},
                           {"adapters", nlohmann::json::array()},
                           {"role", ""}};
  std::uint64_t last_fencing_number_ = 0;
  HttpServer server_;
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_BACKEND_H_
