#include "gentianroute/entry/claim_sync.h"

#include <utility>

namespace gentianroute {

void ClaimSync::SendOperations() {
  for (ClaimOperation& operation : ledger_.TakeOperations()) {
    const std::uint64_t id = operation.id;
    if (operation.kind == ClaimOperation::Kind::kRead) {
      tables_.Read(std::move(operation.reads),
                   [this, id](const ReadResult& result) {
                     ledger_.OnRead(loop_.Now(), id, result);
                     request_advance_();
                   });
      continue;
    }
    tables_.Transact(std::move(operation.transaction),
                     [this, id](const TransactResult& result) {
                       ledger_.OnTransacted(loop_.Now(), id, result);
                       request_advance_();
                     });
  }
}

}  // namespace gentianroute
