#ifndef GENTIANROUTE_DECISION_USAGE_LEDGER_H_
#define GENTIANROUTE_DECISION_USAGE_LEDGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief One subscriber of one organisation.
struct SubscriberName {
  std::string organisation;
  std::string subscriber;

  friend auto operator<=>(const SubscriberName&,
                          const SubscriberName&) = default;
};

/// @brief What one organisation (empty subscriber) or subscriber has used.
struct UsageRecord {
  SubscriberName name;
  double cost = 0;  ///< cost units, decayed to the present
};

/// @brief Decaying record of use per organisation and per subscriber.
///
/// Use halves every `half_life`. All records decay alike, so they are kept
/// scaled forward to a common epoch: a charge touches one record, and the order
/// between records changes only by charges, never by time passing. That is what
/// lets the fair queue keep its order without visiting everyone.
class UsageLedger {
 public:
  struct Options {
    Duration half_life = std::chrono::seconds(30);
    /// Records kept; above it the lightest go first.
    std::size_t max_records = 20'000;
  };

  UsageLedger() : UsageLedger(Options{}) {}
  explicit UsageLedger(Options options) : options_(options) {}

  /// @brief Adds to both the subscriber's and its organisation's record.
  /// @param cost cost units; negative corrects an earlier estimate
  /// @complexity constant, amortised over sweeps
  void Charge(TimePoint now,
              std::string_view organisation,
              std::string_view subscriber,
              double cost);

  /// @brief Replaces what a peer says that it has served, as last heard.
  void SetRemote(TimePoint now,
                 std::string_view peer,
                 const std::vector<UsageRecord>& heaviest);

  /// @brief Forgets a peer that is gone.
  void DropRemote(std::string_view peer);

  /// @brief Use on the ledger's forward scale, local and remote, comparable
  /// between records at any time within one epoch.
  double OrganisationRank(std::string_view organisation) const;
  double SubscriberRank(std::string_view organisation,
                        std::string_view subscriber) const;

  /// @brief Grows each time the scale is reset; ranks of two epochs do not
  /// compare.
  std::uint64_t epoch() const { return epoch_; }

  /// @brief The heaviest local records, to tell peers and operators.
  /// @complexity linear in the records
  std::vector<UsageRecord> Heaviest(TimePoint now, std::size_t limit) const;

  std::size_t record_count() const { return records_.size(); }

 private:
  struct Record {
    SubscriberName name;
    double local = 0;
    double remote = 0;
  };

  double Scale(TimePoint now) const;
  void RebaseIfNeeded(TimePoint now);
  void SweepIfNeeded();
  Record& Find(std::string_view organisation, std::string_view subscriber);
  double Rank(std::string_view organisation, std::string_view subscriber) const;

  Options options_;
  TimePoint origin_{};
  std::uint64_t epoch_ = 0;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, std::vector<UsageRecord>> remote_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_USAGE_LEDGER_H_
