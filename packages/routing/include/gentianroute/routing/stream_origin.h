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
  /// The only version that serves, by a list that the store has confirmed since
  /// the question was asked. Empty if there are several, or if it has not.
  std::optional<StreamOrigin> serving;
};

/// @brief Combines the reports of several daemons on one stream.
///
/// A daemon that has been cut off or stood still for a moment doesn't know it,
/// and believes in a version that was the only one before. That one version can
/// have begun a stream therefore counts only if a daemon says so whose list the
/// store has confirmed since.
class OriginReports {
 public:
  void Add(const OriginReport& report) {
    // Of two daemons, one may know the past and the other one the present, and
    // neither what was in between.
    const bool is_confirmed = report.evidence == OriginEvidence::kOneVersion &&
                              report.serving == report.origin;
    if (is_confirmed) {
      confirmed_ = report.origin;
    }
    contradicts_ |= report.serving &&
                    evidence_ == OriginEvidence::kOneVersion &&
                    *report.serving != origin_;
    contradicts_ |= report.evidence == OriginEvidence::kOneVersion &&
                    evidence_ == OriginEvidence::kOneVersion &&
                    report.origin != origin_;
    if (report.evidence > evidence_) {
      evidence_ = report.evidence;
      origin_ = report.origin;
    }
  }
  /// @brief Whether no further report can change the origin.
  bool is_certain() const { return evidence_ == OriginEvidence::kRecorded; }
  /// @return empty if the stream can't go on: any version would be a guess
  std::optional<StreamOrigin> Origin() const {
    const bool is_only = evidence_ == OriginEvidence::kOneVersion &&
                         !contradicts_ && confirmed_ == origin_;
    return is_certain() || is_only ? std::optional(origin_) : std::nullopt;
  }
  /// @brief The weightiest evidence.
  OriginEvidence evidence() const { return evidence_; }
  /// @brief Whether a daemon that knows of one version only has had this
  /// confirmed by the store.
  bool is_confirmed() const { return confirmed_.has_value(); }

 private:
  OriginEvidence evidence_ = OriginEvidence::kNone;
  StreamOrigin origin_;
  std::optional<StreamOrigin> confirmed_;
  bool contradicts_ = false;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_STREAM_ORIGIN_H_
