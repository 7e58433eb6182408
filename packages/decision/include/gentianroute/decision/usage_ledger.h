#ifndef GENTIANROUTE_DECISION_USAGE_LEDGER_H_
#define GENTIANROUTE_DECISION_USAGE_LEDGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Identifies a subscriber of an organisation.
struct SubscriberName {
  std::string organisation;
  std::string subscriber;

  friend auto operator<=>(const SubscriberName&,
                          const SubscriberName&) = default;
};

/// @brief Usage of a subscriber or, if the subscriber is empty, of an
/// organisation.
struct UsageRecord {
  SubscriberName name;
  double cost = 0;  ///< cost units, decayed to the current time
};

/// @brief Exponentially decaying usage per organisation and per subscriber.
///
/// Usage halves every `half_life`. Since all records decay at the same rate,
/// records are not decayed; instead, each charge is multiplied by a scale that
/// doubles every half-life. The order of records then changes only by charges
/// and not with time, so the fair queue can stay sorted without updating every
/// entry. When the scale grows too large, all records are rescaled and a new
/// epoch begins.
class UsageLedger {
 public:
  struct Options {
    Duration half_life = std::chrono::seconds(30);
    /// Maximum number of records; beyond it, those with the least usage are
    /// removed.
    std::size_t max_records = 20'000;
  };

  UsageLedger() : UsageLedger(Options{}) {}
  explicit UsageLedger(Options options) : options_(options) {}

  /// @brief Adds a cost to the records of the subscriber and its organisation.
  /// @param cost cost units; negative to correct an earlier estimate
  /// @complexity constant, amortised over sweeps
  void Charge(TimePoint now,
              std::string_view organisation,
              std::string_view subscriber,
              double cost);

  /// @brief Replaces the usage that a peer has reported.
  void SetRemote(TimePoint now,
                 std::string_view peer,
                 const std::vector<UsageRecord>& heaviest);

  /// @brief Removes the usage reported by a peer.
  void DropRemote(std::string_view peer);

  /// @brief Returns the scaled usage, local and remote. Values of one epoch can
  /// be compared with each other, whenever they were returned.
  double OrganisationRank(std::string_view organisation) const;
  double SubscriberRank(std::string_view organisation,
                        std::string_view subscriber) const;

  /// @brief Number of times that the records have been rescaled. Ranks of
  /// different epochs can't be compared.
  std::uint64_t epoch() const { return epoch_; }

  /// @brief Returns the local records with the most usage, for peers and
  /// operators.
  /// @complexity linear in the records
  std::vector<UsageRecord> Heaviest(TimePoint now, std::size_t limit) const;

  std::size_t record_count() const { return records_.size(); }

 private:
  struct Record {
    SubscriberName name;
    double local = 0;   ///< scaled usage in this daemon
    double remote = 0;  ///< scaled usage reported by peers
  };

  double Scale(TimePoint now) const;
  void RebaseIfNeeded(TimePoint now);
  void SweepIfNeeded();
  Record& Find(std::string_view organisation, std::string_view subscriber);
  double Rank(std::string_view organisation, std::string_view subscriber) const;

  Options options_;
  TimePoint origin_{};  ///< time at which the scale is 1
  std::uint64_t epoch_ = 0;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, std::vector<UsageRecord>> remote_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_USAGE_LEDGER_H_
