#include "gentianroute/gateway/daemon_rows.h"

#include <xxhash.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "gentianroute/base/json_number.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// Daemons that start together write their rows within a short time; each reads
/// the others' rows after this delay.
constexpr Duration kReadDelayAfterWrite = std::chrono::milliseconds(400);
/// The later one of two daemons finds the row of the other and sends it a
/// heartbeat, so that repeated reads are only a fallback.
constexpr Duration kReadInterval = std::chrono::minutes(5);
/// Delay after a failed call.
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// Period over which the daemons of a data centre spread their writes when all
/// start together. A part of the store takes some hundred writes a second and
/// refuses more.
constexpr std::int64_t kWriteSpreadMs = 500;

Duration WriteDelay(std::string_view daemon) {
  const std::uint64_t hash = XXH3_64bits(daemon.data(), daemon.size());
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(hash % kWriteSpreadMs));
}

std::string RowOf(const DaemonState& daemon) {
  return nlohmann::json{{"address", daemon.address},
                        {"port", daemon.port},
                        {"data_centre", daemon.data_centre},
                        {"processor_share", daemon.processor_share},
                        {"records_versions", true}}
      .dump();
}

/// @return nullopt if the row is not one that a daemon writes
std::optional<DaemonState> ParseRow(const StoredRow& row) {
  try {
    const auto json = nlohmann::json::parse(row.value);
    const auto port = ReadUnsigned<std::uint16_t>(json.at("port"));
    if (!port || *port == 0) {
      return std::nullopt;
    }
    DaemonState daemon;
    daemon.name = row.key;
    daemon.address = json.at("address").get<std::string>();
    daemon.port = *port;
    daemon.data_centre = json.value("data_centre", "");
    daemon.processor_share =
        json.value("processor_share", daemon.processor_share);
    daemon.records_versions =
        json.value("records_versions", daemon.records_versions);
    return daemon;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<DaemonState> ReadRow(const StoredRow& row) {
  auto daemon = ParseRow(row);
  if (!daemon) {
    LogEvent("daemon_row_unreadable", LogLevel::kWarning)
        .Field("daemon", row.key);
  }
  return daemon;
}

}  // namespace

DaemonRows::DaemonRows(EventLoop& loop,
                       Store& store,
                       DaemonState own,
                       bool first_start,
                       OnRows on_rows)
    : loop_(loop),
      store_(store),
      own_(std::move(own)),
      own_row_(RowOf(own_)),
      first_start_(first_start),
      on_rows_(std::move(on_rows)),
      predecessor_(first_start ? Predecessor::kGuarded
                               : Predecessor::kUnknown) {}

DaemonRows::~DaemonRows() {
  loop_.Cancel(timer_);
}

void DaemonRows::Start() {
  if (first_start_) {
    After(WriteDelay(own_.name), &DaemonRows::Write);
  } else {
    Read();
  }
}

void DaemonRows::Read() {
  store_.Read(StoreTable::kDaemons, own_.data_centre,
              [this](const StoreAnswer& answer) { OnRead(answer); });
}

void DaemonRows::OnRead(const StoreAnswer& answer) {
  if (answer.kind != StoreAnswer::Kind::kRows) {
    After(kRetryDelay, &DaemonRows::Read);
    return;
  }
  const std::vector<DaemonState> others = ReadRows(answer);
  if (predecessor_ == Predecessor::kUnknown) {
    predecessor_ = Predecessor::kGuarded;
  }
  on_rows_(own_.data_centre, others);
  if (written_) {
    After(kReadInterval, &DaemonRows::Read);
  } else {
    Write();
  }
}

std::vector<DaemonState> DaemonRows::ReadRows(const StoreAnswer& answer) {
  std::vector<DaemonState> others;
  for (const StoredRow& row : answer.rows) {
    if (row.key == own_.name) {
      written_ = written_ || row.value == own_row_;
      const auto before = ReadRow(row);
      if (!before || !before->records_versions) {
        predecessor_ = Predecessor::kUnguarded;
      }
    } else if (auto daemon = ReadRow(row)) {
      others.push_back(std::move(*daemon));
    }
  }
  return others;
}

void DaemonRows::ReadOther(const std::string& data_centre) {
  store_.Read(StoreTable::kDaemons, data_centre,
              [this, data_centre](const StoreAnswer& answer) {
                if (answer.kind == StoreAnswer::Kind::kRows) {
                  on_rows_(data_centre, ReadRows(answer));
                }
              });
}

void DaemonRows::Write() {
  store_.Put(StoreTable::kDaemons, own_.data_centre, own_.name, own_row_,
             [this](const StoreAnswer& answer) {
               written_ = answer.kind == StoreAnswer::Kind::kRows;
               // The next read shows whether a write took effect whose call
               // failed.
               After(kReadDelayAfterWrite, &DaemonRows::Read);
             });
}

void DaemonRows::After(Duration delay, void (DaemonRows::*step)()) {
  loop_.Cancel(timer_);
  timer_ = loop_.After(delay, [this, step] { (this->*step)(); });
}

}  // namespace gentianroute::gateway
