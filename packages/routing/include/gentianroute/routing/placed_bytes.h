#ifndef GENTIANROUTE_ROUTING_PLACED_BYTES_H_
#define GENTIANROUTE_ROUTING_PLACED_BYTES_H_

#include <span>
#include <string>
#include <string_view>

namespace gentianroute::routing {

/// @brief Results of stages that lie in one data centre.
struct PlacedBytes {
  std::string data_centre;
  double bytes = 0;
};

/// Time that a megabyte between data centres is worth. Results that cross are
/// billed by volume, several hundredths of what the requests earn; with a
/// quarter of this weight a third more of them crossed, and no request was
/// served sooner.
inline constexpr double kMsPerMegabyteAway = 80.0;

/// @brief What it costs to read results from a data centre, as milliseconds.
inline double AwayMs(std::span<const PlacedBytes> results,
                     std::string_view data_centre) {
  constexpr double kBytesOfMegabyte = 1e6;
  double bytes = 0;
  for (const PlacedBytes& result : results) {
    bytes += result.data_centre == data_centre ? 0.0 : result.bytes;
  }
  return bytes / kBytesOfMegabyte * kMsPerMegabyteAway;
}

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PLACED_BYTES_H_
