#include "fake_store.h"

#include <utility>

namespace gentianroute::testing {
namespace {

constexpr double kLossProbability = 0.03;
constexpr Duration kCallTimeout = milliseconds(500);

}  // namespace

void FakeStore::Transact(TableTransaction transaction,
                         std::function<void(TransactResult)> done) {
  const bool lost = IsDown() || random_.Chance(kLossProbability);
  if (!lost) {
    events_.After(
        random_.Between(1, 8),
        [this, transaction = std::move(transaction), done = std::move(done)] {
          TransactResult result = table_.Transact(transaction);
          events_.After(random_.Between(1, 8),
                        [done, result = std::move(result)] { done(result); });
        });
    return;
  }
  if (random_.Chance(0.2)) {
    events_.After(random_.Between(1, 5), [done] {
      done({TableStatus::kRefused, {}, {}});
    });
    return;
  }
  if (random_.Chance(0.6)) {
    events_.After(random_.Between(1, 8000),
                  [this, transaction = std::move(transaction)] {
                    table_.Transact(transaction);
                  });
  }
  events_.After(kCallTimeout, [done] {
    done({TableStatus::kUnknown, {}, {}});
  });
}

void FakeStore::Read(std::vector<TableKey> keys,
                     std::function<void(ReadResult)> done) {
  if (IsDown() || random_.Chance(kLossProbability)) {
    events_.After(kCallTimeout, [done] { done({}); });
    return;
  }
  events_.After(random_.Between(1, 8), [this, keys = std::move(keys),
                                        done = std::move(done)] {
    ReadResult result = table_.Read(keys);
    events_.After(random_.Between(1, 8),
                  [done, result = std::move(result)] { done(result); });
  });
}

}  // namespace gentianroute::testing
