#ifndef GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
#define GENTIANROUTE_DECISION_SUSPECT_TABLE_H_

#include <cstdint>
#include <span>
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
class SuspectTable {
 public:
  struct Options {
    std::uint32_t crashes_alone = 2;     ///< if the last one ran alone
    std::uint32_t crashes_together = 3;  ///< if others ran beside it
    Duration suspicion = std::chrono::minutes(10);
    Duration quarantine = std::chrono::minutes(30);
    std::size_t max_entries = 10'000;
  };

  SuspectTable() : SuspectTable(Options{}) {}
  explicit SuspectTable(Options options) : options_(options) {}

  /// @brief A server went down. Called once for each crash.
  /// @param in_flight every call whose bytes had gone out to it. Newcomers
  /// beside a suspect too: blaming the suspect alone lets a guilty newcomer
  /// crash on.
  void OnCrash(TimePoint now, std::span<const Fingerprint> in_flight);

  /// @brief The request was answered by a server that lived on.
  void OnAnswered(Fingerprint fingerprint);

  /// @brief A peer has quarantined it.
  void OnPeerQuarantine(TimePoint now,
                        Fingerprint fingerprint,
                        Duration remaining);

  bool HasSuspects() const { return !entries_.empty(); }
  bool IsSuspect(TimePoint now, Fingerprint fingerprint) const;
  bool IsQuarantined(TimePoint now, Fingerprint fingerprint) const;

  /// @brief What peers must know, with the time that is left of it.
  std::vector<std::pair<Fingerprint, Duration>> Quarantined(
      TimePoint now) const;

  /// @brief Drops what has run out.
  void Sweep(TimePoint now);

 private:
  struct Entry {
    std::uint32_t crashes = 0;
    TimePoint suspect_until{};
    TimePoint quarantined_until{};
  };

  Options options_;
  std::unordered_map<Fingerprint, Entry> entries_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SUSPECT_TABLE_H_
