#ifndef GENTIANROUTE_BASE_JSON_TEXT_H_
#define GENTIANROUTE_BASE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace gentianroute {

/// @brief Encodes a value on one line, with invalid UTF-8 replaced by U+FFFD.
///
/// The library's default throws on such text, which would end the process in a
/// callback of the event loop.
inline std::string EncodeJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_JSON_TEXT_H_
