#include "gentianroute/decision/config_snapshotter.h"

#include <algorithm>
#include <string_view>

#include "gentianroute/base/number.h"

namespace gentianroute {
namespace {

constexpr std::uint64_t kRowsPerStep = 64;

TableKey Row(std::string_view key) {
  return {std::string(kConfigTable), std::string(key)};
}

TableRow FindRow(const ReadResult& result, const TableKey& key) {
  const auto found = std::ranges::find(result.rows, key, &TableRow::key);
  return found == result.rows.end() ? TableRow{key, "", 0} : *found;
}

}  // namespace

ConfigSnapshotter::ConfigSnapshotter(ConfigRetention retention,
                                     const ConfigCodec& codec)
    : retention_(retention), codec_(codec) {}

bool ConfigSnapshotter::Begin(const ConfigFollower& follower,
                              std::uint64_t applied) {
  const bool due = applied != 0 && applied % retention_.snapshot_every == 0;
  if (!due || state_ != State::kIdle || follower.revision() < applied) {
    return false;
  }
  revision_ = follower.revision();
  object_ = ConfigSnapshotObject(retention_, revision_);
  content_ = codec_.EncodeSnapshot(follower.Snapshot());
  state_ = State::kPut;
  return true;
}

void ConfigSnapshotter::OnPut(bool stored) {
  content_.clear();
  if (!stored) {
    state_ = State::kIdle;
    return;
  }
  ReadRows();
}

void ConfigSnapshotter::ReadRows() {
  state_ = State::kRead;
  reads_ = {Row(kConfigSnapshotKey), Row(kConfigFloorKey)};
  for (std::uint64_t i = 1; i <= kRowsPerStep; ++i) {
    reads_.push_back(Row(ConfigRevisionKey(floor_ + i)));
  }
}

void ConfigSnapshotter::OnRead(const ReadResult& result) {
  state_ = State::kIdle;
  if (!result.answered) {
    return;
  }
  const TableRow recorded = FindRow(result, Row(kConfigSnapshotKey));
  if (ParseLeadingNumber(recorded.value) < revision_) {
    RecordSnapshot(recorded.version);
    return;
  }
  const TableRow floor = FindRow(result, Row(kConfigFloorKey));
  if (revision_ <= retention_.kept_rows + ParseLeadingNumber(floor.value)) {
    return;
  }
  if (ParseLeadingNumber(floor.value) != floor_) {
    floor_ = ParseLeadingNumber(floor.value);
    ReadRows();
    return;
  }
  DeleteRows(result, floor);
}

void ConfigSnapshotter::RecordSnapshot(std::uint64_t version) {
  transaction_ = {};
  transaction_.conditions.push_back({Row(kConfigSnapshotKey), version});
  transaction_.writes.push_back(
      {Row(kConfigSnapshotKey), std::to_string(revision_)});
  state_ = State::kTransact;
}

void ConfigSnapshotter::DeleteRows(const ReadResult& result,
                                   const TableRow& floor) {
  const std::uint64_t end =
      std::min(revision_ - retention_.kept_rows, floor_ + kRowsPerStep);
  transaction_ = {};
  transaction_.conditions.push_back({floor.key, floor.version});
  transaction_.writes.push_back({floor.key, std::to_string(end)});
  for (std::uint64_t revision = floor_ + 1; revision <= end; ++revision) {
    const TableRow row = FindRow(result, Row(ConfigRevisionKey(revision)));
    transaction_.writes.push_back({row.key, std::nullopt});
    if (const auto change = codec_.Decode(row.value)) {
      transaction_.writes.push_back(
          {Row(ConfigChangeKey(change->change_id)), std::nullopt});
    }
  }
  state_ = State::kTransact;
}

void ConfigSnapshotter::OnTransacted(const TransactResult& result) {
  if (result.status != TableStatus::kCommitted) {
    // Another daemon is writing a snapshot, or the next snapshot covers this.
    state_ = State::kIdle;
    return;
  }
  ReadRows();
}

}  // namespace gentianroute
