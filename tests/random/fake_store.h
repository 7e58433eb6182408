#ifndef GENTIANROUTE_TESTS_RANDOM_FAKE_STORE_H_
#define GENTIANROUTE_TESTS_RANDOM_FAKE_STORE_H_

#include <functional>
#include <vector>

#include "decision_fixture.h"
#include "event_queue.h"

namespace gentianroute::testing {

/// @brief Table service with outages and a network that loses messages. If
/// the answer to a write is lost, the write may take effect up to seconds later
/// or never.
class FakeStore {
 public:
  FakeStore(EventQueue& events, RandomSource& random)
      : events_(events), random_(random) {}

  void Transact(TableTransaction transaction,
                std::function<void(TransactResult)> done);
  void Read(std::vector<TableKey> keys, std::function<void(ReadResult)> done);
  /// @brief Loses every message for some time.
  void FailFor(Duration duration) { down_until_ = events_.now() + duration; }

 private:
  bool IsDown() const { return events_.now() < down_until_; }

  EventQueue& events_;
  RandomSource& random_;
  FakeTable table_;
  TimePoint down_until_{};
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_TESTS_RANDOM_FAKE_STORE_H_
