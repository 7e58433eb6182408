#include "gentianroute/entry/claim_sync.h"

#include <utility>

namespace gentianroute {

void ClaimSync::Pump() {
  for (ClaimOperation& step : ledger_.TakeOperations()) {
    const std::uint64_t number = step.id;
    if (step.kind == ClaimOperation::Kind::kRead) {
      tables_.Read(std::move(step.reads),
                   [this, number](const ReadResult& result) {
                     ledger_.OnRead(loop_.Now(), number, result);
                     touched_();
                   });
      continue;
    }
    tables_.Transact(std::move(step.transaction),
                     [this, number](const TransactResult& result) {
                       ledger_.OnTransacted(loop_.Now(), number, result);
                       touched_();
                     });
  }
}

}  // namespace gentianroute
