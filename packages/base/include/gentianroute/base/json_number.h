#ifndef GENTIANROUTE_BASE_JSON_NUMBER_H_
#define GENTIANROUTE_BASE_JSON_NUMBER_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace gentianroute {

/// @brief Reads a number that fits into an unsigned type, rounded towards zero.
///
/// The library's conversion turns a number that is too large into another one.
/// @return nullopt if the value is not a number, negative or too large
///
/// @example ReadUnsigned<std::uint16_t>(80) == 80;
/// ReadUnsigned<std::uint16_t>(70000) == std::nullopt
template <std::unsigned_integral Number>
std::optional<Number> ReadUnsigned(const nlohmann::json& value) {
  static_assert(sizeof(Number) <= sizeof(std::uint32_t),
                "a double holds each of the type's numbers");
  if (!value.is_number()) {
    return std::nullopt;
  }
  constexpr double kMax = std::numeric_limits<Number>::max();
  const auto number = value.get<double>();
  return number >= 0 && number <= kMax
             ? std::optional(static_cast<Number>(number))
             : std::nullopt;
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_JSON_NUMBER_H_
