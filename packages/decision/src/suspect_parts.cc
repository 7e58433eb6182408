#include "gentianroute/decision/suspect_parts.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace gentianroute {
namespace {

/// Reports of one crash differ by less: connections to a server break at the
/// same moment, but a peer's report may be read late.
constexpr Duration kSameCrashTime = std::chrono::seconds(1);

}  // namespace

SuspectParts::Crash& SuspectParts::FindOrAdd(TimePoint time,
                                             std::string_view server,
                                             std::uint64_t incarnation) {
  const auto found = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    const Duration apart =
        time > crash.time ? time - crash.time : crash.time - time;
    return crash.server == server && crash.incarnation == incarnation &&
           apart < kSameCrashTime;
  });
  if (found != crashes_.end()) {
    return *found;
  }
  if (crashes_.size() >= options_.max_crashes) {
    crashes_.erase(crashes_.begin());
  }
  Crash& crash = crashes_.emplace_back();
  crash.server = server;
  crash.incarnation = incarnation;
  crash.time = time;
  return crash;
}

bool SuspectParts::OnCrash(TimePoint now,
                           std::string_view server,
                           std::uint64_t incarnation,
                           Fingerprint request,
                           std::span<const Fingerprint> parts) {
  if (parts.empty()) {
    return false;
  }
  Crash& crash = FindOrAdd(now, server, incarnation);
  crash.seen_here = true;
  std::uint32_t depth = 0;
  for (const Fingerprint part : parts) {
    const SuspectPart suspect{part, request, depth++};
    if (std::ranges::find(crash.parts, suspect) == crash.parts.end()) {
      crash.parts.push_back(suspect);
    }
  }
  is_judged_ = false;
  const CrashCounts counts = CountCrashes(now);
  return std::ranges::any_of(parts, [&counts](Fingerprint part) {
    const auto count = counts.find(part);
    return count != counts.end() && count->second > 1;
  });
}

void SuspectParts::OnIncarnation(TimePoint now,
                                 std::string_view server,
                                 std::uint64_t incarnation) {
  for (Crash& crash : crashes_) {
    if (crash.server == server && crash.incarnation < incarnation &&
        !crash.confirmed && Counts(now, crash)) {
      crash.confirmed = true;
      is_judged_ = false;
    }
  }
}

void SuspectParts::SetConfirmable(TimePoint now, bool confirmable) {
  if (confirmable == window_.confirmable()) {
    return;
  }
  std::erase_if(crashes_, [this, now](const Crash& crash) {
    return !Counts(now, crash);
  });
  window_.SetConfirmable(now, confirmable);
}

void SuspectParts::OnAnswered(std::span<const Fingerprint> parts,
                              TimePoint sent) {
  for (const Fingerprint part : parts) {
    TimePoint& latest = answered_[part];
    latest = std::max(latest, sent);
  }
  is_judged_ = is_judged_ && crashes_.empty() && quarantined_.empty();
}

bool SuspectParts::IsAnyBlamed(TimePoint now,
                               std::span<const Fingerprint> parts) {
  if (!is_judged_) {
    Judge(now);
  }
  return std::ranges::any_of(parts, [this, now](Fingerprint part) {
    if (blamed_.contains(part)) {
      return true;
    }
    const auto found = quarantined_.find(part);
    return found != quarantined_.end() &&
           now < found->second + options_.quarantine_duration;
  });
}

bool SuspectParts::WasAnsweredSince(Fingerprint part, TimePoint time) const {
  const auto found = answered_.find(part);
  return found != answered_.end() && found->second > time;
}

bool SuspectParts::IsKnown(TimePoint now, Fingerprint part) const {
  return WasAnsweredSince(part, now - options_.memory);
}

void SuspectParts::Judge(TimePoint now) {
  is_judged_ = true;
  blamed_.clear();
  std::erase_if(quarantined_, [this](const auto& item) {
    return WasAnsweredSince(item.first, item.second);
  });
  CrashSet explained;
  for (const Candidate& candidate : Candidates(now)) {
    std::vector<const Crash*> unexplained;
    std::ranges::copy_if(candidate.crashes, std::back_inserter(unexplained),
                         [&explained](const Crash* crash) {
                           return !explained.contains(crash);
                         });
    if (!IsGuilty(now, candidate.part, unexplained)) {
      continue;
    }
    blamed_.insert(candidate.part);
    explained.insert(candidate.crashes.begin(), candidate.crashes.end());
    const auto confirmed = static_cast<std::size_t>(
        std::ranges::count_if(unexplained, &Crash::confirmed));
    if (confirmed >= options_.crash_threshold) {
      Quarantine(now, candidate.part, unexplained.size());
    }
  }
}

