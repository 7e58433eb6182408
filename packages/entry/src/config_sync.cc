#include "gentianroute/entry/config_sync.h"

#include <utility>

namespace gentianroute {

ConfigSync::ConfigSync(TableService& tables,
                       ObjectStore& objects,
                       ConfigFollower& follower,
                       const ConfigCodec& codec,
                       std::function<void()> on_changed,
                       ConfigRetention retention)
    : tables_(tables),
      objects_(objects),
      follower_(follower),
      codec_(codec),
      on_changed_(std::move(on_changed)),
      retention_(retention),
      snapshotter_(retention, codec) {}

void ConfigSync::Poll(std::function<void(bool)> done) {
  if (polling_) {
    return;
  }
  polling_ = true;
  // A change without an id only reads the log.
  Apply(ConfigRevision{},
        [this, done = std::move(done)](const ConfigApply& reader) {
          polling_ = false;
          done(reader.state() == ConfigApply::State::kCaughtUp);
        });
}

void ConfigSync::ReportChange() {
  if (follower_.revision() != reported_revision_) {
    reported_revision_ = follower_.revision();
    on_changed_();
  }
}

void ConfigSync::Apply(ConfigRevision change, const DoneCallback& done) {
  ConfigApply::Options options;
  options.retention = retention_;
  auto apply = std::make_shared<ConfigApply>(options, std::move(change),
                                             follower_, codec_);
  Advance(apply, done);
}

void ConfigSync::Advance(const std::shared_ptr<ConfigApply>& apply,
                         const DoneCallback& done) {
  switch (apply->state()) {
    case ConfigApply::State::kRead:
      tables_.Read(apply->reads(),
                   [this, apply, done](const ReadResult& result) {
                     apply->OnRead(result);
                     Advance(apply, done);
                   });
      return;
    case ConfigApply::State::kTransact:
      tables_.Transact(apply->transaction(),
                       [this, apply, done](const TransactResult& result) {
                         apply->OnTransacted(result);
                         Advance(apply, done);
                       });
      return;
    case ConfigApply::State::kGetObject:
      objects_.Get(apply->object(),
                   [this, apply, done](const ObjectResult& result) {
                     apply->OnObject(result.content);
                     Advance(apply, done);
                   });
      return;
    default:
      ReportChange();
      SnapshotIfDue(*apply);
      done(*apply);
  }
}

void ConfigSync::SnapshotIfDue(const ConfigApply& apply) {
  const bool applied = apply.state() == ConfigApply::State::kApplied;
  if (applied && snapshotter_.Begin(follower_, apply.revision())) {
    AdvanceSnapshot();
  }
}

void ConfigSync::AdvanceSnapshot() {
  switch (snapshotter_.state()) {
    case ConfigSnapshotter::State::kPut:
      objects_.Put(snapshotter_.object(), snapshotter_.content(),
                   [this](bool stored) {
                     snapshotter_.OnPut(stored);
                     AdvanceSnapshot();
                   });
      return;
    case ConfigSnapshotter::State::kRead:
      tables_.Read(snapshotter_.reads(), [this](const ReadResult& result) {
        snapshotter_.OnRead(result);
        AdvanceSnapshot();
      });
      return;
    case ConfigSnapshotter::State::kTransact:
      tables_.Transact(snapshotter_.transaction(),
                       [this](const TransactResult& result) {
                         snapshotter_.OnTransacted(result);
                         AdvanceSnapshot();
                       });
      return;
    case ConfigSnapshotter::State::kIdle:
      return;
  }
}

}  // namespace gentianroute
