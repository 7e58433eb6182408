#ifndef GENTIANROUTE_ROUTING_RESULT_STORAGE_H_
#define GENTIANROUTE_ROUTING_RESULT_STORAGE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief Storage that the results of stages occupy at the servers of a pool.
///
/// A result occupies storage from the start of its call until it is released or
/// expires. A call to a server without free storage comes back without results,
/// and its time is wasted.
class ResultStorage {
 public:
  /// @param bytes_per_server 0: no limit
  /// @param lifetime time after which a server drops a result
  ResultStorage(double bytes_per_server, Duration lifetime)
      : bytes_per_server_(bytes_per_server), lifetime_(lifetime) {}

  void SetLimits(double bytes_per_server, Duration lifetime) {
    bytes_per_server_ = bytes_per_server;
    lifetime_ = lifetime;
  }

  /// @brief Whether one server can hold this many bytes at all.
  bool FitsOneServer(double bytes) const {
    return bytes_per_server_ <= 0 || bytes <= bytes_per_server_;
  }
  /// @brief Whether a result is so large that its storage has to be reserved;
  /// smaller ones always find some.
  bool IsLarge(double bytes) const;
  /// @brief Whether a server has this much free storage. A server that holds no
  /// results takes one of any size.
  bool HasRoom(std::string_view server, double bytes) const;

  void Reserve(std::string_view server, double bytes);
  /// @brief Gives back what was reserved for a result that was not made.
  void Free(std::string_view server, double bytes);
  /// @brief Records that a result was made in the reserved storage.
  void OnStored(TimePoint now,
                const std::string& result,
                std::string_view server,
                double bytes);
  void OnReleased(std::span<const std::string> results);
  /// @brief Frees the storage of results that have expired.
  void Expire(TimePoint now);

 private:
  struct Stored {
    std::string server;
    double bytes = 0;
    TimePoint expires_at{};
  };

  double bytes_per_server_;
  Duration lifetime_;
  /// Of stored results and running calls, by server.
  std::map<std::string, double, std::less<>> used_bytes_;
  std::unordered_map<std::string, Stored> stored_;
  TimePoint next_expiry_at_{};
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_RESULT_STORAGE_H_
