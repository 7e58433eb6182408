#ifndef GENTIANROUTE_SCHEMA_SUSPECT_MESSAGES_H_
#define GENTIANROUTE_SCHEMA_SUSPECT_MESSAGES_H_

#include <peer.capnp.h>

#include <span>

#include "gentianroute/decision/suspect_parts.h"
#include "gentianroute/decision/suspect_table.h"

namespace gentianroute::schema {

/// @brief Writes what a daemon tells its peers about crashed servers.
/// @param out has as many elements as `reports`
void WriteCrashReports(std::span<const gentianroute::CrashReport> reports,
                       capnp::List<CrashReport>::Builder out);
/// @brief Writes what a daemon tells its peers about cleared requests.
/// @param out has as many elements as `reports`
void WriteClearanceReports(
    std::span<const gentianroute::ClearanceReport> reports,
    capnp::List<ClearanceReport>::Builder out);

/// @brief Adds the reports of a peer to the evidence.
void ApplyCrashReports(TimePoint now,
                       capnp::List<CrashReport>::Reader reports,
                       SuspectTable& suspects);
/// @brief Removes the evidence that a peer's answers refute.
void ApplyClearanceReports(TimePoint now,
                           capnp::List<ClearanceReport>::Reader reports,
                           SuspectTable& suspects);

/// @brief Writes what a daemon knows of crashes by parts of prompts.
/// @param out has as many elements as `reports`
void WritePartCrashes(std::span<const PartCrashReport> reports,
                      capnp::List<PartCrash>::Builder out);
void WritePartReports(std::span<const gentianroute::PartReport> reports,
                      capnp::List<PartReport>::Builder out);
/// @brief Adds a peer's reports on parts of prompts to the evidence.
void ApplyPartReports(TimePoint now,
                      capnp::List<PartCrash>::Reader crashes,
                      capnp::List<PartReport>::Reader answers,
                      capnp::List<PartReport>::Reader quarantines,
                      SuspectParts& suspects);

}  // namespace gentianroute::schema

#endif  // GENTIANROUTE_SCHEMA_SUSPECT_MESSAGES_H_
