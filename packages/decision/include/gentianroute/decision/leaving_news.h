#ifndef GENTIANROUTE_DECISION_LEAVING_NEWS_H_
#define GENTIANROUTE_DECISION_LEAVING_NEWS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/base/time.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

/// @brief One incarnation of a backend server that gets no new work.
struct LeavingServer {
  std::string server;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const LeavingServer&, const LeavingServer&) = default;
};

/// @brief Which leaving servers a daemon tells its peers, and for how long.
///
/// The list lags, flaps and is cut off, so peers tell each other at once. An
/// entry is kept while any list may still name the incarnation, and forgotten
/// when the own list has been without it for long: without an end the digest
/// would grow with every server that ever left.
class LeavingNews {
 public:
  struct Options {
    std::size_t max_per_digest = 8;
    Duration announce_period = std::chrono::minutes(5);
    Duration retention_period = std::chrono::minutes(10);
  };

  LeavingNews() : LeavingNews(Options{}) {}
  explicit LeavingNews(Options options) : options_(options) {}

  /// @return true if it is new, and worth a rumour
  bool Add(const LeavingServer& server);

  /// @return what was forgotten
  /// @complexity linear in hosts, logarithmic in entries
  std::vector<LeavingServer> OnHostList(TimePoint now,
                                        std::span<const HostRecord> hosts);

  /// @brief The newest entries, then the older in turn, so that a daemon that
  /// was away hears of all in a few rounds.
  std::vector<LeavingServer> SelectForDigest(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t sequence = 0;  ///< of arrival
    bool ever_listed = false;
    TimePoint absent_since = kNever;
  };
  bool ShouldAnnounce(TimePoint now, const Entry& entry) const;

  Options options_;
  std::map<LeavingServer, Entry> entries_;
  std::uint64_t next_sequence_ = 0;
  std::size_t rotation_offset_ = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_LEAVING_NEWS_H_
