#include "gentianroute/gateway/store_follower.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// How long the store holds a call without news. A connection that goes silent
/// is found out only when this is over, so it has to be well below the time in
/// which a change must be in force; each call costs money.
constexpr Duration kWait = std::chrono::milliseconds(3000);
/// Pause after a call that failed, doubled each time up to the last.
constexpr Duration kFirstPause = std::chrono::milliseconds(60);
constexpr Duration kLongestPause = std::chrono::milliseconds(500);
/// A single lost answer is no outage.
constexpr std::uint32_t kFailuresOfOutage = 2;

constexpr std::array<std::string_view, 3> kTableNames = {
    "deployment", "servers", "daemons"};

std::string_view NameOf(StoreTable table) {
  return kTableNames[static_cast<std::size_t>(table)];
}

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop,
                             Store& store,
                             StoreTable table,
                             Listener listener)
    : loop_(loop),
      store_(store),
      table_(table),
      listener_(std::move(listener)) {}

StoreFollower::~StoreFollower() {
  loop_.Cancel(timer_);
}

void StoreFollower::Start() {
  ReadWhole();
}

void StoreFollower::ReadWhole() {
  store_.Read(table_, [this](StoreAnswer answer) { OnWhole(std::move(answer)); });
}

void StoreFollower::FollowOn() {
  store_.Follow(table_, version_, kWait, [this](StoreAnswer answer) {
    OnChanges(std::move(answer));
  });
}

void StoreFollower::OnWhole(StoreAnswer answer) {
  if (answer.kind != StoreAnswer::Kind::kRows) {
    OnSilence(answer.detail);
    return;
  }
  OnAnswer();
  if (known_ && answer.version < version_) {
    // A copy that lags: what is known stays, and the read is repeated.
    OnSilence("the store's answer is older than what is known");
    return;
  }
  Take(std::move(answer.rows), answer.version);
  FollowOn();
}

void StoreFollower::OnChanges(StoreAnswer answer) {
  if (answer.kind == StoreAnswer::Kind::kHistoryGone) {
    OnAnswer();
    LogEvent("store_history_gone", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("version", version_);
    ReadWhole();
    return;
  }
  if (answer.kind != StoreAnswer::Kind::kRows) {
    OnSilence(answer.detail);
    return;
  }
  OnAnswer();
  // A peer's newer copy may have come meanwhile; what it covers is old news,
  // and an old row could bring back one that is deleted by now.
  const std::uint64_t known = version_;
  for (const StoredRow& row : answer.rows) {
    if (row.version > known) {
      Apply(row);
    }
  }
  version_ = std::max(version_, answer.version);
  FollowOn();
}

void StoreFollower::Offer(std::vector<StoredRow> rows, std::uint64_t version) {
  if (known_ && version <= version_) {
    return;
  }
  Take(std::move(rows), version);
}

void StoreFollower::Take(std::vector<StoredRow> rows, std::uint64_t version) {
  rows_.clear();
  for (StoredRow& row : rows) {
    rows_[row.key] = row;
  }
  version_ = std::max(version_, version);
  known_ = true;
  listener_.on_rows(rows);
}

void StoreFollower::Apply(const StoredRow& row) {
  const auto found = rows_.find(row.key);
  if (found != rows_.end() && found->second.version >= row.version) {
    return;
  }
  if (row.deleted) {
    rows_.erase(row.key);
  } else {
    rows_[row.key] = row;
  }
  listener_.on_change(row);
}

void StoreFollower::OnAnswer() {
  failures_ = 0;
  answered_at_ = loop_.Now();
  if (!std::exchange(answers_, true)) {
    LogEvent("store_answers").Field("table", NameOf(table_));
    listener_.on_reachable(true);
  }
}

void StoreFollower::OnSilence(const std::string& detail) {
  ++failures_;
  if (failures_ >= kFailuresOfOutage && std::exchange(answers_, false)) {
    LogEvent("store_lost", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("reason", detail);
    listener_.on_reachable(false);
  }
  constexpr std::uint32_t kMostDoublings = 4;
  const Duration pause =
      std::min(kLongestPause,
               kFirstPause * (1 << std::min(failures_, kMostDoublings)));
  timer_ = loop_.After(pause, [this] {
    if (known_) {
      FollowOn();
    } else {
      ReadWhole();
    }
  });
}

std::uint64_t StoreFollower::newest_row() const {
  std::uint64_t newest = 0;
  for (const auto& [key, row] : rows_) {
    newest = std::max(newest, row.version);
  }
  return newest;
}

std::vector<StoredRow> StoreFollower::Copy() const {
  std::vector<StoredRow> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, row] : rows_) {
    rows.push_back(row);
  }
  return rows;
}

}  // namespace gentianroute::gateway
