#ifndef GENTIANROUTE_DECISION_CONFIG_FOLLOWER_H_
#define GENTIANROUTE_DECISION_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <span>

#include "gentianroute/decision/config.h"

namespace gentianroute {

/// @brief Follows the configuration log and only ever moves forward.
///
/// Revisions come from the store and from peers, late, twice and out of order.
/// Only the one that follows the present one is taken, so a stale peer or an
/// old write that arrives late can't bring an old profile back.
class ConfigFollower {
 public:
  struct Options {
    std::size_t max_kept_revisions = 256;  ///< to tell peers and operators
  };

  explicit ConfigFollower(const ConfigCodec& codec)
      : ConfigFollower(Options{}, codec) {}
  ConfigFollower(Options options, const ConfigCodec& codec);

  /// @brief Takes what follows the present revision; passes over the rest.
  /// @return true if the catalogue has changed
  bool Apply(std::span<const ConfigRevision> revisions);

  /// @brief Jumps to a snapshot, if it is newer.
  bool Apply(const ConfigSnapshot& snapshot);

  /// @brief Notes that some source knows a higher revision.
  void OnRevisionSeen(std::uint64_t revision);

  /// @brief Revision 0 is a store that was read and found empty.
  void OnEmptyLog() { known_ = known_ || highest_seen_ == 0; }

  /// @brief False until a store or a peer has told what is in force.
  ///
  /// A new host that has read half of the log, or only a stale peer's part of
  /// it, would serve under profiles that were replaced long ago; so it knows
  /// nothing before it has reached the highest revision that it has heard of.
  bool known() const { return known_; }
  std::uint64_t revision() const { return revision_; }
  std::uint64_t highest_seen() const { return highest_seen_; }
  bool behind() const { return revision_ < highest_seen_; }
  const CatalogueRef& catalogue() const { return catalogue_; }
  const Documents& documents() const { return documents_; }

  /// @brief Revisions after one, oldest first; empty if they are not all kept.
  std::vector<ConfigRevision> After(std::uint64_t revision,
                                    std::size_t limit) const;
  const std::deque<ConfigRevision>& kept() const { return kept_; }
  /// @brief For a peer that is behind by more than is kept.
  ConfigSnapshot Snapshot() const { return {revision_, documents_}; }

 private:
  void ApplyRevision(const ConfigRevision& revision, Catalogue& next);
  void Publish(std::shared_ptr<Catalogue> next);

  Options options_;
  const ConfigCodec& codec_;
  bool known_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t highest_seen_ = 0;
  Documents documents_;
  CatalogueRef catalogue_;
  std::deque<ConfigRevision> kept_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_CONFIG_FOLLOWER_H_
