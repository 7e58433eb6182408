#ifndef GENTIANROUTE_SCHEMA_ROWS_H_
#define GENTIANROUTE_SCHEMA_ROWS_H_

#include <platform.capnp.h>

#include "gentianroute/decision/claim_ledger.h"
#include "gentianroute/decision/config.h"
#include "gentianroute/decision/lease.h"

namespace gentianroute {

/// @brief Encodes claim rows as JSON.
class JsonClaimCodec final : public ClaimCodec {
 public:
  std::string Encode(const Claim& claim) const override;
  std::optional<Claim> Decode(std::string_view text) const override;
};

/// @brief Encodes lease rows as JSON.
class JsonLeaseCodec final : public LeaseCodec {
 public:
  std::string Encode(const Lease& lease) const override;
  std::optional<Lease> Decode(std::string_view text) const override;
};

/// @brief Converts revisions and snapshots between the schema's messages, which
/// rows and peers use, and the plain structs.
void WriteRevision(const ConfigRevision& revision,
                   schema::ConfigRevision::Builder output);
ConfigRevision ReadRevision(schema::ConfigRevision::Reader input);
void WriteSnapshot(const ConfigSnapshot& snapshot,
                   schema::ConfigSnapshot::Builder output);
ConfigSnapshot ReadSnapshot(schema::ConfigSnapshot::Reader input);

}  // namespace gentianroute

#endif  // GENTIANROUTE_SCHEMA_ROWS_H_
