// Property test of three claim ledgers over one store: no two of them hold a
// key at the same time, and none gets a key that another one has used.
// RapidCheck generates histories and shrinks a failing one.

#include <rapidcheck.h>
#include <array>
#include <deque>
#include <memory>

#include "decision_fixture.h"

namespace {

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kLedgerCount = 3;
constexpr std::uint8_t kOperationCount = 10;

/// @brief Three ledgers that compete for one key.
class ClaimHistory {
 public:
  ClaimHistory() {
    for (std::size_t i = 0; i < kLedgerCount; ++i) {
      ledgers_.at(i) = std::make_unique<ClaimLedger>(
          ClaimLedger::Options{"daemon-" + std::to_string(i), 1}, codec_);
    }
  }

  void Apply(std::size_t index, std::uint8_t operation) {
    static constexpr std::array<void (ClaimHistory::*)(std::size_t),
                                kOperationCount>
        kHandlers = {&ClaimHistory::Begin,
                     &ClaimHistory::Commit,
                     &ClaimHistory::LoseAnswer,
                     &ClaimHistory::DelayWrite,
                     &ClaimHistory::LoseWrite,
                     &ClaimHistory::RejectOperation,
                     &ClaimHistory::ApplyDelayedWrite,
                     &ClaimHistory::ReleaseClaim,
                     &ClaimHistory::RunClaimed,
                     &ClaimHistory::AdvanceTime};
    (this->*kHandlers.at(operation))(index);
    for (std::size_t i = 0; i < kLedgerCount; ++i) {
      CollectResults(i);
    }
  }

 private:
  void Begin(std::size_t index) {
    ledgers_.at(index)->Begin(now_, 0, RequestId{1}, "org", "key", "body");
    AdvanceTime(index);
  }
  void Commit(std::size_t index) { ProcessOperation(index, true, true, false); }
  void LoseAnswer(std::size_t index) {
    ProcessOperation(index, true, false, false);
  }
  void DelayWrite(std::size_t index) {
    ProcessOperation(index, false, false, true);
  }
  void LoseWrite(std::size_t index) {
    ProcessOperation(index, false, false, false);
  }

  void RejectOperation(std::size_t index) {
    if (const auto operation = TakeOperation(index)) {
      operation->kind == ClaimOperation::Kind::kRead
          ? ledgers_.at(index)->OnRead(now_, operation->id, {})
          : ledgers_.at(index)->OnTransacted(now_, operation->id,
                                             {TableStatus::kRefused, {}, {}});
    }
  }

  void ProcessOperation(std::size_t index,
                        bool takes_effect,
                        bool answered,
                        bool delayed) {
    const auto operation = TakeOperation(index);
    if (!operation.has_value()) {
      return;
    }
    ClaimLedger& ledger = *ledgers_.at(index);
    if (operation->kind == ClaimOperation::Kind::kRead) {
      ledger.OnRead(
          now_, operation->id,
          takes_effect ? table_.Read(operation->reads) : ReadResult{});
      return;
    }
    TransactResult result;
    if (takes_effect) {
      result = table_.Transact(operation->transaction);
    }
    if (delayed) {
      delayed_writes_.push_back(operation->transaction);
    }
    ledger.OnTransacted(now_, operation->id,
                        answered ? result : TransactResult{});
  }

  void ApplyDelayedWrite(std::size_t /*index*/) {
    if (!delayed_writes_.empty()) {
      table_.Transact(delayed_writes_.front());
      delayed_writes_.pop_front();
    }
  }

  void ReleaseClaim(std::size_t index) {
    if (!holder_.empty() && holder_ledger_ == index) {
      ledgers_.at(index)->Complete(now_, holder_, ClaimState::kNotRun, 0, {});
      holder_.clear();
    }
  }

  void RunClaimed(std::size_t index) {
    if (!holder_.empty() && holder_ledger_ == index) {
      ledgers_.at(index)->LeaveClaimed(holder_);
      holder_.clear();
      executed_ = true;
    }
  }

  void AdvanceTime(std::size_t /*index*/) {
    now_ += milliseconds(250);
    for (const auto& ledger : ledgers_) {
      ledger->Advance(now_);
    }
  }

  std::optional<ClaimOperation> TakeOperation(std::size_t index) {
    std::deque<ClaimOperation>& operations = operations_.at(index);
    if (operations.empty()) {
      return std::nullopt;
    }
    ClaimOperation operation = std::move(operations.front());
    operations.pop_front();
    return operation;
  }

  void CollectResults(std::size_t index) {
    for (ClaimOperation& operation : ledgers_.at(index)->TakeOperations()) {
      operations_.at(index).push_back(std::move(operation));
    }
    for (const ClaimResult& result : ledgers_.at(index)->TakeResults()) {
      if (result.outcome != ClaimOutcome::kConfirmed) {
        continue;
      }
      RC_ASSERT(holder_.empty());
      RC_ASSERT(!executed_);
      holder_ = result.token;
      holder_ledger_ = index;
    }
  }

  JsonClaimCodec codec_;
  FakeTable table_;
  TimePoint now_{};
  std::array<std::unique_ptr<ClaimLedger>, kLedgerCount> ledgers_;
  std::array<std::deque<ClaimOperation>, kLedgerCount> operations_;
  std::deque<TableTransaction> delayed_writes_;
  std::string holder_;
  std::size_t holder_ledger_ = 0;
  bool executed_ = false;
};

}  // namespace

int main() {
  const bool passed = rc::check("a key never has two holders", [] {
    const auto operations = *rc::gen::container<std::vector<std::uint8_t>>(
        rc::gen::inRange<std::uint8_t>(0, kLedgerCount * kOperationCount));
    ClaimHistory history;
    for (const std::uint8_t operation : operations) {
      history.Apply(operation / kOperationCount, operation % kOperationCount);
    }
  });
  return passed ? 0 : 1;
}
