#include "gentianroute/routing/stream_origins.h"

#include <algorithm>

namespace gentianroute::routing {

void StreamOrigins::Put(TimePoint now,
                        const BegunStream& stream,
                        Source source) {
  const auto [found, is_new] = streams_.try_emplace(stream.id);
  Entry& entry = found->second;
  entry.id = found->first;
  entry.origin = stream.origin;
  entry.expires = std::max(entry.expires, now + stream.remaining);
  entry.Hook::unlink();
  in_order_.push_back(entry);
  if (source == Source::kOwn || is_leaving_) {
    Share(entry);
  }
  if (streams_.size() > kMaxStreams) {
    Erase(in_order_.front());
  }
}

void StreamOrigins::Share(Entry& entry) {
  if (!entry.Shared::is_linked()) {
    shared_.push_back(entry);
  }
  if (!entry.Untold::is_linked()) {
    untold_.push_back(entry);
  }
}

void StreamOrigins::OnLeaving() {
  is_leaving_ = true;
  for (Entry& entry : in_order_) {
    Share(entry);
  }
}

const StreamOrigin* StreamOrigins::Find(TimePoint now,
                                        std::string_view id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() || found->second.expires <= now
             ? nullptr
             : &found->second.origin;
}

std::vector<BegunStream> StreamOrigins::TakeUntold(
    TimePoint now,
    const std::function<bool(std::string_view service)>& is_due) {
  std::vector<BegunStream> taken;
  for (auto it = untold_.begin(); it != untold_.end();) {
    Entry& entry = *it++;
    if (entry.expires > now && is_due(entry.origin.service)) {
      taken.push_back(
          {std::string(entry.id), entry.origin, entry.expires - now});
      entry.Untold::unlink();
    }
  }
  return taken;
}

std::vector<BegunStream> StreamOrigins::ToShare(
    TimePoint now,
    const std::function<bool(std::string_view service)>& is_due) const {
  std::vector<BegunStream> streams;
  for (const Entry& entry : shared_) {
    if (entry.expires > now && is_due(entry.origin.service)) {
      streams.push_back(
          {std::string(entry.id), entry.origin, entry.expires - now});
    }
  }
  return streams;
}

void StreamOrigins::Expire(TimePoint now) {
  // A long-lived stream delays the end of those recorded after it; Find()
  // doesn't return these any more.
  while (!in_order_.empty() && in_order_.front().expires <= now) {
    Erase(in_order_.front());
  }
}

void StreamOrigins::Erase(Entry& entry) {
  streams_.erase(streams_.find(entry.id));
}

}  // namespace gentianroute::routing
