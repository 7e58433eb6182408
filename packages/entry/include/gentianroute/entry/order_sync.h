#ifndef GENTIANROUTE_ENTRY_ORDER_SYNC_H_
#define GENTIANROUTE_ENTRY_ORDER_SYNC_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/decision/catalogue.h"
#include "gentianroute/decision/order_issuer.h"
#include "gentianroute/decision/server.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/loop/http.h"
#include "gentianroute/platform/platform.h"
#include "gentianroute/schema/rows.h"

namespace gentianroute {

/// @brief Takes part in ordering the engines of each pool that declares what
/// they should run: leases in the table service, orders over HTTP.
class OrderSync {
 public:
  struct Options {
    std::string daemon;
    std::uint64_t incarnation = 0;
    /// Daemons that compete for one pool's lease, by rendezvous hash; the
    /// others leave the store alone.
    std::size_t max_candidates = 3;
  };

  OrderSync(EventLoop& loop,
            TableService& tables,
            HttpClient& client,
            Options options);
  ~OrderSync();

  void SetCatalogue(const Catalogue& catalogue);
  void SetHosts(std::span<const HostRecord> backends);
  void SetDaemons(std::vector<std::string> names);

  /// @brief Called a few times a second.
  void Tick();
  /// @brief Orders no more, and gives each lease back once nothing is in
  /// flight.
  void StartDrain() { draining_ = true; }
  /// @brief Pools whose lease this daemon holds.
  std::size_t held_lease_count() const;

 private:
  struct Pool;
  class OrderCall;

  void AdvanceLease(const std::shared_ptr<Pool>& pool);
  void AdvanceOrders(const std::shared_ptr<Pool>& pool);
  void ReadState(const std::shared_ptr<Pool>& pool, const std::string& engine);
  void SendOrder(const std::shared_ptr<Pool>& pool, const EngineOrder& order);
  /// Ends a call that takes longer than any order may.
  void CancelAfterTimeout(const std::shared_ptr<HttpCallId>& call);
  void UpdateEngines(Pool& pool);

  EventLoop& loop_;
  TableService& tables_;
  HttpClient& client_;
  Options options_;
  JsonLeaseCodec codec_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::vector<HostRecord> hosts_;
  std::vector<std::string> daemons_;
  bool draining_ = false;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_ORDER_SYNC_H_
