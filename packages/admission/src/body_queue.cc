#include "gentianroute/admission/body_queue.h"

namespace gentianroute::admission {

BodyQueue::Verdict BodyQueue::Add(TimePoint now,
                                  Reader& reader,
                                  MemoryAccount::Share& share,
                                  std::size_t bytes) {
  Remove(reader);
  reader.share_ = &share;
  reader.wanted_bytes_ = bytes;
  if (bytes > account_.request_watermark()) {
    ++refused_;
    return Verdict::kRefuse;
  }
  const bool is_small = bytes <= MemoryAccount::kSmallBytes;
  if (is_small || (waiting_.empty() && Fits(reader))) {
    Grant(now, reader);
    return Verdict::kRead;
  }
  if (waiting_.empty()) {
    last_run_ = now;
  }
  ++waited_;
  reader.since_ = now;
  waiting_.push_back(reader);
  return Verdict::kWait;
}

void BodyQueue::OnProgress(TimePoint now, Reader& reader) {
  if (reader.is_linked()) {
    reader.since_ = now;
    reader.unlink();
    reading_.push_back(reader);
  }
}

void BodyQueue::Remove(Reader& reader) {
  if (reader.is_linked()) {
    reader.unlink();
  }
}

void BodyQueue::Run(TimePoint now) {
  ForgetStallsAfterPause(now);
  while (!waiting_.empty()) {
    Reader& first = waiting_.front();
    if (Fits(first)) {
      Grant(now, first);
      first.OnRoom();
      continue;
    }
    if (!RefuseStalled(now)) {
      break;
    }
  }
  while (!waiting_.empty() && waiting_.front().since_ + kMaxWait <= now) {
    Refuse(waiting_.front());
  }
}

bool BodyQueue::Fits(const Reader& reader) const {
  const std::size_t more = reader.wanted_bytes_ - reader.share_->bytes();
  return account_.Fits(more, account_.request_watermark());
}

void BodyQueue::Grant(TimePoint now, Reader& reader) {
  Remove(reader);
  reader.since_ = now;
  reader.share_->Set(reader.wanted_bytes_);
  reading_.push_back(reader);
}

void BodyQueue::Refuse(Reader& reader) {
  Remove(reader);
  reader.share_->Set(0);
  ++refused_;
  reader.OnNoRoom();
}

bool BodyQueue::RefuseStalled(TimePoint now) {
  if (reading_.empty() || reading_.front().since_ + kMaxStall > now) {
    return false;
  }
  Refuse(reading_.front());
  return true;
}

void BodyQueue::ForgetStallsAfterPause(TimePoint now) {
  if (now - last_run_ >= kMaxStall / 2) {
    for (Reader& reader : reading_) {
      reader.since_ = now;
    }
  }
  last_run_ = now;
}

}  // namespace gentianroute::admission
