#ifndef GENTIANROUTE_ENTRY_CACHE_SYNC_H_
#define GENTIANROUTE_ENTRY_CACHE_SYNC_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "gentianroute/decision/catalogue.h"
#include "gentianroute/decision/prefix_affinity.h"
#include "gentianroute/decision/server_table.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief Polls the cache events of a data centre's engines, so that the server
/// table can prefer engines that have a prompt's prefix in their cache.
class CacheSync {
 public:
  /// @param servers uses this object's prefix affinity from now on, so this
  /// object must exist as long as servers are selected from the table
  CacheSync(EventLoop& loop,
            HttpClient& client,
            ServerTable& servers,
            std::string data_centre);

  /// @brief Requests new cache events from the next engines in rotation.
  /// @param catalogue the pools of its streaming stages contain the engines
  /// @complexity linear in servers, with a bounded number of calls
  void Poll(const Catalogue& catalogue);

 private:
  struct Engine {
    std::uint64_t incarnation = 0;  ///< as reported in its responses
    std::uint64_t sequence = 0;     ///< of the last event applied
    HttpCallId call;
    TimePoint called_at{};  ///< start of the last call
    bool call_pending = false;
  };

  void RemoveUnlistedEngines();
  bool IsFollowed(const Server& server,
                  const std::set<std::string>& pools) const;
  void RequestEvents(const Server& server, Engine& engine);
  void CancelIfTimedOut(const Server& server, Engine& engine);
  void OnAnswer(const std::string& name, const HttpResult& result);
  void ApplyEvents(const std::string& name,
                   Engine& engine,
                   std::string_view body);

  EventLoop& loop_;
  HttpClient& client_;
  ServerTable& servers_;
  std::string data_centre_;
  PrefixAffinity caches_;
  std::map<std::string, Engine> engines_;
  std::string last_polled_;  ///< name of the last engine polled
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CACHE_SYNC_H_
