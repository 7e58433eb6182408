#include "gentianroute/gateway/store_follower.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_set>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// How long the store holds a call without news. A daemon that is cut off from
/// the store finds out only when this is over, and then the next one in order
/// has to ask: two such times have to fit into the time in which a change must
/// be in force, beside what the calls and the news of it take. Shorter costs
/// calls, which are billed.
Duration HoldFor(Duration change_in_force) {
  constexpr Duration kCallsAndNews = std::chrono::milliseconds(1100);
  constexpr Duration kShortest = std::chrono::milliseconds(300);
  constexpr Duration kLongest = std::chrono::seconds(5);
  return std::clamp((change_in_force - kCallsAndNews) / 2, kShortest, kLongest);
}

/// Changes within this time come in one answer: hundreds of servers that start
/// together would cost a call each. It is a small part of the time in which a
/// change must be in force.
constexpr Duration kChangesTogether = std::chrono::milliseconds(120);
/// Pause after a call that failed, doubled each time up to the last.
constexpr Duration kFirstPause = std::chrono::milliseconds(60);
constexpr Duration kLongestPause = std::chrono::milliseconds(500);
/// Deletions that peers can still be told of one by one; a peer that lacks
/// older ones gets the list of what is left.
constexpr std::size_t kMostGraves = 1000;
/// A copy for a peer holds about so much. Whole tables, asked for by a whole
/// data centre at once, fill the memory and the link of the one that has them.
constexpr std::size_t kMostCopyBytes = 64 * 1024;
/// A single lost answer is no outage.
constexpr std::uint32_t kFailuresOfOutage = 2;

constexpr std::array<std::string_view, 3> kTableNames = {"deployment",
                                                         "servers", "daemons"};

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
                             Duration change_in_force,
                             Listener listener)
    : loop_(loop),
      store_(store),
      table_(table),
      hold_(HoldFor(change_in_force)),
      listener_(std::move(listener)) {}

StoreFollower::~StoreFollower() {
  loop_.Cancel(timer_);
}

void StoreFollower::Start() {
  Ask();
}

void StoreFollower::SetFollowing(bool following) {
  const bool followed = std::exchange(following_, following);
  if (known_ && following && !followed && !asking_) {
    Ask();
  }
}

void StoreFollower::Ask() {
  if (!known_) {
    ReadWhole();
  } else if (following_) {
    FollowOn();
  }
}

void StoreFollower::ReadWhole() {
  asking_ = true;
  store_.Read(table_, [this](const StoreAnswer& answer) { OnWhole(answer); });
}

void StoreFollower::FollowOn() {
  asking_ = true;
  store_.Follow(table_, version_, hold_,
                [this](const StoreAnswer& answer) { OnChanges(answer); });
}

void StoreFollower::OnWhole(const StoreAnswer& answer) {
  asking_ = false;
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
  Take(answer.rows, answer.version);
  Ask();
}

void StoreFollower::OnChanges(const StoreAnswer& answer) {
  asking_ = false;
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
  if (answer.rows.empty()) {
    Ask();
    return;
  }
  AskAfter(kChangesTogether);
}

void StoreFollower::Offer(const StoreChanges& changes) {
  if (changes.whole && newest_change_ > 0) {
    // It has read the store meanwhile, and asks again from where it is.
    return;
  }
  if (changes.whole && !known_) {
    Take(changes.rows, changes.version);
    return;
  }
  DropUnlisted(changes);
  for (const StoredRow& row : changes.rows) {
    Apply(row);
  }
  version_ = std::max(version_, changes.version);
}

