#include "gentianroute/decision/suspect_table.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>
#include <utility>

namespace gentianroute {
namespace {

/// A server that has crashed takes longer to be back. Its new incarnation may
/// be unknown by then.
constexpr Duration kMinRestartTime = std::chrono::milliseconds(200);

}  // namespace

void SuspectTable::OnCrash(TimePoint now,
                           std::string_view server,
                           std::uint64_t incarnation,
                           std::span<const Fingerprint> in_flight) {
  if (entries_.size() >= options_.max_entries) {
    Sweep(now);
  }
  for (const Fingerprint fingerprint : in_flight) {
    AddCrash(now, fingerprint,
             {.server = std::string(server),
              .incarnation = incarnation,
              .time = now,
              .alone = in_flight.size() == 1});
  }
}

void SuspectTable::OnAnswerWithoutEnd(TimePoint now,
                                      std::string_view server,
                                      std::uint64_t incarnation,
                                      Fingerprint fingerprint) {
  AddCrash(now, fingerprint,
           {.server = std::string(server),
            .incarnation = incarnation,
            .time = now,
            .may_be_answer = true});
}

bool SuspectTable::IsSameCrash(const Crash& known, const Crash& crash) {
  if (known.server != crash.server || known.incarnation != crash.incarnation) {
    return false;
  }
  // The age in a peer's report is inexact: the datagram may have been read
  // late.
  return !crash.seen_here || crash.time - known.time < kMinRestartTime;
}

void SuspectTable::AddCrash(TimePoint now,
                            Fingerprint fingerprint,
                            Crash crash) {
  const auto cleared = cleared_.find(fingerprint);
  if (IsLapsed(now, crash) ||
      (cleared != cleared_.end() && crash.time <= cleared->second.time)) {
    return;
  }
  Entry& entry = entries_[fingerprint];
  if (now >= entry.suspect_until) {
    entry.crashes.clear();
  }
  const Duration duration = crash.may_be_answer
                                ? 2 * options_.confirmation_timeout
                                : options_.suspect_duration;
  entry.suspect_until = std::max(entry.suspect_until, crash.time + duration);
  const auto known = std::ranges::find_if(
      entry.crashes,
      [&crash](const Crash& other) { return IsSameCrash(other, crash); });
  if (known == entry.crashes.end()) {
    entry.crashes.push_back(crash);
  } else if (known->confirmed >= crash.confirmed &&
             known->alone <= crash.alone) {
    return;
  } else {
    known->alone &= crash.alone;
    known->confirmed |= crash.confirmed;
  }
  if (!crash.confirmed) {
    unconfirmed_[crash.server].insert(fingerprint);
  }
  MarkIfShared(crash.server, crash.incarnation);
  if (crash.confirmed && HasEnoughCrashes(now, entry, true)) {
    Quarantine(now, fingerprint, entry);
  }
}

void SuspectTable::MarkIfShared(std::string_view server,
                                std::uint64_t incarnation) {
  const auto unconfirmed = unconfirmed_.find(server);
  if (unconfirmed == unconfirmed_.end()) {
    return;
  }
  std::vector<Crash*> reports;
  std::size_t requests = 0;
  for (const Fingerprint fingerprint : unconfirmed->second) {
    const std::size_t reports_before = reports.size();
    for (Crash& crash : entries_[fingerprint].crashes) {
      if (crash.server == server && crash.incarnation == incarnation) {
        reports.push_back(&crash);
      }
    }
    requests += reports.size() > reports_before ? 1 : 0;
  }
  if (requests < 2) {
    return;
  }
  for (Crash* crash : reports) {
    crash->alone = false;
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
    return !HasUnconfirmedCrash(now, fingerprint, server);
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

void SuspectTable::SetConfirmable(TimePoint now, bool confirmable) {
  if (confirmable == window_.confirmable()) {
    return;
  }
  RemoveLapsed(now);
  window_.SetConfirmable(now, confirmable);
}

void SuspectTable::RemoveLapsed(TimePoint now) {
  for (auto& [fingerprint, entry] : entries_) {
    const std::size_t removed = std::erase_if(
        entry.crashes,
        [this, now](const Crash& crash) { return IsLapsed(now, crash); });
    ReportDropped(fingerprint, removed, DropReason::kLapsed);
  }
  for (auto& item : unconfirmed_) {
    std::erase_if(item.second, [&](Fingerprint fingerprint) {
      return !HasUnconfirmedCrash(now, fingerprint, item.first);
    });
  }
  std::erase_if(unconfirmed_,
                [](const auto& item) { return item.second.empty(); });
}

bool SuspectTable::HasUnconfirmedCrash(TimePoint now,
                                       Fingerprint fingerprint,
                                       std::string_view server) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() &&
         std::ranges::any_of(found->second.crashes, [&](const Crash& crash) {
           return crash.server == server && IsUnconfirmed(now, crash);
         });
}

void SuspectTable::ReportDropped(Fingerprint fingerprint,
                                 std::size_t crashes,
                                 DropReason reason) const {
  // Each server that crashes makes all its requests suspects once.
  if (crashes > 1 && on_dropped_) {
    on_dropped_(fingerprint, crashes, reason);
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
    if (confirmed_only ? crash.confirmed : Counts(now, crash)) {
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

void SuspectTable::OnAnswered(TimePoint now, Fingerprint fingerprint) {
  if (entries_.contains(fingerprint)) {
    Clear(fingerprint, {now, true});
  }
}

void SuspectTable::Clear(Fingerprint fingerprint, Clearance clearance) {
  Clearance& latest = cleared_[fingerprint];
  if (clearance.time > latest.time) {
    latest = clearance;
  }
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() ||
      found->second.quarantined_until != TimePoint{}) {
    return;
  }
  const std::size_t removed =
      std::erase_if(found->second.crashes, [&clearance](const Crash& crash) {
        return crash.time <= clearance.time;
      });
  ReportDropped(fingerprint, removed, DropReason::kAnswered);
  if (found->second.crashes.empty()) {
    entries_.erase(found);
  }
}

bool SuspectTable::IsReported(TimePoint now,
                              const Entry& entry,
                              const Crash& crash) const {
  const bool may_be_answer = crash.may_be_answer && !crash.confirmed;
  const bool is_single = entry.crashes.size() < 2;
  if (may_be_answer || (is_single && !crash.seen_here)) {
    return false;
  }
  return now < crash.time + options_.report_duration ||
         (HasEnoughCrashes(now, entry, false) &&
          now >= entry.quarantined_until);
}

std::vector<CrashReport> SuspectTable::CrashReports(TimePoint now) const {
  struct Candidate {
    std::size_t crashes = 0;
    bool seen_here = false;
    CrashReport report;
  };
  std::vector<Candidate> candidates;
  for (const auto& [fingerprint, entry] : entries_) {
    for (const Crash& crash : entry.crashes) {
      if (IsReported(now, entry, crash)) {
        candidates.push_back(
            {entry.crashes.size(),
             crash.seen_here,
             {fingerprint, crash.server, crash.incarnation, now - crash.time,
              crash.alone, crash.confirmed}});
      }
    }
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::tuple(b.crashes, b.seen_here, a.report.age) <
           std::tuple(a.crashes, a.seen_here, b.report.age);
  });
  candidates.resize(std::min(candidates.size(), options_.max_reports));
  std::vector<CrashReport> reports;
  reports.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    reports.push_back(std::move(candidate.report));
  }
  return reports;
}

void SuspectTable::OnPeerCrash(TimePoint now, const CrashReport& report) {
  AddCrash(now, report.fingerprint,
           {.server = report.server,
            .incarnation = report.incarnation,
            .time = now - report.age,
            .alone = report.alone,
            .confirmed = report.confirmed,
            .seen_here = false});
}

std::vector<ClearanceReport> SuspectTable::ClearanceReports(
    TimePoint now) const {
  std::vector<ClearanceReport> reports;
  for (const auto& [fingerprint, clearance] : cleared_) {
    if (clearance.seen_here &&
        now < clearance.time + options_.report_duration) {
      reports.push_back({fingerprint, now - clearance.time});
    }
  }
  std::ranges::sort(reports, {}, &ClearanceReport::age);
  reports.resize(std::min(reports.size(), options_.max_reports));
  return reports;
}

void SuspectTable::OnPeerClearance(TimePoint now,
                                   const ClearanceReport& report) {
  Clear(report.fingerprint, {now - report.age, false});
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
  RemoveLapsed(now);
  std::erase_if(entries_, [now](const auto& item) {
    return now >= item.second.suspect_until &&
           now >= item.second.quarantined_until;
  });
  std::erase_if(cleared_, [this, now](const auto& item) {
    return now >= item.second.time + 2 * options_.report_duration;
  });
}

}  // namespace gentianroute
