#include "gentianroute/decision/lease.h"

#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {

LeaseKeeper::LeaseKeeper(Options options, const LeaseCodec& codec)
    : options_(std::move(options)),
      codec_(codec),
      key_{std::string(kLeaseTable), options_.pool} {}

LeaseKeeper::Step LeaseKeeper::Advance(TimePoint now, bool wanted) {
  if (held_ && now >= valid_until_) {
    // The lease expired, since the process was paused or the table service was
    // unreachable. Another daemon may hold it now.
    held_ = false;
    row_known_ = false;
  }
  if (awaiting_answer_) {
    return Step::kNone;
  }
  if (held_) {
    return AdvanceHolder(now, wanted);
  }
  if (!wanted) {
    return Step::kNone;
  }
  if (row_known_ && CanAcquire(now)) {
    return Begin(now, Write::kAcquire);
  }
  if (now < next_attempt_) {
    return Step::kNone;
  }
  next_attempt_ = now + options_.renewal_interval;
  awaiting_answer_ = true;
  return Step::kRead;
}

LeaseKeeper::Step LeaseKeeper::AdvanceHolder(TimePoint now, bool wanted) {
  if (!row_known_) {  // the response to a renewal was lost
    awaiting_answer_ = true;
    return Step::kRead;
  }
  if (!wanted) {
    return Begin(now, Write::kRelease);
  }
  if (now < next_attempt_) {
    return Step::kNone;
  }
  next_attempt_ = now + options_.renewal_interval;
  return Begin(now, Write::kRenew);
}

bool LeaseKeeper::CanAcquire(TimePoint now) const {
  const bool unheld = row_version_ == 0 || row_.holder.empty();
  // The row may name this daemon although it doesn't hold the lease: it let the
  // lease expire, or the response to an acquisition was lost, under which no
  // order has been sent.
  const bool own = row_.holder == options_.holder;
  return unheld || own ||
         now - row_first_seen_ >= options_.duration + options_.max_order_delay;
}

LeaseKeeper::Step LeaseKeeper::Begin(TimePoint now, Write write) {
  Lease next{options_.pool, options_.holder, row_.fencing};
  if (write == Write::kAcquire) {
    ++next.fencing;
  }
  if (write == Write::kRelease) {
    next.holder.clear();
    held_ = false;  // no order may be sent, whether or not the write succeeds
  }
  transaction_ = {{{key_, row_version_}}, {{key_, codec_.Encode(next)}}};
  write_ = write;
  sent_at_ = now;
  awaiting_answer_ = true;
  return Step::kTransact;
}

void LeaseKeeper::OnTransacted(TimePoint now, const TransactResult& result) {
  awaiting_answer_ = false;
  const Write write = std::exchange(write_, Write::kNone);
  row_known_ = false;
  if (result.status == TableStatus::kConditionFailed) {
    held_ = false;
    return;
  }
  if (result.status != TableStatus::kCommitted || write == Write::kRelease) {
    return;
  }
  if (write == Write::kRenew && !held_) {
    return;  // the lease expired before the response arrived
  }
  row_known_ = true;
  row_.holder = options_.holder;
  row_version_ = result.versions.at(0);
  row_first_seen_ = now;
  if (write == Write::kAcquire) {
    GR_INVARIANT(!held_);
    ++row_.fencing;
    GR_INVARIANT(row_.fencing > fencing_);
    fencing_ = row_.fencing;
    held_ = true;
  }
  valid_until_ = sent_at_ + options_.duration;
  next_attempt_ = sent_at_ + options_.renewal_interval;
}

void LeaseKeeper::OnRead(TimePoint now, const ReadResult& result) {
  awaiting_answer_ = false;
  if (!result.answered || result.rows.size() != 1) {
    return;
  }
  const TableRow& row = result.rows[0];
  const auto lease = codec_.Decode(row.value);
  if (row.version != 0 && !lease.has_value()) {
    return;
  }
  if (!row_known_ || row.version != row_version_) {
    row_first_seen_ = row.version == row_version_ ? row_first_seen_ : now;
    row_ = lease.value_or(Lease{});
    row_version_ = row.version;
    row_known_ = true;
  }
  if (held_ && (row_.holder != options_.holder || row_.fencing != fencing_)) {
    held_ = false;
  }
}

}  // namespace gentianroute
