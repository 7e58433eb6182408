#include "gentianroute/decision/config_applier.h"

#include <algorithm>
#include <utility>

#include "gentianroute/base/number.h"

namespace gentianroute {
namespace {

constexpr std::size_t kRevisionsPerRead = 32;

TableKey Row(std::string_view key) {
  return {std::string(kConfigTable), std::string(key)};
}

TableKey RevisionRow(std::uint64_t revision) {
  return Row(ConfigRevisionKey(revision));
}

}  // namespace

ConfigApplier::ConfigApplier(Options options,
                             ConfigRevision change,
                             ConfigFollower& follower,
                             const ConfigCodec& codec)
    : options_(options),
      change_(std::move(change)),
      follower_(follower),
      codec_(codec) {
  ReadLog();
}

void ConfigApplier::ReadLog() {
  state_ = State::kRead;
  read_after_ = follower_.revision();
  reads_ = {Row(kConfigHeadKey), Row(kConfigSnapshotKey)};
  if (!change_.change_id.empty()) {
    reads_.push_back(Row(ConfigChangeKey(change_.change_id)));
  }
  // Most polls find nothing new, so read only the next revision unless the head
  // is known to be further ahead.
  const bool behind = read_after_ < head_revision_;
  const std::size_t count = behind ? kRevisionsPerRead : 1;
  for (std::size_t i = 1; i <= count; ++i) {
    reads_.push_back(RevisionRow(read_after_ + i));
  }
}

void ConfigApplier::Retry() {
  if (++tries_ < options_.max_tries) {
    ReadLog();
    return;
  }
  GiveUp();
}

void ConfigApplier::GiveUp() {
  state_ = own_change_found_ ? State::kApplied : State::kUnreachable;
}

void ConfigApplier::OnRead(const ReadResult& result) {
  if (!result.answered) {
    Retry();
    return;
  }
  ApplyRows(result);
  if (follower_.revision() < head_revision_) {
    CatchUp();
    return;
  }
  if (own_change_found_) {
    state_ = State::kApplied;
    return;
  }
  if (follower_.revision() > head_revision_) {
    // The follower has received revisions from peers that are newer than this
    // read. They may include this change while the read lacks its change id
    // row, and the change would be reported as a conflict with itself. A newer
    // read has both.
    Retry();
    return;
  }
  if (change_.change_id.empty()) {
    state_ = State::kCaughtUp;
    return;
  }
  if (DetectConflict()) {
    state_ = State::kConflict;
    return;
  }
  if (DetectProblem()) {
    state_ = State::kInvalid;
    return;
  }
  Propose();
}

void ConfigApplier::CatchUp() {
  if (CanUseSnapshot()) {
    state_ = State::kGetObject;
    object_ = ConfigSnapshotObject(options_.retention, snapshot_revision_);
    return;
  }
  if (follower_.revision() > read_after_) {
    ReadLog();
    return;
  }
  object_failed_ = false;
  Retry();
}

bool ConfigApplier::CanUseSnapshot() const {
  return !object_failed_ &&
         snapshot_revision_ > follower_.revision() + kRevisionsPerRead;
}

void ConfigApplier::OnObject(const std::optional<std::string>& content) {
  std::optional<ConfigSnapshot> snapshot;
  if (content.has_value()) {
    snapshot = codec_.DecodeSnapshot(*content);
  }
  // Without a snapshot, the retained rows may still suffice to catch up.
  object_failed_ = !snapshot.has_value() || !follower_.Apply(*snapshot);
  ReadLog();
}

void ConfigApplier::ApplyRows(const ReadResult& result) {
  head_version_ = 0;
  head_revision_ = 0;
  std::vector<ConfigRevision> revisions;
  const TableKey own = Row(ConfigChangeKey(change_.change_id));
  for (const TableRow& row : result.rows) {
    if (row.version == 0) {
      continue;
    }
    if (row.key == Row(kConfigHeadKey)) {
      head_version_ = row.version;
      head_revision_ = ParseLeadingNumber(row.value);
    } else if (row.key == Row(kConfigSnapshotKey)) {
      snapshot_revision_ = ParseLeadingNumber(row.value);
    } else if (row.key == own) {
      own_change_found_ = true;
      change_.revision = ParseLeadingNumber(row.value);
    } else if (auto revision = codec_.Decode(row.value)) {
      revisions.push_back(std::move(*revision));
    }
  }
  follower_.OnRevisionSeen(head_revision_);
  std::ranges::sort(revisions, {}, &ConfigRevision::revision);
  follower_.Apply(revisions);
  if (head_revision_ == 0) {
    follower_.OnEmptyLog();
  }
}

bool ConfigApplier::DetectConflict() {
  for (const DocumentChange& change : change_.changes) {
    const auto present = follower_.documents().find(change.FullName());
    const bool exists = present != follower_.documents().end();
    const Document theirs = exists ? present->second : Document{};
    if (theirs.revision != change.base_revision) {
      conflicting_ = change.FullName();
      ours_ = change.body;
      theirs_ = theirs;
      return true;
    }
  }
  return false;
}

bool ConfigApplier::DetectProblem() {
  // The author validated the change against older documents. Together with
  // another author's change, both may be valid alone and invalid combined: one
  // deletes a pool while the other adds a stage that uses it, and requests of
  // that service would fail.
  Catalogue next = *follower_.catalogue();
  for (const DocumentChange& change : change_.changes) {
    if (!ChangeCatalogue(next, change, head_revision_ + 1, codec_)) {
      problem_ = "document '" + change.name + "' is not valid";
      return true;
    }
  }
  problem_ = codec_.Check(next);
  return !problem_.empty();
}

void ConfigApplier::Propose() {
  if (++tries_ > options_.max_tries) {
    GiveUp();
    return;
  }
  change_.revision = head_revision_ + 1;
  const std::string number = std::to_string(change_.revision);
  const TableKey own = Row(ConfigChangeKey(change_.change_id));
  transaction_ = {};
  transaction_.conditions.push_back({Row(kConfigHeadKey), head_version_});
  transaction_.conditions.push_back({RevisionRow(change_.revision), 0});
  transaction_.conditions.push_back({own, 0});
  transaction_.writes.push_back({Row(kConfigHeadKey), number});
  transaction_.writes.push_back(
      {RevisionRow(change_.revision), codec_.Encode(change_)});
  transaction_.writes.push_back({own, number});
  state_ = State::kTransact;
}

void ConfigApplier::OnTransacted(const TransactResult& result) {
  if (result.status == TableStatus::kCommitted) {
    follower_.Apply(std::span(&change_, 1));
    state_ = State::kApplied;
    return;
  }
  // On a conflict, a refusal or a lost response, read the log to find out
  // whether the change has been applied.
  ReadLog();
}

}  // namespace gentianroute
