#ifndef GENTIANROUTE_DECISION_FAIR_QUEUE_H_
#define GENTIANROUTE_DECISION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gentianroute/base/id.h"
#include "gentianroute/decision/usage_ledger.h"

namespace gentianroute {

/// @brief Who goes first; kArrival is a baseline to measure with.
enum class QueueOrder : std::uint8_t {
  kFair,     ///< by use per weight
  kArrival,  ///< first come, first served
};

/// @brief What waits for one pool, in the order in which it may go.
///
/// Organisations go by use per weight, then subscribers of one organisation by
/// their use, then first come, first served. Whoever used more than its share
/// waits behind the others; when nobody else waits it goes at once, so that
/// idle servers are never withheld from it.
class FairQueue {
 public:
  struct Waiter {
    RequestId request;
    std::string organisation;
    std::string subscriber;
    double weight = 1;
    double cost = 1;  ///< estimate in cost units, charged when it goes
  };

  explicit FairQueue(UsageLedger& ledger, QueueOrder order = QueueOrder::kFair)
      : ledger_(ledger), order_(order) {}

  void Push(Waiter waiter);

  /// @brief Takes the next one out and charges its estimated cost.
  /// @param now present time, for the decay of use
  /// @param may_go asked in order; a false leaves that waiter where it is
  /// @return nothing if no waiter may go
  /// @complexity logarithmic in organisations and in the subscribers of one,
  /// plus the waiters that may not go
  std::optional<Waiter> Pop(
      TimePoint now,
      const std::function<bool(const Waiter&)>& may_go = nullptr);

  /// @brief Takes one out that will not go: done, cancelled or out of time.
  bool Remove(RequestId request);

  std::size_t size() const { return where_.size(); }
  bool empty() const { return where_.empty(); }

  /// @brief Cost units that wait.
  double waiting_cost() const { return waiting_cost_; }

 private:
  using Line = std::deque<Waiter>;
  struct OrganisationLine {
    std::map<std::string, Line> subscribers;
  };

  void Erase(const std::string& organisation,
             const std::string& subscriber,
             const Line::iterator& waiter);

  UsageLedger& ledger_;
  QueueOrder order_;
  std::map<std::string, OrganisationLine> organisations_;
  std::unordered_map<RequestId, SubscriberName> where_;
  double waiting_cost_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_FAIR_QUEUE_H_