void StoreFollower::DropUnlisted(const StoreChanges& changes) {
  if (changes.listed.empty()) {
    return;
  }
  const std::unordered_set<std::uint64_t> listed(changes.listed.begin(),
                                                 changes.listed.end());
  std::vector<StoredRow> gone;
  for (const auto& [key, row] : rows_) {
    if (row.version <= changes.listed_version &&
        !listed.contains(HashOf(key))) {
      gone.push_back({key, "", row.version, true});
    }
  }
  for (const StoredRow& row : gone) {
    rows_.erase(row.key);
    Bury(row);
    listener_.on_change(row);
  }
  // When these were deleted is not known, so nobody can be told of them alone.
  graves_since_ = std::max(graves_since_, changes.listed_version);
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
  // One that knows nothing has nothing to delete.
  if (known > 0) {
    add(graves_);
  }
  std::sort(newer.begin(), newer.end(),
            [](const StoredRow* a, const StoredRow* b) {
              return a->version < b->version;
            });
  return newer;
}

StoreChanges StoreFollower::ChangesAfter(std::uint64_t known) const {
  StoreChanges changes;
  if (!known_ || known >= newest_change_) {
    return changes;
  }
  changes.whole = known == 0;
  if (!changes.whole && known < graves_since_) {
    changes.listed_version = version_;
    for (const auto& [key, row] : rows_) {
      changes.listed.push_back(HashOf(key));
    }
  }
  changes.version = version_;
  std::size_t bytes = 0;
  for (const StoredRow* row : NewerThan(known)) {
    // One write may have set several rows; a part of them is no state that the
    // store was ever in.
    const bool same_write =
        !changes.rows.empty() && changes.rows.back().version == row->version;
    if (bytes >= kMostCopyBytes && !same_write) {
      changes.version = changes.rows.back().version;
      break;
    }
    bytes += row->key.size() + row->value.size();
    changes.rows.push_back(*row);
  }
  return changes;
}

void StoreFollower::Take(const std::vector<StoredRow>& rows,
                         std::uint64_t version) {
  auto before = std::exchange(rows_, {});
  for (const StoredRow& row : rows) {
    rows_[row.key] = row;
    newest_change_ = std::max(newest_change_, row.version);
    before.erase(row.key);
  }
  // What is missing now was deleted some time before this read.
  for (auto& [key, row] : before) {
    Bury({key, "", version, true});
  }
  if (!known_) {
    graves_since_ = version;
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
  const auto grave = graves_.find(row.key);
  if (grave != graves_.end() && grave->second.version >= row.version) {
    return;
  }
  if (row.deleted) {
    rows_.erase(row.key);
    Bury(row);
  } else {
    rows_[row.key] = row;
    newest_change_ = std::max(newest_change_, row.version);
  }
  listener_.on_change(row);
}

void StoreFollower::Bury(const StoredRow& row) {
  newest_change_ = std::max(newest_change_, row.version);
  graves_[row.key] = row;
  if (graves_.size() <= kMostGraves) {
    return;
  }
  const auto oldest = std::min_element(
      graves_.begin(), graves_.end(), [](const auto& a, const auto& b) {
        return a.second.version < b.second.version;
      });
  graves_since_ = std::max(graves_since_, oldest->second.version);
  graves_.erase(oldest);
}

StoreContact StoreFollower::contact() const {
  if (!following_ && !asking_) {
    return StoreContact::kNotAsked;
  }
  // One lost call is enough for another daemon to ask as well.
  return answers_ && failures_ == 0 ? StoreContact::kReachable
                                    : StoreContact::kUnreachable;
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
  if (++failures_ == 1) {
    listener_.on_silence();
  }
  if (failures_ >= kFailuresOfOutage && std::exchange(answers_, false)) {
    LogEvent("store_lost", LogLevel::kWarning)
        .Field("table", NameOf(table_))
        .Field("reason", detail);
    listener_.on_reachable(false);
  }
  constexpr std::uint32_t kMostDoublings = 4;
  const Duration pause = std::min(
      kLongestPause, kFirstPause * (1 << std::min(failures_, kMostDoublings)));
  AskAfter(pause);
}

void StoreFollower::AskAfter(Duration pause) {
  loop_.Cancel(timer_);
  timer_ = loop_.After(pause, [this] {
    if (!asking_) {
      Ask();
    }
  });
}

}  // namespace gentianroute::gateway
