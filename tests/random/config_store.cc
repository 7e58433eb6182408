#include "config_store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace gentianroute::random_config {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);

}  // namespace

void Require(bool condition, const char* invariant, TimePoint now) {
  if (condition) {
    return;
  }
  std::printf("VIOLATED at %.3f s: %s\n", Seconds(now.time_since_epoch()),
              invariant);
  std::fflush(stdout);
  std::_Exit(1);
}

void EventSimulator::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!queue_.empty() && queue_.top().due <= end) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.due;
    ++events_;
    event.run();
  }
  now_ = end;
}

void SimulatedStore::Transact(const TableTransaction& transaction,
                              std::function<void(TransactResult)> done) {
  if (unavailable) {
    const bool refused = simulator_.Chance(30);
    TransactResult result;
    result.status = refused ? TableStatus::kRefused : TableStatus::kUnknown;
    simulator_.After(refused ? Duration{1} : kTimeout, [=] { done(result); });
    return;
  }
  const std::uint64_t outcome = fault_free ? 99 : simulator_.Below(100);
  if (outcome < 3) {  // the request is lost
    simulator_.After(kTimeout, [done] { done({}); });
    return;
  }
  if (outcome < 12) {  // the answer is lost; the write may be delayed
    const Duration late = simulator_.Chance(50) ? simulator_.Between(1, 20)
                                                : simulator_.Between(500, 8000);
    simulator_.After(late, [this, transaction] { Commit(transaction); });
    simulator_.After(kTimeout, [done] { done({}); });
    return;
  }
  simulator_.After(simulator_.Between(1, 20), [this, transaction, done] {
    const TransactResult result = Commit(transaction);
    simulator_.After(simulator_.Between(1, 20),
                     [done, result] { done(result); });
  });
}

void SimulatedStore::Read(const std::vector<TableKey>& keys,
                          std::function<void(ReadResult)> done) {
  if (unavailable || (!fault_free && simulator_.Chance(3))) {
    simulator_.After(kTimeout, [done] { done({}); });
    return;
  }
  simulator_.After(simulator_.Between(1, 20), [this, keys, done] {
    ReadResult result;
    result.answered = true;
    for (const TableKey& key : keys) {
      result.rows.push_back(Find(key));
    }
    simulator_.After(simulator_.Between(1, 20),
                     [done, result] { done(result); });
  });
}

void SimulatedStore::Get(const std::string& name,
                         std::function<void(ObjectResult)> done) {
  if (unavailable || (!fault_free && simulator_.Chance(3))) {
    simulator_.After(kTimeout, [done] { done({}); });
    return;
  }
  simulator_.After(simulator_.Between(1, 40), [this, name, done] {
    ObjectResult result;
    result.answered = true;
    if (objects_.contains(name)) {
      result.content = objects_[name];
    }
    done(result);
  });
}

void SimulatedStore::Put(const std::string& name,
                         const std::string& content,
                         std::function<void(bool)> done) {
  if (unavailable) {
    simulator_.After(kTimeout, [done] { done(false); });
    return;
  }
  const bool late = !fault_free && simulator_.Chance(10);
  simulator_.After(
      late ? simulator_.Between(1000, 20000) : simulator_.Between(1, 40),
      [this, name, content, done, late] {
        objects_[name] = content;
        if (!late) {
          done(true);
        }
      });
  if (late) {
    simulator_.After(kTimeout, [done] { done(false); });
  }
}

TableRow SimulatedStore::Find(const TableKey& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end()
             ? TableRow{key, "", 0}
             : TableRow{key, found->second.value, found->second.version};
}

TransactResult SimulatedStore::Commit(const TableTransaction& transaction) {
  TransactResult result;
  result.status = TableStatus::kCommitted;
  for (const TableCondition& condition : transaction.conditions) {
    if (Find(condition.key).version != condition.version) {
      result.status = TableStatus::kConditionFailed;
      return result;
    }
  }
  for (const TableWrite& write : transaction.writes) {
    result.versions.push_back(next_version_);
    if (!write.value.has_value()) {
      rows_.erase(write.key);
      continue;
    }
    rows_[write.key] = {*write.value, next_version_++};
    if (write.key.key.starts_with("rev/")) {
      const auto revision = codec_.Decode(*write.value);
      Require(revision.has_value(), "a revision's row can be read",
              simulator_.now());
      RecordRevision(*revision);
    }
  }
  return result;
}

void SimulatedStore::RecordRevision(const ConfigRevision& revision) {
  Require(revision.revision == head() + 1, "the log has no gap and no double",
          simulator_.now());
  Require(change_ids_.insert(revision.change_id).second,
          "a change is in the log once", simulator_.now());
  Documents next = documents_by_revision_.empty()
                       ? Documents{}
                       : documents_by_revision_.back();
  for (const DocumentChange& change : revision.changes) {
    const auto found = next.find(change.FullName());
    const std::uint64_t base = found == next.end() ? 0 : found->second.revision;
    Require(base == change.base_revision,
            "no change overwrites one that its author did not see",
            simulator_.now());
    if (change.body.empty()) {
      next.erase(change.FullName());
    } else {
      next[change.FullName()] = {change.body, revision.revision};
    }
    ChangeCatalogue(catalogue_, change, revision.revision, codec_);
  }
  documents_by_revision_.push_back(std::move(next));
  Require(codec_.Check(catalogue_).empty(),
          "every revision is consistent: no service without profile, no stage "
          "without pool",
          simulator_.now());
}

const Documents& SimulatedStore::DocumentsAt(std::uint64_t revision) const {
  static const Documents kNone;
  return revision == 0 ? kNone : documents_by_revision_.at(revision - 1);
}

std::size_t SimulatedStore::CountRevisionRows() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      rows_,
      [](const auto& row) { return row.first.key.starts_with("rev/"); }));
}

}  // namespace gentianroute::random_config
