#ifndef GENTIANROUTE_STANDINS_FAULTS_H_
#define GENTIANROUTE_STANDINS_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "gentianroute/loop/http.h"

namespace gentianroute::standin {

/// @brief What is wrong with a stand-in at present; set over HTTP by
/// `PUT /control/faults` with any of these fields.
struct Faults {
  std::uint32_t delay_ms = 0;       ///< before each answer, or each token
  std::uint32_t error_status = 0;   ///< answers with this instead
  std::uint32_t max_in_flight = 0;  ///< refuses more as not run; 0: no limit
  std::uint32_t cut_at_token = 0;   ///< closes at this offset; 0: never
  /// Connections up to this number are silent; newer ones work.
  std::uint64_t last_silent_connection = 0;
  /// Each event of this many is not published; 0: all are.
  std::uint32_t lose_cache_events = 0;
  bool silent = false;         ///< takes requests and never answers
  bool lose_answers = false;   ///< does the work and never answers
  bool reset_answers = false;  ///< does the work, then closes unanswered
  bool truncate = false;       ///< closes in the middle of the body
  bool crossed = false;        ///< names another attempt
  bool double_tokens = false;  ///< sends each token twice
  bool skip_tokens = false;    ///< leaves out each third token
  bool null_tokens = false;    ///< sends null as the text of each third token
  bool refuse = false;         ///< 503 with x-not-run
  bool leaving = false;        ///< 503 with x-leaving and x-not-run
  bool outage = false;         ///< closes each connection unanswered
  bool no_entity_tag = false;  ///< the platform's host list has no ETag
  std::string crash_marker;    ///< aborts on a body that holds it

  /// @brief Takes over the fields that are present. `silence_open` makes the
  /// connections that are open now silent.
  /// @param connection number of the connection that brings the change
  void Update(const nlohmann::json& body, std::uint64_t connection);

  /// @brief Whether a request on this connection is never answered.
  bool IsSilent(std::uint64_t connection) const {
    return silent || connection <= last_silent_connection;
  }
};

}  // namespace gentianroute::standin

#endif  // GENTIANROUTE_STANDINS_FAULTS_H_
