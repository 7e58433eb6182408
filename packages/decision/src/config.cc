#include "gentianroute/decision/config.h"

#include <algorithm>

namespace gentianroute {

std::string ConfigRevisionKey(std::uint64_t revision) {
  constexpr std::size_t kDigits = 12;
  const std::string number = std::to_string(revision);
  return "rev/" + std::string(kDigits - std::min(kDigits, number.size()), '0') +
         number;
}

std::string ConfigChangeKey(std::string_view change_id) {
  return "change/" + std::string(change_id);
}

std::string ConfigSnapshotObject(const ConfigRetention& retention,
                                 std::uint64_t revision) {
  const std::uint64_t turn = revision / retention.snapshot_every;
  return "config-snapshot-" + std::to_string(turn % retention.slots);
}

bool ChangeCatalogue(Catalogue& catalogue,
                     const DocumentChange& change,
                     std::uint64_t revision,
                     const ConfigCodec& codec) {
  switch (change.kind) {
    case DocumentKind::kProfile:
      catalogue.profiles.erase(change.name);
      break;
    case DocumentKind::kService:
      catalogue.services.erase(change.name);
      break;
    case DocumentKind::kPool:
      catalogue.pools.erase(change.name);
      break;
  }
  return change.body.empty() || codec.AddDocument(catalogue, change.FullName(),
                                                  {change.body, revision});
}

}  // namespace gentianroute
