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

/// @brief Queueing discipline; kArrival serves as the baseline of benchmarks.
enum class QueueOrder : std::uint8_t {
  kFair,     ///< by usage divided by weight
  kArrival,  ///< first come, first served
};

/// @brief Weighted fair queue of the requests that wait for one pool.
///
/// Organisations are ordered by usage divided by weight, the subscribers of one
/// organisation by usage, and the requests of one subscriber by arrival. An
/// organisation above its share waits behind the others, but the queue is
/// work-conserving: it is served at once if nobody else waits.
class FairQueue {
 public:
  struct Waiter {
    RequestId request;
    std::string organisation;
    std::string subscriber;
    double weight = 1;
    double cost = 1;  ///< estimated cost units, charged by Pop
  };

  explicit FairQueue(UsageLedger& ledger, QueueOrder order = QueueOrder::kFair)
      : ledger_(ledger), order_(order) {}

  FairQueue(const FairQueue&) = delete;  // rankings point to queues
  FairQueue& operator=(const FairQueue&) = delete;

  /// @complexity logarithmic in organisations and in the subscribers of one
  void Push(Waiter waiter);

  /// @brief Removes the next waiter and charges its estimated cost.
  /// @param now current time, for the decay of usage
  /// @param can_start called in order; a waiter stays queued if it returns
  /// false
  /// @param max_checked maximum number of calls of `can_start`
  /// @param skip true for waiters to pass over; not counted in `max_checked`
  /// @return empty if no waiter can start
  /// @complexity logarithmic in organisations and in the subscribers of one,
  /// plus the waiters that can't start; linear in organisations and
  /// subscribers once a second
  std::optional<Waiter> Pop(
      TimePoint now,
      const std::function<bool(const Waiter&)>& can_start = nullptr,
      std::size_t max_checked = std::numeric_limits<std::size_t>::max(),
      const std::function<bool(const Waiter&)>& skip = nullptr);

  /// @brief Returns the waiter to drop first under overload: the latest arrival
  /// of the subscriber with the most usage in the organisation with the most
  /// usage per weight. Nothing is charged.
  /// @return null if the queue is empty; valid until the next change
  /// @complexity constant, except for the update of ranks once a second
  const Waiter* LowestPriority(TimePoint now);

  /// @brief Whether `newcomer` would rank last, or equal to the last.
  bool WouldBeLowestPriority(TimePoint now, const Waiter& newcomer);

  /// @brief Removes a request without charging it.
  /// @return false if it isn't queued
  /// @complexity linear in the waiters of its subscriber
  bool Remove(RequestId request);

  std::size_t size() const { return subscriber_of_request_.size(); }
  bool empty() const { return subscriber_of_request_.empty(); }

  /// @brief Sum of the estimated cost of all waiters.
  double waiting_cost() const { return waiting_cost_; }

 private:
  /// Position of an organisation or subscriber in its ranking. Between two full
  /// updates a rank only grows, except for small corrections. An outdated key
  /// is therefore too low; it is updated when its queue comes first.
  template <typename Queue>
  struct Key {
    double rank;
    std::uint64_t sequence;  ///< order of creation, breaks ties of rank
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
  Waiter RemoveWaiter(std::list<Waiter>::iterator waiter);

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
