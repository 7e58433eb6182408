#include "gentianroute/decision/suspect_table.h"

#include <algorithm>

namespace gentianroute {

void SuspectTable::OnCrash(TimePoint now,
                           std::span<const Fingerprint> in_flight) {
  if (entries_.size() >= options_.max_entries) {
    Sweep(now);
  }
  // A crash with others in flight is weaker evidence: any of them may be to
  // blame, and an innocent one is answered and cleared at its next run.
  const std::uint32_t enough = in_flight.size() == 1
                                   ? options_.crashes_alone
                                   : options_.crashes_together;
  for (const Fingerprint fingerprint : in_flight) {
    Entry& entry = entries_[fingerprint];
    if (now >= entry.suspect_until) {
      entry.crashes = 0;
    }
    ++entry.crashes;
    entry.suspect_until = now + options_.suspicion;
    if (entry.crashes >= enough) {
      entry.quarantined_until = now + options_.quarantine;
    }
  }
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
