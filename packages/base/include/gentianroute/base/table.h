#ifndef GENTIANROUTE_BASE_TABLE_H_
#define GENTIANROUTE_BASE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianroute {

/// @brief Address of one row in the platform's table service.
struct TableKey {
  std::string table;
  std::string key;

  friend auto operator<=>(const TableKey&, const TableKey&) = default;
};

/// @brief A row as read; version 0 means that there is none.
struct TableRow {
  TableKey key;
  std::string value;
  std::uint64_t version = 0;
};

/// @brief Holds while the row has exactly this version; 0: while it is absent.
struct TableCondition {
  TableKey key;
  std::uint64_t version = 0;
};

/// @brief Puts a value, or deletes the row if there is none.
struct TableWrite {
  TableKey key;
  std::optional<std::string> value;
};

/// @brief All writes happen, or none; only if every condition holds.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class TableStatus : std::uint8_t {
  kCommitted,
  kConditionFailed,  ///< nothing was written
  kRefused,          ///< nothing was written and nothing will be
  kUnknown,          ///< the answer is lost: written, not written, or later
};

struct TransactResult {
  TableStatus status = TableStatus::kUnknown;
  /// With kCommitted: the new version of each row, in the order of the writes.
  std::vector<std::uint64_t> versions;
  /// The present rows behind the conditions that failed.
  std::vector<TableRow> conflicts;
};

struct ReadResult {
  /// False: the service did not answer; `rows` says nothing.
  bool answered = false;
  std::vector<TableRow> rows;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_TABLE_H_
