#ifndef GENTIANROUTE_PLATFORM_PLATFORM_H_
#define GENTIANROUTE_PLATFORM_PLATFORM_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gentianroute/base/table.h"
#include "gentianroute/decision/server.h"

namespace gentianroute {

/// @brief Interface to the platform's transactional table service. A service
/// with another protocol needs only another implementation.
class TableService {
 public:
  virtual ~TableService() = default;
  /// @brief Applies the transaction.
  /// @param done called once, at the latest after the implementation's timeout
  virtual void Transact(TableTransaction transaction,
                        std::function<void(TransactResult)> done) = 0;
  /// @brief Reads rows.
  /// @param done called once, at the latest after the implementation's timeout
  virtual void Read(std::vector<TableKey> keys,
                    std::function<void(ReadResult)> done) = 0;
};

/// @brief Result of reading an object.
struct ObjectResult {
  bool answered = false;  ///< false if the object store did not respond
  std::optional<std::string> content;  ///< empty if the object doesn't exist
};

/// @brief Interface to the platform's object store. Put() replaces the whole
/// object.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual void Get(std::string name,
                   std::function<void(ObjectResult)> done) = 0;
  virtual void Put(std::string name,
                   std::string content,
                   std::function<void(bool)> done) = 0;
};

/// @brief Result of reading the host list.
struct HostListResult {
  bool answered = false;  ///< false if the host list service did not respond
  /// False if the list is the same as in the last response; `hosts` is empty
  /// then.
  bool changed = false;
  std::vector<HostRecord> hosts;
};

/// @brief Interface to the platform's host list, which lags behind the actual
/// state of the hosts.
class HostDirectory {
 public:
  virtual ~HostDirectory() = default;
  virtual void List(std::function<void(HostListResult)> done) = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_PLATFORM_PLATFORM_H_
