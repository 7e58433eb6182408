#include <rapidcheck.h>

#include <string>
#include <vector>

#include "gentianroute/decision/config_follower.h"
#include "gentianroute/schema/declarations.h"

#include <criterion/criterion.h>

using namespace gentianroute;

namespace {

/// One delivery from a store or peer: a range of the log, or a snapshot.
struct Delivery {
  bool snapshot = false;
  std::uint64_t after = 0;
  std::uint64_t count = 0;
};

constexpr std::uint64_t kRevisions = 12;

ConfigRevision MakeRevision(std::uint64_t revision) {
  ConfigRevision change;
  change.revision = revision;
  const std::string name = std::to_string(revision % 3);
  const bool deletes = revision % 4 == 3;
  change.changes.push_back({DocumentKind::kPool, name,
                            deletes ? "" : R"({"name":")" + name + R"("})", 0});
  return change;
}

Documents DocumentsAt(std::uint64_t revision) {
  const JsonConfigCodec codec;
  ConfigFollower follower(codec);
  for (std::uint64_t i = 1; i <= revision; ++i) {
    const ConfigRevision next = MakeRevision(i);
    follower.Apply(std::span(&next, 1));
  }
  return follower.documents();
}

std::vector<std::string> NamesOf(const ConfigFollower& follower) {
  std::vector<std::string> names;
  for (const auto& [name, pool] : follower.catalogue()->pools) {
    names.push_back(name);
  }
  return names;
}

rc::Gen<Delivery> ArbitraryDelivery() {
  return rc::gen::build<Delivery>(
      rc::gen::set(&Delivery::snapshot),
      rc::gen::set(&Delivery::after,
                   rc::gen::inRange<std::uint64_t>(0, kRevisions)),
      rc::gen::set(&Delivery::count, rc::gen::inRange<std::uint64_t>(0, 5)));
}

void ApplyDelivery(ConfigFollower& follower, const Delivery& delivery) {
  if (delivery.snapshot) {
    follower.Apply(ConfigSnapshot{delivery.after, DocumentsAt(delivery.after)});
    return;
  }
  std::vector<ConfigRevision> revisions;
  for (std::uint64_t i = 1; i <= delivery.count; ++i) {
    revisions.push_back(MakeRevision(std::min(delivery.after + i, kRevisions)));
  }
  follower.Apply(revisions);
}

}  // namespace

// The store and peers deliver ranges of the log and snapshots late, duplicated
// and out of order. For any sequence of deliveries, the revision never
// decreases, and documents and catalogue match the log at that revision.
Test(config_follower,
     any_sequence_of_deliveries_matches_the_log_at_its_revision) {
  const bool passed = rc::check([] {
    const auto history =
        *rc::gen::container<std::vector<Delivery>>(ArbitraryDelivery());
    const JsonConfigCodec codec;
    ConfigFollower follower({4}, codec);
    std::uint64_t last_revision = 0;
    for (const Delivery& delivery : history) {
      ApplyDelivery(follower, delivery);
      RC_ASSERT(follower.revision() >= last_revision);
      last_revision = follower.revision();
      const Documents expected = DocumentsAt(last_revision);
      RC_ASSERT(follower.documents().size() == expected.size());
      std::vector<std::string> names;
      for (const auto& [name, document] : expected) {
        RC_ASSERT(follower.documents().at(name).revision == document.revision);
        names.push_back(name.second);
      }
      RC_ASSERT(NamesOf(follower) == names);
    }
  });
  cr_assert(passed);
}
