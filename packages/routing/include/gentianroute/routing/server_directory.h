#ifndef GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_
#define GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief The backend servers that are known, by service.
class ServerDirectory {
 public:
  /// Entries that expired while the store was away are written again within
  /// about this time after its return, if their servers live.
  static constexpr Duration kReregistrationGrace = std::chrono::seconds(2);

  /// @brief Adds or changes one server; another start of it replaces it.
  void Put(ServerRecord record);
  /// @brief The entry is gone from the list.
  ///
  /// While the store was away nobody could renew an entry, so a living server's
  /// may lapse: taking it out at once would empty whole services. Within
  /// `kReregistrationGrace` of the store's return it stays, and goes after
  /// that.
  void Remove(TimePoint now, std::string_view id);
  /// @brief The whole list; what is not in it is removed.
  void Replace(TimePoint now, std::vector<ServerRecord> records);
  /// @brief The store answers again after a time of silence.
  void OnStoreRecovered(TimePoint now) { store_recovered_at_ = now; }
  bool has_store_recovered() const {
    return store_recovered_at_ != kNeverRecovered;
  }
  /// @brief Drops entries whose time to be written again is over.
  void Expire(TimePoint now);

  /// @return the servers of a service that are listed, leaving ones too
  const std::vector<ServerPtr>& ServersOf(std::string_view service) const;
  Server* Find(std::string_view id) const;
  std::size_t size() const { return by_id_.size(); }
  void ForEach(const std::function<void(Server&)>& visit) const;

  /// @brief Called for a server that left the list or began to leave.
  void SetOnClosed(std::function<void(Server&)> callback) {
    on_closed_ = std::move(callback);
  }

 private:
  static constexpr TimePoint kNeverRecovered = TimePoint::min();

  void Erase(std::string_view id);
  void Close(Server& server);

  std::map<std::string, ServerPtr, std::less<>> by_id_;
  std::map<std::string, std::vector<ServerPtr>, std::less<>> by_service_;
  std::map<std::string, TimePoint, std::less<>> expired_;
  TimePoint store_recovered_at_ = kNeverRecovered;
  std::function<void(Server&)> on_closed_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_
