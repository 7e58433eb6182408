#ifndef GENTIANROUTE_DECISION_CLAIM_LEDGER_H_
#define GENTIANROUTE_DECISION_CLAIM_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/base/table.h"
#include "gentianroute/decision/claim.h"

namespace gentianroute {

/// @brief Text form of a claim row; the schema package has the real one.
class ClaimCodec {
 public:
  virtual ~ClaimCodec() = default;
  virtual std::string Encode(const Claim& claim) const = 0;
  virtual std::optional<Claim> Decode(std::string_view text) const = 0;
};

/// @brief What the ledger wants done at the table service.
struct ClaimOperation {
  enum class Kind : std::uint8_t { kTransact, kRead };
  Kind kind = Kind::kTransact;
  std::uint64_t id = 0;  ///< echoed by OnTransacted and OnRead
  TableTransaction transaction;
  std::vector<TableKey> reads;
};

/// @brief Claims idempotency keys by conditional writes, many in one go.
///
/// A request may call a stage that must not repeat only after kConfirmed. Every
/// other end of a claim (conflict, refusal, lost answer) forbids it: a token
/// whose write could not be confirmed is abandoned and never dispatched, even
/// if the write takes effect later, so no two requests ever hold one key.
class ClaimLedger {
 public:
  struct Options {
    std::string daemon;
    std::uint64_t incarnation = 0;
    Duration batch_window = std::chrono::milliseconds(5);
    std::size_t max_batch = 64;
    /// Reads after a lost answer before the claim is given up.
    std::uint32_t max_reads = 2;
    Duration retry_delay = std::chrono::milliseconds(200);
    /// How long the row of a result that could not be written is retried.
    Duration settle_timeout = std::chrono::minutes(2);
  };

  ClaimLedger(Options options, const ClaimCodec& codec);

  /// @brief Asks for a key.
  /// @param replaces version of a row whose claimer has said that its token is
  /// abandoned and can never be dispatched; 0: the key must be free
  /// @return the token, which joins and later writes name
  std::string Begin(TimePoint now,
                    UnixMicros wall,
                    RequestId request,
                    std::string_view organisation,
                    std::string_view key,
                    std::string_view body_digest,
                    std::uint64_t replaces = 0);

  /// @brief Records the outcome of a claim that stands, or gives it back.
  /// @param state kAnswered or kNotRun
  void Settle(TimePoint now,
              std::string_view token,
              ClaimState state,
              std::uint16_t status,
              std::string_view answer);

  /// @brief Leaves the row of a claim that stands as it is: the effect may or
  /// may not have taken place, and nobody may run the key again.
  void LeaveClaimed(std::string_view token);

  void OnTransacted(TimePoint now,
                    std::uint64_t operation,
                    const TransactResult& result);
  void OnRead(TimePoint now, std::uint64_t operation, const ReadResult& result);
  void Advance(TimePoint now);
  TimePoint NextDue() const;

  std::vector<ClaimOperation> TakeOperations();
  std::vector<ClaimResult> TakeResults();

  std::size_t pending() const { return entries_.size(); }

 private:
  enum class Phase : std::uint8_t {
    kWaiting,   ///< not yet in a transaction
    kWriting,   ///< in a transaction that is not answered
    kReading,   ///< the answer was lost; reading back
    kHeld,      ///< confirmed; the request may call
    kSettling,  ///< the outcome waits to be written, or is being written
  };
  struct Entry {
    RequestId request;
    Claim claim;
    Phase phase = Phase::kWaiting;
    std::uint64_t version = 0;  ///< of the row that our next write replaces
    std::uint32_t reads = 0;
    TimePoint due{};
    TimePoint settle_deadline{};
    bool in_flight = false;
  };

  using Entries = std::map<std::string, Entry, std::less<>>;

  void Flush(TimePoint now);
  void Emit(ClaimOperation operation, std::vector<std::string> tokens);
  std::vector<std::string> TakeTokens(std::uint64_t operation);
  void Conclude(Entries::iterator entry, ClaimOutcome outcome);
  void ConcludeTaken(Entries::iterator entry,
                     Claim holder,
                     std::uint64_t version);
  void Confirm(Entries::iterator entry, std::uint64_t version);
  void OnWriteFailed(TimePoint now,
                     Entries::iterator entry,
                     TableStatus status);
  void OnConflict(TimePoint now, Entries::iterator entry, const TableRow& row);
  void OnReadBack(TimePoint now, Entries::iterator entry, const TableRow* row);
  TableKey KeyOf(const Claim& claim) const;

  Options options_;
  const ClaimCodec& codec_;
  std::uint64_t next_token_ = 1;
  std::uint64_t next_operation_ = 1;
  Entries entries_;
  std::unordered_map<std::uint64_t, std::vector<std::string>>
      operations_in_flight_;
  std::vector<ClaimOperation> operations_;
  std::vector<ClaimResult> results_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CLAIM_LEDGER_H_
