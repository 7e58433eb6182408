#include "config_store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace gentianroute::random_config {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);

}  // namespace

void Require(bool holds, const char* what, TimePoint now) {
  if (holds) {
    return;
  }
  std::printf("VIOLATED at %.3f s: %s\n", Seconds(now.time_since_epoch()),
              what);
  std::fflush(stdout);
  std::_Exit(1);
}

void World::RunFor(Duration duration) {
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

void Store::Transact(const TableTransaction& transaction,
                     std::function<void(TransactResult)> done) {
  if (out) {
    const bool refused = world_.Chance(30);
    TransactResult result;
    result.status = refused ? TableStatus::kRefused : TableStatus::kUnknown;
    world_.After(refused ? Duration{1} : kTimeout, [=] { done(result); });
    return;
  }
  const std::uint64_t fate = healthy ? 99 : world_.Below(100);
  if (fate < 3) {  // lost on the way there
    world_.After(kTimeout, [done] { done({}); });
    return;
  }
  if (fate < 12) {  // the answer is lost, and the write may be late
    const Duration late =
        world_.Chance(50) ? world_.Between(1, 20) : world_.Between(500, 8000);
    world_.After(late, [this, transaction] { Commit(transaction); });
    world_.After(kTimeout, [done] { done({}); });
    return;
  }
  world_.After(world_.Between(1, 20), [this, transaction, done] {
    const TransactResult result = Commit(transaction);
    world_.After(world_.Between(1, 20), [done, result] { done(result); });
  });
}

void Store::Read(const std::vector<TableKey>& keys,
                 std::function<void(ReadResult)> done) {
  if (out || (!healthy && world_.Chance(3))) {
    world_.After(kTimeout, [done] { done({}); });
    return;
  }
  world_.After(world_.Between(1, 20), [this, keys, done] {
    ReadResult result;
    result.answered = true;
    for (const TableKey& key : keys) {
      result.rows.push_back(Find(key));
    }
    world_.After(world_.Between(1, 20), [done, result] { done(result); });
  });
}

void Store::Get(const std::string& name,
                std::function<void(ObjectResult)> done) {
  if (out || (!healthy && world_.Chance(3))) {
    world_.After(kTimeout, [done] { done({}); });
    return;
  }
  world_.After(world_.Between(1, 40), [this, name, done] {
    ObjectResult result;
    result.answered = true;
    if (objects_.contains(name)) {
      result.content = objects_[name];
    }
    done(result);
  });
}

void Store::Put(const std::string& name,
                const std::string& content,
                std::function<void(bool)> done) {
  if (out) {
    world_.After(kTimeout, [done] { done(false); });
    return;
  }
  const bool late = !healthy && world_.Chance(10);
  world_.After(late ? world_.Between(1000, 20000) : world_.Between(1, 40),
               [this, name, content, done, late] {
                 objects_[name] = content;
                 if (!late) {
                   done(true);
                 }
               });
  if (late) {
    world_.After(kTimeout, [done] { done(false); });
  }
}

TableRow Store::Find(const TableKey& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end()
             ? TableRow{key, "", 0}
             : TableRow{key, found->second.value, found->second.version};
}

TransactResult Store::Commit(const TableTransaction& transaction) {
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
              world_.now());
      NoteRevision(*revision);
    }
  }
  return result;
}

void Store::NoteRevision(const ConfigRevision& revision) {
  Require(revision.revision == head() + 1, "the log has no gap and no double",
          world_.now());
  Require(change_ids_.insert(revision.change_id).second,
          "a change is in the log once", world_.now());
  Documents next = documents_at_.empty() ? Documents{} : documents_at_.back();
  for (const DocumentChange& change : revision.changes) {
    const auto found = next.find(change.FullName());
    const std::uint64_t base = found == next.end() ? 0 : found->second.revision;
    Require(base == change.base_revision,
            "no change overwrites one that its author did not see",
            world_.now());
    if (change.body.empty()) {
      next.erase(change.FullName());
    } else {
      next[change.FullName()] = {change.body, revision.revision};
    }
    ChangeCatalogue(catalogue_, change, revision.revision, codec_);
  }
  documents_at_.push_back(std::move(next));
  Require(codec_.Check(catalogue_).empty(),
          "every revision holds together: no service without profile, no stage "
          "without pool",
          world_.now());
}

const Documents& Store::At(std::uint64_t revision) const {
  static const Documents kNone;
  return revision == 0 ? kNone : documents_at_.at(revision - 1);
}

std::size_t Store::revision_rows() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      rows_,
      [](const auto& row) { return row.first.key.starts_with("rev/"); }));
}

}  // namespace gentianroute::random_config
