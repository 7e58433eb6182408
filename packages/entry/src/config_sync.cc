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
        [this, done = std::move(done)](const ConfigApplier& reader) {
          polling_ = false;
          done(reader.state() == ConfigApplier::State::kCaughtUp);
        });
}

void ConfigSync::ReportChange() {
  if (follower_.revision() != reported_revision_) {
    reported_revision_ = follower_.revision();
    on_changed_();
  }
}

void ConfigSync::Apply(ConfigRevision change, const DoneCallback& done) {
  ConfigApplier::Options options;
  options.retention = retention_;
  auto applier = std::make_shared<ConfigApplier>(options, std::move(change),
                                                 follower_, codec_);
  Advance(applier, done);
}

void ConfigSync::Advance(const std::shared_ptr<ConfigApplier>& applier,
                         const DoneCallback& done) {
  switch (applier->state()) {
    case ConfigApplier::State::kRead:
      tables_.Read(applier->reads(),
                   [this, applier, done](const ReadResult& result) {
                     applier->OnRead(result);
                     Advance(applier, done);
                   });
      return;
    case ConfigApplier::State::kTransact:
      tables_.Transact(applier->transaction(),
                       [this, applier, done](const TransactResult& result) {
                         applier->OnTransacted(result);
                         Advance(applier, done);
                       });
      return;
    case ConfigApplier::State::kGetObject:
      objects_.Get(applier->object(),
                   [this, applier, done](const ObjectResult& result) {
                     applier->OnObject(result.content);
                     Advance(applier, done);
                   });
      return;
    default:
      ReportChange();
      SnapshotIfDue(*applier);
      done(*applier);
  }
}

void ConfigSync::SnapshotIfDue(const ConfigApplier& applier) {
  const bool applied = applier.state() == ConfigApplier::State::kApplied;
  if (applied && snapshotter_.Begin(follower_, applier.revision())) {
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
