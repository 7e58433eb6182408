#include "gentianroute/routing/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianroute::routing {

void ServerDirectory::Put(ServerRecord record) {
  lapsed_.erase(record.id);
  const auto found = by_id_.find(record.id);
  if (found == by_id_.end()) {
    ServerPtr server(new Server(std::move(record)));
    by_service_[server->record().service].push_back(server);
    by_id_.emplace(server->record().id, server);
    return;
  }
  Server& server = *found->second;
  const bool same_start = server.record().born == record.born &&
                          server.record().service == record.service &&
                          server.record().address == record.address &&
                          server.record().port == record.port;
  if (!same_start) {
    Erase(record.id);
    Put(std::move(record));
    return;
  }
  const bool begins_to_leave = record.leaving && !server.record().leaving;
  server.SetRecord(std::move(record));
  if (begins_to_leave) {
    Close(server);
  }
}

void ServerDirectory::Remove(TimePoint now, std::string_view id) {
  const bool may_come_back = store_returned_ != kNeverReturned &&
                             now < store_returned_ + kRelistWithin;
  if (!may_come_back) {
    Erase(id);
    return;
  }
  if (by_id_.contains(id)) {
    lapsed_.emplace(id, store_returned_ + kRelistWithin);
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
    Put(std::move(record));
  }
}

void ServerDirectory::Expire(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [id, until] : lapsed_) {
    if (until <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    Erase(id);
  }
}

void ServerDirectory::Erase(std::string_view id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  const ServerPtr server = found->second;
  by_id_.erase(found);
  if (const auto lapsed = lapsed_.find(id); lapsed != lapsed_.end()) {
    lapsed_.erase(lapsed);
  }
  auto& line = by_service_[server->record().service];
  line.erase(std::remove(line.begin(), line.end(), server), line.end());
  server->Unlist();
  Close(*server);
}

void ServerDirectory::Close(Server& server) {
  if (on_closed_) {
    on_closed_(server);
  }
}

const std::vector<ServerPtr>& ServerDirectory::In(
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
