#ifndef GENTIANROUTE_ROUTING_STREAM_ORIGIN_H_
#define GENTIANROUTE_ROUTING_STREAM_ORIGIN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gentianroute/base/time.h"

namespace gentianroute::routing {

/// @brief The servers that began a stream. Events of servers of another
/// software version don't fit to theirs.
struct StreamOrigin {
  std::string service;
  std::string software_version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// @brief A stream whose caller may take it up again if it breaks.
struct BegunStream {
  std::string id;  ///< of the caller's request that brought its first event
  StreamOrigin origin;
  Duration remaining{};  ///< time for which the caller may still do so
};

/// @brief What a daemon can say about the origin of a stream, in ascending
/// order of weight.
enum class OriginEvidence : std::uint8_t {
  kNone,             ///< nothing
  kOneVersion,       ///< only this version can have begun it
  kSeveralVersions,  ///< several versions can have begun it
  kRecorded,         ///< the daemon that began it has told
};

struct OriginReport {
  OriginEvidence evidence = OriginEvidence::kNone;
  StreamOrigin origin;  ///< valid for kOneVersion and kRecorded
};

/// @brief Combines the reports of several daemons on one stream.
class OriginReports {
 public:
  void Add(const OriginReport& report) {
    const bool contradicts = report.evidence == OriginEvidence::kOneVersion &&
                             best_.evidence == OriginEvidence::kOneVersion &&
                             report.origin != best_.origin;
    if (contradicts) {
      best_ = {OriginEvidence::kSeveralVersions, {}};
    } else if (report.evidence > best_.evidence) {
      best_ = report;
    }
  }
  /// @brief Whether no further report can change the origin.
  bool is_certain() const {
    return best_.evidence == OriginEvidence::kRecorded;
  }
  /// @return empty if the stream can't go on: any version would be a guess
  std::optional<StreamOrigin> Origin() const {
    const bool known = best_.evidence == OriginEvidence::kRecorded ||
                       best_.evidence == OriginEvidence::kOneVersion;
    return known ? std::optional(best_.origin) : std::nullopt;
  }

 private:
  OriginReport best_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STREAM_ORIGIN_H_
