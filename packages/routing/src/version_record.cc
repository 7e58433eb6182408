#include "gentianroute/routing/version_record.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gentianroute::routing {
namespace {

bool LeadsTo(const Route& route, std::string_view service) {
  return std::ranges::any_of(route.services,
                             [service](const WeightedService& weighted) {
                               return weighted.service == service;
                             });
}

std::string TextOf(const Route& route) {
  // No name contains a line break.
  std::string text = route.hostname + '\n' + route.prefix + '\n';
  for (const WeightedService& weighted : route.services) {
    text += weighted.service + '\n' + std::to_string(weighted.weight) + '\n';
  }
  return text;
}

using Incarnations = std::map<std::string, std::uint64_t, std::less<>>;

/// The newest incarnation of each listed version.
Incarnations NewestIncarnations(std::span<const ServerPtr> servers) {
  Incarnations newest;
  for (const ServerPtr& server : servers) {
    std::uint64_t& incarnation = newest[server->record().software_version];
    incarnation = std::max(incarnation, server->record().incarnation());
  }
  return newest;
}

/// Whether a server has been listed since its version was recorded.
bool HasServedSince(const VersionRecord& record, const Server& server) {
  const auto found = record.in_use.find(server.record().software_version);
  return server.open() && found != record.in_use.end() &&
         server.record().incarnation() <= found->second;
}

bool AnyHasServedSince(const VersionRecord& record,
                       std::string_view version,
                       std::span<const ServerPtr> servers) {
  return std::ranges::any_of(servers, [&](const ServerPtr& server) {
    return server->record().software_version == version &&
           HasServedSince(record, *server);
  });
}

/// Marks the versions that have gone for longer than streams are remembered.
void RetireVersions(const StreamKnowledge& knowledge, VersionRecord& next) {
  const Incarnations listed = NewestIncarnations(knowledge.servers);
  std::erase_if(next.in_use, [&](const auto& item) {
    const std::string& version = item.first;
    const bool may_be_wanted =
        listed.contains(version) ||
        std::ranges::find(knowledge.gone, version) != knowledge.gone.end();
    if (!may_be_wanted) {
      next.retiring.insert(version);
    }
    return !may_be_wanted;
  });
}

/// Adds the versions that can have begun a stream.
void AddVersions(const StreamKnowledge& knowledge, VersionRecord& next) {
  for (const auto& [version, newest] : NewestIncarnations(knowledge.servers)) {
    next.retiring.erase(version);
    const auto [found, is_new] = next.in_use.emplace(version, newest);
    if (!is_new && knowledge.covers_streams &&
        !AnyHasServedSince(next, version, knowledge.servers)) {
      found->second = newest;
    }
  }
  for (const std::string& version : knowledge.gone) {
    next.retiring.erase(version);
    next.in_use.emplace(version, 0);
  }
}

}  // namespace

std::vector<std::string> VersionRecord::VersionsBesides(
    std::span<const ServerPtr> servers) const {
  const Incarnations listed = NewestIncarnations(servers);
  std::vector<std::string> others;
  for (const auto& [version, incarnation] : in_use) {
    if (!listed.contains(version)) {
      others.push_back(version);
    }
  }
  for (const std::string& version : retiring) {
    if (!listed.contains(version)) {
      others.push_back(version);
    }
  }
  return others;
}

std::uint64_t DigestOfStreamRoutes(const RouteTable& table,
                                   std::string_view service) {
  // Paths of a route that is dropped may belong to a shorter one of its host.
  std::set<std::string_view> hosts;
  for (const Route& route : table.deployment().routes) {
    if (route.resumable && LeadsTo(route, service)) {
      hosts.insert(route.hostname);
    }
  }
  std::set<std::string> texts;
  for (const Route& route : table.deployment().routes) {
    if (route.resumable && hosts.contains(route.hostname)) {
      texts.insert(TextOf(route));
    }
  }
  std::string all;
  for (const std::string& text : texts) {
    all += text + '\n';
  }
  return XXH3_64bits(all.data(), all.size());
}

std::set<std::string, std::less<>> StreamServices(const RouteTable& table) {
  std::set<std::string, std::less<>> services;
  for (const Route& route : table.deployment().routes) {
    if (!route.resumable) {
      continue;
    }
    for (const WeightedService& weighted : route.services) {
      services.insert(weighted.service);
    }
  }
  return services;
}

void VersionRecords::Set(TimePoint now,
                         std::string_view service,
                         std::optional<VersionRecord> record) {
  if (!record) {
    if (const auto found = entries_.find(service); found != entries_.end()) {
      entries_.erase(found);
    }
    return;
  }
  const auto [found, is_new] = entries_.try_emplace(std::string(service));
  Entry& entry = found->second;
  if (is_new) {
    entry.known_since = now;
  }
  entry.record = std::move(*record);
  std::erase_if(entry.retiring_since, [&entry](const auto& version) {
    return !entry.record.retiring.contains(version.first);
  });
  for (const std::string& version : entry.record.retiring) {
    entry.retiring_since.emplace(version, now);
  }
}

const VersionRecord* VersionRecords::Find(std::string_view service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::optional<VersionRecord> VersionRecords::Next(
    TimePoint now,
    std::string_view service,
    const StreamKnowledge& knowledge) const {
  const auto found = entries_.find(service);
  const bool is_new = found == entries_.end();
  if (is_new && !knowledge.covers_streams) {
    return std::nullopt;
  }
  VersionRecord next = is_new ? VersionRecord{} : found->second.record;
  const bool has_other_routes = !is_new && next.routes != knowledge.routes;
  next.routes = knowledge.routes;
  next.routes_moved =
      knowledge.routes_moved ||
      (!knowledge.covers_streams && (next.routes_moved || has_other_routes));
  if (knowledge.is_unguarded) {
    next.unguarded.insert(knowledge.data_centre);
  } else if (knowledge.covers_streams) {
    next.unguarded.erase(knowledge.data_centre);
  }
  if (!is_new && knowledge.covers_streams) {
    next.is_draft &= now < found->second.known_since + max_propagation_time_;
    RetireVersions(knowledge, next);
    std::erase_if(next.retiring, [&](const std::string& version) {
      const auto since = found->second.retiring_since.find(version);
      return since != found->second.retiring_since.end() &&
             since->second + memory_ <= now;
    });
  }
  AddVersions(knowledge, next);
  const bool is_current = !is_new && next == found->second.record;
  return is_current ? std::nullopt : std::optional(std::move(next));
}

bool VersionRecords::IsComplete(std::string_view service,
                                std::span<const ServerPtr> servers) const {
  const VersionRecord* record = Find(service);
  return record != nullptr && !record->is_draft && record->unguarded.empty() &&
         std::ranges::any_of(servers, [record](const ServerPtr& server) {
           return HasServedSince(*record, *server);
         });
}

std::vector<std::string> VersionRecords::VersionsForNewStreams(
    std::string_view service,
    std::span<const ServerPtr> servers) const {
  const VersionRecord* record = Find(service);
  if (record == nullptr) {
    return {};
  }
  const bool any_serves =
      std::ranges::any_of(servers, [record](const ServerPtr& server) {
        return server->open() &&
               record->in_use.contains(server->record().software_version);
      });
  std::vector<std::string> versions;
  if (any_serves) {
    for (const auto& [version, incarnation] : record->in_use) {
      versions.push_back(version);
    }
  }
  return versions;
}

}  // namespace gentianroute::routing
