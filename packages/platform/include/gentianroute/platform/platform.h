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

/// @brief The platform's transactional table service. One real and one fake
/// implementation; another far end needs another adapter only.
class TableService {
 public:
  virtual ~TableService() = default;
  /// @brief Calls back once, at the latest after the adapter's timeout.
  virtual void Transact(TableTransaction transaction,
                        std::function<void(TransactResult)> done) = 0;
  virtual void Read(std::vector<TableKey> keys,
                    std::function<void(ReadResult)> done) = 0;
};

/// @brief What an object store answered.
struct ObjectResult {
  bool answered = false;
  std::optional<std::string> content;  ///< none: there is no such object
};

/// @brief The platform's object store; a put replaces the whole object.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual void Get(std::string name,
                   std::function<void(ObjectResult)> done) = 0;
  virtual void Put(std::string name,
                   std::string content,
                   std::function<void(bool)> done) = 0;
};

/// @brief What the list of hosts said.
struct HostListResult {
  bool answered = false;
  /// False: the same as the last one that was answered; `hosts` is empty.
  bool changed = false;
  std::vector<HostRecord> hosts;
};

/// @brief The platform's lagging list of hosts.
class HostDirectory {
 public:
  virtual ~HostDirectory() = default;
  virtual void List(std::function<void(HostListResult)> done) = 0;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_PLATFORM_PLATFORM_H_
