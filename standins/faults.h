#ifndef GENTIANROUTE_STANDINS_FAULTS_H_
#define GENTIANROUTE_STANDINS_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "gentianroute/loop/http.h"

namespace gentianroute::standin {

/// @brief The faults that a stand-in injects at present; set by
/// `PUT /control/faults` with any of these fields.
struct Faults {
  std::uint32_t delay_ms = 0;       ///< before each response, or each token
  std::uint32_t error_status = 0;   ///< responds with this status; 0: none
  std::uint32_t max_in_flight = 0;  ///< rejects more as not run; 0: no limit
  std::uint32_t cut_at_token = 0;  ///< ends the stream at this offset; 0: never
  /// Connections up to this number never get a response; newer ones do. Set by
  /// `silence_open`.
  std::uint64_t last_silent_connection = 0;
  /// Every nth cache event is not published; 0: all are.
  std::uint32_t lose_cache_events = 0;
  bool silent = false;         ///< accepts requests and never responds
  bool lose_answers = false;   ///< runs the call and never responds
  bool reset_answers = false;  ///< runs the call, then closes the connection
  bool truncate = false;       ///< closes the connection within the body
  bool crossed = false;        ///< responds with the id of another attempt
  bool double_tokens = false;  ///< sends each token twice
  bool skip_tokens = false;    ///< leaves out every third token
  bool null_tokens = false;    ///< every third token has null as its text
  bool refuse = false;         ///< 503 with x-not-run
  bool leaving = false;        ///< 503 with x-leaving and x-not-run
  bool outage = false;         ///< closes every connection without a response
  bool no_entity_tag = false;  ///< the platform's host list has no ETag
  std::string crash_marker;    ///< aborts on a body that contains it

  /// @brief Sets the fields that are present. `silence_open` silences all
  /// connections that are open now.
  /// @param connection number of the connection of this request
  void Update(const nlohmann::json& body, std::uint64_t connection);

  /// @brief Whether requests on this connection never get a response.
  bool IsSilent(std::uint64_t connection) const {
    return silent || connection <= last_silent_connection;
  }
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_FAULTS_H_
