#ifndef GENTIANROUTE_OBSERVE_SERVICE_LEVEL_H_
#define GENTIANROUTE_OBSERVE_SERVICE_LEVEL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Requests that count towards the service level.
struct Attainment {
  std::uint64_t total = 0;
  std::uint64_t attained = 0;  ///< answered whole within their deadline

  /// @return from 0 to 1; 1 if there were none
  double Share() const;
  /// @brief How fast the error budget is spent: 1 spends exactly all of it.
  /// @param target share of requests to be attained, from 0 to 1
  /// @return 0 if none failed; with a target of 1 the budget is taken as 1e-6
  double BurnRate(double target) const;
};

/// @brief Whether a request that ended so counts: the caller's own mistakes do
/// not.
bool CountsForServiceLevel(std::optional<ErrorKind> error);

/// @brief Sums over the last part of time, in a ring of equal slots.
///
/// @tparam kSlots number of slots; memory is fixed
template <std::size_t kSlots>
class AttainmentRing {
 public:
  explicit AttainmentRing(Duration slot) : slot_(slot) {}

  void Add(TimePoint now, bool attained) {
    Slot& slot = slots_[SlotNumber(now) % kSlots];
    if (slot.number != SlotNumber(now)) {
      slot = {SlotNumber(now), {}};
    }
    ++slot.sum.total;
    slot.sum.attained += attained ? 1 : 0;
  }

  /// @brief A slot that has something in it.
  struct ExportedSlot {
    std::int64_t number = 0;
    Attainment sum;
  };
  std::vector<ExportedSlot> Export() const {
    std::vector<ExportedSlot> exported;
    for (const Slot& slot : slots_) {
      if (slot.number >= 0 && slot.sum.total > 0) {
        exported.push_back({slot.number, slot.sum});
      }
    }
    return exported;
  }

  /// @brief Adds what an earlier process counted; what has left the ring by
  /// `now`, or lies after it, is passed over.
  void Import(TimePoint now, const ExportedSlot& earlier) {
    const std::int64_t newest = SlotNumber(now);
    const std::int64_t oldest = newest - static_cast<std::int64_t>(kSlots) + 1;
    if (earlier.number < std::max<std::int64_t>(oldest, 0) ||
        earlier.number > newest) {
      return;
    }
    Slot& slot = slots_[static_cast<std::size_t>(earlier.number) % kSlots];
    if (slot.number != earlier.number) {
      slot = {earlier.number, {}};
    }
    slot.sum.total += earlier.sum.total;
    slot.sum.attained += earlier.sum.attained;
  }

  /// @param window at most kSlots slots long; the slot at hand counts whole
  /// @complexity linear in the slots
  Attainment Sum(TimePoint now, Duration window) const {
    const std::int64_t newest = SlotNumber(now);
    const std::int64_t oldest = newest - window / slot_ + 1;
    Attainment sum;
    for (const Slot& slot : slots_) {
      if (slot.number >= oldest && slot.number <= newest) {
        sum.total += slot.sum.total;
        sum.attained += slot.sum.attained;
      }
    }
    return sum;
  }

 private:
  struct Slot {
    std::int64_t number = -1;  ///< counted from time zero; -1: unused
    Attainment sum;
  };

  std::int64_t SlotNumber(TimePoint now) const {
    return now.time_since_epoch() / slot_;
  }

  Duration slot_;
  std::array<Slot, kSlots> slots_{};
};

/// @brief Attainment of each service over several windows.
///
/// Two short windows show a fast burn, two long ones a slow burn. Hosts keep
/// nothing, so the long ones are saved by Export() and taken over by Import().
/// Times are wall-clock times since the Unix epoch here, unlike elsewhere:
/// slots of one process must mean the same to the next.
class ServiceLevels {
 public:
  static constexpr std::array<Duration, 4> kWindows = {
      std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
      std::chrono::hours(72)};

  /// @param service a declared name, or the label for the others
  void Observe(TimePoint now, std::string_view service, bool attained);

  struct Service {
    std::string name;
    Attainment since_start;
    std::array<Attainment, kWindows.size()> windows;
  };
  /// @brief The slots of the long windows as JSON.
  std::string Export() const;
  /// @brief Takes over what an earlier process of this host exported.
  /// @return false if the text can't be read; nothing is taken then
  bool Import(TimePoint now, std::string_view text);

  /// @return one record a service, by name
  std::vector<Service> Report(TimePoint now) const;

 private:
  static constexpr Duration kShortSlot = std::chrono::seconds(10);
  static constexpr Duration kLongSlot = std::chrono::minutes(10);
  static constexpr std::size_t kShortSlots = 360;  // one hour
  static constexpr std::size_t kLongSlots = 432;   // three days

  struct Rings {
    Attainment since_start;
    AttainmentRing<kShortSlots> short_ring{kShortSlot};
    AttainmentRing<kLongSlots> long_ring{kLongSlot};
  };

  std::map<std::string, Rings, std::less<>> services_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_OBSERVE_SERVICE_LEVEL_H_
