#include "gentianroute/decision/usage_ledger.h"

#include <algorithm>
#include <cmath>

namespace gentianroute {
namespace {

/// Half-lives after which the records are rescaled; a double overflows at 1024.
constexpr double kMaxExponent = 400.0;
constexpr char kSeparator = '\x1f';
/// Fraction of the records that a sweep keeps.
constexpr double kSweepKeepRatio = 0.75;

std::string MapKey(std::string_view organisation, std::string_view subscriber) {
  std::string key(organisation);
  key += kSeparator;
  key += subscriber;
  return key;
}

}  // namespace

double UsageLedger::Scale(TimePoint now) const {
  return std::exp2(Seconds(now - origin_) / Seconds(options_.half_life));
}

void UsageLedger::RebaseIfNeeded(TimePoint now) {
  const double exponent = Seconds(now - origin_) / Seconds(options_.half_life);
  if (exponent < kMaxExponent) {
    return;
  }
  const double shrink = std::exp2(-exponent);
  for (auto& [key, record] : records_) {
    record.local *= shrink;
    record.remote *= shrink;
  }
  origin_ = now;
  ++epoch_;
}

UsageLedger::Record& UsageLedger::Find(std::string_view organisation,
                                       std::string_view subscriber) {
  Record& record = records_[MapKey(organisation, subscriber)];
  if (record.name.organisation.empty()) {
    record.name = {std::string(organisation), std::string(subscriber)};
  }
  return record;
}

void UsageLedger::Charge(TimePoint now,
                         std::string_view organisation,
                         std::string_view subscriber,
                         double cost) {
  RebaseIfNeeded(now);
  const double scaled = cost * Scale(now);
  Record& organisation_record = Find(organisation, {});
  organisation_record.local = std::max(0.0, organisation_record.local + scaled);
  if (!subscriber.empty()) {
    Record& subscriber_record = Find(organisation, subscriber);
    subscriber_record.local = std::max(0.0, subscriber_record.local + scaled);
  }
  SweepIfNeeded();
}

void UsageLedger::SetRemote(TimePoint now,
                            std::string_view peer,
                            const std::vector<UsageRecord>& heaviest) {
  RebaseIfNeeded(now);
  DropRemote(peer);
  const double scale = Scale(now);
  std::vector<UsageRecord>& kept = remote_[std::string(peer)];
  for (const UsageRecord& use : heaviest) {
    const double scaled = use.cost * scale;
    Find(use.name.organisation, use.name.subscriber).remote += scaled;
    kept.push_back({use.name, scaled});
  }
  SweepIfNeeded();
}

void UsageLedger::DropRemote(std::string_view peer) {
  const auto found = remote_.find(std::string(peer));
  if (found == remote_.end()) {
    return;
  }
  for (const UsageRecord& use : found->second) {
    Record& record = Find(use.name.organisation, use.name.subscriber);
    record.remote = std::max(0.0, record.remote - use.cost);
  }
  remote_.erase(found);
}

double UsageLedger::Rank(std::string_view organisation,
                         std::string_view subscriber) const {
  const auto found = records_.find(MapKey(organisation, subscriber));
  if (found == records_.end()) {
    return 0;
  }
  return found->second.local + found->second.remote;
}

double UsageLedger::OrganisationRank(std::string_view organisation) const {
  return Rank(organisation, {});
}

double UsageLedger::SubscriberRank(std::string_view organisation,
                                   std::string_view subscriber) const {
  return Rank(organisation, subscriber);
}

std::vector<UsageRecord> UsageLedger::Heaviest(TimePoint now,
                                               std::size_t limit) const {
  std::vector<UsageRecord> heaviest;
  heaviest.reserve(records_.size());
  const double scale = Scale(now);
  for (const auto& [key, record] : records_) {
    if (record.local > 0) {
      heaviest.push_back({record.name, record.local / scale});
    }
  }
  const auto middle = heaviest.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(limit, heaviest.size()));
  std::partial_sort(heaviest.begin(), middle, heaviest.end(),
                    [](const UsageRecord& left, const UsageRecord& right) {
                      return left.cost > right.cost;
                    });
  heaviest.erase(middle, heaviest.end());
  return heaviest;
}

void UsageLedger::SweepIfNeeded() {
  if (records_.size() <= options_.max_records) {
    return;
  }
  std::vector<double> ranks;
  ranks.reserve(records_.size());
  for (const auto& [key, record] : records_) {
    ranks.push_back(record.local + record.remote);
  }
  const auto drop = static_cast<std::ptrdiff_t>(
      static_cast<double>(ranks.size()) * (1.0 - kSweepKeepRatio));
  std::nth_element(ranks.begin(), ranks.begin() + drop, ranks.end());
  const double threshold = ranks[static_cast<std::size_t>(drop)];
  // Many records may have the same rank. If all of those at the threshold were
  // kept, the table could grow without bound and be swept at each charge.
  auto ties = drop - std::count_if(
                         ranks.begin(), ranks.begin() + drop,
                         [threshold](double rank) { return rank < threshold; });
  std::erase_if(records_, [threshold, &ties](const auto& item) {
    const double rank = item.second.local + item.second.remote;
    return rank < threshold || (rank == threshold && ties-- > 0);
  });
}

}  // namespace gentianroute
