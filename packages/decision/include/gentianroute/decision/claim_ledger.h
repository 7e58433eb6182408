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

/// @brief Serialises claim rows; implemented by the schema package.
class ClaimCodec {
 public:
  virtual ~ClaimCodec() = default;
  virtual std::string Encode(const Claim& claim) const = 0;
  virtual std::optional<Claim> Decode(std::string_view text) const = 0;
};

/// @brief A read or transaction that the owner must send to the table service.
struct ClaimOperation {
  enum class Kind : std::uint8_t { kTransact, kRead };
  Kind kind = Kind::kTransact;
  std::uint64_t id = 0;  ///< passed back to OnTransacted or OnRead
  TableTransaction transaction;
  std::vector<TableKey> reads;
};

/// @brief Claims idempotency keys by conditional writes, in batches.
///
/// A request may run a stage that must not be repeated only after kConfirmed.
/// After any other result (conflict, refusal, lost answer) it must not: a token
/// whose write could not be confirmed is abandoned and never dispatched, even
/// if the write takes effect later, so two requests never run under one key.
class ClaimLedger {
 public:
  struct Options {
    std::string daemon;
    std::uint64_t incarnation = 0;
    Duration batch_window = std::chrono::milliseconds(5);
    std::size_t max_batch = 64;
    /// Unanswered reads after a lost write before the claim fails.
    std::uint32_t max_reads = 2;
    Duration retry_delay = std::chrono::milliseconds(200);
    /// How long writing the outcome of a claim is retried.
    Duration completion_timeout = std::chrono::minutes(2);
  };

  ClaimLedger(Options options, const ClaimCodec& codec);

  /// @brief Starts to claim a key. Its ClaimResult follows.
  /// @param wall wall-clock time, stored in the row
  /// @param replaces version of the row to replace, whose holder has reported
  /// its token as abandoned; 0 if the key must be free
  /// @return the token of the claim
  std::string Begin(TimePoint now,
                    UnixMicros wall,
                    RequestId request,
                    std::string_view organisation,
                    std::string_view key,
                    std::string_view body_digest,
                    std::uint64_t replaces = 0);

  /// @brief Writes the outcome of a confirmed claim to its row, or releases it.
  /// @param state kAnswered or kNotRun
  void Complete(TimePoint now,
                std::string_view token,
                ClaimState state,
                std::uint16_t status,
                std::string_view answer);

  /// @brief Drops a confirmed claim and leaves its row as claimed: the effect
  /// may have taken place, so the key must not be run again.
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
    kWaiting,     ///< not yet part of a transaction
    kWriting,     ///< part of a transaction in flight
    kReading,     ///< the answer was lost; the row is read back
    kHeld,        ///< confirmed; the request may run
    kCompleting,  ///< the outcome is queued for writing or being written
  };
  struct Entry {
    RequestId request;
    Claim claim;
    Phase phase = Phase::kWaiting;
    std::uint64_t version = 0;  ///< row version that the next write expects
    std::uint32_t reads = 0;    ///< unanswered reads
    TimePoint due{};            ///< when its next operation may start
    TimePoint completion_deadline{};  ///< end of the retries while kCompleting
    bool in_flight = false;           ///< part of an operation not yet answered
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
