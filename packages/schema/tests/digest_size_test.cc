#include <capnp/message.h>
#include <capnp/serialize.h>
#include <peer.capnp.h>

#include <cstdio>

#include <criterion/criterion.h>

using namespace gentianroute;

// Every daemon sends and answers digests for ever. One that is as full as its
// bounds allow decides what gossip costs, whatever the number of daemons.
Test(digest, full_digest_fits_its_share_of_four_kilobytes_a_second) {
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
  // Half of an exchange's call, return and finish messages, as an allowance.
  constexpr double kFraming = 128;
  // An exchange begun and one answered each second, and for 0.32 changes a
  // second a rumour to two peers and from two: 2 + 0.32 * 4 digests.
  cr_assert((static_cast<double>(bytes) + kFraming) * (2 + 0.32 * 4) < 4096);
}
