#ifndef GENTIANROUTE_DECISION_CONFIG_FOLLOWER_H_
#define GENTIANROUTE_DECISION_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <span>

#include "gentianroute/decision/config.h"

namespace gentianroute {

/// @brief Replays the configuration log; its revision never decreases.
///
/// Revisions arrive from the store and from peers, possibly delayed, duplicated
/// or out of order. Only the successor of the current revision is applied, so
/// that a stale peer or a delayed write can't restore an old profile.
class ConfigFollower {
 public:
  struct Options {
    std::size_t max_kept_revisions = 256;  ///< for peers and operators
  };

  explicit ConfigFollower(const ConfigCodec& codec)
      : ConfigFollower(Options{}, codec) {}
  ConfigFollower(Options options, const ConfigCodec& codec);

  /// @brief Applies the revisions that follow the current one; ignores others.
  /// @param revisions sorted by revision
  /// @return true if the catalogue has changed
  bool Apply(std::span<const ConfigRevision> revisions);

  /// @brief Replaces all documents by a snapshot if it is newer.
  /// @return true if it is newer
  bool Apply(const ConfigSnapshot& snapshot);

  /// @brief Records a revision that a store or a peer has reported.
  void OnRevisionSeen(std::uint64_t revision);

  /// @brief Handles a read that found the log empty: revision 0 is then the
  /// current one.
  void OnEmptyLog() { known_ = known_ || highest_seen_ == 0; }

  /// @brief Whether the configuration has been loaded completely once.
  ///
  /// False until the highest revision that was reported has been reached. With
  /// a part of the log only, a new host would serve requests with profiles that
  /// have long been replaced.
  bool known() const { return known_; }
  std::uint64_t revision() const { return revision_; }
  std::uint64_t highest_seen() const { return highest_seen_; }
  bool behind() const { return revision_ < highest_seen_; }
  const CatalogueRef& catalogue() const { return catalogue_; }
  const Documents& documents() const { return documents_; }

  /// @brief Returns the revisions after a given one, oldest first; empty if not
  /// all of them are kept.
  std::vector<ConfigRevision> After(std::uint64_t revision,
                                    std::size_t limit) const;
  /// @brief The newest revisions, oldest first.
  const std::deque<ConfigRevision>& kept() const { return kept_; }
  /// @brief Returns a snapshot, for peers that lack more revisions than are
  /// kept.
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
