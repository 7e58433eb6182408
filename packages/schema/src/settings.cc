#include "gentianroute/schema/settings.h"

#include <capnp/dynamic.h>

#include <set>
#include <string>

namespace gentianroute {
namespace {

leaf::result<void> CheckUniqueOrganisations(std::string_view file,
                                            schema::Settings::Reader settings) {
  std::set<std::string> seen;
  std::size_t index = 0;
  for (const auto organisation : settings.getOrganisations()) {
    const std::string name = organisation.getName().cStr();
    if (!seen.insert(name).second) {
      return leaf::new_error(
          SchemaError{std::string(file),
                      "organisations[" + std::to_string(index) + "].name",
                      "'" + name + "' more than once", "a unique name"});
    }
    ++index;
  }
  return {};
}

/// TLS needs both files; with only one, the listener would silently serve
/// plain text.
leaf::result<void> CheckTlsFiles(std::string_view file,
                                 const std::string& path,
                                 schema::Listener::Reader listener) {
  const bool certificate = listener.getCertificateFile().size() > 0;
  const bool key = listener.getKeyFile().size() > 0;
  if (certificate == key) {
    return {};
  }
  const std::string missing = certificate ? "keyFile" : "certificateFile";
  const std::string present = certificate ? "certificateFile" : "keyFile";
  return leaf::new_error(
      SchemaError{std::string(file), path + "." + missing, "nothing",
                  "a file name, since " + present + " is set"});
}

leaf::result<void> CheckUniqueKeys(std::string_view file,
                                   schema::Settings::Reader settings) {
  std::set<std::string> seen;
  std::size_t organisation_index = 0;
  for (const auto organisation : settings.getOrganisations()) {
    std::size_t key_index = 0;
    for (const auto key : organisation.getKeys()) {
      if (!seen.insert(key.getSha256().cStr()).second) {
        return leaf::new_error(SchemaError{
            std::string(file),
            "organisations[" + std::to_string(organisation_index) + "].keys[" +
                std::to_string(key_index) + "].sha256",
            "a duplicate digest", "a digest that no other key has"});
      }
      ++key_index;
    }
    ++organisation_index;
  }
  return {};
}

}  // namespace

leaf::result<Settings> Settings::Parse(std::string_view file,
                                       std::string_view text) {
  Settings settings;
  auto root = settings.message_->initRoot<schema::Settings>();
  BOOST_LEAF_CHECK(DecodeChecked(file, text, root));
  const auto reader = settings.get();
  BOOST_LEAF_CHECK(CheckUniqueOrganisations(file, reader));
  BOOST_LEAF_CHECK(CheckUniqueKeys(file, reader));
  BOOST_LEAF_CHECK(CheckTlsFiles(file, "callers", reader.getCallers()));
  BOOST_LEAF_CHECK(CheckTlsFiles(file, "operators", reader.getOperators()));
  BOOST_LEAF_CHECK(CheckTlsFiles(file, "peers", reader.getPeers()));
  return settings;
}

leaf::result<Settings> Settings::Load(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  return Parse(path, text);
}

}  // namespace gentianroute
