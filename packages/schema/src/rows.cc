#include "gentianroute/schema/rows.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include "gentianroute/schema/declarations.h"

namespace gentianroute {
namespace {

template <typename Schema>
std::string EncodeRoot(capnp::MallocMessageBuilder& message) {
  capnp::JsonCodec codec;
  return codec.encode(message.getRoot<Schema>().asReader()).cStr();
}

/// Ignores unknown fields, since a newer daemon may have written the row.
template <typename Schema>
bool DecodeRoot(std::string_view text, capnp::MallocMessageBuilder& message) {
  capnp::JsonCodec codec;
  auto root = message.initRoot<Schema>();
  const auto failed = kj::runCatchingExceptions(
      [&] { codec.decode(kj::arrayPtr(text.data(), text.size()), root); });
  return failed == nullptr;
}

}  // namespace

std::string JsonClaimCodec::Encode(const Claim& claim) const {
  capnp::MallocMessageBuilder message;
  auto row = message.initRoot<schema::ClaimRow>();
  row.setOrganisation(claim.organisation);
  row.setKey(claim.key);
  row.setBodyDigest(claim.body_digest);
  row.setToken(claim.token);
  row.setDaemon(claim.daemon);
  row.setIncarnation(claim.incarnation);
  row.setState(static_cast<schema::ClaimRow::State>(claim.state));
  row.setStatus(claim.status);
  row.setAnswer(claim.answer);
  row.setUnixMicros(static_cast<std::uint64_t>(claim.written_at));
  return EncodeRoot<schema::ClaimRow>(message);
}

std::optional<Claim> JsonClaimCodec::Decode(std::string_view text) const {
  capnp::MallocMessageBuilder message;
  if (!DecodeRoot<schema::ClaimRow>(text, message)) {
    return std::nullopt;
  }
  const auto row = message.getRoot<schema::ClaimRow>().asReader();
  Claim claim;
  claim.organisation = row.getOrganisation().cStr();
  claim.key = row.getKey().cStr();
  claim.body_digest = row.getBodyDigest().cStr();
  claim.token = row.getToken().cStr();
  claim.daemon = row.getDaemon().cStr();
  claim.incarnation = row.getIncarnation();
  claim.state = static_cast<ClaimState>(row.getState());
  claim.status = row.getStatus();
  claim.answer = row.getAnswer().cStr();
  claim.written_at = static_cast<UnixMicros>(row.getUnixMicros());
  return claim;
}

std::string JsonLeaseCodec::Encode(const Lease& lease) const {
  capnp::MallocMessageBuilder message;
  auto row = message.initRoot<schema::LeaseRow>();
  row.setPool(lease.pool);
  row.setHolder(lease.holder);
  row.setFencing(lease.fencing);
  return EncodeRoot<schema::LeaseRow>(message);
}

std::optional<Lease> JsonLeaseCodec::Decode(std::string_view text) const {
  capnp::MallocMessageBuilder message;
  if (!DecodeRoot<schema::LeaseRow>(text, message)) {
    return std::nullopt;
  }
  const auto row = message.getRoot<schema::LeaseRow>().asReader();
  return Lease{row.getPool().cStr(), row.getHolder().cStr(), row.getFencing()};
}

void WriteRevision(const ConfigRevision& revision,
                   schema::ConfigRevision::Builder output) {
  output.setRevision(revision.revision);
  output.setChangeId(revision.change_id);
  output.setAuthor(revision.author);
  output.setUnixMicros(static_cast<std::uint64_t>(revision.applied_at));
  auto changes =
      output.initChanges(static_cast<unsigned>(revision.changes.size()));
  for (unsigned i = 0; i < changes.size(); ++i) {
    const DocumentChange& change = revision.changes[i];
    changes[i].setKind(static_cast<schema::DocumentKind>(change.kind));
    changes[i].setName(change.name);
    changes[i].setBody(change.body);
    changes[i].setBaseRevision(change.base_revision);
  }
}

ConfigRevision ReadRevision(schema::ConfigRevision::Reader input) {
  ConfigRevision revision;
  revision.revision = input.getRevision();
  revision.change_id = input.getChangeId().cStr();
  revision.author = input.getAuthor().cStr();
  revision.applied_at = static_cast<UnixMicros>(input.getUnixMicros());
  for (const auto change : input.getChanges()) {
    revision.changes.push_back(
        {static_cast<DocumentKind>(change.getKind()), change.getName().cStr(),
         change.getBody().cStr(), change.getBaseRevision()});
  }
  return revision;
}

void WriteSnapshot(const ConfigSnapshot& snapshot,
                   schema::ConfigSnapshot::Builder output) {
  output.setRevision(snapshot.revision);
  auto documents =
      output.initDocuments(static_cast<unsigned>(snapshot.documents.size()));
  unsigned index = 0;
  for (const auto& [name, document] : snapshot.documents) {
    auto row = documents[index++];
    row.setKind(static_cast<schema::DocumentKind>(name.first));
    row.setName(name.second);
    row.setBody(document.body);
    row.setRevision(document.revision);
  }
}

ConfigSnapshot ReadSnapshot(schema::ConfigSnapshot::Reader input) {
  ConfigSnapshot snapshot;
  snapshot.revision = input.getRevision();
  for (const auto row : input.getDocuments()) {
    const DocumentName name{static_cast<DocumentKind>(row.getKind()),
                            row.getName().cStr()};
    snapshot.documents[name] = {row.getBody().cStr(), row.getRevision()};
  }
  return snapshot;
}

std::string JsonConfigCodec::EncodeSnapshot(
    const ConfigSnapshot& snapshot) const {
  capnp::MallocMessageBuilder message;
  WriteSnapshot(snapshot, message.initRoot<schema::ConfigSnapshot>());
  return EncodeRoot<schema::ConfigSnapshot>(message);
}

std::optional<ConfigSnapshot> JsonConfigCodec::DecodeSnapshot(
    std::string_view text) const {
  capnp::MallocMessageBuilder message;
  if (!DecodeRoot<schema::ConfigSnapshot>(text, message)) {
    return std::nullopt;
  }
  return ReadSnapshot(message.getRoot<schema::ConfigSnapshot>().asReader());
}

std::string JsonConfigCodec::Encode(const ConfigRevision& revision) const {
  capnp::MallocMessageBuilder message;
  WriteRevision(revision, message.initRoot<schema::ConfigRevision>());
  return EncodeRoot<schema::ConfigRevision>(message);
}

std::optional<ConfigRevision> JsonConfigCodec::Decode(
    std::string_view text) const {
  capnp::MallocMessageBuilder message;
  if (!DecodeRoot<schema::ConfigRevision>(text, message)) {
    return std::nullopt;
  }
  return ReadRevision(message.getRoot<schema::ConfigRevision>().asReader());
}

}  // namespace gentianroute
