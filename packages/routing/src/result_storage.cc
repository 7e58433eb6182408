#include "gentianroute/routing/result_storage.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace gentianroute::routing {
namespace {

/// Results above this share of a server's storage are large.
constexpr double kLargeResultShare = 0.02;
/// How often expired results are searched for.
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(200);

}  // namespace

bool ResultStorage::IsLarge(double bytes) const {
  return bytes_per_server_ > 0 && bytes > bytes_per_server_ * kLargeResultShare;
}

bool ResultStorage::HasRoom(std::string_view server, double bytes) const {
  const auto found = used_bytes_.find(server);
  const double used = found == used_bytes_.end() ? 0.0 : found->second;
  return bytes_per_server_ <= 0 || used <= 0 ||
         used + bytes <= bytes_per_server_;
}

void ResultStorage::Reserve(std::string_view server, double bytes) {
  const auto found = used_bytes_.find(server);
  if (found == used_bytes_.end()) {
    used_bytes_.emplace(server, bytes);
  } else {
    found->second += bytes;
  }
}

void ResultStorage::Free(std::string_view server, double bytes) {
  const auto found = used_bytes_.find(server);
  if (found != used_bytes_.end()) {
    found->second = std::max(0.0, found->second - bytes);
  }
}

void ResultStorage::OnStored(TimePoint now,
                             const std::string& result,
                             std::string_view server,
                             double bytes) {
  stored_[result] = {std::string(server), bytes, now + lifetime_};
}

void ResultStorage::OnReleased(std::span<const std::string> results) {
  for (const std::string& result : results) {
    const auto found = stored_.find(result);
    if (found != stored_.end()) {
      Free(found->second.server, found->second.bytes);
      stored_.erase(found);
    }
  }
}

void ResultStorage::Expire(TimePoint now) {
  if (now < next_expiry_at_) {
    return;
  }
  next_expiry_at_ = now + kExpiryPeriod;
  std::vector<std::string> expired;
  for (const auto& [result, stored] : stored_) {
    if (stored.expires_at <= now) {
      expired.push_back(result);
    }
  }
  OnReleased(expired);
}

}  // namespace gentianroute::routing
