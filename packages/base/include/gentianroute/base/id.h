#ifndef GENTIANROUTE_BASE_ID_H_
#define GENTIANROUTE_BASE_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace gentianroute {

/// @brief A strongly typed integer identifier; 0 means "no identifier".
/// @tparam Tag an empty type that makes each kind of identifier distinct
template <typename Tag>
struct Id {
  std::uint64_t value = 0;

  friend auto operator<=>(const Id&, const Id&) = default;
  explicit operator bool() const { return value != 0; }
};

/// @brief Sequential number of a request in this daemon; never reused.
using RequestId = Id<struct RequestTag>;
/// @brief Identifies one call of a stage; the backend server echoes it in its
/// response.
using AttemptId = Id<struct AttemptTag>;
/// @brief Hash of a request's service and body; the same for each resend of a
/// request.
using Fingerprint = Id<struct FingerprintTag>;

}  // namespace gentianroute

template <typename Tag>
struct std::hash<gentianroute::Id<Tag>> {
  std::size_t operator()(gentianroute::Id<Tag> id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // GENTIANROUTE_BASE_ID_H_
