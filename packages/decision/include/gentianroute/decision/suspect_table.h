#ifndef GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
#define GENTIANROUTE_DECISION_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianroute/base/id.h"
#include "gentianroute/base/time.h"
#include "gentianroute/decision/confirmation_window.h"

namespace gentianroute {

/// @brief A crash of a server that had a request, as one daemon tells others.
struct CrashReport {
  Fingerprint fingerprint;
  std::string server;
  std::uint64_t incarnation = 0;
  Duration age{};
  bool alone = false;  ///< no other request was in flight
  bool confirmed = false;
};

/// @brief An answer that cleared a request, as one daemon tells others.
struct ClearanceReport {
  Fingerprint fingerprint;
  Duration age{};
};

/// @brief Finds and quarantines requests that crash the backend servers that
/// run them.
///
/// A server's crash makes each request in flight there a suspect. The
/// coordinator runs at most one suspect on a server, each suspect on one server
/// at a time, and prefers idle servers for them. A suspect that is answered is
/// cleared. One whose servers keep crashing is quarantined: at its second crash
/// if it was the only request in flight at the last one, else at its third.
/// Quarantines are sent to peers, so that a resend doesn't crash their servers.
/// So are the crashes and clearances themselves: callers send a request again
/// to any daemon, so that the crashes at each of them would be too few.
///
/// A broken connection alone doesn't prove a crash, since the network may have
/// cut it; nor does a refused one, which a cut link refuses too. The crash is
/// confirmed once the server is known to be down or restarted. As
/// long as an unconfirmed crash would complete the evidence against a request,
/// its quarantine is pending: the request waits and is neither run nor
/// rejected. A crash that isn't confirmed in time was none. This time runs only
/// while crashes can be confirmed at all: without the host list its silence
/// proves nothing, and a request whose evidence lapsed would crash more
/// servers.
class SuspectTable {
 public:
  /// Why crashes that were held against a request no longer count.
  enum class DropReason : std::uint8_t {
    kLapsed,    ///< not confirmed in time
    kAnswered,  ///< a server has answered the request since
  };

  struct Options {
    /// Crashes before quarantine if it ran alone at the last one.
    std::uint32_t sole_crash_threshold = 2;
    /// Crashes before quarantine if other requests ran at the last one too.
    std::uint32_t shared_crash_threshold = 3;
    /// Time after which an unconfirmed crash is ignored. Must exceed the time
    /// for which the host list keeps a silent server, and its lag.
    Duration confirmation_timeout = std::chrono::seconds(3);
    /// Time after its last crash during which a request is a suspect.
    Duration suspect_duration = std::chrono::minutes(10);
    Duration quarantine_duration = std::chrono::minutes(30);
    /// Time for which peers are told of a crash or an answer. Must exceed some
    /// heartbeat intervals, since heartbeats may be lost. The crashes of a
    /// request whose quarantine is pending are told for as long as it is.
    Duration report_duration = std::chrono::seconds(6);
    /// Maximum number of crashes, and of answers, told at a time.
    std::size_t max_reports = 16;
    /// Number of entries from which expired ones are removed at each crash.
    std::size_t max_entries = 10'000;
  };

  SuspectTable() : SuspectTable(Options{}) {}
  explicit SuspectTable(Options options)
      : options_(options), window_(options.confirmation_timeout) {}

  /// @brief Handles a broken connection with calls in flight. Called once per
  /// crash, or once per request in flight: a crash that several requests report
  /// counts as shared by them.
  /// @param in_flight all calls whose bytes had been sent to the server, also
  /// those that ran beside a suspect: if only the suspect were counted, another
  /// request that is the real cause would never be found.
  void OnCrash(TimePoint now,
               std::string_view server,
               std::uint64_t incarnation,
               std::span<const Fingerprint> in_flight);

  /// @brief Handles an answer that nothing but the end of its connection ended,
  /// as a crash of the server does too. It counts only if it is confirmed.
  void OnAnswerWithoutEnd(TimePoint now,
                          std::string_view server,
                          std::uint64_t incarnation,
                          Fingerprint fingerprint);

  /// @brief Confirms the server's crashes: it is down, by a source that doesn't
  /// depend on this daemon's links to it.
  void OnServerDown(TimePoint now, std::string_view server);
  /// @brief Handles a host list entry: a higher incarnation confirms the
  /// crashes of the earlier ones.
  void OnIncarnation(TimePoint now,
                     std::string_view server,
                     std::uint64_t incarnation);
  /// @brief Sets whether the source that confirms crashes can be asked.
  void SetConfirmable(TimePoint now, bool confirmable);
  /// @brief Removes the server's unconfirmed crashes: a call that was in flight
  /// at the time of the supposed crash has made progress.
  void OnServerAlive(TimePoint now, std::string_view server);

  /// @brief Clears a suspect: a server has answered it without crashing.
  void OnAnswered(TimePoint now, Fingerprint fingerprint);

  /// @brief Applies a quarantine that a peer has reported.
  /// @param remaining time until the quarantine ends
  void OnPeerQuarantine(TimePoint now,
                        Fingerprint fingerprint,
                        Duration remaining);

