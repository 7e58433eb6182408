#ifndef GENTIANROUTE_GATEWAY_TESTS_FAKE_STORE_H_
#define GENTIANROUTE_GATEWAY_TESTS_FAKE_STORE_H_

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianroute/gateway/store.h"
#include "gentianroute/loop/event_loop.h"

namespace gentianroute::gateway {

inline constexpr Duration kLongerThanAnyDelay = std::chrono::milliseconds(700);

/// Runs the loop for a time.
inline void RunLoopFor(EventLoop& loop, Duration time) {
  loop.After(time, [&loop] { loop.Stop(); });
  loop.Run();
}

/// A store whose responses are given by the test.
class FakeStore final : public Store {
 public:
  struct Call {
    bool is_full = false;
    std::uint64_t after = 0;
    Done done;
    std::string part;
  };

  void Read(StoreTable /*table*/, std::string_view part, Done done) override {
    calls.push_back({true, 0, std::move(done), std::string(part)});
  }
  void Follow(StoreTable /*table*/,
              std::uint64_t after,
              Duration wait,
              Done done) override {
    calls.push_back({false, after, std::move(done), ""});
    max_wait = std::max(max_wait, wait);
  }
  void Put(StoreTable /*table*/,
           std::string_view part,
           std::string_view key,
           std::string_view value,
           Done done) override {
    written.push_back({std::string(key), std::string(value), 0, false});
    calls.push_back({false, 0, std::move(done), std::string(part)});
  }

  void PutIf(StoreTable /*table*/,
             std::string_view part,
             const StoredRow& row,
             Done done) override {
    written.push_back(row);
    calls.push_back({false, row.version, std::move(done), std::string(part)});
  }

  void RespondWithRows(std::vector<StoredRow> rows, std::uint64_t version) {
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::kRows;
    answer.rows = std::move(rows);
    answer.version = version;
    Respond(std::move(answer));
  }
  void RespondHistoryGone() {
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::kHistoryGone;
    Respond(std::move(answer));
  }
  void Respond(StoreAnswer answer) {
    const Call first = std::move(calls.front());
    calls.pop_front();
    first.done(std::move(answer));
  }

  std::deque<Call> calls;
  std::vector<StoredRow> written;
  Duration max_wait{0};
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_TESTS_FAKE_STORE_H_