std::vector<SuspectParts::Candidate> SuspectParts::Candidates(
    TimePoint now) const {
  std::unordered_map<Fingerprint, Candidate> by_part;
  for (const Crash& crash : crashes_) {
    if (!Counts(now, crash)) {
      continue;
    }
    for (const SuspectPart& suspect : crash.parts) {
      if (WasAnsweredSince(suspect.part, crash.time)) {
        continue;
      }
      Candidate& candidate = by_part[suspect.part];
      candidate.part = suspect.part;
      candidate.depth = std::max(candidate.depth, suspect.depth);
      if (candidate.crashes.empty() || candidate.crashes.back() != &crash) {
        candidate.crashes.push_back(&crash);
      }
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [part, candidate] : by_part) {
    if (candidate.crashes.size() >= options_.crash_threshold) {
      candidate.known = IsKnown(now, part);
      candidates.push_back(std::move(candidate));
    }
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::tuple(a.known, b.depth, b.crashes.size(), a.part) <
           std::tuple(b.known, a.depth, a.crashes.size(), b.part);
  });
  return candidates;
}

bool SuspectParts::IsGuilty(TimePoint now,
                            Fingerprint part,
                            std::span<const Crash* const> crashes) const {
  std::vector<const Crash*> evidence(crashes.begin(), crashes.end());
  if (IsKnown(now, part)) {
    std::erase_if(evidence,
                  [](const Crash* crash) { return !crash->confirmed; });
  }
  return evidence.size() >= options_.crash_threshold &&
         CrashesOfOthers(part, evidence) >= options_.min_crashes_of_others;
}

std::size_t SuspectParts::CrashesOfOthers(
    Fingerprint part,
    std::span<const Crash* const> crashes) {
  // For each request, the crashes at which no other one with the part ran.
  std::unordered_map<Fingerprint, std::size_t> alone;
  std::size_t most = 0;
  for (const Crash* crash : crashes) {
    std::unordered_set<Fingerprint> requests;
    for (const SuspectPart& suspect : crash->parts) {
      if (suspect.part == part) {
        requests.insert(suspect.request);
      }
    }
    if (requests.size() == 1) {
      most = std::max(most, ++alone[*requests.begin()]);
    }
  }
  return crashes.size() - most;
}

void SuspectParts::Quarantine(TimePoint now,
                              Fingerprint part,
                              std::size_t crashes) {
  const bool is_new = quarantined_.try_emplace(part, now).second;
  if (is_new && on_quarantined_) {
    on_quarantined_(part, crashes);
  }
}

SuspectParts::CrashCounts SuspectParts::CountCrashes(TimePoint now) const {
  CrashCounts counts;
  for (const Crash& crash : crashes_) {
    if (!Counts(now, crash)) {
      continue;
    }
    // Several requests with a part may have run at the server.
    std::unordered_set<Fingerprint> parts;
    for (const SuspectPart& suspect : crash.parts) {
      if (!WasAnsweredSince(suspect.part, crash.time) &&
          parts.insert(suspect.part).second) {
        ++counts[suspect.part];
      }
    }
  }
  return counts;
}

std::vector<SuspectPart> SuspectParts::PartsToTell(
    TimePoint now,
    const Crash& crash,
    const CrashCounts& counts) const {
  std::vector<SuspectPart> parts;
  std::ranges::copy_if(
      crash.parts, std::back_inserter(parts), [&](const SuspectPart& suspect) {
        const auto count = counts.find(suspect.part);
        return count != counts.end() &&
               (count->second > 1 || !IsKnown(now, suspect.part)) &&
               !WasAnsweredSince(suspect.part, crash.time);
      });
  const auto rank = [&](const SuspectPart& suspect) {
    return std::tuple(!IsKnown(now, suspect.part), counts.at(suspect.part),
                      suspect.depth);
  };
  std::ranges::sort(parts, std::greater{}, rank);
  parts.resize(std::min(parts.size(), options_.max_parts_told));
  return parts;
}

