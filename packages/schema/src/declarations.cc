#include "gentianroute/schema/declarations.h"

#include <capnp/compat/json.h>
#include <capnp/dynamic.h>
#include <platform.capnp.h>
#include <profile.capnp.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "profile_semantics.h"

namespace gentianroute {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kKindNames =
    std::to_array<std::string_view>({"profile", "service", "pool"});

template <typename Reader>
std::string EncodeDocument(Reader reader) {
  capnp::JsonCodec codec;
  codec.setHasMode(capnp::HasMode::NON_DEFAULT);
  return codec.encode(reader).cStr();
}

template <typename List>
leaf::result<void> AddDocuments(std::string_view file,
                                std::string_view field,
                                DocumentKind kind,
                                List list,
                                Documents& documents,
                                Origins& origins) {
  std::size_t index = 0;
  for (const auto item : list) {
    const std::string name = item.getName().cStr();
    const std::string path =
        std::string(field) + "[" + std::to_string(index) + "]";
    if (!documents.insert({{kind, name}, {EncodeDocument(item), 0}}).second) {
      return leaf::new_error(SchemaError{std::string(file), path + ".name",
                                         "'" + name + "' more than once",
                                         "a unique name"});
    }
    origins[{kind, name}] = {std::string(file), path};
    ++index;
  }
  return {};
}

StageSpec ReadStage(schema::Stage::Reader stage) {
  StageSpec spec;
  spec.name = stage.getName().cStr();
  spec.pool = stage.getPool().cStr();
  spec.streams = stage.getStreams();
  spec.repeatable = stage.getRepeatable();
  spec.deduplicates_by_key = stage.getDeduplicatesByKey();
  spec.first_byte_timeout = milliseconds(stage.getFirstByteTimeoutMs());
  spec.max_attempts = stage.getMaxAttempts();
  spec.hedge_after = milliseconds(stage.getHedgeAfterMs());
  spec.expected = milliseconds(stage.getExpectedMs());
  spec.cost_per_call = stage.getCostPerCallMicros();
  spec.cost_per_unit = stage.getCostPerUnitMicros();
  return spec;
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader list) {
  std::vector<std::string> texts;
  texts.reserve(list.size());
  for (const auto text : list) {
    texts.emplace_back(text.cStr());
  }
  return texts;
}

EngineGroup ReadEngineGroup(schema::EngineGroup::Reader reader) {
  EngineGroup group;
  group.state = {reader.getModel().cStr(), reader.getVersion().cStr(),
                 ReadTexts(reader.getAdapters()), reader.getRole().cStr()};
  group.count = reader.getCount();
  group.servers = ReadTexts(reader.getServers());
  return group;
}

Profile ReadProfile(schema::Profile::Reader reader, std::uint64_t revision) {
  Profile profile;
  profile.name = reader.getName().cStr();
  profile.revision = revision;
  profile.objective = reader.getObjective() == schema::Objective::COST
                          ? Objective::kCost
                          : Objective::kAttainment;
  profile.deadline = milliseconds(reader.getDeadlineMs());
  profile.cross_region = reader.getCrossRegion();
  for (const auto stage : reader.getStages()) {
    profile.stages.push_back(ReadStage(stage));
  }
  return profile;
}

template <typename Schema>
bool DecodeDocument(std::string_view text,
                    capnp::MallocMessageBuilder& message) {
  auto root = message.initRoot<Schema>();
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(DecodeChecked("document", text, root));
        return true;
      },
      [] { return false; });
}

using DocumentAdder = bool (*)(Catalogue&, const std::string&, const Document&);

bool AddProfile(Catalogue& catalogue,
                const std::string& name,
                const Document& document) {
  capnp::MallocMessageBuilder message;
  if (!DecodeDocument<schema::Profile>(document.body, message)) {
    return false;
  }
  catalogue.profiles[name] = std::make_shared<Profile>(ReadProfile(
      message.getRoot<schema::Profile>().asReader(), document.revision));
  return true;
}

bool AddService(Catalogue& catalogue,
                const std::string& name,
                const Document& document) {
  capnp::MallocMessageBuilder message;
  if (!DecodeDocument<schema::Service>(document.body, message)) {
    return false;
  }
  const auto service = message.getRoot<schema::Service>().asReader();
  catalogue.services[name] = {name, service.getProfile().cStr()};
  return true;
}

bool AddPool(Catalogue& catalogue,
             const std::string& name,
             const Document& document) {
  capnp::MallocMessageBuilder message;
  if (!DecodeDocument<schema::Pool>(document.body, message)) {
    return false;
  }
  const auto pool = message.getRoot<schema::Pool>().asReader();
  const bool is_engine = pool.getKind() == schema::Pool::Kind::ENGINE;
  PoolSpec& spec = catalogue.pools[name];
  spec = {name, is_engine ? PoolKind::kEngine : PoolKind::kService,
          pool.getFenced()};
  for (const auto group : pool.getEngines()) {
    spec.engines.push_back(ReadEngineGroup(group));
  }
  return true;
}

using DocumentChecker = leaf::result<void> (*)(std::string_view,
                                               std::string_view);

template <typename Schema>
leaf::result<void> CheckDocumentText(std::string_view file,
                                     std::string_view text) {
  capnp::MallocMessageBuilder message;
  return DecodeChecked(file, text, message.initRoot<Schema>());
}

