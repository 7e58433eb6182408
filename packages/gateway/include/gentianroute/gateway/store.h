#ifndef GENTIANROUTE_GATEWAY_STORE_H_
#define GENTIANROUTE_GATEWAY_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::gateway {

/// @brief Tables that a daemon uses in the platform's store.
enum class StoreTable : std::uint8_t {
  kDeployment,      ///< deployment as set by operators; one row
  kServers,         ///< one row for each backend server
  kDaemons,         ///< one row for each daemon; a part for each data centre
  kVersionRecords,  ///< one row for each service that has streams
};

/// @brief Row of a table, or its deletion.
struct StoredRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

/// @brief Result of a call to the store.
struct StoreAnswer {
  enum class Kind : std::uint8_t {
    kRows,
    kHistoryGone,  ///< the store no longer keeps the requested changes
    kConflict,     ///< the condition of a write doesn't hold; nothing was done
    kNone,         ///< refused, connection broken, or timed out
  };
  Kind kind = Kind::kNone;
  std::vector<StoredRow> rows;  ///< for kConflict: the present ones
  std::uint64_t version = 0;    ///< the newest version of the store
  std::string detail;           ///< reason of a failure, for the log
};

/// @brief Client of the platform's store, shared by all its users.
class Store {
 public:
  using Done = std::function<void(StoreAnswer)>;

  virtual ~Store() = default;
  /// @brief Reads a consistent snapshot of one part of a table.
  /// @param part empty in tables that have only one
  virtual void Read(StoreTable table, std::string_view part, Done done) = 0;
  /// @brief Waits for changes after a version and returns them.
  /// @param wait maximum time for which the store holds the call while there
  /// are none
  virtual void Follow(StoreTable table,
                      std::uint64_t after,
                      Duration wait,
                      Done done) = 0;
  /// @brief Writes a row unconditionally. The row may have been written even if
  /// the call fails.
  virtual void Put(StoreTable table,
                   std::string_view part,
                   std::string_view key,
                   std::string_view value,
                   Done done) = 0;
  /// @brief Writes a row if its version is the expected one. A call that fails
  /// may take effect later, as long as that holds.
  /// @param row with the expected version; 0: there is no such row
  virtual void PutIf(StoreTable table,
                     std::string_view part,
                     const StoredRow& row,
                     Done done) = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_H_
