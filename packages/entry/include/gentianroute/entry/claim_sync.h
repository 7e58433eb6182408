#ifndef GENTIANROUTE_ENTRY_CLAIM_SYNC_H_
#define GENTIANROUTE_ENTRY_CLAIM_SYNC_H_

#include <functional>

#include "gentianroute/decision/claim_ledger.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/platform/platform.h"

namespace gentianroute {

/// @brief Sends the claim ledger's operations to the table service and passes
/// the results back.
class ClaimSync {
 public:
  /// @param request_advance called after each result passed to the ledger
  ClaimSync(EventLoop& loop,
            TableService& tables,
            ClaimLedger& ledger,
            std::function<void()> request_advance)
      : loop_(loop),
        tables_(tables),
        ledger_(ledger),
        request_advance_(std::move(request_advance)) {}

  /// @brief Sends the ledger's pending operations.
  void SendOperations();

 private:
  EventLoop& loop_;
  TableService& tables_;
  ClaimLedger& ledger_;
  std::function<void()> request_advance_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_CLAIM_SYNC_H_
