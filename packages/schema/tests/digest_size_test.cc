#include <capnp/message.h>
#include <capnp/serialize.h>
#include <peer.capnp.h>

#include <cstdio>

#include <criterion/criterion.h>

using namespace gentianroute;

// Every daemon exchanges digests periodically. The size of a digest that is
// filled to its bounds limits the gossip bandwidth of a daemon, independently
// of the number of daemons.
Test(digest, full_digest_fits_gossip_budget_of_4096_bytes_per_second) {
  capnp::MallocMessageBuilder message;
  auto digest = message.initRoot<schema::Digest>();
  digest.setDaemon("entry-host-of-a-data-centre-001");
  digest.setDataCentre("gangetic-south-1");
  auto heavy = digest.initHeavy(6);
  for (auto use : heavy) {
    use.setOrganisation("organisation-001");
    use.setSubscriber("subscriber-000001");
    use.setCost(1);
  }
  auto leaving = digest.initLeaving(8);
  for (auto server : leaving) {
    server.setServer("backend-server-000001");
  }
  digest.initQuarantined(8);
  const std::size_t bytes =
      capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
  std::fprintf(stderr, "full digest: %zu bytes\n", bytes);
  // Allowance for half of the RPC call, return and finish messages of an
  // exchange.
  constexpr double kFraming = 128;
  // Per second: one exchange started and one answered, and for each of 0.32
  // changes a push to two peers and from two peers, 2 + 0.32 * 4 digests.
  cr_assert((static_cast<double>(bytes) + kFraming) * (2 + 0.32 * 4) < 4096);
}
