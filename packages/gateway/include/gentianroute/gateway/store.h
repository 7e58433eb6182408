#ifndef GENTIANROUTE_GATEWAY_STORE_H_
#define GENTIANROUTE_GATEWAY_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/time.h"

namespace gentianroute::gateway {

/// @brief The tables that a daemon uses in the platform's store.
enum class StoreTable : std::uint8_t {
  kDeployment,  ///< what operators want; one row
  kServers,     ///< a row for each backend server
  kDaemons,     ///< a row for each daemon of ours
};

struct StoredRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

/// @brief What the store answered, if it did.
struct StoreAnswer {
  enum class Kind : std::uint8_t {
    kRows,
    kHistoryGone,  ///< the changes asked for are no longer kept
    kNone,         ///< refused, broken, or no answer in time
  };
  Kind kind = Kind::kNone;
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;  ///< the newest version of the store
  std::string detail;         ///< why there is none, for the log
};

/// @brief The platform's store; one client for all its uses.
class Store {
 public:
  using Done = std::function<void(StoreAnswer)>;

  virtual ~Store() = default;
  /// @brief All rows of a table as of one moment.
  virtual void Read(StoreTable table, Done done) = 0;
  /// @brief Changes after a version, as soon as there is one.
  /// @param wait the store holds the call for this long if there is none
  virtual void Follow(StoreTable table,
                      std::uint64_t after,
                      Duration wait,
                      Done done) = 0;
  /// @brief Writes a row without a condition. It may be written although no
  /// answer comes.
  virtual void Put(StoreTable table,
                   std::string_view key,
                   std::string_view value,
                   Done done) = 0;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_STORE_H_
