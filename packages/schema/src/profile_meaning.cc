#include "profile_meaning.h"

#include <capnp/message.h>
#include <profile.capnp.h>

#include <set>
#include <string>

namespace gentianroute {
namespace {

using nlohmann::json;

/// The default that the schema gives to the fields that are not stated.
struct Defaults {
  capnp::MallocMessageBuilder message;
  schema::Profile::Reader profile =
      message.initRoot<schema::Profile>().asReader();
  capnp::MallocMessageBuilder stage_message;
  schema::Stage::Reader stage =
      stage_message.initRoot<schema::Stage>().asReader();
};

std::string Join(const std::string& path, const std::string& field) {
  return path.empty() ? field : path + "." + field;
}

leaf::result<void> CheckRepeats(const Origin& origin,
                                const std::string& path,
                                const json& stage) {
  const bool may_repeat = stage.value("repeatable", true) ||
                          stage.value("deduplicatesByKey", false);
  if (may_repeat) {
    return {};
  }
  // Only what is stated: the default number of attempts is for the stages that
  // may repeat.
  const auto attempts = stage.value("maxAttempts", 1U);
  if (attempts > 1) {
    return leaf::new_error(SchemaError{
        origin.file, Join(path, "maxAttempts"), std::to_string(attempts),
        "1, since the stage is not repeatable; or deduplicatesByKey"});
  }
  const auto hedge = stage.value("hedgeAfterMs", 0U);
  if (hedge > 0) {
    return leaf::new_error(SchemaError{
        origin.file, Join(path, "hedgeAfterMs"), std::to_string(hedge),
        "0, since the stage is not repeatable; or deduplicatesByKey"});
  }
  return {};
}

}  // namespace

leaf::result<void> CheckProfileMeaning(const Origin& origin,
                                       const json& profile) {
  const Defaults defaults;
  std::set<std::string> names;
  std::uint64_t expected = 0;
  std::size_t index = 0;
  for (const json& stage : profile.at("stages")) {
    const std::string path =
        Join(origin.path, "stages[" + std::to_string(index++) + "]");
    const std::string name = stage.at("name");
    if (!names.insert(name).second) {
      return leaf::new_error(SchemaError{origin.file, path + ".name",
                                         "'" + name + "' a second time",
                                         "a name that stands once"});
    }
    BOOST_LEAF_CHECK(CheckRepeats(origin, path, stage));
    expected += stage.value("expectedMs", defaults.stage.getExpectedMs());
  }
  const auto deadline =
      profile.value("deadlineMs", defaults.profile.getDeadlineMs());
  if (deadline < expected) {
    return leaf::new_error(SchemaError{
        origin.file, Join(origin.path, "deadlineMs"), std::to_string(deadline),
        "at least " + std::to_string(expected) +
            ", the sum of the stages' expectedMs"});
  }
  return {};
}

}  // namespace gentianroute
