#ifndef GENTIANROUTE_DECISION_LEASE_H_
#define GENTIANROUTE_DECISION_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/table.h"
#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Content of a lease's row.
struct Lease {
  std::string pool;
  std::string holder;         ///< name and incarnation; empty if released
  std::uint64_t fencing = 0;  ///< fencing token; grows with each acquisition
};

/// @brief Converts leases to and from row values. The schema package implements
/// it.
class LeaseCodec {
 public:
  virtual ~LeaseCodec() = default;
  virtual std::string Encode(const Lease& lease) const = 0;
  virtual std::optional<Lease> Decode(std::string_view text) const = 0;
};

inline constexpr std::string_view kLeaseTable = "lease";

/// @brief Acquires, renews and releases the lease of one pool.
///
/// Clocks of different hosts are never compared. The holder measures the lease
/// duration from before it sent the write. Another daemon measures it from when
/// it first read the row as written, and acquires the lease only if the row
/// hasn't changed for the whole duration. So the holder's lease ends first,
/// however long messages are delayed. A holder that was paused detects from its
/// own clock that the lease has expired.
class LeaseKeeper {
 public:
  struct Options {
    std::string pool;
    std::string holder;  ///< unique over daemons and their incarnations
    Duration duration = std::chrono::seconds(10);
    Duration renewal_interval = std::chrono::seconds(3);
    /// Time within which an order reaches its engine or is lost. The holder
    /// sends no order in this last part of a lease, and a new holder waits for
    /// as long before it acquires the lease. Zero if the engines reject orders
    /// with an old fencing token.
    Duration max_order_delay = std::chrono::seconds(2);
  };
  enum class Step : std::uint8_t {
    kNone,
    kRead,      ///< read key()
    kTransact,  ///< send transaction()
  };

  LeaseKeeper(Options options, const LeaseCodec& codec);

  /// @brief Returns the request to send now. Pass its result to OnRead() or
  /// OnTransacted().
  /// @param wanted whether to acquire and hold the lease; false releases it
  Step Advance(TimePoint now, bool wanted);
  void OnRead(TimePoint now, const ReadResult& result);
  void OnTransacted(TimePoint now, const TransactResult& result);

  const TableKey& key() const { return key_; }
  const TableTransaction& transaction() const { return transaction_; }

  /// @brief Whether an order sent now arrives before the lease ends.
  bool CanSend(TimePoint now) const {
    return held_ && now + options_.max_order_delay <= valid_until_;
  }
  /// @brief Whether an order made under a fencing token may still be sent. It
  /// may not if the lease was lost and acquired again since, because another
  /// holder may have sent orders in between.
  bool CanSend(TimePoint now, std::uint64_t fencing) const {
    return fencing == fencing_ && CanSend(now);
  }
  /// @brief Fencing token of the last lease that was acquired.
  std::uint64_t fencing() const { return fencing_; }
  bool held() const { return held_; }

 private:
  enum class Write : std::uint8_t { kNone, kAcquire, kRenew, kRelease };

  Step Begin(TimePoint now, Write write);
  Step AdvanceHolder(TimePoint now, bool wanted);
  bool CanAcquire(TimePoint now) const;

  Options options_;
  const LeaseCodec& codec_;
  TableKey key_;
  TableTransaction transaction_;
  bool awaiting_answer_ = false;
  Write write_ = Write::kNone;
  TimePoint sent_at_{};
  bool row_known_ = false;  ///< `row_` is the last version read or written
  Lease row_;
  std::uint64_t row_version_ = 0;
  TimePoint row_first_seen_{};  ///< when `row_version_` was first read
  bool held_ = false;
  std::uint64_t fencing_ = 0;
  TimePoint valid_until_{};
  TimePoint next_attempt_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_LEASE_H_
