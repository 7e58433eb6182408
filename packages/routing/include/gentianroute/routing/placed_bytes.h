#ifndef GENTIANROUTE_ROUTING_PLACED_BYTES_H_
#define GENTIANROUTE_ROUTING_PLACED_BYTES_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace gentianroute::routing {

/// @brief Results of stages that lie in one data centre.
struct PlacedBytes {
  std::string data_centre;
  double bytes = 0;
};

/// @brief What the pieces that read a stage's results fetch of them, all
/// together: each piece fetches all results by itself.
///
/// So the results of a stage with a wide reader weigh a multiple of their size.
/// Weighed once, they would cross between data centres at the least difference
/// of backlog, and be billed once for each piece.
inline PlacedBytes InputTransfer(std::string data_centre,
                                 double result_bytes,
                                 std::uint32_t results,
                                 std::uint32_t reader_pieces) {
  return {std::move(data_centre), result_bytes * results * reader_pieces};
}

/// Time that a megabyte between data centres is worth when a stage's pool is
/// chosen: results that cross are billed by volume.
inline constexpr double kPoolTransferMsPerMegabyte = 80.0;
/// The same when a model server is chosen. There the other choice is to read
/// the subject's part of the prompt again, which is billed as well.
inline constexpr double kModelTransferMsPerMegabyte = 5.0;

/// @brief What it costs to read results from a data centre, as milliseconds.
inline double TransferCostMs(std::span<const PlacedBytes> results,
                             std::string_view data_centre,
                             double ms_per_megabyte) {
  constexpr double kBytesOfMegabyte = 1e6;
  double bytes = 0;
  for (const PlacedBytes& result : results) {
    bytes += result.data_centre == data_centre ? 0.0 : result.bytes;
  }
  return bytes / kBytesOfMegabyte * ms_per_megabyte;
}

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_PLACED_BYTES_H_
