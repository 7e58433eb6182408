#ifndef GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_

#include <cstdint>
#include <string>

#include "failure.h"
#include "gentianroute/loop/http.h"

namespace gentianroute::ctl {

/// @brief One daemon's operators' address.
struct DaemonAddress {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  std::string Text() const { return address + ":" + std::to_string(port); }
};

/// @brief Reads `address:port`.
/// @return Failure with kExitInvalid
leaf::result<DaemonAddress> ParseDaemonAddress(const std::string& text);

/// @brief Asks one daemon and waits for the answer, at most ten seconds.
/// @return `whole` is false if no whole answer came in time
HttpResult CallDaemon(const DaemonAddress& daemon,
                      std::string method,
                      std::string path,
                      std::string body);

/// @brief Reads one path of a daemon.
/// @return Failure with kExitUnreachable, or kExitFailed for any status but 200
leaf::result<json> GetJson(const DaemonAddress& daemon,
                           const std::string& path);

/// @brief What a daemon's problem+json says, for a person.
std::string ProblemText(const HttpResult& result);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_DAEMON_CLIENT_H_
