#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>

#include "gentianroute/schema/declarations.h"
#include "gentianroute/schema/settings.h"

#include <criterion/criterion.h>

namespace {

using gentianroute::Documents;
using gentianroute::SchemaError;
using gentianroute::Settings;
using nlohmann::json;
namespace leaf = gentianroute::leaf;

const std::filesystem::path kExamples =
    std::filesystem::path(GENTIANROUTE_SOURCE_DIR) / "examples";

/// Runs `body` and fails the test on a SchemaError.
template <typename Body>
void Expect(Body body) {
  leaf::try_handle_all([&]() -> leaf::result<void> { return body(); },
                       [](const SchemaError& error) {
                         cr_assert(false, "%s", error.Text().c_str());
                       },
                       [] { cr_assert(false, "another error"); });
}

Documents Profiles(const std::string& deployment) {
  Documents documents;
  Expect([&]() -> leaf::result<void> {
    const std::string file = kExamples / deployment / "profiles.json";
    BOOST_LEAF_AUTO(text, gentianroute::ReadFile(file));
    gentianroute::Origins origins;
    BOOST_LEAF_ASSIGN(documents,
                      gentianroute::ParseDeclarations(file, text, origins));
    return CheckReferences(file, documents, origins);
  });
  return documents;
}

json HostList(const std::string& deployment) {
  json hosts;
  Expect([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(
        text, gentianroute::ReadFile(kExamples / deployment / "hosts.json"));
    hosts = json::parse(text);
    return {};
  });
  return hosts;
}

constexpr const char* kDeployments[] = {"muistolaatta", "bhattacharya"};

}  // namespace

Test(examples, settings_of_all_entry_hosts_are_valid_and_ports_do_not_collide) {
  std::set<std::uint16_t> ports;
  for (const std::string deployment : kDeployments) {
    std::map<std::string, int> hosts_of_region;
    const auto folder = kExamples / deployment / "settings";
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      Expect([&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(settings, Settings::Load(file.path()));
        const auto root = settings.get();
        for (const auto listener :
             {root.getCallers(), root.getOperators(), root.getPeers()}) {
          cr_expect(ports.insert(listener.getPort()).second);
        }
        cr_expect_eq(root.getOrganisations().size(), 5U);
        cr_expect_eq(root.getSeeds().size(), 8U);
        cr_expect_eq(root.getLinks().size(), 2U);
        ++hosts_of_region[root.getRegion().cStr()];
        return {};
      });
    }
    cr_expect_eq(hosts_of_region.size(), 3U);
    for (const auto& [region, count] : hosts_of_region) {
      cr_expect_eq(count, 3);
    }
  }
}

Test(examples, every_pool_has_backend_servers_and_every_server_a_pool) {
  for (const std::string deployment : kDeployments) {
    std::set<std::string> declared = {"gentianroute"};
    for (const auto& [name, document] : Profiles(deployment)) {
      if (name.first == gentianroute::DocumentKind::kPool) {
        declared.insert(name.second);
      }
    }
    std::set<std::string> listed;
    for (const json& host : HostList(deployment)) {
      listed.insert(host.at("pool"));
    }
    cr_expect(declared == listed, "%s", deployment.c_str());
  }
}

Test(examples, orders_slots_and_top_ups_are_not_repeatable) {
  const std::tuple<const char*, const char*> rows[] = {
      {"muistolaatta", "order"},
      {"muistolaatta", "slot"},
      {"bhattacharya", "top-up"},
      {"bhattacharya", "bell-bound"}};
  for (const auto& [deployment, profile] : rows) {
    const Documents documents = Profiles(deployment);
    const json body = json::parse(
        documents.at({gentianroute::DocumentKind::kProfile, profile}).body);
    cr_expect_eq(body.at("stages")[0].value("repeatable", true), false, "%s",
                 profile);
  }
}
