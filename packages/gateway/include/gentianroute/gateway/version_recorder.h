#ifndef GENTIANROUTE_GATEWAY_VERSION_RECORDER_H_
#define GENTIANROUTE_GATEWAY_VERSION_RECORDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/gateway/freshness_question.h"
#include "gentianroute/gateway/store.h"
#include "gentianroute/gateway/store_follower.h"
#include "gentianroute/loop/event_loop.h"
#include "gentianroute/routing/version_record.h"

namespace gentianroute::gateway {

/// @brief Keeps the version records of services in the store, and a copy of
/// them.
///
/// A record is written only when it changes, by a daemon that reads the store
/// for its data centre. The write has a condition, so that of several daemons
/// one succeeds, and that one which takes effect late can't undo a later one.
/// The other daemons copy the rows from their peers.
class VersionRecorder final : public FreshnessSource {
 public:
  struct Hooks {
    /// Whether this daemon is one that writes.
    std::function<bool()> may_write;
    /// Time for which a change is left to the daemons that write first.
    std::function<Duration()> write_delay;
    /// The services that have a record.
    std::function<std::set<std::string, std::less<>>()> services;
    std::function<routing::StreamKnowledge(std::string_view service)> knowledge;
    /// A record is new or has changed.
    std::function<void(ChangeSource source)> on_change;
  };

  /// @param max_propagation_time after which all daemons know a record
  VersionRecorder(EventLoop& loop,
                  Store& store,
                  Duration max_propagation_time,
                  Hooks hooks);
  ~VersionRecorder() override;

  /// @brief Reads the records after a delay, unless a peer's copy arrives
  /// before.
  void Start(Duration delay);
  /// @param memory see routing::StreamMemory()
  void SetMemory(Duration memory) { records_.SetMemory(memory); }
  const routing::VersionRecords& records() const { return records_; }
  /// @brief Writes the records that are out of date, together with what else
  /// changes in the present turn of the loop.
  void UpdateSoon();
  /// @brief Writes what was left to other daemons or could not be written, and
  /// what is out of date by the time alone.
  void RunMaintenance();
  /// @brief Merges rows that a peer has. Older ones are ignored.
  void MergePeerCopy(const std::vector<StoredRow>& rows);
  /// @brief Returns all rows if there are newer ones than a given version.
  std::vector<StoredRow> RowsIfNewer(std::uint64_t known) const;
  /// @brief Version of the newest row; 0 if there is none.
  std::uint64_t newest_change() const;

  void AskIfFresh(FreshnessQuestion& question) override;

 private:
  struct Write {
    TimePoint due{};
    Duration retry_delay{};  ///< zero until a call has failed
    bool is_pending = false;
  };

  void Update();
  void Read();
  void OnRead(const StoreAnswer& answer);
  void ReplaceRows(const StoreAnswer& answer);
  void AskNow();
  void UpdateService(TimePoint now, const std::string& service);
  void Send(const std::string& service, const routing::VersionRecord& record);
  void OnWritten(const std::string& service,
                 const std::string& value,
                 const StoreAnswer& answer);
  void OnConflict(const std::string& service, const StoreAnswer& answer);
  void SetRow(StoredRow row, ChangeSource source);
  void RemoveRow(const std::string& service);
  std::uint64_t VersionOf(std::string_view service) const;

  EventLoop& loop_;
  Store& store_;
  Hooks hooks_;
  routing::VersionRecords records_;
  std::map<std::string, StoredRow, std::less<>> rows_;
  /// Services whose row is of a newer layout, which is left alone.
  std::set<std::string, std::less<>> foreign_;
  std::map<std::string, Write, std::less<>> writes_;
  bool is_loaded_ = false;
  bool update_pending_ = false;
  TimePoint next_check_{};
  TimerId update_timer_;
  TimerId read_timer_;
  FreshnessQuestions questions_;  ///< for the next call
  FreshnessQuestions asked_;      ///< by the present call
  bool asking_ = false;
  TimerId question_timer_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_VERSION_RECORDER_H_
