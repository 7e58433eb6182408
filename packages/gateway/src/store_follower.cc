#include "gentianroute/gateway/store_follower.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_set>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// Time for which the store holds a call when there is no change. A daemon that
/// loses its connection to the store notices only after this time, and then the
/// next daemon in rank makes a call. Two such times have to fit into the
/// maximum propagation time together with the latency of the calls and of the
/// update to the peers. Shorter times cause more calls, which are billed.
Duration LongPollTimeout(Duration max_propagation_time) {
  constexpr Duration kCallAndUpdateLatency = std::chrono::milliseconds(1100);
  constexpr Duration kMinTimeout = std::chrono::milliseconds(300);
  constexpr Duration kMaxTimeout = std::chrono::seconds(5);
  return std::clamp((max_propagation_time - kCallAndUpdateLatency) / 2,
                    kMinTimeout, kMaxTimeout);
}

/// Changes within this time are collected into one response. Without it,
/// hundreds of servers that start together would cost a call each. It is a
/// small part of the maximum propagation time.
constexpr Duration kBatchInterval = std::chrono::milliseconds(120);
/// Delay after a failed call, doubled with each further failure up to the
/// maximum.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(60);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
/// Deletions that are kept for peers. A peer that lacks older ones gets the
/// keys of all remaining rows instead.
constexpr std::size_t kMaxTombstones = 1000;
/// Approximate maximum size of a copy for a peer. When a whole data centre asks
/// for a whole table at once, larger copies exhaust the memory and the link of
/// the daemon that sends them.
constexpr std::size_t kMaxCopyBytes = 64 * 1024;
/// Time beyond the long poll after which an answer is missing: that of a slow
/// call, and the pause before the next one.
constexpr Duration kMaxAnswerDelay = std::chrono::seconds(1);
/// Rows that come and go within this time are not told of, as those of servers
/// stay for longer.
constexpr Duration kMaxUnseenTime = std::chrono::seconds(2);
/// Consecutive failures that count as an outage; a single one does not.
constexpr std::uint32_t kOutageFailures = 2;

constexpr std::array<std::string_view, 4> kTableNames = {
    "deployment", "servers", "daemons", "version_records"};

std::string_view NameOf(StoreTable table) {
  return kTableNames[static_cast<std::size_t>(table)];
}

std::uint64_t HashOf(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop,
                             Store& store,
                             StoreTable table,
                             Duration max_propagation_time,
                             Listener listener)
    : loop_(loop),
      store_(store),
      table_(table),
      long_poll_timeout_(LongPollTimeout(max_propagation_time)),
      listener_(std::move(listener)) {}

StoreFollower::~StoreFollower() {
  loop_.Cancel(timer_);
  loop_.Cancel(question_timer_);
}

void StoreFollower::Start(Duration delay) {
  ScheduleCall(delay);
}

void StoreFollower::SetFollowing(bool following) {
  const bool followed = std::exchange(following_, following);
  if (is_complete_ && following && !followed && !call_pending_) {
    SendNextCall();
  }
}

void StoreFollower::SendNextCall() {
  if (!is_complete_) {
    ReadTable();
  } else if (following_) {
    FollowChanges();
  }
}

void StoreFollower::ReadTable() {
  call_pending_ = true;
  store_.Read(table_, "",
              [this](const StoreAnswer& answer) { OnTable(answer); });
}

void StoreFollower::FollowChanges() {
  call_pending_ = true;
  store_.Follow(table_, version_, long_poll_timeout_,
                [this](const StoreAnswer& answer) { OnChanges(answer); });
}

void StoreFollower::OnTable(const StoreAnswer& answer) {
  call_pending_ = false;
  if (answer.kind != StoreAnswer::Kind::kRows) {
    OnCallFailed(answer.detail);
    return;
  }
  OnCallSucceeded();
  if (is_loaded_ && answer.version < version_) {
    // The store's replica is behind: keep the current rows and read again.
    OnCallFailed("the store's answer is older than this daemon's copy");
    return;
  }
  ReplaceTable(answer.rows, answer.version);
  is_complete_ = true;
  SendNextCall();
}

