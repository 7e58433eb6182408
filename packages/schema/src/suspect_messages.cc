#include "gentianroute/schema/suspect_messages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace gentianroute::schema {
namespace {

constexpr std::uint32_t kMaxDepth = std::numeric_limits<std::uint8_t>::max();
/// Bounds on what is read from one message.
constexpr unsigned kMaxPartsRead = 64;

gentianroute::PartReport ReadPartReport(PartReport::Reader report) {
  return {Fingerprint{report.getPart()},
          std::chrono::milliseconds(report.getAgeMs())};
}

PartCrashReport ReadPartCrash(PartCrash::Reader told) {
  PartCrashReport crash;
  crash.server = told.getServer();
  crash.incarnation = told.getIncarnation();
  crash.age = std::chrono::milliseconds(told.getAgeMs());
  crash.confirmed = told.getConfirmed();
  const auto parts = told.getParts();
  for (unsigned i = 0; i < std::min(parts.size(), kMaxPartsRead); ++i) {
    crash.parts.push_back({Fingerprint{parts[i].getPart()},
                           Fingerprint{parts[i].getRequest()},
                           parts[i].getDepth()});
  }
  return crash;
}

}  // namespace

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

void WritePartCrashes(std::span<const PartCrashReport> reports,
                      capnp::List<PartCrash>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    const PartCrashReport& report = reports[i];
    out[i].setServer(report.server);
    out[i].setIncarnation(report.incarnation);
    out[i].setAgeMs(static_cast<std::uint32_t>(WholeMilliseconds(report.age)));
    out[i].setConfirmed(report.confirmed);
    auto parts = out[i].initParts(static_cast<unsigned>(report.parts.size()));
    for (unsigned j = 0; j < parts.size(); ++j) {
      parts[j].setPart(report.parts[j].part.value);
      parts[j].setRequest(report.parts[j].request.value);
      parts[j].setDepth(static_cast<std::uint8_t>(
          std::min(report.parts[j].depth, kMaxDepth)));
    }
  }
}

void WritePartReports(std::span<const gentianroute::PartReport> reports,
                      capnp::List<PartReport>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setPart(reports[i].part.value);
    out[i].setAgeMs(
        static_cast<std::uint32_t>(WholeMilliseconds(reports[i].age)));
  }
}

void ApplyPartReports(TimePoint now,
                      capnp::List<PartCrash>::Reader crashes,
                      capnp::List<PartReport>::Reader answers,
                      capnp::List<PartReport>::Reader quarantines,
                      SuspectParts& suspects) {
  // Answers first, so that a crash before one of them doesn't count.
  for (const auto answer : answers) {
    suspects.OnPeerAnswer(now, ReadPartReport(answer));
  }
  for (const auto crash : crashes) {
    suspects.OnPeerCrash(now, ReadPartCrash(crash));
  }
  for (const auto quarantine : quarantines) {
    suspects.OnPeerQuarantine(now, ReadPartReport(quarantine));
  }
}

}  // namespace gentianroute::schema
