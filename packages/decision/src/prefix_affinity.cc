#include "gentianroute/decision/prefix_affinity.h"

namespace gentianroute {

bool PrefixAffinity::OnEvent(const CacheEvent& event) {
  const auto [found, is_new] = caches_.try_emplace(event.engine);
  Cache& cache = found->second;
  const bool same = !is_new && cache.incarnation == event.incarnation;
  if (!is_new && (event.incarnation < cache.incarnation ||
                  (same && event.sequence <= cache.sequence))) {
    return true;
  }
  const bool gap = !is_new && !(same && event.sequence == cache.sequence + 1);
  if (gap) {
    Discard(event.engine, cache);
  }
  cache.incarnation = event.incarnation;
  cache.sequence = event.sequence;
  for (const std::uint64_t prefix : event.removed) {
    cache.prefixes.erase(prefix);
    Remove(event.engine, prefix);
  }
  for (const std::uint64_t prefix : event.added) {
    cache.prefixes.insert(prefix);
    holders_[prefix].insert(event.engine);
  }
  return !gap;
}

void PrefixAffinity::Forget(std::string_view engine) {
  const auto found = caches_.find(engine);
  if (found == caches_.end()) {
    return;
  }
  Discard(found->first, found->second);
  caches_.erase(found);
}

bool PrefixAffinity::Holds(std::string_view engine,
                           std::uint64_t prefix) const {
  const auto found = caches_.find(engine);
  return found != caches_.end() && found->second.prefixes.contains(prefix);
}

const std::set<std::string, std::less<>>& PrefixAffinity::Holders(
    std::uint64_t prefix) const {
  static const std::set<std::string, std::less<>> kNone;
  const auto found = holders_.find(prefix);
  return found == holders_.end() ? kNone : found->second;
}

void PrefixAffinity::Discard(const std::string& engine, Cache& cache) {
  for (const std::uint64_t prefix : cache.prefixes) {
    Remove(engine, prefix);
  }
  cache.prefixes.clear();
}

void PrefixAffinity::Remove(const std::string& engine, std::uint64_t prefix) {
  const auto found = holders_.find(prefix);
  if (found == holders_.end()) {
    return;
  }
  found->second.erase(engine);
  if (found->second.empty()) {
    holders_.erase(found);
  }
}

}  // namespace gentianroute