  /// @brief Returns the latest crashes, those of the requests with most crashes
  /// first. Includes what peers have told of requests with several crashes, so
  /// that those in all data centres are added up although few daemons of each
  /// tell the others. Each server that crashes makes many requests suspects
  /// once, which need not be told on.
  std::vector<CrashReport> CrashReports(TimePoint now) const;
  /// @brief Adds a crash that a peer has seen to the evidence.
  void OnPeerCrash(TimePoint now, const CrashReport& report);
  /// @brief Returns the suspects that this daemon has cleared lately.
  std::vector<ClearanceReport> ClearanceReports(TimePoint now) const;
  /// @brief Removes the crashes before an answer that a peer has received.
  void OnPeerClearance(TimePoint now, const ClearanceReport& report);

  /// @brief Sets what is called when a request is found to crash servers.
  using OnQuarantined =
      std::function<void(Fingerprint fingerprint, std::size_t crashes)>;
  void SetOnQuarantined(OnQuarantined on_quarantined) {
    on_quarantined_ = std::move(on_quarantined);
  }
  /// @brief Sets what is called when some crashes of a request that had more
  /// than one turn out not to count.
  using OnDropped = std::function<
      void(Fingerprint fingerprint, std::size_t crashes, DropReason reason)>;
  void SetOnDropped(OnDropped on_dropped) {
    on_dropped_ = std::move(on_dropped);
  }

  bool HasSuspects() const { return !entries_.empty(); }
  /// @brief Number of crashes recorded against a request, confirmed or not.
  std::size_t CrashesOf(Fingerprint fingerprint) const;
  bool IsSuspect(TimePoint now, Fingerprint fingerprint) const;
  bool IsQuarantined(TimePoint now, Fingerprint fingerprint) const;
  /// @brief Whether the request would be quarantined if its unconfirmed crashes
  /// were confirmed.
  bool IsQuarantinePending(TimePoint now, Fingerprint fingerprint) const;

  /// @brief Returns the quarantined requests with the time that remains, to
  /// send them to peers.
  std::vector<std::pair<Fingerprint, Duration>> Quarantined(
      TimePoint now) const;

  /// @brief Removes expired entries.
  void Sweep(TimePoint now);

 private:
  struct Crash {
    std::string server;
    std::uint64_t incarnation = 0;
    TimePoint time{};
    bool alone = false;  ///< no other request was in flight
    bool confirmed = false;
    bool seen_here = true;  ///< by this daemon, not reported by a peer
    /// The end of the connection may have been that of the answer.
    bool may_be_answer = false;
  };
  struct Clearance {
    TimePoint time{};
    bool seen_here = true;
  };
  struct Entry {
    std::vector<Crash> crashes;
    TimePoint suspect_until{};
    TimePoint quarantined_until{};
  };

  /// Confirms the crashes of incarnations below `before_incarnation`.
  void ConfirmCrashes(TimePoint now,
                      std::string_view server,
                      std::uint64_t before_incarnation);
  /// Whether two reports are of one crash.
  static bool IsSameCrash(const Crash& known, const Crash& crash);
  /// Adds a crash to the evidence, unless it is known or an answer followed it.
  void AddCrash(TimePoint now, Fingerprint fingerprint, Crash crash);
  void Clear(Fingerprint fingerprint, Clearance clearance);
  /// Marks a crash as shared if more than one request was in flight.
  void MarkIfShared(std::string_view server, std::uint64_t incarnation);
  void Quarantine(TimePoint now, Fingerprint fingerprint, Entry& entry);
  bool HasEnoughCrashes(TimePoint now,
                        const Entry& entry,
                        bool confirmed_only) const;
  bool IsUnconfirmed(TimePoint now, const Crash& crash) const {
    return !crash.confirmed && window_.IsOpen(now, crash.time);
  }
  bool Counts(TimePoint now, const Crash& crash) const {
    return crash.confirmed ||
           (!crash.may_be_answer && IsUnconfirmed(now, crash));
  }
  bool HasUnconfirmedCrash(TimePoint now,
                           Fingerprint fingerprint,
                           std::string_view server) const;
  bool IsLapsed(TimePoint now, const Crash& crash) const {
    return !crash.confirmed && !IsUnconfirmed(now, crash);
  }
  bool IsReported(TimePoint now, const Entry& entry, const Crash& crash) const;
  /// Removes the crashes that were not confirmed in time.
  void RemoveLapsed(TimePoint now);
  void ReportDropped(Fingerprint fingerprint,
                     std::size_t crashes,
                     DropReason reason) const;

  Options options_;
  ConfirmationWindow window_;
  OnQuarantined on_quarantined_;
  OnDropped on_dropped_;
  std::unordered_map<Fingerprint, Entry> entries_;
  /// Requests with an unconfirmed crash, by server.
  std::map<std::string, std::set<Fingerprint>, std::less<>> unconfirmed_;
  /// Suspects that were answered lately. A report of an earlier crash may still
  /// arrive.
  std::unordered_map<Fingerprint, Clearance> cleared_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
