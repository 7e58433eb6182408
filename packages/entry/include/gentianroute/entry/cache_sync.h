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

/// @brief Follows the cache events of the engines of one data centre, and lets
/// the server table prefer an engine that holds a prompt's prefix.
class CacheSync {
 public:
  /// @param servers prefers holders from now on; outlived by this module's
  /// last use of it
  CacheSync(EventLoop& loop,
            HttpClient& client,
            ServerTable& servers,
            std::string data_centre);

  /// @brief Asks the next few engines what changed in their caches.
  /// @param catalogue engines are the pools of its stages that stream
  /// @complexity linear in servers, with a bounded number of calls
  void Poll(const Catalogue& catalogue);

 private:
  struct Engine {
    std::uint64_t incarnation = 0;  ///< as the engine itself gives it
    std::uint64_t sequence = 0;     ///< of the last event taken in
    HttpCallId call;
    TimePoint called_at{};
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
  std::string last_polled_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CACHE_SYNC_H_
