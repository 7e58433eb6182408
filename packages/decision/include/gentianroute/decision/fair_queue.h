#ifndef GENTIANROUTE_DECISION_FAIR_QUEUE_H_
#define GENTIANROUTE_DECISION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

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

  FairQueue(const FairQueue&) = delete;  // its lines point into themselves
  FairQueue& operator=(const FairQueue&) = delete;

  /// @complexity logarithmic in organisations and in the subscribers of one
  void Push(Waiter waiter);

  /// @brief Takes the next one out and charges its estimated cost.
  /// @param now present time, for the decay of use
  /// @param can_start asked in order; a false leaves that waiter where it is
  /// @param max_checked waiters asked before giving up
  /// @param skip passed over without being asked; not counted
  /// @return nothing if no waiter may go
  /// @complexity logarithmic in organisations and in the subscribers of one,
  /// plus the waiters that may not go; linear in organisations once a second
  std::optional<Waiter> Pop(
      TimePoint now,
      const std::function<bool(const Waiter&)>& can_start = nullptr,
      std::size_t max_checked = std::numeric_limits<std::size_t>::max(),
      const std::function<bool(const Waiter&)>& skip = nullptr);

  /// @brief The one to drop when all can't be served: the last to come of the
  /// heaviest subscriber of the heaviest organisation. Nothing is charged.
  /// @return null if nobody waits; valid until the next change
  /// @complexity constant, but for what Pop does once a second
  const Waiter* LowestPriority(TimePoint now);

  /// @brief Whether a newcomer would be the lowest, or as bad.
  bool WouldBeLowestPriority(TimePoint now, const Waiter& newcomer);

  /// @brief Takes one out that will not go: done, cancelled or out of time.
  /// @complexity linear in what its subscriber has waiting
  bool Remove(RequestId request);

  std::size_t size() const { return subscriber_of_request_.size(); }
  bool empty() const { return subscriber_of_request_.empty(); }

  /// @brief Cost units that wait.
  double waiting_cost() const { return waiting_cost_; }

 private:
  /// Place of a organisation among its like. A rank only grows between two full
  /// rankings, but for corrections of a little: a key that is out of date
  /// stands too early, and is put right when its organisation comes first.
  template <typename Queue>
  struct Key {
    double rank;
    std::uint64_t sequence;  ///< of the lines' making, for equal ranks
    Queue* queue;

    bool operator<(const Key& other) const {
      return std::pair(rank, sequence) < std::pair(other.rank, other.sequence);
    }
  };
  template <typename Queue>
  using Ranking = std::set<Key<Queue>>;

  struct SubscriberQueue {
    std::string name;
    std::list<Waiter> waiters;
    Ranking<SubscriberQueue>::iterator position;
  };
  struct OrganisationQueue {
    std::string name;
    double weight = 1;
    std::unordered_map<std::string, SubscriberQueue> subscribers;
    Ranking<SubscriberQueue> ranking;
    Ranking<OrganisationQueue>::iterator position;
  };
  using Predicate = std::function<bool(const Waiter&)>;
  using FoundWaiter = std::optional<std::list<Waiter>::iterator>;

  double RankOf(const OrganisationQueue& organisation) const;
  double RankOf(const OrganisationQueue& organisation,
                const SubscriberQueue& subscriber) const;
  OrganisationQueue& FindOrAddOrganisation(const Waiter& waiter,
                                           const std::string& name);
  SubscriberQueue& FindOrAddSubscriber(OrganisationQueue& organisation,
                                       const std::string& name);
  void UpdateRanksIfDue(TimePoint now);
  void UpdateRanks(OrganisationQueue& organisation);
  FoundWaiter FindWaiter(OrganisationQueue& organisation,
                         const Predicate& can_start,
                         const Predicate& skip,
                         std::size_t& checks_left);
  Waiter Take(std::list<Waiter>::iterator waiter);

  UsageLedger& ledger_;
  QueueOrder order_;
  std::unordered_map<std::string, OrganisationQueue> organisations_;
  Ranking<OrganisationQueue> ranking_;
  std::unordered_map<RequestId, SubscriberName> subscriber_of_request_;
  double waiting_cost_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t ranks_epoch_ = 0;
  TimePoint ranks_updated_at_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_FAIR_QUEUE_H_
