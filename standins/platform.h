#ifndef GENTIANROUTE_STANDINS_PLATFORM_H_
#define GENTIANROUTE_STANDINS_PLATFORM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "faults.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http_server.h"

namespace gentianroute::standin {

/// @brief Stand-in for the platform: tables with conditional writes, objects
/// and the host list, all in memory. docs/PLATFORM.md describes the protocol.
class Platform {
 public:
  Platform(EventLoop& loop, std::uint16_t port);
  std::uint16_t port() const { return server_.port(); }

 private:
  struct Row {
    nlohmann::json value;
    std::uint64_t version = 0;
  };
  /// Bytes of requests and responses since the start, without the headers that
  /// the HTTP library adds.
  struct Traffic {
    std::uint64_t requests = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t whole_lists = 0;  ///< host lists sent in full
  };
  using RowKey = std::pair<std::string, std::string>;

  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder);
  HttpResponse HandleCall(const HttpRequest& request);
  HttpResponse HandleTransact(const nlohmann::json& body);
  HttpResponse HandleRead(const nlohmann::json& body) const;
  HttpResponse HandleObject(const HttpRequest& request);
  HttpResponse HandleListHosts(const HttpRequest& request) const;
  void CountTraffic(const HttpRequest& request, const HttpResponse& response);
  nlohmann::json DescribeRow(const RowKey& key) const;

  EventLoop& loop_;
  Faults faults_;
  std::map<RowKey, Row> rows_;
  std::map<std::string, std::string> objects_;
  nlohmann::json hosts_ = nlohmann::json::array();
  std::uint64_t hosts_version_ = 1;  ///< the entity tag of the host list
  Traffic traffic_;
  std::uint64_t next_version_ = 1;
  HttpServer server_;
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_PLATFORM_H_
