#ifndef GENTIANROUTE_BASE_TABLE_H_
#define GENTIANROUTE_BASE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianroute {

/// @brief Identifies a row of the platform's table service.
struct TableKey {
  std::string table;
  std::string key;

  friend auto operator<=>(const TableKey&, const TableKey&) = default;
};

/// @brief A row as read; version 0 means that the row doesn't exist.
struct TableRow {
  TableKey key;
  std::string value;
  std::uint64_t version = 0;
};

/// @brief Precondition that a row has this version; 0: that it doesn't exist.
struct TableCondition {
  TableKey key;
  std::uint64_t version = 0;
};

/// @brief Writes a row, or deletes it if `value` is empty.
struct TableWrite {
  TableKey key;
  std::optional<std::string> value;
};

/// @brief Atomic conditional write: if all conditions hold, all writes are
/// applied, else none.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class TableStatus : std::uint8_t {
  kCommitted,
  kConditionFailed,  ///< nothing was written
  kRefused,          ///< nothing was written, and it won't be applied later
  kUnknown,          ///< no response; it may be applied, also at a later time
};

struct TransactResult {
  TableStatus status = TableStatus::kUnknown;
  /// With kCommitted: the new version of each written row, in write order.
  std::vector<std::uint64_t> versions;
  /// The current rows of the conditions that failed.
  std::vector<TableRow> conflicts;
};

struct ReadResult {
  /// False if the service did not respond; `rows` is meaningless then.
  bool answered = false;
  std::vector<TableRow> rows;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_TABLE_H_
