#ifndef GENTIANROUTE_ROUTING_PLACED_BYTES_H_
#define GENTIANROUTE_ROUTING_PLACED_BYTES_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace gentianroute::routing {

/// @brief Size of stage results stored in one data centre.
struct PlacedBytes {
  std::string data_centre;
  double bytes = 0;
};

/// @brief Bytes that the pieces of a stage fetch in total from the results of
/// an input stage. Each piece fetches all results separately.
///
/// The results of a stage with many reading pieces therefore count for a
/// multiple of their size. If they were counted once, a small difference in
/// backlog would move the readers to another data centre, where the transfer is
/// billed for each piece.
inline PlacedBytes InputTransfer(std::string data_centre,
                                 double result_bytes,
                                 std::uint32_t results,
                                 std::uint32_t reader_pieces) {
  return {std::move(data_centre), result_bytes * results * reader_pieces};
}

/// Time equivalent of a megabyte sent between data centres in the choice of a
/// stage pool; such transfers are billed by volume.
inline constexpr double kPoolTransferMsPerMegabyte = 80.0;
/// The same in the choice of a model server. The alternative there is another
/// prefill of the shared part of the prompt, which is billed as well.
inline constexpr double kModelTransferMsPerMegabyte = 5.0;

/// @brief Cost of transferring results to a data centre, in milliseconds.
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
