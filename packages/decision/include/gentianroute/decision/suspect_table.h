#ifndef GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
#define GENTIANROUTE_DECISION_SUSPECT_TABLE_H_

#include <cstdint>
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

namespace gentianroute {

/// @brief Finds the request that crashes each backend server that runs it.
///
/// A crash makes a suspect of everything that ran there. The coordinator never
/// puts two suspects on one server, nor one suspect on two, and prefers an idle
/// one: an innocent neighbour is answered and cleared, the guilty one is
/// quarantined at its second crash if it ran alone, else at its third. Peers
/// are told, so that its resends crash no server of theirs.
///
/// A broken connection alone is no crash: something between the two ends may
/// have cut it. It counts once the server is seen to be down or restarted.
/// Until then, or until the server is seen to live on, a request that would be
/// quarantined is accused: it waits, neither run nor refused for good.
class SuspectTable {
 public:
  struct Options {
    std::uint32_t sole_crash_threshold = 2;    ///< if the last one ran alone
    std::uint32_t shared_crash_threshold = 3;  ///< if others ran beside each
    /// Longer than the list of hosts lags; an unconfirmed crash then lapses.
    Duration confirmation_timeout = std::chrono::seconds(3);
    Duration suspect_duration = std::chrono::minutes(10);
    Duration quarantine_duration = std::chrono::minutes(30);
    std::size_t max_entries = 10'000;
  };

  SuspectTable() : SuspectTable(Options{}) {}
  explicit SuspectTable(Options options) : options_(options) {}

  /// @brief A connection with a call in flight broke. Called once per crash.
  /// @param in_flight every call whose bytes had gone out to the server.
  /// Newcomers beside a suspect too: blaming the suspect alone lets a guilty
  /// newcomer crash on.
  void OnCrash(TimePoint now,
               std::string_view server,
               std::uint64_t incarnation,
               std::span<const Fingerprint> in_flight);

  /// @brief The server refuses connections, or broke all of them at once.
  void OnServerDown(TimePoint now, std::string_view server);
  /// @brief The server is listed with this incarnation.
  void OnIncarnation(TimePoint now,
                     std::string_view server,
                     std::uint64_t incarnation);
  /// @brief A call that was in flight at the supposed crash has gone on.
  void OnServerAlive(TimePoint now, std::string_view server);

  /// @brief The request was answered by a server that lived on.
  void OnAnswered(Fingerprint fingerprint);

  /// @brief A peer has quarantined it.
  void OnPeerQuarantine(TimePoint now,
                        Fingerprint fingerprint,
                        Duration remaining);

  bool HasSuspects() const { return !entries_.empty(); }
  bool IsSuspect(TimePoint now, Fingerprint fingerprint) const;
  bool IsQuarantined(TimePoint now, Fingerprint fingerprint) const;
  bool IsQuarantinePending(TimePoint now, Fingerprint fingerprint) const;

  /// @brief What peers must know, with the time that is left of it.
  std::vector<std::pair<Fingerprint, Duration>> Quarantined(
      TimePoint now) const;

  /// @brief Drops what has run out.
  void Sweep(TimePoint now);

 private:
  struct Crash {
    std::string server;
    std::uint64_t incarnation = 0;
    TimePoint at{};
    bool alone = false;
    bool confirmed = false;
  };
  struct Entry {
    std::vector<Crash> crashes;
    TimePoint suspect_until{};
    TimePoint quarantined_until{};
  };

  void ConfirmCrashes(TimePoint now,
                      std::string_view server,
                      std::uint64_t before_incarnation);
  bool HasEnoughCrashes(TimePoint now,
                        const Entry& entry,
                        bool confirmed_only) const;
  bool IsUnconfirmed(TimePoint now, const Crash& crash) const {
    return !crash.confirmed && now < crash.at + options_.confirmation_timeout;
  }

  Options options_;
  std::unordered_map<Fingerprint, Entry> entries_;
  /// Who has an unconfirmed crash at a server.
  std::map<std::string, std::set<Fingerprint>, std::less<>> unconfirmed_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
