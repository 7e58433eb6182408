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

/// @brief Acquires leases of engine pools in the table service, and sends
/// orders over HTTP to the engines of the pools whose lease it holds.
///
/// Only pools that declare what their engines should run take part.
class OrderSync {
 public:
  struct Options {
    std::string daemon;
    std::uint64_t incarnation = 0;
    /// Number of daemons that compete for a pool's lease, selected by
    /// rendezvous hashing; the others don't access its row.
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

  /// @brief Advances all leases and orders; to be called a few times a second.
  void Tick();
  /// @brief Stops sending orders and releases each lease once no order is in
  /// flight.
  void StartDrain() { draining_ = true; }
  std::size_t held_lease_count() const;

 private:
  struct Pool;
  class OrderCall;

  void AdvanceLease(const std::shared_ptr<Pool>& pool);
  void AdvanceOrders(const std::shared_ptr<Pool>& pool);
  void ReadState(const std::shared_ptr<Pool>& pool, const std::string& engine);
  void SendOrder(const std::shared_ptr<Pool>& pool, const EngineOrder& order);
  /// Cancels the call if it is still running after the maximum order delay.
  void CancelAfterTimeout(const std::shared_ptr<HttpCallId>& call);
  /// Updates the pool's engines from the host list.
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
