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
  std::uint64_t attained = 0;  ///< answered completely within the deadline

  /// @return attained requests as a share from 0 to 1; 1 if there were none
  double Share() const;
  /// @brief Rate at which the error budget is spent; a rate of 1 spends exactly
  /// the whole budget.
  /// @param target share of requests to be attained, from 0 to 1
  /// @return 0 if no request failed; for a target of 1, the budget is taken as
  /// 1e-6 to avoid a division by zero
  double BurnRate(double target) const;
};

/// @brief Whether a request with this outcome counts towards the service level;
/// errors made by the caller do not.
/// @param error empty for an answered request
bool CountsForServiceLevel(std::optional<ErrorKind> error);

/// @brief Sums over a sliding window of time, in a ring buffer of time slots of
/// equal length.
///
/// @tparam kSlots number of slots, which fixes the memory
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

  /// @brief A slot that is not empty.
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

  /// @brief Adds a slot exported by an earlier process; ignores slots that are
  /// older than the ring or later than `now`.
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

  /// @param window at most kSlots slots long; the current, incomplete slot
  /// counts as one
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
    std::int64_t number = -1;  ///< slots since time zero; -1: unused
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
/// The two short windows reveal a fast burn of the error budget, the two long
/// ones a slow burn. Hosts have no persistent storage, so Export() and Import()
/// carry the long windows from one process to the next. Unlike elsewhere, times
/// here are wall-clock times since the Unix epoch, so that slot numbers mean
/// the same to the next process.
class ServiceLevels {
 public:
  static constexpr std::array<Duration, 4> kWindows = {
      std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
      std::chrono::hours(72)};

  /// @param service a declared name, or kOtherLabel
  void Observe(TimePoint now, std::string_view service, bool attained);

  struct Service {
    std::string name;
    Attainment since_start;
    std::array<Attainment, kWindows.size()> windows;
  };
  /// @brief Serialises the slots of the long windows as JSON.
  std::string Export() const;
  /// @brief Adds the slots that an earlier process of this host exported.
  /// @return false if the text is invalid; nothing is added in that case
  bool Import(TimePoint now, std::string_view text);

  /// @return one record per service, sorted by name
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
