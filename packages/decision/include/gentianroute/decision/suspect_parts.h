#ifndef GENTIANROUTE_DECISION_SUSPECT_PARTS_H_
#define GENTIANROUTE_DECISION_SUSPECT_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/decision/confirmation_window.h"

namespace gentianroute {

/// @brief A part of the prompt of a request that was in flight at a crash.
struct SuspectPart {
  Fingerprint part;
  Fingerprint request;
  std::uint32_t depth = 0;  ///< position in the prompt

  friend bool operator==(const SuspectPart&, const SuspectPart&) = default;
};

/// @brief A crash of a server, as one daemon tells others.
struct PartCrashReport {
  std::string server;
  std::uint64_t incarnation = 0;
  Duration age{};
  bool confirmed = false;
  std::vector<SuspectPart> parts;
};

/// @brief Something known about a part since some time, as told to others.
struct PartReport {
  Fingerprint part;
  Duration age{};
};

/// @brief Finds parts of prompts that crash each backend server that begins to
/// answer them, whatever else the requests hold.
///
/// Such requests are all different, so that SuspectTable, which counts the
/// crashes of each request, knows each only when it has done its damage. Here a
/// crash counts against all parts of the requests that the server had just
/// begun to answer. A part is blamed after some crashes that no single request
/// explains, unless a request with it was answered since; more is needed if one
/// was answered before. The last part of a prompt is its own and never counts.
///
/// Most of these requests share further parts with sound ones, such as the
/// first. Of parts that could explain the same crashes only one is blamed: one
/// that no request was answered with, and of these the deepest in the prompts.
/// The others are shared by sound requests, which would all be refused.
class SuspectParts {
 public:
  struct Options {
    /// Crashes before a part is blamed. They need not be confirmed if no
    /// request with it has been answered.
    std::size_t crash_threshold = 3;
    /// Crashes that must remain without those of any single request.
    std::size_t min_crashes_of_others = 2;
    /// See SuspectTable::Options.
    Duration confirmation_timeout = std::chrono::seconds(3);
    /// Time for which crashes and answers are kept.
    Duration memory = std::chrono::seconds(60);
    Duration quarantine_duration = std::chrono::minutes(30);
    /// See SuspectTable::Options. Unconfirmed crashes are told for as long as
    /// they count.
    Duration report_duration = std::chrono::seconds(6);
    std::size_t max_crashes = 256;
    /// Maximum number of crashes and of answers told, and of parts for each
    /// crash.
    std::size_t max_reports = 12;
    std::size_t max_parts_told = 8;
  };

  explicit SuspectParts(Options options)
      : options_(options), window_(options.confirmation_timeout) {}

  /// @brief Handles the crash of a server that had begun to answer a request.
  /// @return whether peers should be told at once: a part was in a crash before
  bool OnCrash(TimePoint now,
               std::string_view server,
               std::uint64_t incarnation,
               Fingerprint request,
               std::span<const Fingerprint> parts);
  /// @brief Confirms the server's crashes, as in SuspectTable.
  void OnServerDown(TimePoint now, std::string_view server) {
    OnIncarnation(now, server, std::numeric_limits<std::uint64_t>::max());
  }
  void OnIncarnation(TimePoint now,
                     std::string_view server,
                     std::uint64_t incarnation);
  void SetConfirmable(TimePoint now, bool confirmable);
  /// @brief A server has answered a request with these parts.
  /// @param sent when the request was sent to it: crashes before then may not
  /// be due to these parts
  void OnAnswered(std::span<const Fingerprint> parts, TimePoint sent);

  /// @brief Whether a request with these parts must not be sent.
  bool IsAnyBlamed(TimePoint now, std::span<const Fingerprint> parts);

  /// @name What daemons tell each other
  /// @{
  /// @brief The crashes that matter most: those that this daemon has seen, and
  /// what peers have told of parts that were in several.
  std::vector<PartCrashReport> CrashReports(TimePoint now) const;
  void OnPeerCrash(TimePoint now, const PartCrashReport& report);
  /// @brief The latest answers with parts that were in crashes.
  std::vector<PartReport> AnswerReports(TimePoint now) const;
  void OnPeerAnswer(TimePoint now, const PartReport& report);
  /// @brief Parts that crash servers, by confirmed crashes.
  std::vector<PartReport> Quarantined(TimePoint now) const;
  void OnPeerQuarantine(TimePoint now, const PartReport& report);
  /// @}

  /// @brief Sets what is called when a part is found to crash servers.
  using OnQuarantined =
      std::function<void(Fingerprint part, std::size_t crashes)>;
  void SetOnQuarantined(OnQuarantined on_quarantined) {
    on_quarantined_ = std::move(on_quarantined);
  }

  /// @brief Removes what has expired.
  void Sweep(TimePoint now);

 private:
  struct Crash {
    std::string server;
    std::uint64_t incarnation = 0;
    TimePoint time{};
    bool confirmed = false;
    bool seen_here = false;  ///< by this daemon, not only told by peers
    std::vector<SuspectPart> parts;
  };
  /// A part with the crashes that it could explain.
  struct Candidate {
    Fingerprint part;
    std::uint32_t depth = 0;
    bool known = false;  ///< a request with it was answered lately
    std::vector<const Crash*> crashes;
  };
  using CrashCounts = std::unordered_map<Fingerprint, std::size_t>;
  using CrashSet = std::unordered_set<const Crash*>;

  bool Counts(TimePoint now, const Crash& crash) const {
    return crash.confirmed || window_.IsOpen(now, crash.time);
  }
  bool IsTold(TimePoint now, const Crash& crash) const {
    return now < crash.time + options_.report_duration ||
           (!crash.confirmed && Counts(now, crash));
  }
  bool WasAnsweredSince(Fingerprint part, TimePoint time) const;
  bool IsKnown(TimePoint now, Fingerprint part) const;
  Crash& FindOrAdd(TimePoint time,
                   std::string_view server,
                   std::uint64_t incarnation);
  /// Decides again which parts are blamed. Done when a verdict is needed, since
  /// many reports arrive when many servers crash.
  void Judge(TimePoint now);
  /// Parts in crashes that they may explain: those first that no request was
  /// answered with, then the deepest.
  std::vector<Candidate> Candidates(TimePoint now) const;
  bool IsGuilty(TimePoint now,
                Fingerprint part,
                std::span<const Crash* const> crashes) const;
  /// Number of crashes with the part that no single request explains.
  static std::size_t CrashesOfOthers(Fingerprint part,
                                     std::span<const Crash* const> crashes);
  void Quarantine(TimePoint now, Fingerprint part, std::size_t crashes);
  /// Number of crashes held against each part.
  CrashCounts CountCrashes(TimePoint now) const;
  /// The parts of a crash that matter most to peers.
  std::vector<SuspectPart> PartsToTell(TimePoint now,
                                       const Crash& crash,
                                       const CrashCounts& counts) const;

  Options options_;
  ConfirmationWindow window_;
  OnQuarantined on_quarantined_;
  std::vector<Crash> crashes_;  ///< in the order in which they became known
  /// When the latest answered request with a part was sent.
  std::unordered_map<Fingerprint, TimePoint> answered_;
  bool is_judged_ = true;  ///< nothing has changed since the last verdict
  /// Parts that are blamed by the crashes at hand.
  std::unordered_set<Fingerprint> blamed_;
  /// Parts that confirmed crashes have shown to crash servers, with the time.
  std::unordered_map<Fingerprint, TimePoint> quarantined_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SUSPECT_PARTS_H_
