#include "gentianroute/routing/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianroute::routing {
namespace {

bool IsSameIncarnation(const ServerRecord& a, const ServerRecord& b) {
  return a.incarnation() == b.incarnation() && a.service == b.service &&
         a.software_version == b.software_version && a.address == b.address &&
         a.port == b.port;
}

}  // namespace

void ServerDirectory::Put(TimePoint now, ServerRecord record) {
  expired_.erase(record.id);
  const auto found = by_id_.find(record.id);
  if (found == by_id_.end()) {
    const ServerPtr server = TakeUnlisted(record);
    server->SetRecord(std::move(record));
    server->Relist();
    server->warm_up().OnReport(now, server->record().warm_up_left);
    by_service_[server->record().service].push_back(server);
    by_id_.emplace(server->record().id, server);
    return;
  }
  Server& server = *found->second;
  if (!IsSameIncarnation(server.record(), record)) {
    Erase(now, record.id);
    Put(now, std::move(record));
    return;
  }
  const bool starts_leaving = record.leaving && !server.record().leaving;
  server.SetRecord(std::move(record));
  server.warm_up().OnReport(now, server.record().warm_up_left);
  if (starts_leaving) {
    Close(server);
  }
}

void ServerDirectory::Remove(TimePoint now, std::string_view id) {
  const bool may_reregister = store_recovered_at_ != kNeverRecovered &&
                              now < store_recovered_at_ + kReregistrationGrace;
  if (!may_reregister) {
    Erase(now, id);
    return;
  }
  if (by_id_.contains(id)) {
    expired_.emplace(id, store_recovered_at_ + kReregistrationGrace);
  }
}

void ServerDirectory::Replace(TimePoint now,
                              std::vector<ServerRecord> records) {
  std::set<std::string, std::less<>> present;
  for (const ServerRecord& record : records) {
    present.insert(record.id);
  }
  std::vector<std::string> missing;
  for (const auto& [id, server] : by_id_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(now, id);
  }
  for (ServerRecord& record : records) {
    Put(now, std::move(record));
  }
}

void ServerDirectory::Expire(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [id, until] : expired_) {
    if (until <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    Erase(now, id);
  }
  const auto is_forgotten = [now](const auto& entry) {
    return now - entry.second.since > kRememberedTime;
  };
  std::erase_if(unlisted_, is_forgotten);
  std::erase_if(unlisted_leaving_, is_forgotten);
}

bool ServerDirectory::MarkLeaving(TimePoint now,
                                  std::string_view id,
                                  std::uint64_t incarnation) {
  const auto is_meant = [incarnation](const Server& server) {
    return server.record().incarnation() == incarnation;
  };
  if (Server* server = Find(id); server != nullptr && is_meant(*server)) {
    const bool is_news = !server->record().leaving;
    server->SetLeaving();
    return is_news;
  }
  if (const auto found = unlisted_.find(id);
      found != unlisted_.end() && is_meant(*found->second.server)) {
    found->second.server->SetLeaving();
    return false;
  }
  unlisted_leaving_[std::string(id)] = {incarnation, now};
  return false;
}

ServerPtr ServerDirectory::TakeUnlisted(const ServerRecord& record) {
  auto unlisted = unlisted_.extract(record.id);
  if (!unlisted.empty() &&
      IsSameIncarnation(unlisted.mapped().server->record(), record)) {
    return std::move(unlisted.mapped().server);
  }
  ServerPtr server(new Server(record));
  const auto leaving = unlisted_leaving_.find(record.id);
  if (leaving != unlisted_leaving_.end() &&
      leaving->second.incarnation == record.incarnation()) {
    server->SetLeaving();
  }
  return server;
}

void ServerDirectory::Erase(TimePoint now, std::string_view id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  const ServerPtr server = found->second;
  by_id_.erase(found);
  if (const auto expired = expired_.find(id); expired != expired_.end()) {
    expired_.erase(expired);
  }
  auto& servers = by_service_[server->record().service];
  servers.erase(std::remove(servers.begin(), servers.end(), server),
                servers.end());
  server->Unlist();
  unlisted_[server->record().id] = {server, now};
  Close(*server);
}

void ServerDirectory::Close(Server& server) {
  if (on_closed_) {
    on_closed_(server);
  }
}

const std::vector<ServerPtr>& ServerDirectory::ServersOf(
    std::string_view service) const {
  static const std::vector<ServerPtr> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

Server* ServerDirectory::Find(std::string_view id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second.get();
}

void ServerDirectory::ForEach(const std::function<void(Server&)>& visit) const {
  for (const auto& [id, server] : by_id_) {
    visit(*server);
  }
}

}  // namespace gentianroute::routing
