#include "gentianroute/decision/suspect_table.h"

#include <algorithm>
#include <limits>

namespace gentianroute {

void SuspectTable::OnCrash(TimePoint now,
                           std::string_view server,
                           std::uint64_t incarnation,
                           std::span<const Fingerprint> in_flight) {
  if (entries_.size() >= options_.max_entries) {
    Sweep(now);
  }
  const bool alone = in_flight.size() == 1;
  std::set<Fingerprint>& unconfirmed =
      unconfirmed_.try_emplace(std::string(server)).first->second;
  for (const Fingerprint fingerprint : in_flight) {
    Entry& entry = entries_[fingerprint];
    if (now >= entry.suspect_until) {
      entry.crashes.clear();
    }
    entry.crashes.push_back({std::string(server), incarnation, now, alone});
    entry.suspect_until = now + options_.suspect_duration;
    unconfirmed.insert(fingerprint);
  }
  MarkIfShared(server, incarnation);
}

void SuspectTable::MarkIfShared(std::string_view server,
                                std::uint64_t incarnation) {
  std::vector<Crash*> reports;
  for (const Fingerprint fingerprint : unconfirmed_.find(server)->second) {
    for (Crash& crash : entries_[fingerprint].crashes) {
      if (crash.server == server && crash.incarnation == incarnation) {
        reports.push_back(&crash);
      }
    }
  }
  for (Crash* crash : reports) {
    crash->alone &= reports.size() == 1;
  }
}

void SuspectTable::OnServerDown(TimePoint now, std::string_view server) {
  ConfirmCrashes(now, server, std::numeric_limits<std::uint64_t>::max());
}

void SuspectTable::OnIncarnation(TimePoint now,
                                 std::string_view server,
                                 std::uint64_t incarnation) {
  ConfirmCrashes(now, server, incarnation);
}

void SuspectTable::ConfirmCrashes(TimePoint now,
                                  std::string_view server,
                                  std::uint64_t before_incarnation) {
  const auto unconfirmed = unconfirmed_.find(server);
  if (unconfirmed == unconfirmed_.end()) {
    return;
  }
  for (const Fingerprint fingerprint : unconfirmed->second) {
    Entry& entry = entries_[fingerprint];
    for (Crash& crash : entry.crashes) {
      crash.confirmed |= crash.server == server && IsUnconfirmed(now, crash) &&
                         crash.incarnation < before_incarnation;
    }
    if (HasEnoughCrashes(now, entry, true)) {
      Quarantine(now, fingerprint, entry);
    }
  }
  std::erase_if(unconfirmed->second, [&](Fingerprint fingerprint) {
    return std::ranges::none_of(
        entries_[fingerprint].crashes, [&](const Crash& crash) {
          return crash.server == server && IsUnconfirmed(now, crash);
        });
  });
  if (unconfirmed->second.empty()) {
    unconfirmed_.erase(unconfirmed);
  }
}

void SuspectTable::Quarantine(TimePoint now,
                              Fingerprint fingerprint,
                              Entry& entry) {
  const bool is_new = now >= entry.quarantined_until;
  entry.quarantined_until = now + options_.quarantine_duration;
  if (is_new && on_quarantined_) {
    on_quarantined_(fingerprint, entry.crashes.size());
  }
}

void SuspectTable::OnServerAlive(TimePoint now, std::string_view server) {
  const auto unconfirmed = unconfirmed_.find(server);
  if (unconfirmed == unconfirmed_.end()) {
    return;
  }
  for (const Fingerprint fingerprint : unconfirmed->second) {
    Entry& entry = entries_[fingerprint];
    std::erase_if(entry.crashes, [&](const Crash& crash) {
      return crash.server == server && IsUnconfirmed(now, crash);
    });
    if (entry.crashes.empty() && entry.quarantined_until == TimePoint{}) {
      entries_.erase(fingerprint);
    }
  }
  unconfirmed_.erase(unconfirmed);
}

bool SuspectTable::HasEnoughCrashes(TimePoint now,
                                    const Entry& entry,
                                    bool confirmed_only) const {
  // A crash with other requests in flight is weaker evidence, since any of them
  // may have caused it; a request that didn't is cleared by its next answer.
  std::uint32_t count = 0;
  bool alone = false;
  for (const Crash& crash : entry.crashes) {
    if (crash.confirmed || (!confirmed_only && IsUnconfirmed(now, crash))) {
      ++count;
      alone = crash.alone;  // of the last crash counted
    }
  }
  return count >= (alone ? options_.sole_crash_threshold
                         : options_.shared_crash_threshold);
}

bool SuspectTable::IsQuarantinePending(TimePoint now,
                                       Fingerprint fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() &&
         HasEnoughCrashes(now, found->second, false) &&
         !HasEnoughCrashes(now, found->second, true);
}

void SuspectTable::OnAnswered(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end() &&
      found->second.quarantined_until == TimePoint{}) {
    entries_.erase(found);
  }
}

void SuspectTable::OnPeerQuarantine(TimePoint now,
                                    Fingerprint fingerprint,
                                    Duration remaining) {
  Entry& entry = entries_[fingerprint];
  entry.quarantined_until = std::max(entry.quarantined_until, now + remaining);
  entry.suspect_until = std::max(entry.suspect_until, now + remaining);
}

std::size_t SuspectTable::CrashesOf(Fingerprint fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found == entries_.end() ? 0 : found->second.crashes.size();
}

bool SuspectTable::IsSuspect(TimePoint now, Fingerprint fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() && now < found->second.suspect_until;
}

bool SuspectTable::IsQuarantined(TimePoint now, Fingerprint fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() && now < found->second.quarantined_until;
}

std::vector<std::pair<Fingerprint, Duration>> SuspectTable::Quarantined(
    TimePoint now) const {
  std::vector<std::pair<Fingerprint, Duration>> quarantined;
  for (const auto& [fingerprint, entry] : entries_) {
    if (now < entry.quarantined_until) {
      quarantined.emplace_back(fingerprint, entry.quarantined_until - now);
    }
  }
  return quarantined;
}

void SuspectTable::Sweep(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    return now >= item.second.suspect_until &&
           now >= item.second.quarantined_until;
  });
}

}  // namespace gentianroute
