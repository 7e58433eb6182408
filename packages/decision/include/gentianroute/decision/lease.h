#ifndef GENTIANROUTE_DECISION_LEASE_H_
#define GENTIANROUTE_DECISION_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gentianroute/base/table.h"
#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief The row of a lease.
struct Lease {
  std::string pool;
  std::string holder;  ///< name and incarnation; empty: given back
  std::uint64_t fencing = 0;
};

/// @brief Text form of a lease row; the schema package has the real one.
class LeaseCodec {
 public:
  virtual ~LeaseCodec() = default;
  virtual std::string Encode(const Lease& lease) const = 0;
  virtual std::optional<Lease> Decode(std::string_view text) const = 0;
};

inline constexpr std::string_view kLeaseTable = "lease";

/// @brief Acquires, renews and gives back the lease of one pool.
///
/// No two clocks are compared. The holder counts from before its write was
/// sent. Another daemon counts from after it has read that write, and takes
/// over only when the row has not changed for the whole duration: so the
/// holder's time ends first, whatever was late. A holder that was paused finds
/// by its own clock that its time is over.
class LeaseKeeper {
 public:
  struct Options {
    std::string pool;
    std::string holder;  ///< unlike any other, and any earlier incarnation
    Duration duration = std::chrono::seconds(10);
    Duration renewal_interval = std::chrono::seconds(3);
    /// Added by a new holder for what the old one sent last, and kept free at
    /// the end of a lease. Zero where the engines refuse old numbers.
    Duration max_order_delay = std::chrono::seconds(2);
  };
  enum class Step : std::uint8_t {
    kNone,
    kRead,      ///< read key()
    kTransact,  ///< send transaction()
  };

  LeaseKeeper(Options options, const LeaseCodec& codec);

  /// @brief What to do now; the answer is given to OnRead or OnTransacted.
  /// @param wanted false: hold no longer, and give the lease back
  Step Advance(TimePoint now, bool wanted);
  void OnRead(TimePoint now, const ReadResult& result);
  void OnTransacted(TimePoint now, const TransactResult& result);

  const TableKey& key() const { return key_; }
  const TableTransaction& transaction() const { return transaction_; }

  /// @brief Whether an order sent now arrives before the lease ends.
  bool CanSend(TimePoint now) const {
    return held_ && now + options_.max_order_delay <= valid_until_;
  }
  /// @brief For an order that was decided some time ago: whether it may still
  /// be written. The daemon may have lost the lease and won it again since;
  /// then another holder may have ordered in between, and the order is void.
  bool CanSend(TimePoint now, std::uint64_t fencing) const {
    return fencing == fencing_ && CanSend(now);
  }
  std::uint64_t fencing() const { return fencing_; }
  bool held() const { return held_; }

 private:
  enum class Write : std::uint8_t { kNone, kAcquire, kRenew, kRelease };

  Step Begin(TimePoint now, Write write);
  Step AdvanceHolder(TimePoint now, bool wanted);
  bool MayAcquire(TimePoint now) const;

  Options options_;
  const LeaseCodec& codec_;
  TableKey key_;
  TableTransaction transaction_;
  bool awaiting_answer_ = false;  ///< for an answer
  Write write_ = Write::kNone;
  TimePoint sent_at_{};
  bool row_known_ = false;  ///< the row, as of the last read or write
  Lease row_;
  std::uint64_t row_version_ = 0;
  TimePoint row_first_seen_{};  ///< when this version was first read
  bool held_ = false;
  std::uint64_t fencing_ = 0;
  TimePoint valid_until_{};
  TimePoint next_attempt_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_LEASE_H_
