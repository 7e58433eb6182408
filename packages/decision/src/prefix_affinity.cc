#include "gentianroute/decision/prefix_affinity.h"

#include <algorithm>

namespace gentianroute {

bool PrefixAffinity::OnEvent(const CacheEvent& event) {
  const auto [found, is_new] = caches_.try_emplace(event.engine);
  Cache& cache = found->second;
  const bool same = !is_new && cache.incarnation == event.incarnation;
  if (!is_new && (event.incarnation < cache.incarnation ||
                  (same && event.sequence <= cache.sequence))) {
    return true;
  }
  const std::uint64_t missed = same ? event.sequence - cache.sequence - 1 : 0;
  if (!is_new && !same) {
    DropAll(event.engine, cache);
  }
  if (missed > 0) {
    const std::uint64_t known = std::min(missed, cache.prefixes.size());
    DropOldest(event.engine, cache, known * cache.max_removed);
  }
  cache.incarnation = event.incarnation;
  cache.sequence = event.sequence;
  cache.max_removed = std::max(cache.max_removed, event.removed.size());
  for (const std::uint64_t prefix : event.removed) {
    Drop(event.engine, cache, prefix);
  }
  for (const std::uint64_t prefix : event.added) {
    Add(event.engine, cache, prefix);
  }
  return is_new || (same && missed == 0);
}

void PrefixAffinity::Add(const std::string& engine,
                         Cache& cache,
                         std::uint64_t prefix) {
  Drop(engine, cache, prefix);  // added again: becomes the newest
  cache.insertions[prefix] = cache.next_insertion;
  cache.prefixes[cache.next_insertion] = prefix;
  ++cache.next_insertion;
  holders_[prefix].insert(engine);
}

void PrefixAffinity::Drop(const std::string& engine,
                          Cache& cache,
                          std::uint64_t prefix) {
  const auto found = cache.insertions.find(prefix);
  if (found == cache.insertions.end()) {
    return;
  }
  cache.prefixes.erase(found->second);
  cache.insertions.erase(found);
  RemoveHolder(engine, prefix);
}

void PrefixAffinity::DropOldest(const std::string& engine,
                                Cache& cache,
                                std::size_t count) {
  for (; count > 0 && !cache.prefixes.empty(); --count) {
    Drop(engine, cache, cache.prefixes.begin()->second);
  }
}

void PrefixAffinity::RemoveEngine(std::string_view engine) {
  const auto found = caches_.find(engine);
  if (found == caches_.end()) {
    return;
  }
  DropAll(found->first, found->second);
  caches_.erase(found);
}

bool PrefixAffinity::Holds(std::string_view engine,
                           std::uint64_t prefix) const {
  const auto found = caches_.find(engine);
  return found != caches_.end() && found->second.insertions.contains(prefix);
}

const std::set<std::string, std::less<>>& PrefixAffinity::Holders(
    std::uint64_t prefix) const {
  static const std::set<std::string, std::less<>> kNone;
  const auto found = holders_.find(prefix);
  return found == holders_.end() ? kNone : found->second;
}

void PrefixAffinity::DropAll(const std::string& engine, Cache& cache) {
  DropOldest(engine, cache, cache.prefixes.size());
  cache.max_removed = 1;
}

void PrefixAffinity::RemoveHolder(const std::string& engine,
                                  std::uint64_t prefix) {
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