void StoreFollower::OnChanges(const StoreAnswer& answer) {
  call_pending_ = false;
  if (answer.kind == StoreAnswer::Kind::kHistoryGone) {
    ReportIfRowsMissed();
    OnCallSucceeded();
    LogEvent("store_history_gone", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("version", version_);
    ReadTable();
    return;
  }
  if (answer.kind != StoreAnswer::Kind::kRows) {
    OnCallFailed(answer.detail);
    return;
  }
  OnCallSucceeded();
  ApplyChanges(answer);
  if (answer.rows.empty()) {
    SendNextCall();
    return;
  }
  ScheduleCall(kBatchInterval);
}

void StoreFollower::ApplyChanges(const StoreAnswer& answer) {
  // A newer copy of a peer may have been merged during the call. Rows up to its
  // version are ignored; an old row could restore one that has been deleted
  // since.
  const std::uint64_t known = version_;
  for (const StoredRow& row : answer.rows) {
    if (row.version > known) {
      Apply(row, ChangeSource::kStore);
    }
  }
  version_ = std::max(version_, answer.version);
}

void StoreFollower::AskIfFresh(FreshnessQuestion& question) {
  questions_.push_back(question);
  if (std::exchange(asking_, true)) {
    return;
  }
  question_timer_ = loop_.After(Duration{0}, [this] { AskNow(); });
}

void StoreFollower::AskNow() {
  asked_.splice(asked_.end(), questions_);
  if (!is_complete_) {
    AnswerAsked(false);
    return;
  }
  store_.Follow(table_, version_, Duration{0},
                [this](const StoreAnswer& answer) { OnAsked(answer); });
}

void StoreFollower::OnAsked(const StoreAnswer& answer) {
  if (answer.kind == StoreAnswer::Kind::kHistoryGone) {
    ReportIfRowsMissed();
    store_.Read(table_, "",
                [this](const StoreAnswer& table) { OnAskedTable(table); });
    return;
  }
  const bool is_fresh =
      answer.kind == StoreAnswer::Kind::kRows && answer.version >= version_;
  if (is_fresh) {
    ApplyChanges(answer);
  } else {
    LogEvent("store_not_confirmed", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("reason", answer.detail);
  }
  AnswerAsked(is_fresh);
}

void StoreFollower::ReportIfRowsMissed() {
  const TimePoint in_touch = std::max(answered_at_, vouched_at_);
  if (is_loaded_ && loop_.Now() - in_touch > kMaxUnseenTime) {
    listener_.on_rows_missed();
  }
}

void StoreFollower::OnAskedTable(const StoreAnswer& answer) {
  const bool is_fresh =
      answer.kind == StoreAnswer::Kind::kRows && answer.version >= version_;
  if (is_fresh) {
    ReplaceTable(answer.rows, answer.version);
  }
  AnswerAsked(is_fresh);
}

void StoreFollower::AnswerAsked(bool is_fresh) {
  AnswerAll(asked_, is_fresh);
  asking_ = !questions_.empty();
  if (asking_) {
    AskNow();
  }
}

void StoreFollower::MergePeerCopy(const StoreChanges& changes) {
  MergeRows(changes);
  is_complete_ = is_complete_ || (is_loaded_ && !changes.is_partial);
}

void StoreFollower::MergeRows(const StoreChanges& changes) {
  if (changes.is_full && newest_change_ > 0) {
    // The table was read from the store during the call; the next request to a
    // peer starts from its version.
    return;
  }
  if (changes.is_full && !is_loaded_) {
    ReplaceTable(changes.rows, changes.version);
    return;
  }
  RemoveMissingKeys(changes);
  for (const StoredRow& row : changes.rows) {
    Apply(row, ChangeSource::kPeer);
  }
  version_ = std::max(version_, changes.version);
}

void StoreFollower::RemoveMissingKeys(const StoreChanges& changes) {
  if (changes.live_key_hashes.empty()) {
    return;
  }
  ReportIfRowsMissed();
  const std::unordered_set<std::uint64_t> live_key_hashes(
      changes.live_key_hashes.begin(), changes.live_key_hashes.end());
  std::vector<StoredRow> gone;
  for (const auto& [key, row] : rows_) {
    if (row.version <= changes.live_keys_version &&
        !live_key_hashes.contains(HashOf(key))) {
      gone.push_back({key, "", row.version, true});
    }
  }
  for (const StoredRow& row : gone) {
    rows_.erase(row.key);
    AddTombstone(row);
    listener_.on_change(row, ChangeSource::kPeer);
  }
  // The versions of these deletions are unknown, so peers can't be told of them
  // one by one.
  tombstones_since_ = std::max(tombstones_since_, changes.live_keys_version);
}

std::vector<const StoredRow*> StoreFollower::NewerThan(
    std::uint64_t known) const {
  std::vector<const StoredRow*> newer;
  const auto add = [&newer, known](const auto& rows) {
    for (const auto& [key, row] : rows) {
      if (row.version > known) {
        newer.push_back(&row);
      }
    }
  };
  add(rows_);
  // A peer without any rows has none to delete.
  if (known > 0) {
    add(tombstones_);
  }
  std::sort(newer.begin(), newer.end(),
            [](const StoredRow* a, const StoredRow* b) {
              return a->version < b->version;
            });
  return newer;
}

StoreChanges StoreFollower::ChangesAfter(std::uint64_t known) const {
  StoreChanges changes;
  if (!is_loaded_ || known >= newest_change_) {
    return changes;
  }
  changes.is_full = known == 0;
  changes.is_partial = !is_complete_;
  if (!changes.is_full && known < tombstones_since_) {
    changes.live_keys_version = version_;
    for (const auto& [key, row] : rows_) {
      changes.live_key_hashes.push_back(HashOf(key));
    }
  }
  changes.version = version_;
  std::size_t bytes = 0;
  for (const StoredRow* row : NewerThan(known)) {
    // One write may set several rows. Splitting them would give the peer a
    // state that the store was never in.
    const bool same_write =
        !changes.rows.empty() && changes.rows.back().version == row->version;
    if (bytes >= kMaxCopyBytes && !same_write) {
      changes.version = changes.rows.back().version;
      changes.is_partial = true;
      break;
    }
    bytes += row->key.size() + row->value.size();
    changes.rows.push_back(*row);
  }
  return changes;
}

void StoreFollower::ReplaceTable(const std::vector<StoredRow>& rows,
                                 std::uint64_t version) {
  auto before = std::exchange(rows_, {});
  for (const StoredRow& row : rows) {
    rows_[row.key] = row;
    newest_change_ = std::max(newest_change_, row.version);
    before.erase(row.key);
  }
  // Rows that are missing now were deleted before this read.
  for (auto& [key, row] : before) {
    AddTombstone({key, "", version, true});
  }
  // Rows that others still have may have gone unseen.
  tombstones_since_ = std::max(tombstones_since_, version);
  version_ = std::max(version_, version);
  is_loaded_ = true;
  listener_.on_rows(rows);
}

void StoreFollower::Apply(const StoredRow& row, ChangeSource source) {
  const auto found = rows_.find(row.key);
  if (found != rows_.end() && found->second.version >= row.version) {
    return;
  }
  const auto tombstone = tombstones_.find(row.key);
  if (tombstone != tombstones_.end() &&
      tombstone->second.version >= row.version) {
    return;
  }
  // A copy that is newer than the deletion has begun without the row.
  const bool was_missed =
      row.deleted && found == rows_.end() && row.version > version_;
  if (row.deleted) {
    rows_.erase(row.key);
    AddTombstone(row);
  } else {
    rows_[row.key] = row;
    newest_change_ = std::max(newest_change_, row.version);
  }
  listener_.on_change(row, source);
  if (was_missed) {
    listener_.on_rows_missed();
  }
}

void StoreFollower::AddTombstone(const StoredRow& row) {
  newest_change_ = std::max(newest_change_, row.version);
  tombstones_[row.key] = row;
  if (tombstones_.size() <= kMaxTombstones) {
    return;
  }
  const auto oldest = std::min_element(
      tombstones_.begin(), tombstones_.end(), [](const auto& a, const auto& b) {
        return a.second.version < b.second.version;
      });
  tombstones_since_ = std::max(tombstones_since_, oldest->second.version);
  tombstones_.erase(oldest);
}

StoreContact StoreFollower::contact() const {
  if (!following_ && !call_pending_) {
    return StoreContact::kNotAsked;
  }
  // One failed call is enough for another daemon to start calling the store.
  return reachable_ && failures_ == 0 ? StoreContact::kReachable
                                      : StoreContact::kUnreachable;
}

bool StoreFollower::HasAnsweredLately(TimePoint now) const {
  return contact() == StoreContact::kReachable &&
         now - answered_at_ <= long_poll_timeout_ + kMaxAnswerDelay;
}

void StoreFollower::OnCallSucceeded() {
  failures_ = 0;
  answered_at_ = loop_.Now();
  if (!std::exchange(reachable_, true)) {
    LogEvent("store_answers").Field("table", NameOf(table_));
    listener_.on_reachable(true);
  }
}

void StoreFollower::OnCallFailed(const std::string& detail) {
  if (++failures_ == 1) {
    listener_.on_call_failed();
  }
  if (failures_ >= kOutageFailures && std::exchange(reachable_, false)) {
    LogEvent("store_lost", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("reason", detail);
    listener_.on_reachable(false);
  }
  constexpr std::uint32_t kMaxDoublings = 4;
  const Duration delay = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(failures_, kMaxDoublings)));
  ScheduleCall(delay);
}

void StoreFollower::ScheduleCall(Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.After(delay, [this] {
    if (!call_pending_) {
      SendNextCall();
    }
  });
}

}  // namespace gentianroute::gateway
