#ifndef GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_
#define GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/routing/server.h"

namespace gentianroute::routing {

/// @brief The known backend servers, by service.
class ServerDirectory {
 public:
  /// Live servers renew entries that expired during a store outage within about
  /// this time after its end.
  static constexpr Duration kReregistrationGrace = std::chrono::seconds(2);
  /// A server that is listed again within this time keeps what is known of it.
  static constexpr Duration kRememberedTime = std::chrono::minutes(5);

  /// @brief Adds or updates a server. A new incarnation replaces the old one.
  ///
  /// An incarnation whose entry expired and comes back is the same object as
  /// before: what it has asked for is still in force.
  void Put(TimePoint now, ServerRecord record);
  /// @brief Handles the removal of an entry from the host list.
  ///
  /// Entries can't be renewed during a store outage, so those of live servers
  /// may expire, and removing them at once would empty whole services. An entry
  /// removed within `kReregistrationGrace` of the end of an outage is therefore
  /// kept until that time is over.
  void Remove(TimePoint now, std::string_view id);
  /// @brief Replaces the whole list; servers missing from it are removed.
  void Replace(TimePoint now, std::vector<ServerRecord> records);
  /// @brief Records that an incarnation of a server takes no new work, whatever
  /// the host list says of it, now or later.
  /// @return whether this is news
  bool MarkLeaving(TimePoint now,
                   std::string_view id,
                   std::uint64_t incarnation);
  /// @brief Records that the store answers again after an outage.
  void OnStoreRecovered(TimePoint now) { store_recovered_at_ = now; }
  bool has_store_recovered() const {
    return store_recovered_at_ != kNeverRecovered;
  }
  /// @brief Drops removed entries that were not renewed in time, and forgets
  /// servers that have not been listed for long.
  void Expire(TimePoint now);

  /// @return the listed servers of a service, including those that are leaving
  const std::vector<ServerPtr>& ServersOf(std::string_view service) const;
  Server* Find(std::string_view id) const;
  std::size_t size() const { return by_id_.size(); }
  void ForEach(const std::function<void(Server&)>& visit) const;

  /// @brief Sets the callback for servers that were removed or started to
  /// leave.
  void SetOnClosed(std::function<void(Server&)> callback) {
    on_closed_ = std::move(callback);
  }

 private:
  static constexpr TimePoint kNeverRecovered = TimePoint::min();

  /// An incarnation that is not listed and is known to leave.
  struct UnlistedLeaving {
    std::uint64_t incarnation = 0;
    TimePoint since{};
  };
  struct Unlisted {
    ServerPtr server;
    TimePoint since{};
  };

  void Erase(TimePoint now, std::string_view id);
  void Close(Server& server);
  /// @return the server that was listed with this record before; otherwise a
  /// new one
  ServerPtr TakeUnlisted(const ServerRecord& record);

  std::map<std::string, ServerPtr, std::less<>> by_id_;
  std::map<std::string, std::vector<ServerPtr>, std::less<>> by_service_;
  std::map<std::string, TimePoint, std::less<>> expired_;
  /// The last incarnation of each server that is not listed any more.
  std::map<std::string, Unlisted, std::less<>> unlisted_;
  std::map<std::string, UnlistedLeaving, std::less<>> unlisted_leaving_;
  TimePoint store_recovered_at_ = kNeverRecovered;
  std::function<void(Server&)> on_closed_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_DIRECTORY_H_