constexpr std::array<DocumentChecker, 3> kDocumentCheckers = {
    &CheckDocumentText<schema::Profile>, &CheckDocumentText<schema::Service>,
    &CheckDocumentText<schema::Pool>};

constexpr std::array<DocumentAdder, 3> kDocumentAdders = {
    &AddProfile, &AddService, &AddPool};

/// Location of a document for error messages; a document without an origin is
/// identified by `kind/name`.
Origin OriginOf(std::string_view file,
                const DocumentName& name,
                const Origins& origins) {
  const auto found = origins.find(name);
  if (found != origins.end()) {
    return found->second;
  }
  return {std::string(file),
          std::string(DocumentKindName(name.first)) + "/" + name.second};
}

leaf::result<void> CheckStagePools(const Origin& origin,
                                   const Profile& profile,
                                   const Catalogue& catalogue) {
  for (std::size_t i = 0; i < profile.stages.size(); ++i) {
    const StageSpec& stage = profile.stages[i];
    if (!catalogue.pools.contains(stage.pool)) {
      return leaf::new_error(SchemaError{
          origin.file, origin.path + ".stages[" + std::to_string(i) + "].pool",
          "'" + stage.pool + "'", "the name of a declared pool"});
    }
  }
  return {};
}

leaf::result<void> CheckCatalogueReferences(std::string_view file,
                                            const Catalogue& catalogue,
                                            const Origins& origins) {
  for (const auto& [name, profile] : catalogue.profiles) {
    const Origin origin =
        OriginOf(file, {DocumentKind::kProfile, name}, origins);
    if (profile->stages.empty()) {
      return leaf::new_error(SchemaError{origin.file, origin.path + ".stages",
                                         "no stages", "at least one stage"});
    }
    BOOST_LEAF_CHECK(CheckStagePools(origin, *profile, catalogue));
  }
  for (const auto& [name, service] : catalogue.services) {
    if (!catalogue.profiles.contains(service.profile)) {
      const Origin origin =
          OriginOf(file, {DocumentKind::kService, name}, origins);
      return leaf::new_error(SchemaError{origin.file, origin.path + ".profile",
                                         "'" + service.profile + "'",
                                         "the name of a declared profile"});
    }
  }
  return {};
}

}  // namespace

std::string_view DocumentKindName(DocumentKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::optional<DocumentKind> DocumentKindFromName(std::string_view name) {
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == name) {
      return static_cast<DocumentKind>(i);
    }
  }
  return std::nullopt;
}

leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text) {
  Origins origins;
  return ParseDeclarations(file, text, origins);
}

leaf::result<Documents> ParseDeclarations(std::string_view file,
                                          std::string_view text,
                                          Origins& origins) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::Declarations>();
  BOOST_LEAF_CHECK(DecodeChecked(file, text, root));
  const json value = json::parse(text, nullptr, true, true);
  if (value.contains("profiles")) {
    std::size_t index = 0;
    for (const json& profile : value["profiles"]) {
      const std::string path = "profiles[" + std::to_string(index++) + "]";
      BOOST_LEAF_CHECK(
          CheckProfileSemantics({std::string(file), path}, profile));
    }
  }
  const auto declared = root.asReader();
  Documents documents;
  BOOST_LEAF_CHECK(AddDocuments(file, "pools", DocumentKind::kPool,
                                declared.getPools(), documents, origins));
  BOOST_LEAF_CHECK(AddDocuments(file, "profiles", DocumentKind::kProfile,
                                declared.getProfiles(), documents, origins));
  BOOST_LEAF_CHECK(AddDocuments(file, "services", DocumentKind::kService,
                                declared.getServices(), documents, origins));
  return documents;
}

leaf::result<void> CheckReferences(std::string_view file,
                                   const Documents& documents,
                                   const Origins& origins) {
  const JsonConfigCodec codec;
  Catalogue catalogue;
  for (const auto& [name, document] : documents) {
    if (!codec.AddDocument(catalogue, name, document)) {
      const Origin origin = OriginOf(file, name, origins);
      return leaf::new_error(
          SchemaError{origin.file, origin.path, "an invalid document",
                      "a document that conforms to its schema"});
    }
  }
  return CheckCatalogueReferences(file, catalogue, origins);
}

std::string JsonConfigCodec::Check(const Catalogue& catalogue) const {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(
            CheckCatalogueReferences("configuration log", catalogue, {}));
        return std::string();
      },
      [](const SchemaError& error) { return error.Text(); },
      [] { return std::string("the references could not be checked"); });
}

leaf::result<void> CheckDocument(const DocumentName& name,
                                 std::string_view text) {
  const std::string file =
      std::string(DocumentKindName(name.first)) + "/" + name.second;
  const DocumentChecker checker =
      kDocumentCheckers[static_cast<std::size_t>(name.first)];
  BOOST_LEAF_CHECK(checker(file, text));
  const json value = json::parse(text, nullptr, true, true);
  if (value["name"] != name.second) {
    return leaf::new_error(
        SchemaError{file, "name", value["name"].dump(),
                    "the name under which the document is submitted"});
  }
  if (name.first == DocumentKind::kProfile) {
    return CheckProfileSemantics({file, ""}, value);
  }
  return {};
}

bool JsonConfigCodec::AddDocument(Catalogue& catalogue,
                                  const DocumentName& name,
                                  const Document& document) const {
  const DocumentAdder adder =
      kDocumentAdders[static_cast<std::size_t>(name.first)];
  return adder(catalogue, name.second, document);
}

}  // namespace gentianroute
