#include "gentianroute/schema/suspect_messages.h"

#include <chrono>

namespace gentianroute::schema {

void WriteCrashReports(std::span<const gentianroute::CrashReport> reports,
                       capnp::List<CrashReport>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    const gentianroute::CrashReport& report = reports[i];
    out[i].setFingerprint(report.fingerprint.value);
    out[i].setServer(report.server);
    out[i].setIncarnation(report.incarnation);
    out[i].setAgeMs(static_cast<std::uint32_t>(WholeMilliseconds(report.age)));
    out[i].setAlone(report.alone);
    out[i].setConfirmed(report.confirmed);
  }
}

void WriteClearanceReports(
    std::span<const gentianroute::ClearanceReport> reports,
    capnp::List<ClearanceReport>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setFingerprint(reports[i].fingerprint.value);
    out[i].setAgeMs(
        static_cast<std::uint32_t>(WholeMilliseconds(reports[i].age)));
  }
}

void ApplyCrashReports(TimePoint now,
                       capnp::List<CrashReport>::Reader reports,
                       SuspectTable& suspects) {
  for (const auto report : reports) {
    suspects.OnPeerCrash(now,
                         {.fingerprint = Fingerprint{report.getFingerprint()},
                          .server = report.getServer(),
                          .incarnation = report.getIncarnation(),
                          .age = std::chrono::milliseconds(report.getAgeMs()),
                          .alone = report.getAlone(),
                          .confirmed = report.getConfirmed()});
  }
}

void ApplyClearanceReports(TimePoint now,
                           capnp::List<ClearanceReport>::Reader reports,
                           SuspectTable& suspects) {
  for (const auto report : reports) {
    suspects.OnPeerClearance(
        now, {.fingerprint = Fingerprint{report.getFingerprint()},
              .age = std::chrono::milliseconds(report.getAgeMs())});
  }
}

}  // namespace gentianroute::schema
