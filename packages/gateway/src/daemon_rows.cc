#include "gentianroute/gateway/daemon_rows.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

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

std::string RowOf(const DaemonState& daemon) {
  return nlohmann::json{{"address", daemon.address},
                        {"port", daemon.port},
                        {"data_centre", daemon.data_centre}}
      .dump();
}

std::optional<DaemonState> ReadRow(const StoredRow& row) {
  const auto json = nlohmann::json::parse(row.value, nullptr, false);
  if (!json.is_object() || !json.contains("address") ||
      !json.contains("port") || !json["address"].is_string() ||
      !json["port"].is_number_unsigned()) {
    LogEvent("daemon_row_unreadable", LogLevel::kWarning)
        .Field("daemon", row.key);
    return std::nullopt;
  }
  DaemonState daemon;
  daemon.name = row.key;
  daemon.address = json["address"];
  daemon.port = json["port"];
  daemon.data_centre = json.value("data_centre", "");
  return daemon;
}

}  // namespace

DaemonRows::DaemonRows(EventLoop& loop,
                       Store& store,
                       DaemonState own,
                       OnRows on_rows)
    : loop_(loop),
      store_(store),
      own_(std::move(own)),
      own_row_(RowOf(own_)),
      on_rows_(std::move(on_rows)) {}

DaemonRows::~DaemonRows() {
  loop_.Cancel(timer_);
}

void DaemonRows::Start() {
  Read();
}

void DaemonRows::Read() {
  store_.Read(StoreTable::kDaemons,
              [this](const StoreAnswer& answer) { OnRead(answer); });
}

void DaemonRows::OnRead(const StoreAnswer& answer) {
  if (answer.kind != StoreAnswer::Kind::kRows) {
    ReadAfter(kRetryDelay);
    return;
  }
  std::vector<DaemonState> others;
  for (const StoredRow& row : answer.rows) {
    if (row.key == own_.name) {
      written_ = written_ || row.value == own_row_;
    } else if (auto daemon = ReadRow(row)) {
      others.push_back(std::move(*daemon));
    }
  }
  on_rows_(others);
  if (written_) {
    ReadAfter(kReadInterval);
  } else {
    Write();
  }
}

void DaemonRows::Write() {
  store_.Put(StoreTable::kDaemons, own_.name, own_row_,
             [this](const StoreAnswer& answer) {
               written_ = answer.kind == StoreAnswer::Kind::kRows;
               // The next read shows whether a write took effect whose call
               // failed.
               ReadAfter(kReadDelayAfterWrite);
             });
}

void DaemonRows::ReadAfter(Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.After(delay, [this] { Read(); });
}

}  // namespace gentianroute::gateway