std::vector<PartCrashReport> SuspectParts::CrashReports(TimePoint now) const {
  struct Ranked {
    std::size_t crashes = 0;  ///< of the part with most
    const Crash* crash = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const Crash& crash : crashes_) {
    if (IsTold(now, crash)) {
      ranked.push_back({0, &crash});
    }
  }
  if (ranked.empty()) {
    return {};
  }
  const CrashCounts counts = CountCrashes(now);
  for (Ranked& entry : ranked) {
    for (const SuspectPart& suspect : entry.crash->parts) {
      const auto count = counts.find(suspect.part);
      if (count != counts.end() && !IsKnown(now, suspect.part)) {
        entry.crashes = std::max(entry.crashes, count->second);
      }
    }
  }
  std::erase_if(ranked, [](const Ranked& entry) {
    return entry.crashes < 2 && !entry.crash->seen_here;
  });
  std::ranges::sort(ranked, std::greater{}, [](const Ranked& entry) {
    return std::pair(entry.crashes, entry.crash->time);
  });
  ranked.resize(std::min(ranked.size(), options_.max_reports));
  std::vector<PartCrashReport> reports;
  reports.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    const Crash& crash = *entry.crash;
    auto parts = PartsToTell(now, crash, counts);
    if (!parts.empty()) {
      reports.push_back({crash.server, crash.incarnation, now - crash.time,
                         crash.confirmed, std::move(parts)});
    }
  }
  return reports;
}

void SuspectParts::OnPeerCrash(TimePoint now, const PartCrashReport& report) {
  const TimePoint time = now - report.age;
  if (!report.confirmed && !window_.IsOpen(now, time)) {
    return;
  }
  Crash& crash = FindOrAdd(time, report.server, report.incarnation);
  if (report.confirmed && !crash.confirmed) {
    crash.confirmed = true;
    is_judged_ = false;
  }
  for (const SuspectPart& suspect : report.parts) {
    if (std::ranges::find(crash.parts, suspect) == crash.parts.end()) {
      crash.parts.push_back(suspect);
      is_judged_ = false;
    }
  }
}

std::vector<PartReport> SuspectParts::AnswerReports(TimePoint now) const {
  std::unordered_set<Fingerprint> parts;
  for (const Crash& crash : crashes_) {
    if (IsTold(now, crash)) {
      for (const SuspectPart& suspect : crash.parts) {
        parts.insert(suspect.part);
      }
    }
  }
  for (const auto& [part, time] : quarantined_) {
    parts.insert(part);
  }
  std::vector<PartReport> reports;
  for (const Fingerprint part : parts) {
    const auto found = answered_.find(part);
    if (found != answered_.end()) {
      reports.push_back({part, now - found->second});
    }
  }
  std::ranges::sort(reports, {}, &PartReport::age);
  reports.resize(std::min(reports.size(), options_.max_reports));
  return reports;
}

void SuspectParts::OnPeerAnswer(TimePoint now, const PartReport& report) {
  TimePoint& latest = answered_[report.part];
  if (now - report.age > latest) {
    latest = now - report.age;
    is_judged_ = false;
  }
}

std::vector<PartReport> SuspectParts::Quarantined(TimePoint now) const {
  std::vector<PartReport> reports;
  for (const auto& [part, time] : quarantined_) {
    reports.push_back({part, now - time});
  }
  std::ranges::sort(reports, {}, &PartReport::age);
  reports.resize(std::min(reports.size(), options_.max_reports));
  return reports;
}

void SuspectParts::OnPeerQuarantine(TimePoint now, const PartReport& report) {
  const TimePoint time = now - report.age;
  if (!WasAnsweredSince(report.part, time)) {
    quarantined_.try_emplace(report.part, time);
  }
}

void SuspectParts::Sweep(TimePoint now) {
  std::erase_if(crashes_, [this, now](const Crash& crash) {
    return !Counts(now, crash) || now >= crash.time + options_.memory;
  });
  std::erase_if(answered_, [this, now](const auto& item) {
    return now >= item.second + options_.memory;
  });
  std::erase_if(quarantined_, [this, now](const auto& item) {
    return now >= item.second + options_.quarantine_duration;
  });
  Judge(now);
}

}  // namespace gentianroute
