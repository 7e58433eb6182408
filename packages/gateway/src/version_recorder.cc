#include "gentianroute/gateway/version_recorder.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "gentianroute/gateway/detail/version_rows.h"
#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

using detail::VersionRow;

/// Longest key of a row in the store, in bytes.
constexpr std::size_t kMaxKeyBytes = 200;
/// Delay after a failed read.
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(400);
/// Delay after a failed write, doubled with each further failure.
constexpr Duration kFirstWriteRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxWriteRetryDelay = std::chrono::seconds(2);
/// Time between looks at all records. Versions retire after half a minute and
/// more, and a look takes time by the number of servers.
constexpr Duration kCheckPeriod = std::chrono::seconds(1);
/// Longer than any, until a deployment tells how long streams may last.
constexpr Duration kMemoryAtStart = Duration::max() / 2;

std::string ListOf(const routing::VersionRecord& record) {
  std::string list;
  for (const auto& [version, incarnation] : record.in_use) {
    list += (list.empty() ? "" : ",") + version;
  }
  return list;
}

}  // namespace

VersionRecorder::VersionRecorder(EventLoop& loop,
                                 Store& store,
                                 Duration max_propagation_time,
                                 Hooks hooks)
    : loop_(loop),
      store_(store),
      hooks_(std::move(hooks)),
      records_(kMemoryAtStart, max_propagation_time) {}

VersionRecorder::~VersionRecorder() {
  loop_.Cancel(update_timer_);
  loop_.Cancel(read_timer_);
  loop_.Cancel(question_timer_);
}

void VersionRecorder::Start(Duration delay) {
  read_timer_ = loop_.After(delay, [this] {
    if (!is_loaded_) {
      Read();
    }
  });
}

void VersionRecorder::Read() {
  store_.Read(StoreTable::kVersionRecords, "",
              [this](const StoreAnswer& answer) { OnRead(answer); });
}

void VersionRecorder::OnRead(const StoreAnswer& answer) {
  if (answer.kind != StoreAnswer::Kind::kRows) {
    Start(kReadRetryDelay);
    return;
  }
  ReplaceRows(answer);
}

void VersionRecorder::ReplaceRows(const StoreAnswer& answer) {
  is_loaded_ = true;
  std::set<std::string, std::less<>> missing;
  for (const auto& [service, row] : rows_) {
    // A write may have been answered during the read.
    if (row.version <= answer.version) {
      missing.insert(service);
    }
  }
  for (const StoredRow& row : answer.rows) {
    missing.erase(row.key);
    if (row.version > VersionOf(row.key)) {
      SetRow(row, ChangeSource::kStore);
    }
  }
  for (const std::string& service : missing) {
    RemoveRow(service);
  }
  UpdateSoon();
}

void VersionRecorder::MergePeerCopy(const std::vector<StoredRow>& rows) {
  is_loaded_ = is_loaded_ || !rows.empty();
  for (const StoredRow& row : rows) {
    if (row.version > VersionOf(row.key)) {
      SetRow(row, ChangeSource::kPeer);
    }
  }
}

void VersionRecorder::SetRow(StoredRow row, ChangeSource source) {
  VersionRow read = detail::ReadVersionRow(row.value);
  const bool is_record = read.kind == VersionRow::Kind::kRecord;
  if (!is_record) {
    LogEvent("version_record_unreadable", LogLevel::kWarning)
        .Field("service", row.key)
        .Field("row_version", row.version)
        .Field("newer", read.kind == VersionRow::Kind::kNewer);
  }
  if (read.kind == VersionRow::Kind::kNewer) {
    foreign_.insert(row.key);
  } else {
    foreign_.erase(row.key);
  }
  records_.Set(
      loop_.Now(), row.key,
      is_record ? std::optional(std::move(read.record)) : std::nullopt);
  StoredRow& kept = rows_[row.key];
  kept = std::move(row);
  hooks_.on_change(source);
}

void VersionRecorder::RemoveRow(const std::string& service) {
  rows_.erase(service);
  foreign_.erase(service);
  records_.Set(loop_.Now(), service, std::nullopt);
}

std::vector<StoredRow> VersionRecorder::RowsIfNewer(std::uint64_t known) const {
  std::vector<StoredRow> rows;
  if (known < newest_change()) {
    for (const auto& [service, row] : rows_) {
      rows.push_back(row);
    }
  }
  return rows;
}

