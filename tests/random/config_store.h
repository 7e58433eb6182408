#ifndef GENTIANROUTE_TESTS_RANDOM_CONFIG_STORE_H_
#define GENTIANROUTE_TESTS_RANDOM_CONFIG_STORE_H_

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/decision/config.h"
#include "gentianroute/platform/platform.h"
#include "gentianroute/schema/declarations.h"

namespace gentianroute::random_config {

/// @brief Discrete-event simulator: virtual time, an event queue and one seeded
/// random number generator.
class EventSimulator {
 public:
  explicit EventSimulator(std::uint64_t seed) : rng_(seed) {}

  TimePoint now() const { return now_; }
  std::uint64_t events() const { return events_; }
  std::uint64_t Below(std::uint64_t limit) { return rng_() % limit; }
  bool Chance(std::uint64_t percent) { return Below(100) < percent; }
  Duration Between(int low_ms, int high_ms) {
    return std::chrono::milliseconds(
        low_ms + static_cast<int>(
                     Below(static_cast<std::uint64_t>(high_ms - low_ms) + 1)));
  }
  void After(Duration delay, std::function<void()> event) {
    queue_.push({now_ + delay, next_sequence_++, std::move(event)});
  }
  void RunFor(Duration duration);

 private:
  struct Event {
    TimePoint due;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.due, other.sequence) < std::tie(due, sequence);
    }
  };
  std::mt19937_64 rng_;
  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
};

/// @brief The platform's tables and objects with outages, lost answers and
/// delayed writes. Keeps the documents of every revision, to check daemons
/// against.
class SimulatedStore {
 public:
  explicit SimulatedStore(EventSimulator& simulator) : simulator_(simulator) {}

  bool unavailable = false;  ///< no call is answered
  bool fault_free = false;   ///< no answer is lost or delayed

  void Transact(const TableTransaction& transaction,
                std::function<void(TransactResult)> done);
  void Read(const std::vector<TableKey>& keys,
            std::function<void(ReadResult)> done);
  void Get(const std::string& name, std::function<void(ObjectResult)> done);
  void Put(const std::string& name,
           const std::string& content,
           std::function<void(bool)> done);

  /// @brief The latest revision.
  std::uint64_t head() const { return documents_by_revision_.size(); }
  /// @brief All documents as of a revision.
  const Documents& DocumentsAt(std::uint64_t revision) const;
  bool IsApplied(const std::string& change_id) const {
    return change_ids_.contains(change_id);
  }
  std::size_t CountRevisionRows() const;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  TransactResult Commit(const TableTransaction& transaction);
  void RecordRevision(const ConfigRevision& revision);
  TableRow Find(const TableKey& key) const;

  EventSimulator& simulator_;
  JsonConfigCodec codec_;
  std::map<TableKey, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t next_version_ = 1;
  std::vector<Documents> documents_by_revision_;
  std::set<std::string> change_ids_;
  Catalogue catalogue_;
};

/// @brief Ends the process with exit code 1 if an invariant does not hold.
void Require(bool condition, const char* invariant, TimePoint now);

}  // namespace gentianroute::random_config

#endif  // GENTIANROUTE_TESTS_RANDOM_CONFIG_STORE_H_
