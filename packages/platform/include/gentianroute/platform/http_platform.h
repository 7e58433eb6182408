#ifndef GENTIANROUTE_PLATFORM_HTTP_PLATFORM_H_
#define GENTIANROUTE_PLATFORM_HTTP_PLATFORM_H_

#include <functional>
#include <string>
#include <vector>

#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"
#include "gentianroute/platform/platform.h"

namespace gentianroute {

/// @brief Client of the platform's three services over HTTP with JSON bodies;
/// docs/PLATFORM.md describes the protocol.
class HttpPlatform final : public TableService,
                           public ObjectStore,
                           public HostDirectory {
 public:
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    Duration timeout = std::chrono::seconds(1);
  };

  HttpPlatform(EventLoop& loop, HttpClient& client, Options options);

  void Transact(TableTransaction transaction,
                std::function<void(TransactResult)> done) override;
  void Read(std::vector<TableKey> keys,
            std::function<void(ReadResult)> done) override;
  void Get(std::string name, std::function<void(ObjectResult)> done) override;
  void Put(std::string name,
           std::string content,
           std::function<void(bool)> done) override;
  void List(std::function<void(HostListResult)> done) override;

 private:
  /// Sends a call to the platform's address; calls `done` with an incomplete
  /// result after the timeout.
  void Call(HttpCall call, std::function<void(HttpResult)> done);
  HostListResult ParseHostList(const HttpResult& result);

  EventLoop& loop_;
  HttpClient& client_;
  Options options_;
  std::string
      host_list_etag_;  ///< ETag of the last list received; empty if none
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_PLATFORM_HTTP_PLATFORM_H_