std::uint64_t VersionRecorder::newest_change() const {
  std::uint64_t newest = 0;
  for (const auto& [service, row] : rows_) {
    newest = std::max(newest, row.version);
  }
  return newest;
}

std::uint64_t VersionRecorder::VersionOf(std::string_view service) const {
  const auto found = rows_.find(service);
  return found == rows_.end() ? 0 : found->second.version;
}

void VersionRecorder::AskIfFresh(FreshnessQuestion& question) {
  questions_.push_back(question);
  if (!std::exchange(asking_, true)) {
    question_timer_ = loop_.After(Duration{0}, [this] { AskNow(); });
  }
}

void VersionRecorder::AskNow() {
  asked_.splice(asked_.end(), questions_);
  store_.Read(StoreTable::kVersionRecords, "",
              [this](const StoreAnswer& answer) {
                const bool is_fresh = answer.kind == StoreAnswer::Kind::kRows;
                if (is_fresh) {
                  ReplaceRows(answer);
                }
                AnswerAll(asked_, is_fresh);
                asking_ = !questions_.empty();
                if (asking_) {
                  AskNow();
                }
              });
}

void VersionRecorder::UpdateSoon() {
  if (std::exchange(update_pending_, true)) {
    return;
  }
  update_timer_ = loop_.After(Duration{0}, [this] {
    update_pending_ = false;
    Update();
  });
}

void VersionRecorder::RunMaintenance() {
  const TimePoint now = loop_.Now();
  if (!writes_.empty() || now >= next_check_) {
    next_check_ = now + kCheckPeriod;
    Update();
  }
}

void VersionRecorder::Update() {
  if (!hooks_.may_write()) {
    std::erase_if(writes_,
                  [](const auto& write) { return !write.second.is_pending; });
    return;
  }
  const TimePoint now = loop_.Now();
  for (const std::string& service : hooks_.services()) {
    if (service.size() <= kMaxKeyBytes && !foreign_.contains(service)) {
      UpdateService(now, service);
    }
  }
}

void VersionRecorder::UpdateService(TimePoint now, const std::string& service) {
  const auto found = writes_.find(service);
  if (found != writes_.end() && found->second.is_pending) {
    return;
  }
  const std::optional<routing::VersionRecord> next =
      records_.Next(now, service, hooks_.knowledge(service));
  if (!next) {
    writes_.erase(service);
    return;
  }
  Write& write = writes_.try_emplace(service, Write{now + hooks_.write_delay()})
                     .first->second;
  if (write.due <= now) {
    write.is_pending = true;
    Send(service, *next);
  }
}

void VersionRecorder::Send(const std::string& service,
                           const routing::VersionRecord& record) {
  const std::string value = detail::WriteVersionRow(record);
  store_.PutIf(StoreTable::kVersionRecords, "",
               {service, value, VersionOf(service)},
               [this, service, value](const StoreAnswer& answer) {
                 OnWritten(service, value, answer);
               });
}

void VersionRecorder::OnWritten(const std::string& service,
                                const std::string& value,
                                const StoreAnswer& answer) {
  Write& write = writes_[service];
  write.is_pending = false;
  switch (answer.kind) {
    case StoreAnswer::Kind::kRows: {
      writes_.erase(service);
      SetRow({service, value, answer.version}, ChangeSource::kStore);
      const routing::VersionRecord* record = records_.Find(service);
      LogEvent("version_record_written")
          .Field("service", service)
          .Field("in_use", record == nullptr ? "" : ListOf(*record))
          .Field("row_version", answer.version);
      break;
    }
    case StoreAnswer::Kind::kConflict:
      writes_.erase(service);
      OnConflict(service, answer);
      break;
    default:
      write.retry_delay = std::clamp(
          write.retry_delay * 2, kFirstWriteRetryDelay, kMaxWriteRetryDelay);
      write.due = loop_.Now() + write.retry_delay;
      LogEvent("version_record_not_written", LogLevel::kWarning)
          .Field("service", service)
          .Field("reason", answer.detail);
      return;
  }
  UpdateSoon();
}

void VersionRecorder::OnConflict(const std::string& service,
                                 const StoreAnswer& answer) {
  LogEvent("version_record_conflict").Field("service", service);
  const auto row = std::ranges::find(answer.rows, service, &StoredRow::key);
  if (row == answer.rows.end()) {
    RemoveRow(service);
  } else {
    SetRow(*row, ChangeSource::kStore);
  }
}

}  // namespace gentianroute::gateway
