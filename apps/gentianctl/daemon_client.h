#ifndef GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_

#include <cstdint>
#include <string>

#include "failure.h"
#include "gentianroute/loop/http.h"

namespace gentianroute::ctl {

/// @brief Address and port of a daemon's operator interface.
struct DaemonAddress {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  std::string Text() const { return address + ":" + std::to_string(port); }
};

/// @brief Parses `address:port`.
/// @return Failure with kExitInvalid
leaf::result<DaemonAddress> ParseDaemonAddress(const std::string& text);

/// @brief Sends a request to one daemon and waits at most ten seconds.
/// @return `complete` is false if no complete response came in time
HttpResult CallDaemon(const DaemonAddress& daemon,
                      std::string method,
                      std::string path,
                      std::string body);

/// @brief Requests a path of a daemon and parses the response as JSON.
/// @return Failure with kExitUnreachable, or kExitFailed for a status other
/// than 200 and for a body that is not JSON
leaf::result<json> GetJson(const DaemonAddress& daemon,
                           const std::string& path);

/// @brief Formats a daemon's application/problem+json response as text.
std::string ProblemText(const HttpResult& result);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_
