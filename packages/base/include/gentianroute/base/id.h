#ifndef GENTIANROUTE_BASE_ID_H_
#define GENTIANROUTE_BASE_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace gentianroute {

/// @brief A number that can't be mistaken for one of another sort.
/// @tparam Tag an empty type that names the sort
template <typename Tag>
struct Id {
  std::uint64_t value = 0;

  friend auto operator<=>(const Id&, const Id&) = default;
  explicit operator bool() const { return value != 0; }
};

/// @brief A request as this daemon counts them; never reused.
using RequestId = Id<struct RequestTag>;
/// @brief One call of one stage of one request; the backend server echoes it.
using AttemptId = Id<struct AttemptTag>;
/// @brief Hash of a request's service and body, equal for its resends.
using Fingerprint = Id<struct FingerprintTag>;

}  // namespace gentianroute

template <typename Tag>
struct std::hash<gentianroute::Id<Tag>> {
  std::size_t operator()(gentianroute::Id<Tag> id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // GENTIANROUTE_BASE_ID_H_
