// Generated histories of three claim ledgers over one store, shrunk to the
// shortest that breaks: a key never has two holders who may call.

#include <rapidcheck.h>
#include <array>
#include <deque>
#include <memory>

#include "decision_fixture.h"

namespace {

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kLedgers = 3;
constexpr std::uint8_t kOperations = 10;

/// @brief Three daemons that want one key.
class ClaimHistory {
 public:
  ClaimHistory() {
    for (std::size_t i = 0; i < kLedgers; ++i) {
      ledgers_.at(i) = std::make_unique<ClaimLedger>(
          ClaimLedger::Options{"daemon-" + std::to_string(i), 1}, codec_);
    }
  }

  void Apply(std::size_t who, std::uint8_t operation) {
    static constexpr std::array<void (ClaimHistory::*)(std::size_t),
                                kOperations>
        kTable = {&ClaimHistory::Begin,      &ClaimHistory::Commit,
                  &ClaimHistory::LoseAnswer, &ClaimHistory::DelayWrite,
                  &ClaimHistory::LoseWrite,  &ClaimHistory::Refuse,
                  &ClaimHistory::ApplyLate,  &ClaimHistory::GiveBack,
                  &ClaimHistory::Run,        &ClaimHistory::Pause};
    (this->*kTable.at(operation))(who);
    for (std::size_t i = 0; i < kLedgers; ++i) {
      Collect(i);
    }
  }

 private:
  void Begin(std::size_t who) {
    ledgers_.at(who)->Begin(now_, 0, RequestId{1}, "org", "key", "body");
    Pause(who);
  }
  void Commit(std::size_t who) { Answer(who, true, true, false); }
  void LoseAnswer(std::size_t who) { Answer(who, true, false, false); }
  void DelayWrite(std::size_t who) { Answer(who, false, false, true); }
  void LoseWrite(std::size_t who) { Answer(who, false, false, false); }

  void Refuse(std::size_t who) {
    if (const auto step = NextStep(who)) {
      step->kind == ClaimOperation::Kind::kRead
          ? ledgers_.at(who)->OnRead(now_, step->id, {})
          : ledgers_.at(who)->OnTransacted(now_, step->id,
                                           {TableStatus::kRefused, {}, {}});
    }
  }

  void Answer(std::size_t who, bool takes_effect, bool answered, bool late) {
    const auto step = NextStep(who);
    if (!step.has_value()) {
      return;
    }
    ClaimLedger& ledger = *ledgers_.at(who);
    if (step->kind == ClaimOperation::Kind::kRead) {
      ledger.OnRead(now_, step->id,
                    takes_effect ? table_.Read(step->reads) : ReadResult{});
      return;
    }
    TransactResult result;
    if (takes_effect) {
      result = table_.Transact(step->transaction);
    }
    if (late) {
      late_.push_back(step->transaction);
    }
    ledger.OnTransacted(now_, step->id, answered ? result : TransactResult{});
  }

  void ApplyLate(std::size_t /*who*/) {
    if (!late_.empty()) {
      table_.Transact(late_.front());
      late_.pop_front();
    }
  }

  void GiveBack(std::size_t who) {
    if (!holder_.empty() && holder_ledger_ == who) {
      ledgers_.at(who)->Settle(now_, holder_, ClaimState::kNotRun, 0, {});
      holder_.clear();
    }
  }

  void Run(std::size_t who) {
    if (!holder_.empty() && holder_ledger_ == who) {
      ledgers_.at(who)->LeaveClaimed(holder_);
      holder_.clear();
      ran_ = true;
    }
  }

  void Pause(std::size_t /*who*/) {
    now_ += milliseconds(250);
    for (const auto& ledger : ledgers_) {
      ledger->Advance(now_);
    }
  }

  std::optional<ClaimOperation> NextStep(std::size_t who) {
    std::deque<ClaimOperation>& steps = steps_.at(who);
    if (steps.empty()) {
      return std::nullopt;
    }
    ClaimOperation step = std::move(steps.front());
    steps.pop_front();
    return step;
  }

  void Collect(std::size_t who) {
    for (ClaimOperation& step : ledgers_.at(who)->TakeOperations()) {
      steps_.at(who).push_back(std::move(step));
    }
    for (const ClaimResult& verdict : ledgers_.at(who)->TakeResults()) {
      if (verdict.outcome != ClaimOutcome::kConfirmed) {
        continue;
      }
      RC_ASSERT(holder_.empty());
      RC_ASSERT(!ran_);
      holder_ = verdict.token;
      holder_ledger_ = who;
    }
  }

  JsonClaimCodec codec_;
  FakeTable table_;
  TimePoint now_{};
  std::array<std::unique_ptr<ClaimLedger>, kLedgers> ledgers_;
  std::array<std::deque<ClaimOperation>, kLedgers> steps_;
  std::deque<TableTransaction> late_;
  std::string holder_;
  std::size_t holder_ledger_ = 0;
  bool ran_ = false;
};

}  // namespace

int main() {
  const bool held = rc::check("a key never has two holders", [] {
    const auto operations = *rc::gen::container<std::vector<std::uint8_t>>(
        rc::gen::inRange<std::uint8_t>(0, kLedgers * kOperations));
    ClaimHistory history;
    for (const std::uint8_t operation : operations) {
      history.Apply(operation / kOperations, operation % kOperations);
    }
  });
  return held ? 0 : 1;
}
