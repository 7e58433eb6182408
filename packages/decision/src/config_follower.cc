#include "gentianroute/decision/config_follower.h"

#include <algorithm>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {

ConfigFollower::ConfigFollower(Options options, const ConfigCodec& codec)
    : options_(options),
      codec_(codec),
      catalogue_(std::make_shared<Catalogue>()) {}

void ConfigFollower::OnRevisionSeen(std::uint64_t revision) {
  highest_seen_ = std::max(highest_seen_, revision);
}

bool ConfigFollower::Apply(std::span<const ConfigRevision> revisions) {
  std::shared_ptr<Catalogue> next;
  for (const ConfigRevision& revision : revisions) {
    OnRevisionSeen(revision.revision);
    if (revision.revision != revision_ + 1) {
      continue;
    }
    if (next == nullptr) {
      next = std::make_shared<Catalogue>(*catalogue_);
    }
    ApplyRevision(revision, *next);
  }
  if (next == nullptr) {
    return false;
  }
  Publish(std::move(next));
  return true;
}

bool ConfigFollower::Apply(const ConfigSnapshot& snapshot) {
  OnRevisionSeen(snapshot.revision);
  if (snapshot.revision <= revision_) {
    return false;
  }
  revision_ = snapshot.revision;
  documents_ = snapshot.documents;
  kept_.clear();
  auto next = std::make_shared<Catalogue>();
  for (const auto& [name, document] : documents_) {
    codec_.AddDocument(*next, name, document);
  }
  Publish(std::move(next));
  return true;
}

void ConfigFollower::ApplyRevision(const ConfigRevision& revision,
                                   Catalogue& next) {
  GR_INVARIANT(revision.revision == revision_ + 1);
  revision_ = revision.revision;
  for (const DocumentChange& change : revision.changes) {
    if (change.body.empty()) {
      documents_.erase(change.FullName());
    } else {
      documents_[change.FullName()] = {change.body, revision.revision};
    }
    ChangeCatalogue(next, change, revision.revision, codec_);
  }
  kept_.push_back(revision);
  if (kept_.size() > options_.max_kept_revisions) {
    kept_.pop_front();
  }
}

void ConfigFollower::Publish(std::shared_ptr<Catalogue> next) {
  GR_INVARIANT(catalogue_->revision < revision_);
  GR_INVARIANT(revision_ <= highest_seen_);
  known_ = known_ || !behind();
  next->revision = revision_;
  catalogue_ = std::move(next);
}

std::vector<ConfigRevision> ConfigFollower::After(std::uint64_t revision,
                                                  std::size_t limit) const {
  std::vector<ConfigRevision> after;
  if (kept_.empty() || kept_.front().revision > revision + 1) {
    return after;
  }
  for (const ConfigRevision& kept : kept_) {
    if (kept.revision > revision && after.size() < limit) {
      after.push_back(kept);
    }
  }
  return after;
}

}  // namespace gentianroute
