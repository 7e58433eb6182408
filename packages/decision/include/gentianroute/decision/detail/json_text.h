#ifndef GENTIANROUTE_DECISION_DETAIL_JSON_TEXT_H_
#define GENTIANROUTE_DECISION_DETAIL_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace gentianroute::detail {

/// @brief Encodes text as a JSON string, with invalid UTF-8 replaced by U+FFFD.
inline std::string QuoteText(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

}  // namespace gentianroute::detail

#endif  // GENTIANROUTE_DECISION_DETAIL_JSON_TEXT_H_
